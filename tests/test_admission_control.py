"""Which jobs are refused while capacity is short, and when their callers return."""

import asyncio
from contextlib import suppress
from random import Random

import pytest
from hypothesis import given, settings, strategies as st

from plantainhinge.core.clock import read_monotonic
from plantainhinge.core.errors import CorruptRecordError
from plantainhinge.core.ids import Epoch, JobId, MemberName
from plantainhinge.core.resources import Resources
from plantainhinge.daemons.admission import REFRESH_SECONDS, AdmissionControl
from plantainhinge.daemons.job_service import JobService
from plantainhinge.daemons.job_view import JOB_TOPIC, JobView
from plantainhinge.dispatch.throughput import SubmissionRate
from plantainhinge.jobs.admission import (
    DIGEST_AGE_SECONDS_MAX,
    RETRY_SECONDS_MAX,
    AdmissionDigest,
    AdmissionGate,
    QueueDelay,
    Refusal,
    RefusalCause,
    WorkspaceLimit,
    decode_digest,
    encode_digest,
)
from plantainhinge.jobs.forwarding import (
    PassedLoadQuery,
    PassedResponse,
    decode_call,
    encode_call,
)
from plantainhinge.jobs.outcomes import CallOutcome

from .keyed_log import MemoryKeyedLog
from .simulated_cell import (
    SERVICE,
    SimulatedCell,
    make_entry,
    make_job,
    make_policy,
    make_step,
    make_workspace,
)

POLICY = make_policy(priority=2, slack_factor=2.0, target_latency=1.0)
# allowed are 2 * 2 + 1 seconds, of use is an answer within three times that
SPEC = make_job("x", make_step(estimate=2.0)).spec
USEFUL_SECONDS = 15.0


def make_digest(*delays, sequence=1, epoch=1, limits=()):
    return AdmissionDigest(Epoch(epoch), sequence, delays, limits)


def make_gate(digest, *, age=0.0):
    gate = AdmissionGate(Random(1))
    gate.update(digest, measured_at=100.0 - age)
    return gate


def decide(gate, *, policy=POLICY, spec=SPEC, workspace=""):
    return gate.decide(policy, spec, workspace, now=100.0)


def test_a_job_is_refused_only_if_it_would_be_of_no_use_in_the_end():
    for seconds in (0.0, 5.0, USEFUL_SECONDS - 2.1):
        assert decide(make_gate(make_digest(QueueDelay(SERVICE, 2, seconds)))) is None
    refusal = decide(make_gate(make_digest(QueueDelay(SERVICE, 2, USEFUL_SECONDS))))
    assert refusal.cause is RefusalCause.TOO_LATE


def test_a_refused_caller_comes_back_when_the_wait_is_short_enough():
    digest = make_digest(QueueDelay(SERVICE, 2, USEFUL_SECONDS + 8.0))
    gate = make_gate(digest)
    waits = [decide(gate).retry_after for _ in range(50)]
    assert min(waits) >= 10.0
    assert max(waits) <= 15.0
    assert max(waits) - min(waits) > 3.0


def test_no_caller_is_sent_away_for_longer_than_the_limit():
    refusal = decide(make_gate(make_digest(QueueDelay(SERVICE, 2, 1e9))))
    assert refusal.retry_after <= 1.5 * RETRY_SECONDS_MAX


@pytest.mark.parametrize(
    "delay",
    [QueueDelay("other", 0, 99.0), QueueDelay(SERVICE, 3, 99.0)],
    ids=["other service", "lower priority"],
)
def test_a_job_does_not_wait_for_work_that_is_placed_after_it(delay):
    assert decide(make_gate(make_digest(delay))) is None


@pytest.mark.parametrize("changes", [{"long_running": True}])
def test_long_running_jobs_are_never_too_late(changes):
    spec = make_job("x", make_step(**changes)).spec
    gate = make_gate(make_digest(QueueDelay(SERVICE, 2, 99.0)))
    assert decide(gate, spec=spec) is None


def test_an_old_digest_refuses_nothing():
    digest = make_digest(QueueDelay(SERVICE, 2, 99.0))
    gate = make_gate(digest, age=DIGEST_AGE_SECONDS_MAX + 0.1)
    assert decide(gate) is None


