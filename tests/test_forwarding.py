"""Calls that an instance without access to the log forwards to one that has it."""

import asyncio
import random

import pytest
from hypothesis import given, strategies as st

from plantainhinge.adapters.stream_http_messages import HttpReply
from plantainhinge.adapters.stream_http_server import HttpServer
from plantainhinge.core.errors import CorruptRecordError
from plantainhinge.core.ids import InstanceId, JobId
from plantainhinge.daemons.instance_peers import InstancePeers
from plantainhinge.daemons.job_service import JobService, combine_outcomes
from plantainhinge.daemons.job_view import JOB_TOPIC, JobView
from plantainhinge.jobs.forwarding import (
    PassedCancellation,
    PassedJob,
    PassedResponse,
    PassedStateQuery,
    decode_call,
    decode_response,
    encode_call,
    encode_response,
)
from plantainhinge.jobs.model import TASKS_MAX, JobRecord, JobSpec, JobState, Step
from plantainhinge.jobs.outcomes import CallOutcome
from plantainhinge.jobs.ownership import build_member_name

from .keyed_log import MemoryKeyedLog
from .simulated_cell import make_job, make_policy

SPEC = make_job("x").spec
POLICY = make_policy()
CALLS = [
    PassedJob(make_job("a")),
    PassedCancellation(JobId("a")),
    PassedStateQuery(JobId("a")),
]


class Instances:
    """Job services that share a log, each with a server for calls of its peers."""

    def __init__(self):
        self.log = MemoryKeyedLog()
        self.members = []
        self.without_log = set()
        self.called = []

    async def add(self, name):
        server = HttpServer("127.0.0.1:0", None)
        await server.start()
        address = server.bound_address
        member = build_member_name(InstanceId(name), "p", address=address, cores=1)
        service = JobService(
            log=self.log,
            view=JobView(self.log),
            get_configuration=lambda: None,
            owns_cell=lambda: False,
            is_log_lost=lambda: name in self.without_log,
            peers=InstancePeers(member, lambda: self.members, random.Random(1)),
        )

        async def handle(request):
            self.called.append(name)
            response = await service.handle_forwarded_call(decode_call(request.body))
            return HttpReply(status=200, body=encode_response(response))

        server.handle = handle
        self.members.append(member)
        return service


def run_scenario(scenario):
    async def run():
        instances = Instances()
        services = [await instances.add(name) for name in ("a", "b", "c")]
        return await scenario(instances, *services)

    return asyncio.run(run())


def submit(service):
    return service.submit(JobId("j"), POLICY, SPEC, timeout=3.0)


def test_submission_is_forwarded_without_access_to_the_log():
    async def scenario(instances, first, *_):
        instances.without_log = {"a"}
        outcome = await submit(first)
        state = await first.get_job_state(JobId("j"), timeout=1.0)
        return outcome, state, [entry.key for entry in instances.log.topics[JOB_TOPIC]]

    assert run_scenario(scenario) == (CallOutcome.DONE, JobState.QUEUED, ["jj"])


def test_submission_is_forwarded_after_a_refused_append():
    async def scenario(instances, first, *_):
        instances.log.append_faults = ["refuse"]
        return await submit(first)

    assert run_scenario(scenario) is CallOutcome.DONE


def test_cancellation_is_forwarded_without_access_to_the_log():
    async def scenario(instances, first, second, _):
        await submit(second)
        instances.without_log = {"a"}
        outcome = await first.cancel(JobId("j"), timeout=1.0)
        return outcome, await second.get_job_state(JobId("j"), timeout=1.0)

    assert run_scenario(scenario) == (CallOutcome.DONE, JobState.CANCELLED)


def test_only_an_instance_with_the_log_reports_an_unknown_job():
    async def scenario(instances, first, *_):
        instances.without_log = {"a"}
        found = await first.cancel(JobId("j"), timeout=1.0)
        instances.without_log = {"a", "b", "c"}
        await asyncio.sleep(0)
        return found, await first.cancel(JobId("j"), timeout=1.0)

    assert run_scenario(scenario) == (CallOutcome.UNKNOWN_JOB, CallOutcome.REFUSED)


def test_submission_is_refused_at_once_if_all_have_lost_the_log():
    async def scenario(instances, first, *_):
        instances.without_log = {"a", "b", "c"}
        started = asyncio.get_running_loop().time()
        outcomes = [await submit(first) for _ in range(20)]
        elapsed = asyncio.get_running_loop().time() - started
        return set(outcomes), elapsed, len(instances.called)

    outcomes, elapsed, calls = run_scenario(scenario)
    assert outcomes == {CallOutcome.REFUSED}
    assert elapsed < 1.0
    assert calls == 2


