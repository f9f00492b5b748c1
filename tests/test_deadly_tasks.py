"""Tasks that crash each worker that starts them, and what becomes of the others."""

import msgspec
import pytest

from plantainhinge.core.ids import JobId
from plantainhinge.jobs.model import TaskKey
from plantainhinge.jobs.records import LostAttempt, TaskProgress

from .simulated_cell import make_job, make_step
from .simulated_crashes import DOWN_SECONDS, open_crashing_site

DEADLY = TaskKey(JobId("deadly"), 0, 0, 0)
# starts of a task that the rules allow: until three workers have crashed, and two more
STARTS_MAX = 5
RETURNS = [
    pytest.param(False, id="another-id"),
    pytest.param(True, id="same-id"),
]
ANSWERS = [
    pytest.param(False, id="answered"),
    pytest.param(True, id="answer-lost"),
]


def submit_deadly(site, **step):
    record = make_job("deadly", make_step(**step))
    site.submit(record)
    return record


def submit_neighbours(site, count=24, **step):
    records = [make_job(f"n{index}", make_step(**step)) for index in range(count)]
    for record in records:
        site.submit(record)
    return records


def list_states(site, records):
    return {site.state_of(record.job) for record in records}


@pytest.mark.parametrize("keeps_id", RETURNS)
@pytest.mark.parametrize("loses_answer", ANSWERS)
@pytest.mark.parametrize("speculative", [False, True])
@pytest.mark.parametrize("long_running", [False, True])
def test_a_task_that_crashes_its_workers_is_given_up(
    keeps_id, loses_answer, speculative, long_running
):
    site = open_crashing_site(
        deadly=[DEADLY], keeps_id=keeps_id, loses_answer=loses_answer
    )
    site.run(0.5)
    submit_deadly(site, speculative=speculative, long_running=long_running)
    site.run(60)
    assert site.state_of("deadly") == "failed"
    assert 2 <= site.count_task_starts(DEADLY) <= STARTS_MAX


@pytest.mark.parametrize("keeps_id", RETURNS)
def test_neighbours_of_a_task_that_crashes_its_workers_all_complete(keeps_id):
    site = open_crashing_site(deadly=[DEADLY], keeps_id=keeps_id)
    site.run(0.5)
    records = submit_neighbours(site, estimate=8.0)
    submit_deadly(site)
    site.run(60)
    assert list_states(site, records) == {"completed"}
    assert site.state_of("deadly") == "failed"


@pytest.mark.parametrize("keeps_id", RETURNS)
@pytest.mark.parametrize("period", [0.3, 1.0, 2.0, 3.4, 4.0, 6.5, 9.0])
def test_crashes_of_a_task_are_remembered_by_the_next_owners(keeps_id, period):
    site = open_crashing_site(deadly=[DEADLY], keeps_id=keeps_id)
    site.run(0.5)
    records = [submit_deadly(site), *submit_neighbours(site, estimate=8.0)]
    for _ in range(round(40 / period)):
        site.run(period)
        unfinished = [each for each in records if site.state_of(each.job) != "failed"]
        site.take_over(unfinished)
    site.run(60)
    assert site.state_of("deadly") == "failed"
    assert site.count_task_starts(DEADLY) <= STARTS_MAX
    assert list_states(site, records[1:]) == {"completed"}


@pytest.mark.parametrize("keeps_id", RETURNS)
def test_a_crash_that_log_and_handover_tell_of_counts_once(keeps_id):
    site = open_crashing_site(deadly=[DEADLY], keeps_id=keeps_id)
    site.run(0.5)
    record = submit_deadly(site, speculative=True)
    site.run(1.5)
    assert site.count_task_starts(DEADLY) == 2
    site.take_over([record])
    site.run(DOWN_SECONDS)
    (step,) = site.cell.jobs["deadly"].occurrences[0]
    assert len(step.tasks[0].losses) == 2


class EarlierTaskProgress(msgspec.Struct, array_like=True, frozen=True):
    """As earlier releases stored it."""

    last_attempt: int
    failed_attempts: tuple[int, ...] = ()
    checkpoint: str = ""


def test_progress_of_tasks_can_be_read_by_earlier_releases_and_from_them():
    loss = LostAttempt(attempt=2, worker="w", incarnation=7, confirmed=True)
    progress = TaskProgress(3, (1,), "c", (loss,), (loss,))
    earlier = EarlierTaskProgress(3, (1,), "c")
    encode, decode = msgspec.msgpack.encode, msgspec.msgpack.decode
    assert decode(encode(progress), type=TaskProgress) == progress
    assert decode(encode(progress), type=EarlierTaskProgress) == earlier
    assert decode(encode(earlier), type=TaskProgress) == TaskProgress(3, (1,), "c")