def test_a_digest_of_an_earlier_owner_or_measurement_is_ignored():
    gate = make_gate(make_digest(epoch=2, sequence=5))
    late = QueueDelay(SERVICE, 2, 99.0)
    for digest in (
        make_digest(late, epoch=1, sequence=9),
        make_digest(late, epoch=2, sequence=4),
    ):
        gate.update(digest, measured_at=100.0)
    assert decide(gate) is None
    gate.update(make_digest(late, epoch=3, sequence=1), measured_at=100.0)
    assert decide(gate) is not None


@given(st.floats(0.05, 1.0), st.integers(1, 300))
def test_the_share_within_its_rate_is_admitted(ratio, calls):
    limit = WorkspaceLimit("a", ratio, 2.0)
    gate = make_gate(make_digest(limits=(limit,)))
    refusals = [decide(gate, workspace="a") for _ in range(calls)]
    admitted = refusals.count(None)
    assert abs(admitted - ratio * calls) <= 1.0
    assert decide(gate, workspace="b") is None
    assert {each.cause for each in refusals if each} <= {RefusalCause.OVER_RATE}


@given(st.binary())
def test_a_damaged_digest_is_corrupt_or_a_digest(value):
    with suppress(CorruptRecordError):
        assert isinstance(decode_digest(value), AdmissionDigest)


def test_a_digest_and_its_query_survive_the_way():
    digest = make_digest(
        QueueDelay(SERVICE, 0, 1.5), limits=(WorkspaceLimit("a", 0.5, 2.0),)
    )
    assert decode_digest(encode_digest(digest)) == digest
    assert decode_call(encode_call(PassedLoadQuery())) == PassedLoadQuery()


# the owner's measurement


def open_site(*workspaces, workers=2):
    site = SimulatedCell(*(make_entry(f"w{index}") for index in range(workers)))
    site.set_workspaces(*workspaces)
    site.run(0.5)
    return site


def submit_jobs(site, name, count, *, workspace="", **step):
    for index in range(count):
        step_ = make_step(**({"count": 4, "estimate": 1.0} | step))
        record = make_job(
            f"{name}{index}",
            step_,
            accepted_at=site.now,
            workspace=workspace,
            policy=POLICY,
        )
        site.submit(record)


def measure(site):
    return site.cell.measure_admission(now=site.now, wall=site.now)


def test_nothing_is_short_while_all_work_finds_a_worker():
    site = open_site()
    submit_jobs(site, "j", 3)
    site.run(1.5)
    assert measure(site).delays == ()


@pytest.mark.parametrize("error", [0.3, 1.0, 3.0])
def test_the_expected_wait_is_right_although_all_estimates_are_wrong(error):
    site = open_site()
    submit_jobs(site, "j", 60, estimate=1.0)
    for worker in site.workers.values():
        worker.speed = 1.0 / error
    site.run(max(1.2, 4.0 * error))
    (delay,) = measure(site).delays
    started = site.now
    site.run_until(lambda: not site.cell.list_waiting_steps(), limit=120)
    assert delay.seconds == pytest.approx(site.now - started, rel=0.4, abs=1.5)


def test_work_of_other_priorities_counts_as_far_as_it_comes_first():
    site = open_site()
    submit_jobs(site, "j", 40)
    first = make_policy(priority=0)
    site.submit(make_job("k", make_step(count=80), policy=first))
    site.run(3.0)
    delays = {delay.priority: delay.seconds for delay in measure(site).delays}
    assert delays[0] < delays[2]


def test_a_digest_stays_small_with_many_workspaces():
    site = open_site(*(make_workspace(f"w{index}", weight=0.1) for index in range(200)))
    for index in range(200):
        submit_jobs(site, f"j{index}-", 3, workspace=f"w{index}")
    site.run(2.0)
    digest = measure(site)
    assert len(digest.limits) == 32
    assert len(encode_digest(digest)) < 1000


def test_a_workspace_within_its_rate_is_not_limited_however_full_the_site_is():
    site = open_site(make_workspace("a", weight=5.0), workers=1)
    for second in range(4):
        submit_jobs(site, f"a{second}-", 4, workspace="a")
        site.run(1.0)
    assert measure(site).limits == ()
    assert measure(site).delays != ()


def test_a_workspace_beyond_its_rate_is_limited_to_it_while_its_surplus_waits():
    site = open_site(make_workspace("a", weight=2.0), workers=1)
    for second in range(4):
        submit_jobs(site, f"a{second}-", 8, workspace="a")
        site.run(1.0)
    (limit,) = measure(site).limits
    assert limit.admit_ratio == pytest.approx(0.25, abs=0.1)
    assert limit.retry_after > 5


