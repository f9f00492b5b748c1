"""Tests of the answers about jobs while the log answers, refuses or is silent."""

import asyncio

import pytest

from plantainhinge.core.ids import Epoch, JobId
from plantainhinge.daemons.job_service import JobService
from plantainhinge.daemons.job_view import JOB_TOPIC, PROGRESS_TOPIC, JobView
from plantainhinge.fleet.protocols import Entry, Fence
from plantainhinge.jobs.forwarding import PassedJob
from plantainhinge.jobs.model import JobRecord, JobSpec, JobState, Step
from plantainhinge.jobs.outcomes import CallOutcome
from plantainhinge.jobs.records import Progress, build_key, encode_record
from plantainhinge.jobs.spec_memory import estimate_memory

from .keyed_log import MemoryKeyedLog
from .simulated_cell import make_job, make_policy

SPEC = make_job("x").spec
POLICY = make_policy()


def make_service(log):
    return JobService(
        log=log,
        view=JobView(log),
        get_configuration=lambda: None,
        owns_cell=lambda: False,
    )


def run_service(scenario, log=None):
    log = log or MemoryKeyedLog()

    async def run():
        return await scenario(log, make_service(log))

    return asyncio.run(run())


def submit(service, job="a", timeout=3.0):
    return service.submit(JobId(job), POLICY, SPEC, timeout=timeout)


def test_a_job_is_accepted_once_the_log_holds_it():
    async def scenario(log, service):
        return await submit(service), log.topics[JOB_TOPIC]

    outcome, records = run_service(scenario)
    assert outcome is CallOutcome.DONE
    assert [entry.key for entry in records] == ["ja"]


def test_a_job_is_refused_when_the_log_refuses_the_append():
    async def scenario(log, service):
        log.append_faults = ["refuse"]
        return await submit(service), log.topics[JOB_TOPIC]

    outcome, records = run_service(scenario)
    assert outcome is CallOutcome.REFUSED
    assert records == []


@pytest.mark.parametrize("faults", [["lose"], ["lose", "lose"], ["lose", "refuse"]])
def test_an_append_without_an_answer_is_retried(faults):
    async def scenario(log, service):
        log.append_faults = list(faults)
        return await submit(service)

    assert run_service(scenario) is CallOutcome.DONE


def test_a_job_that_may_have_been_logged_is_never_reported_refused():
    async def scenario(log, service):
        log.append_faults = ["lose", "refuse", "refuse"]
        return await submit(service)

    assert run_service(scenario) is CallOutcome.UNCERTAIN


def test_submitting_a_job_twice_on_any_instances_is_idempotent():
    async def scenario(log, service):
        await submit(service)
        other = make_service(log)
        await submit(other)
        await other.view.job_tail.catch_up()
        return len(other.view.table.rows)

    assert run_service(scenario) == 1


def test_a_submitted_job_is_visible_at_once_on_every_instance():
    async def scenario(log, service):
        await submit(service)
        return await make_service(log).get_job_state(JobId("a"), timeout=1.0)

    assert run_service(scenario) is JobState.QUEUED


def test_a_job_that_was_never_submitted_is_unknown():
    async def scenario(log, service):
        state = await service.get_job_state(JobId("a"), timeout=1.0)
        return state, await service.cancel(JobId("a"), timeout=1.0)

    assert run_service(scenario) == (CallOutcome.UNKNOWN_JOB, CallOutcome.UNKNOWN_JOB)


def test_a_job_is_not_reported_unknown_while_the_log_is_silent():
    async def scenario(log, service):
        async def fail(*args, **kwargs):
            await asyncio.sleep(60)

        log.read = log.read_newest = fail
        return await service.get_job_state(JobId("a"), timeout=0.3)

    assert run_service(scenario) is CallOutcome.REFUSED


