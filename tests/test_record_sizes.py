"""A job's progress fits into the log's record, whatever becomes of its tasks."""

import asyncio
from random import Random

import msgspec
import pytest
from hypothesis import given, settings, strategies as st

from plantainhinge.core.ids import JobId, QueueName, Seconds
from plantainhinge.core.resources import Resources
from plantainhinge.daemons.job_view import JOB_TOPIC
from plantainhinge.daemons.job_writer import JobWriter
from plantainhinge.dispatch import open_jobs
from plantainhinge.jobs.model import JobState, Recurrence
from plantainhinge.jobs.outcomes import CallOutcome
from plantainhinge.jobs.record_sizes import Detail, fit_progress, summarize
from plantainhinge.jobs.records import (
    LostAttempt,
    OccurrenceProgress,
    Progress,
    StepProgress,
    TaskProgress,
    decode_record,
    encode_record,
    pack_bits,
)

from .keyed_log import MemoryKeyedLog
from .simulated_cell import make_job, make_step, start_one_task

BYTES_MAX = 262_144 - 18
JOB = JobId("0123456789abcdef")


def make_progress(*steps):
    occurrence = OccurrenceProgress(tuple(steps))
    return Progress(
        job=JOB,
        queue=QueueName("q"),
        state=JobState.RUNNING,
        occurrences={0: occurrence},
    )


def make_task(random, checkpoint_bytes, losses):
    rows = tuple(
        LostAttempt(number, random.randbytes(60).hex(), random.randrange(2**40))
        for number in range(1, losses + 1)
    )
    checkpoint = random.randbytes(checkpoint_bytes).hex()
    return TaskProgress(random.randrange(1, 99), (1, 2), checkpoint, rows, rows)


def change_spec(record, **changes):
    spec = msgspec.structs.replace(record.spec, **changes)
    return msgspec.structs.replace(record, spec=spec)


@pytest.mark.parametrize(
    ("steps", "tasks", "checkpoint_bytes", "losses", "detail"),
    [
        (1, 20_000, 0, 0, Detail.WHOLE),
        (1, 20_000, 8, 0, Detail.WHOLE),
        (1, 20_000, 512, 0, Detail.NO_CHECKPOINTS),
        (1, 20_000, 8, 4, Detail.SUMMARY),
        (20_000, 1, 8, 4, Detail.SUMMARY),
    ],
)
def test_progress_of_the_largest_job_fits_into_a_record(
    steps, tasks, checkpoint_bytes, losses, detail
):
    random = Random(1)
    done = pack_bits(set(range(1, tasks, 2)))
    progress = make_progress(
        *(
            StepProgress(
                done,
                {
                    index: make_task(random, checkpoint_bytes, losses)
                    for index in range(0, tasks, 2)
                },
            )
            for _ in range(steps)
        )
    )
    sized = fit_progress(progress, bytes_max=BYTES_MAX)
    assert sized.detail is detail
    assert len(sized.value) <= BYTES_MAX
    read = decode_record(f"p{JOB}", sized.value)
    assert [step.done for step in read.occurrences[0].steps] == [done] * steps
    if detail is Detail.WHOLE:
        assert read == progress


tasks_st = st.builds(
    TaskProgress,
    st.integers(0, 2**40),
    st.lists(st.integers(1, 9), max_size=3).map(tuple),
    st.text(max_size=40),
)
steps_st = st.builds(
    StepProgress,
    st.binary(max_size=20),
    st.dictionaries(st.integers(0, 999), tasks_st, max_size=30),
)


@settings(max_examples=60)
@given(st.lists(steps_st, max_size=5), st.integers(250, 1200))
def test_a_record_in_less_detail_keeps_what_is_done_and_all_attempt_numbers(
    steps, bytes_max
):
    progress = make_progress(*steps)
    sized = fit_progress(progress, bytes_max=bytes_max)
    read = decode_record(f"p{JOB}", sized.value)
    for before, after in zip(steps, read.occurrences[0].steps, strict=True):
        assert after.done == before.done
        for index, task in before.tasks.items():
            known = after.tasks.get(index, TaskProgress(0)).last_attempt
            assert max(known, read.earlier_attempts) >= task.last_attempt


def test_a_task_of_a_job_logged_in_summary_gets_a_higher_attempt_number():
    site, job, first = start_one_task(estimate=20.0)
    site.run(1)
    progress = make_progress(StepProgress(tasks={0: TaskProgress(7)}))
    site.log[job.job] = summarize(progress)
    site.workers[first].attempts.clear()
    site.take_over([job])
    site.run(10)
    ((_, attempt),) = {row[1:] for row in site.list_running()}
    assert attempt == 8


def test_a_stuck_occurrence_lets_no_endless_number_of_later_ones_finish():
    record = change_spec(make_job("j"), recurrence=Recurrence(10**6, 0.0, 0.0))
    job = open_jobs.open_job(record, None, wall=Seconds(1.0))
    for _ in range(20):
        for number, steps in job.occurrences.items():
            if number:
                steps[0].unfinished = 0
        open_jobs.close_occurrences(job)
        open_jobs.open_due_occurrences(job, wall=Seconds(1.0))
    assert 2000 < len(job.occurrences) < 10_000
    progress = open_jobs.describe_progress(job)
    assert fit_progress(progress, bytes_max=BYTES_MAX) is not None


def test_a_job_that_no_record_can_hold_is_refused_for_good():
    async def submit(payload):
        writer = JobWriter(MemoryKeyedLog(), lambda: False)
        record = change_spec(make_job("j"), payload=payload)
        return await writer.write(record, timeout=Seconds(1.0))

    incompressible = Random(1).randbytes(300_000).hex()
    assert asyncio.run(submit(incompressible)) is CallOutcome.MALFORMED
    assert asyncio.run(submit("x" * 4_000)) is CallOutcome.DONE


# 8,000 steps are within the wire's limits, but 2 kB over those of a record
def test_a_job_that_fits_into_a_record_only_when_compressed_is_accepted():
    log = MemoryKeyedLog()
    steps = [make_step(request=Resources(100, 0), estimate=0.0)] * 8000
    record = make_job("j", *steps)
    writer = JobWriter(log, lambda: False)
    outcome = asyncio.run(writer.write(record, timeout=Seconds(2.0)))
    (entry,) = log.topics[JOB_TOPIC]
    assert len(encode_record(record)) > log.record_bytes_max
    assert outcome is CallOutcome.DONE
    assert decode_record(entry.key, entry.value) == record
