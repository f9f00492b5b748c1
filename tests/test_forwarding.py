"""Calls that an instance without the log passes on to one that reaches it."""

import asyncio
import random

import pytest
from hypothesis import given, strategies as st

from plantainhinge.adapters.stream_http_server import HttpReply, HttpServer
from plantainhinge.core.errors import CorruptRecordError
from plantainhinge.core.ids import InstanceId, JobId
from plantainhinge.daemons.instance_peers import InstancePeers
from plantainhinge.daemons.job_service import JobService, settle
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
from plantainhinge.jobs.model import JobState
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
    """Job services over one log, each with a server for its peers."""

    def __init__(self):
        self.log = MemoryKeyedLog()
        self.members = []
        self.lost = set()
        self.asked = []

    async def add(self, name):
        server = HttpServer("127.0.0.1:0", None)
        await server.start()
        address = "{}:{}".format(*server._server.sockets[0].getsockname())
        member = build_member_name(InstanceId(name), "p", address=address, cores=1)
        service = JobService(
            log=self.log,
            view=JobView(self.log),
            find_configuration=lambda: None,
            owns_cell=lambda: False,
            has_lost_log=lambda: name in self.lost,
            peers=InstancePeers(member, lambda: self.members, random.Random(1)),
        )

        async def handle(request):
            self.asked.append(name)
            answer = await service.take_passed(decode_call(request.body))
            return HttpReply(status=200, body=encode_response(answer))

        server.handle = handle
        self.members.append(member)
        return service


def play(scenario):
    async def run():
        instances = Instances()
        services = [await instances.add(name) for name in ("a", "b", "c")]
        return await scenario(instances, *services)

    return asyncio.run(run())


def submit(service):
    return service.submit(JobId("j"), POLICY, SPEC, timeout=3.0)


def test_a_job_handed_to_an_instance_without_the_log_is_taken():
    async def scenario(instances, first, *_):
        instances.lost = {"a"}
        outcome = await submit(first)
        state = await first.find_state(JobId("j"), timeout=1.0)
        return outcome, state, [entry.key for entry in instances.log.topics[JOB_TOPIC]]

    assert play(scenario) == (CallOutcome.DONE, JobState.QUEUED, ["jj"])


def test_a_job_that_only_this_instance_was_refused_is_taken():
    async def scenario(instances, first, *_):
        instances.log.fail = ["refuse"]
        return await submit(first)

    assert play(scenario) is CallOutcome.DONE


def test_a_job_is_cancelled_through_another_instance():
    async def scenario(instances, first, second, _):
        await submit(second)
        instances.lost = {"a"}
        outcome = await first.cancel(JobId("j"), timeout=1.0)
        return outcome, await second.find_state(JobId("j"), timeout=1.0)

    assert play(scenario) == (CallOutcome.DONE, JobState.CANCELLED)


def test_an_unknown_job_is_denied_only_by_an_instance_with_the_log():
    async def scenario(instances, first, *_):
        instances.lost = {"a"}
        found = await first.cancel(JobId("j"), timeout=1.0)
        instances.lost = {"a", "b", "c"}
        await asyncio.sleep(0)
        return found, await first.cancel(JobId("j"), timeout=1.0)

    assert play(scenario) == (CallOutcome.UNKNOWN_JOB, CallOutcome.REFUSED)


def test_a_job_is_refused_at_once_when_all_have_lost_the_log():
    async def scenario(instances, first, *_):
        instances.lost = {"a", "b", "c"}
        started = asyncio.get_running_loop().time()
        outcomes = [await submit(first) for _ in range(20)]
        took = asyncio.get_running_loop().time() - started
        return set(outcomes), took, len(instances.asked)

    outcomes, took, asked = play(scenario)
    assert outcomes == {CallOutcome.REFUSED}
    assert took < 1.0
    assert asked == 2


def test_a_call_goes_no_further_than_one_instance():
    async def scenario(instances, first, *_):
        instances.lost = {"a", "b"}
        instances.members = instances.members[:2]
        return await submit(first), instances.asked

    assert play(scenario) == (CallOutcome.REFUSED, ["b"])


def test_a_peer_that_is_gone_leaves_the_job_to_the_next_one():
    async def scenario(instances, first, *_):
        instances.lost = {"a"}
        gone = build_member_name(InstanceId("g"), "p", address="127.0.0.1:1", cores=1)
        instances.members = [gone, instances.members[2]]
        return [await submit(first) for _ in range(3)]

    assert play(scenario) == [CallOutcome.DONE] * 3


def test_a_peer_without_a_readable_answer_leaves_the_outcome_open():
    async def scenario(instances, first, second, _):
        async def answer_rubbish(call):
            raise RuntimeError("a fault of ours")

        instances.lost = {"a"}
        second.take_passed = answer_rubbish
        instances.members = instances.members[:2]
        return await submit(first)

    assert play(scenario) is CallOutcome.UNCERTAIN


@pytest.mark.parametrize(
    ("here", "there", "outcome"),
    [
        (CallOutcome.REFUSED, CallOutcome.REFUSED, CallOutcome.REFUSED),
        (CallOutcome.REFUSED, CallOutcome.UNCERTAIN, CallOutcome.UNCERTAIN),
        (CallOutcome.UNCERTAIN, CallOutcome.REFUSED, CallOutcome.UNCERTAIN),
        (CallOutcome.UNCERTAIN, CallOutcome.DONE, CallOutcome.DONE),
    ],
)
def test_only_what_nobody_did_is_refused(here, there, outcome):
    assert settle(here, there) is outcome


@pytest.mark.parametrize("call", CALLS, ids=lambda call: type(call).__name__)
def test_calls_are_read_back_as_they_were_written(call):
    assert decode_call(encode_call(call)) == call


def test_answers_are_read_back_as_they_were_written():
    answer = PassedResponse(CallOutcome.DONE, JobState.RUNNING)
    assert decode_response(encode_response(answer)) == answer


@given(st.binary(max_size=200))
def test_any_bytes_are_a_call_or_a_clear_error(body):
    for decode in (decode_call, decode_response):
        try:
            decode(body)
        except CorruptRecordError as error:
            assert error.step == "passing.decode"


def test_the_owner_answers_for_what_the_others_never_read():
    async def scenario(instances, first, second, _):
        second.owns_cell = lambda: True
        first.find_owner = lambda: instances.members[1]
        await submit(first)
        reads = instances.log.reads
        state = await first.find_state(JobId("j"), timeout=1.0)
        count = await first.count_queued(POLICY.queue, timeout=1.0)
        denied = await first.find_state(JobId("k"), timeout=1.0)
        rows = len(first.view.table.rows)
        return state, count, denied, rows, instances.log.reads > reads

    assert play(scenario) == (JobState.QUEUED, 1, CallOutcome.UNKNOWN_JOB, 0, True)


def test_a_state_is_read_from_the_log_while_there_is_no_owner():
    async def scenario(instances, first, *_):
        gone = build_member_name(InstanceId("g"), "p", address="127.0.0.1:1", cores=1)
        first.find_owner = lambda: gone
        await submit(first)
        return await first.find_state(JobId("j"), timeout=1.0)

    assert play(scenario) is JobState.QUEUED


def test_the_next_owner_is_asked_once_it_is_known():
    async def scenario(instances, first, second, _):
        second.owns_cell = lambda: True
        asyncio.get_running_loop().call_later(
            0.3, setattr, first, "find_owner", lambda: instances.members[1]
        )
        await submit(first)
        return await first.find_state(JobId("j"), timeout=2.0), instances.asked

    assert play(scenario) == (JobState.QUEUED, ["b"])