def test_the_reported_state_is_that_of_the_log():
    async def scenario(log, service):
        await submit(service)
        progress = Progress(
            job=JobId("a"), queue=POLICY.queue, state=JobState.COMPLETED
        )
        entry = Entry(build_key(progress), encode_record(progress))
        await log.append(PROGRESS_TOPIC, [entry], fence=Fence(Epoch(1), 0))
        await asyncio.sleep(0.06)
        return await service.get_job_state(JobId("a"), timeout=1.0)

    assert run_service(scenario) is JobState.COMPLETED


def test_a_cancellation_is_visible_on_every_instance():
    async def scenario(log, service):
        await submit(service)
        other = make_service(log)
        outcome = await other.cancel(JobId("a"), timeout=1.0)
        await service.view.job_tail.catch_up()
        return outcome, service.view.table.rows["a"].state

    assert run_service(scenario) == (CallOutcome.DONE, JobState.CANCELLED)


def test_queued_jobs_are_counted_until_they_start():
    async def scenario(log, service):
        await submit(service, "a")
        await submit(service, "b")
        progress = Progress(job=JobId("a"), queue=POLICY.queue, state=JobState.RUNNING)
        entry = Entry(build_key(progress), encode_record(progress))
        await log.append(PROGRESS_TOPIC, [entry], fence=Fence(Epoch(1), 0))
        return await service.count_queued(POLICY.queue, timeout=1.0)

    assert run_service(scenario) == 1


def test_a_view_starts_over_after_the_log_is_trimmed():
    async def scenario(log, service):
        await submit(service, "a")
        view = make_service(log).view
        await view.job_tail.catch_up()
        await submit(service, "b")
        log.trim(JOB_TOPIC)
        await view.job_tail.catch_up()
        return set(view.table.rows)

    assert run_service(scenario) == {"a", "b"}


def test_an_unknown_job_is_looked_up_in_the_latest_log():
    async def scenario(log, service):
        before = await service.get_job_state(JobId("a"), timeout=1.0)
        await submit(make_service(log))
        return before, await service.get_job_state(JobId("a"), timeout=1.0)

    assert run_service(scenario) == (CallOutcome.UNKNOWN_JOB, JobState.QUEUED)


def test_a_job_is_not_unknown_because_the_view_was_cleared_meanwhile():
    async def scenario(log, service):
        await submit(make_service(log))
        read = log.read_newest
        topics = []

        async def clear_and_read(topic, *, after=""):
            topics.append(topic)
            if topics == [JOB_TOPIC, PROGRESS_TOPIC]:
                service.view.clear()
            return await read(topic, after=after)

        log.read_newest = clear_and_read
        return await service.get_job_state(JobId("a"), timeout=1.0)

    assert run_service(scenario) is JobState.QUEUED


# jobs of many steps that waited for a slow log took a process to hundreds of megabytes
def test_large_jobs_are_refused_while_others_wait_for_the_log():
    large = JobSpec(payload="", steps=(Step(),) * 1000)

    async def scenario(log, service):
        service.specs.limit = 2 * estimate_memory(large)
        log.append_delay = 0.1

        def post(job, spec):
            return service.submit(JobId(job), POLICY, spec, timeout=1.0)

        calls = [post(f"large-{number}", large) for number in range(4)]
        outcomes = await asyncio.gather(*calls)
        forwarded = [post_forwarded(service, f"f-{n}", large) for n in range(4)]
        answers = await asyncio.gather(*forwarded)
        alone = await post("alone", JobSpec(payload="", steps=(Step(),) * 9000))
        return outcomes, [answer.outcome for answer in answers], alone

    outcomes, forwarded, alone = run_service(scenario)
    assert outcomes == [CallOutcome.DONE] * 2 + [CallOutcome.OVERLOADED] * 2
    assert forwarded == [CallOutcome.DONE] * 2 + [CallOutcome.REFUSED] * 2
    assert alone is CallOutcome.DONE


def post_forwarded(service, job, spec):
    record = JobRecord(job=JobId(job), policy=POLICY, spec=spec, accepted_at=0.0)
    return service.handle_forwarded_call(PassedJob(record))
