"""The bound for the memory that accepted jobs take up."""

import asyncio

import pytest
from hypothesis import given, strategies as st

from plantainhinge.core.ids import Epoch, JobId
from plantainhinge.daemons.admission import AdmissionControl
from plantainhinge.daemons.instance_limits import JOB_MEMORY_RATIO
from plantainhinge.daemons.job_service import JobService
from plantainhinge.daemons.job_view import JOB_TOPIC, JobView
from plantainhinge.jobs.admission import (
    VISIBLE_SECONDS,
    AdmissionDigest,
    AdmissionGate,
    RefusalCause,
)
from plantainhinge.jobs.model import NO_WORKSPACE, TASKS_MAX, JobRecord, JobSpec, Step
from plantainhinge.jobs.outcomes import CallOutcome
from plantainhinge.jobs.spec_memory import estimate_memory, estimate_open_memory
from plantainhinge.jobs.table import JobTable

from .keyed_log import MemoryKeyedLog
from .simulated_cell import (
    SimulatedCell,
    make_entry,
    make_job,
    make_policy,
    make_step,
)

POLICY = make_policy()
LIMIT = 10_000_000
# the smallest instance of the platform, in bytes
SMALLEST_MEMORY = 200_000_000
SMALL = JobSpec(payload="x", steps=(Step(count=8), Step(count=8)))
LARGEST = [
    JobSpec(payload="x" * 4000, steps=(Step(),) * TASKS_MAX),
    JobSpec(payload="x" * 4000, steps=(Step(count=TASKS_MAX),)),
]


def measure(spec):
    return estimate_memory(spec) + estimate_open_memory(spec)


def decide(gate, spec, now=0.0):
    refusal = gate.decide(POLICY, spec, NO_WORKSPACE, now=now)
    return None if refusal is None else refusal.cause


@pytest.mark.parametrize("spec", LARGEST, ids=["steps", "tasks"])
def test_the_largest_job_is_admitted_in_calm_on_the_smallest_instance(spec):
    gate = AdmissionGate(memory_limit=int(JOB_MEMORY_RATIO * SMALLEST_MEMORY))
    assert decide(gate, spec) is None


specs = st.builds(
    lambda steps, count: JobSpec(payload="", steps=(Step(count=count),) * steps),
    st.integers(1, 300),
    st.integers(1, 300),
)


@given(st.lists(specs, max_size=40))
def test_what_is_admitted_fits_and_leaves_room_for_small_jobs(drawn):
    gate = AdmissionGate(memory_limit=LIMIT)
    admitted = [spec for spec in drawn if decide(gate, spec) is None]
    used = sum(map(measure, admitted))
    assert used <= LIMIT
    for spec in set(drawn) - set(admitted):
        assert measure(spec) > (LIMIT - used) / 2
    assert decide(gate, SMALL) is None or LIMIT - used < 2 * measure(SMALL)


def test_admitted_jobs_count_until_the_owner_counts_them():
    gate = AdmissionGate(memory_limit=LIMIT)
    large = JobSpec(payload="", steps=(Step(count=11_000),))
    assert decide(gate, large, now=10.0) is None
    assert decide(gate, large, now=11.0) is RefusalCause.NO_MEMORY
    empty = AdmissionDigest(Epoch(1), 1, memory_limit=LIMIT)
    gate.update(empty, measured_at=11.0)
    assert decide(gate, large, now=11.0) is RefusalCause.NO_MEMORY
    counted = AdmissionDigest(
        Epoch(1), 2, memory_bytes=measure(large), memory_limit=LIMIT
    )
    gate.update(counted, measured_at=20.0)
    assert decide(gate, large, now=20.0) is RefusalCause.NO_MEMORY
    assert decide(gate, SMALL, now=20.0) is None
    gone = AdmissionDigest(Epoch(1), 3, memory_limit=LIMIT)
    gate.update(gone, measured_at=22.0 + 2 * VISIBLE_SECONDS)
    assert decide(gate, large, now=22.0 + 2 * VISIBLE_SECONDS) is None


@given(st.lists(st.tuples(st.integers(0, 3), st.booleans())))
def test_a_table_knows_the_memory_of_its_specs(changes):
    table = JobTable()
    for number, is_removed in changes:
        spec = JobSpec(payload="x" * number, steps=(Step(),) * (number + 1))
        job = JobId(f"j{number}")
        if is_removed:
            table.remove(job)
        else:
            record = JobRecord(job=job, policy=POLICY, spec=spec, accepted_at=0.0)
            table.apply(record)
        rows = [row.accepted.spec for row in table.rows.values()]
        assert table.spec_bytes == sum(map(estimate_memory, rows))
    table.clear()
    assert table.spec_bytes == 0


def test_an_owner_counts_jobs_until_they_have_ended():
    site = SimulatedCell(make_entry("w0"))
    site.run(0.5)
    record = make_job("a", make_step(count=4, estimate=0.5))
    site.submit(record)
    during = site.cell.measure_admission(now=site.now, wall=site.now)
    site.run(10.0)
    after = site.cell.measure_admission(now=site.now, wall=site.now)
    assert during.memory_bytes == estimate_open_memory(record.spec)
    assert after.memory_bytes == 0


# 92 of 96 jobs of 8 MB were written: nobody could say that they weren't known
def test_a_job_without_memory_is_not_written_if_it_may_be_known():
    async def submit():
        log = MemoryKeyedLog()
        service = JobService(
            log=log,
            view=JobView(log),
            get_configuration=lambda: None,
            owns_cell=lambda: False,
            admission=AdmissionControl(gate=AdmissionGate(memory_limit=LIMIT)),
        )
        large = JobSpec(payload="", steps=(Step(count=TASKS_MAX),))
        outcomes = [
            await service.submit(JobId(name), POLICY, spec, timeout=0.5)
            for name, spec in (("large", large), ("small", SMALL))
        ]
        return outcomes, len(log.topics[JOB_TOPIC])

    outcomes, written = asyncio.run(submit())
    assert outcomes == [CallOutcome.UNCERTAIN, CallOutcome.DONE]
    assert written == 1


def test_a_small_job_is_not_refused_for_jobs_that_count_twice():
    gate = AdmissionGate(memory_limit=LIMIT)
    large = JobSpec(payload="", steps=(Step(count=12_000),))
    assert decide(gate, large, now=10.0) is None
    counted = AdmissionDigest(Epoch(1), 1, memory_bytes=9_000_000, memory_limit=LIMIT)
    gate.update(counted, measured_at=10.5)
    assert decide(gate, large, now=10.5) is RefusalCause.NO_MEMORY
    assert decide(gate, SMALL, now=10.5) is None