def test_the_limit_keeps_the_rate_although_refused_jobs_are_not_seen():
    rate = SubmissionRate()
    accepted = []
    credit, at = 0.0, 0.0
    for _ in range(200):
        at += 0.1
        rate.admit_ratio = rate.choose_ratio(2.0, wall=at)
        credit += rate.admit_ratio
        if credit >= 1.0:
            credit -= 1.0
            rate.note(at, rate=2.0)
            accepted.append(at)
    late = [each for each in accepted if each > 10.0]
    assert 15 <= len(late) <= 30


def test_jobs_within_the_rate_start_before_surplus_jobs_of_any_workspace():
    site = open_site(
        make_workspace("a", weight=1.0), make_workspace("b", weight=1.0), workers=1
    )
    submit_jobs(site, "a", 12, workspace="a")
    site.run(0.5)
    submit_jobs(site, "b", 1, workspace="b")
    site.run_until(lambda: site.state_of("b0") == "completed", limit=4)
    states = [site.state_of(f"a{index}") for index in range(12)]
    assert states.count("completed") < 6


@settings(max_examples=40, deadline=None)
@given(st.integers(0, 12), st.integers(1, 4))
def test_no_job_is_refused_while_there_is_capacity_for_what_waits(jobs, workers):
    site = open_site(make_workspace("a", weight=0.5), workers=workers)
    submit_jobs(site, "j", jobs, workspace="a", request=Resources(500, 10))
    site.run(0.2)
    if not site.cell.list_waiting_steps():
        gate = AdmissionGate(Random(1))
        gate.update(measure(site), measured_at=100.0)
        assert decide(gate, workspace="a") is None


# an instance


class Owner:
    """A fake of the peers that answers load queries, or doesn't."""

    def __init__(self, digest, *, answers=True):
        self.digest = digest
        self.answers = answers
        self.queries = 0

    async def ask(self, peer, call, *, timeout):
        self.queries += 1
        await asyncio.sleep(0.01)
        if not self.answers:
            return PassedResponse(CallOutcome.UNCERTAIN)
        value = encode_digest(self.digest)
        return PassedResponse(CallOutcome.DONE, digest=value, age=0.1)


LATE = make_digest(QueueDelay(SERVICE, 2, 99.0))


def make_control(peers):
    return AdmissionControl(get_owner=lambda: MemberName("owner"), peers=peers)


def test_a_job_does_not_wait_for_a_digest():
    async def scenario():
        owner = Owner(LATE)
        control = make_control(owner)
        first = [control.decide(POLICY, SPEC, "") for _ in range(20)]
        await asyncio.sleep(0.05)
        return first, control.decide(POLICY, SPEC, ""), owner.queries

    first, refusal, queries = asyncio.run(scenario())
    assert first == [None] * 20
    assert refusal.cause is RefusalCause.TOO_LATE
    assert queries == 1


def test_an_owner_that_does_not_answer_is_asked_now_and_then():
    async def scenario():
        owner = Owner(LATE, answers=False)
        control = make_control(owner)
        until = read_monotonic() + 2.2 * REFRESH_SECONDS
        while read_monotonic() < until:
            assert control.decide(POLICY, SPEC, "") is None
            await asyncio.sleep(0.01)
        return owner.queries

    assert asyncio.run(scenario()) == 3


def make_service(log, control):
    return JobService(
        log=log,
        view=JobView(log),
        get_configuration=lambda: None,
        owns_cell=lambda: True,
        admission=control,
    )


def make_refusing_control():
    control = AdmissionControl(owns_cell=lambda: True, measure=lambda: LATE)
    control.gate.update(LATE, measured_at=read_monotonic())
    return control


def test_a_refused_job_leaves_no_trace():
    async def scenario():
        log = MemoryKeyedLog()
        service = make_service(log, make_refusing_control())
        answer = await service.submit(JobId("a"), POLICY, SPEC, timeout=1.0)
        return answer, log.topics[JOB_TOPIC]

    answer, records = asyncio.run(scenario())
    assert isinstance(answer, Refusal)
    assert records == []


def test_a_job_that_was_accepted_before_is_not_refused_when_it_comes_again():
    async def scenario():
        log = MemoryKeyedLog()
        other = make_service(log, AdmissionControl())
        await other.submit(JobId("a"), POLICY, SPEC, timeout=1.0)
        service = make_service(log, make_refusing_control())
        return await service.submit(JobId("a"), POLICY, SPEC, timeout=1.0)

    assert asyncio.run(scenario()) is CallOutcome.DONE