def test_forwarded_call_is_not_forwarded_again():
    async def scenario(instances, first, *_):
        instances.without_log = {"a", "b"}
        instances.members = instances.members[:2]
        return await submit(first), instances.called

    assert run_scenario(scenario) == (CallOutcome.REFUSED, ["b"])


def test_submission_goes_to_the_next_peer_if_one_is_unreachable():
    async def scenario(instances, first, *_):
        instances.without_log = {"a"}
        unreachable = build_member_name(
            InstanceId("g"), "p", address="127.0.0.1:1", cores=1
        )
        instances.members = [unreachable, instances.members[2]]
        return [await submit(first) for _ in range(3)]

    assert run_scenario(scenario) == [CallOutcome.DONE] * 3


def test_outcome_is_uncertain_after_an_unreadable_response():
    async def scenario(instances, first, second, _):
        async def raise_unexpected_error(call):
            raise RuntimeError("unexpected error")

        instances.without_log = {"a"}
        second.handle_forwarded_call = raise_unexpected_error
        instances.members = instances.members[:2]
        return await submit(first)

    assert run_scenario(scenario) is CallOutcome.UNCERTAIN


@pytest.mark.parametrize(
    ("here", "there", "outcome"),
    [
        (CallOutcome.REFUSED, CallOutcome.REFUSED, CallOutcome.REFUSED),
        (CallOutcome.REFUSED, CallOutcome.UNCERTAIN, CallOutcome.UNCERTAIN),
        (CallOutcome.UNCERTAIN, CallOutcome.REFUSED, CallOutcome.UNCERTAIN),
        (CallOutcome.UNCERTAIN, CallOutcome.DONE, CallOutcome.DONE),
    ],
)
def test_outcome_is_refused_only_if_both_instances_refused(here, there, outcome):
    assert combine_outcomes(here, there) is outcome


@pytest.mark.parametrize("call", CALLS, ids=lambda call: type(call).__name__)
def test_calls_round_trip(call):
    assert decode_call(encode_call(call)) == call


def test_responses_round_trip():
    response = PassedResponse(CallOutcome.DONE, JobState.RUNNING)
    assert decode_response(encode_response(response)) == response


# one call of 1 MB took a process to hundreds of megabytes
def test_a_call_with_a_job_of_too_many_steps_is_refused():
    spec = JobSpec(payload="", steps=(Step(),) * (TASKS_MAX + 1))
    record = JobRecord(job=JobId("j"), policy=POLICY, spec=spec, accepted_at=0.0)
    with pytest.raises(CorruptRecordError, match=str(TASKS_MAX)):
        decode_call(encode_call(PassedJob(record)))


@given(st.binary(max_size=200))
def test_arbitrary_bytes_decode_or_raise_a_corrupt_record_error(body):
    for decode in (decode_call, decode_response):
        try:
            decode(body)
        except CorruptRecordError as error:
            assert error.step == "passing.decode"


def test_queries_of_unread_jobs_are_answered_by_the_owner():
    async def scenario(instances, first, second, _):
        second.owns_cell = lambda: True
        first.get_owner = lambda: instances.members[1]
        await submit(first)
        reads = instances.log.read_calls
        state = await first.get_job_state(JobId("j"), timeout=1.0)
        count = await first.count_queued(POLICY.queue, timeout=1.0)
        unknown = await first.get_job_state(JobId("k"), timeout=1.0)
        rows = len(first.view.table.rows)
        return state, count, unknown, rows, instances.log.read_calls > reads

    assert run_scenario(scenario) == (
        JobState.QUEUED,
        1,
        CallOutcome.UNKNOWN_JOB,
        0,
        True,
    )


def test_state_is_read_from_the_log_while_the_owner_is_unreachable():
    async def scenario(instances, first, *_):
        unreachable = build_member_name(
            InstanceId("g"), "p", address="127.0.0.1:1", cores=1
        )
        first.get_owner = lambda: unreachable
        await submit(first)
        return await first.get_job_state(JobId("j"), timeout=1.0)

    assert run_scenario(scenario) is JobState.QUEUED


def test_query_is_sent_to_the_next_owner_once_known():
    async def scenario(instances, first, second, _):
        second.owns_cell = lambda: True
        asyncio.get_running_loop().call_later(
            0.3, setattr, first, "get_owner", lambda: instances.members[1]
        )
        await submit(first)
        return await first.get_job_state(JobId("j"), timeout=2.0), instances.called

    assert run_scenario(scenario) == (JobState.QUEUED, ["b"])
