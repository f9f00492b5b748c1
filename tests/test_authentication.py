"""Keys of workspaces, while the log answers, is lost, or answers only a peer."""

import asyncio

import msgspec
import pytest

from plantainhinge.adapters.stream_http_messages import HttpRequest
from plantainhinge.core.clock import read_monotonic
from plantainhinge.core.errors import UnavailableError
from plantainhinge.core.ids import QueueName, Revision
from plantainhinge.daemons.authentication import (
    UNKNOWN_KEY_AGE_SECONDS_MAX,
    VIEW_AGE_SECONDS_MAX,
    Authenticator,
)
from plantainhinge.daemons.job_service import JobService
from plantainhinge.daemons.job_view import JOB_TOPIC, JobView
from plantainhinge.daemons.operator_view import OperatorView
from plantainhinge.fleet.operator import QueueRoute, SchedulingConfiguration
from plantainhinge.fleet.protocols import Entry
from plantainhinge.jobs.forwarding import (
    PassedConfigurationQuery,
    PassedResponse,
    decode_response,
    encode_response,
)
from plantainhinge.jobs.outcomes import CallOutcome
from plantainhinge.jobs.records import decode_record
from plantainhinge.platform.ingress import Ingress

from .keyed_log import MemoryKeyedLog
from .simulated_cell import make_policy, make_workspace

TOPIC = "operator"
QUEUE = QueueName("lookups")
OPEN_QUEUE = QueueName("watches")
JOB = "0123456789abcdef"
BODY = b'{"spec":"text","steps":[{"cpu":500,"memMb":10,"estRuntimeMs":900}]}'


def make_configuration(revision, *workspaces):
    return SchedulingConfiguration(
        revision=Revision(revision),
        routes=(
            QueueRoute(host="h", prefix="/p/", policy=make_policy(queue=QUEUE)),
            QueueRoute(
                host="h",
                prefix="/open/",
                policy=make_policy(queue=OPEN_QUEUE),
                anonymous=True,
            ),
        ),
        body_bytes_max=1000,
        workspaces=workspaces,
    )


def encode(configuration):
    return msgspec.msgpack.encode(configuration)


def decode(key, value):
    return msgspec.msgpack.decode(value, type=SchedulingConfiguration)


class Site:
    """A log with a configuration, and instances whose way to it can be cut."""

    def __init__(self):
        self.log = MemoryKeyedLog()
        self.instances = []

    async def publish(self, configuration):
        await self.log.append(TOPIC, [Entry("config", encode(configuration))])

    async def add(self):
        instance = SiteInstance(self)
        self.instances.append(instance)
        await instance.operator.tail.catch_up()
        return instance


class SiteInstance:
    """The authentication and the callers' interface of one instance.

    Its peers are the site's other instances.
    """

    def __init__(self, site):
        self.site = site
        self.is_cut = False
        self.asked = 0
        self.log = CuttableLog(self)
        self.operator = OperatorView(self.log, TOPIC, decode)
        self.authenticator = Authenticator(
            self.operator, lambda: self.is_cut, peers=self
        )
        self.service = JobService(
            log=self.log,
            view=JobView(self.log),
            get_configuration=lambda: self.operator.configuration,
            owns_cell=lambda: False,
        )
        self.ingress = Ingress(self.service, self.authenticator)

    async def ask_any(self, call, *, timeout):
        self.asked += 1
        for peer in self.site.instances:
            if peer is not self and not peer.is_cut:
                answer = peer.authenticator.describe_configuration(call)
                return decode_response(encode_response(answer))
        return PassedResponse(CallOutcome.REFUSED)

    def grow_old(self, seconds=VIEW_AGE_SECONDS_MAX):
        """Let the view be as old as given and a moment more."""
        self.operator.tail.synced_at = read_monotonic() - seconds - 0.1

    async def authenticate(self, key):
        found = await self.authenticator.authenticate(key, queue=QUEUE)
        return found if isinstance(found, CallOutcome) else found.name

    async def call(self, method, path, *, key=None, body=b""):
        headers = {"host": "h"}
        if key is not None:
            headers["authorization"] = key
        reply = await self.ingress.handle(HttpRequest(method, path, headers, body))
        return reply.status


class CuttableLog:
    """A client of the site's log that fails while its instance is cut off."""

    def __init__(self, instance):
        self._instance = instance

    def __getattr__(self, name):
        method = getattr(self._instance.site.log, name)
        if not callable(method):
            return method

        async def call(*args, **options):
            if self._instance.is_cut:
                raise UnavailableError("cut off", step=f"log.{name}")
            return await method(*args, **options)

        return call


def run_scenario(scenario, *workspaces):
    async def run():
        site = Site()
        workspaces_ = workspaces or (make_workspace("a", keys=["key-a"]),)
        await site.publish(make_configuration(1, *workspaces_))
        return await scenario(site, await site.add(), await site.add())

    return asyncio.run(run())


def test_a_key_names_its_workspace():
    async def scenario(site, first, _):
        return await first.authenticate("key-a")

    assert run_scenario(scenario) == "a"


@pytest.mark.parametrize("key", ["", "key", "key-a ", "x" * 10_000, "\udc80", "ключ"])
def test_any_other_key_is_rejected(key):
    async def scenario(site, first, _):
        return await first.authenticate(key)

    assert run_scenario(scenario) is CallOutcome.UNAUTHENTICATED


def test_a_new_key_is_known_before_its_record_arrives_by_itself():
    async def scenario(site, first, _):
        new = make_workspace("b", keys=["key-b"])
        await site.publish(make_configuration(2, new))
        first.grow_old(UNKNOWN_KEY_AGE_SECONDS_MAX)
        return await first.authenticate("key-b")

    assert run_scenario(scenario) == "b"


def test_unknown_keys_cause_no_read_each():
    async def scenario(site, first, _):
        before = site.log.read_calls
        for index in range(50):
            await first.authenticate(f"guess-{index}")
        return site.log.read_calls - before

    assert run_scenario(scenario) <= 1


async def withdraw_key(site):
    await site.publish(make_configuration(2, make_workspace("a", keys=["next"])))


def call_with_key(instance, key="key-a"):
    return instance.call("GET", f"/p/{JOB}", key=f"Token {key}")


def test_a_withdrawn_key_is_rejected_on_a_view_that_had_grown_old():
    async def scenario(site, first, _):
        await withdraw_key(site)
        first.grow_old()
        return await call_with_key(first)

    assert run_scenario(scenario) == 401


def test_a_withdrawn_key_is_rejected_without_the_log_if_a_peer_knows():
    async def scenario(site, first, second):
        await withdraw_key(site)
        await second.operator.tail.catch_up()
        first.is_cut = True
        first.grow_old()
        return await call_with_key(first), first.operator.configuration.revision

    assert run_scenario(scenario) == (401, 2)


def test_peers_without_the_log_do_not_confirm_each_other():
    async def scenario(site, first, second):
        first.is_cut = second.is_cut = True
        first.grow_old()
        second.grow_old()
        second.operator.adopt(None, confirmed_at=read_monotonic())
        second.is_cut = False
        query = PassedConfigurationQuery(Revision(1))
        return second.authenticator.describe_configuration(query).outcome

    assert run_scenario(scenario) is CallOutcome.REFUSED


def test_a_known_key_stays_valid_while_nobody_answers():
    async def scenario(site, first, second):
        first.is_cut = second.is_cut = True
        first.grow_old()
        return await first.authenticate("key-a")

    assert run_scenario(scenario) == "a"


def test_an_unknown_key_is_not_rejected_while_nobody_answers():
    async def scenario(site, first, second):
        first.is_cut = second.is_cut = True
        first.grow_old()
        return await first.authenticate("key-b")

    assert run_scenario(scenario) is CallOutcome.REFUSED


def test_calls_do_not_queue_for_a_confirmation_that_fails():
    async def scenario(site, first, second):
        first.is_cut = second.is_cut = True
        first.grow_old()
        await asyncio.gather(*(call_with_key(first) for _ in range(20)))
        return first.asked

    assert run_scenario(scenario) == 1


def test_a_restarted_instance_does_not_go_back_to_an_older_configuration():
    async def scenario(site, first, second):
        await withdraw_key(site)
        await first.operator.tail.catch_up()
        second.is_cut = False
        query = PassedConfigurationQuery(first.operator.configuration.revision)
        answer = second.authenticator.describe_configuration(query)
        assert answer.configuration == b""
        first.operator.adopt(second.operator.configuration, confirmed_at=0.0)
        return await first.authenticate("key-a")

    assert run_scenario(scenario) is CallOutcome.UNAUTHENTICATED


@pytest.mark.parametrize(
    "header",
    [
        None,
        "",
        "key-a",
        "Bearer key-a",
        "Token",
        "Token  ",
        "Token key-a, Token key-a",
        "Token " + "x" * 5000,
        "Token \xff\x00",
    ],
)
def test_a_header_without_one_valid_key_is_rejected(header):
    async def scenario(site, first, _):
        return await first.call("POST", f"/p/{JOB}", key=header, body=BODY)

    assert run_scenario(scenario) == 401


@pytest.mark.parametrize("header", ["Token key-a", "token key-a", "Token   key-a"])
def test_a_header_with_a_valid_key_is_accepted(header):
    async def scenario(site, first, _):
        return await first.call("POST", f"/p/{JOB}", key=header, body=BODY)

    assert run_scenario(scenario) == 200


def test_an_open_route_needs_no_key():
    async def scenario(site, first, _):
        return await first.call("POST", f"/open/{JOB}", body=BODY)

    assert run_scenario(scenario) == 200


def test_an_unknown_route_is_reported_before_the_key_is_judged():
    async def scenario(site, first, _):
        return await first.call("POST", f"/q/{JOB}", body=BODY)

    assert run_scenario(scenario) == 404


def test_a_site_without_workspaces_asks_for_no_key():
    async def scenario():
        site = Site()
        configuration = msgspec.structs.replace(make_configuration(1), workspaces=None)
        await site.publish(configuration)
        return await (await site.add()).call("POST", f"/p/{JOB}", body=BODY)

    assert asyncio.run(scenario()) == 200


def test_another_workspace_finds_no_such_job():
    async def scenario(site, first, _):
        await first.call("POST", f"/p/{JOB}", key="Token key-a", body=BODY)
        return [
            await first.call(method, f"/p/{JOB}", key=f"Token {key}")
            for method in ("GET", "DELETE")
            for key in ("key-b", "key-a", "other-a")
        ]

    statuses = run_scenario(
        scenario,
        make_workspace("a", keys=["key-a", "other-a"]),
        make_workspace("b", keys=["key-b"]),
    )
    assert statuses == [410, 200, 200, 410, 200, 200]


def test_a_route_that_was_opened_shows_the_jobs_of_its_queue():
    async def scenario(site, first, _):
        await first.call("POST", f"/p/{JOB}", key="Token key-a", body=BODY)
        configuration = make_configuration(2, make_workspace("a", keys=["key-a"]))
        closed, opened = configuration.routes
        routes = (msgspec.structs.replace(closed, anonymous=True), opened)
        await site.publish(msgspec.structs.replace(configuration, routes=routes))
        await first.operator.tail.catch_up()
        return [await first.call("GET", f"{path}{JOB}") for path in ("/p/", "/open/")]

    assert run_scenario(scenario) == [200, 410]


def test_a_job_over_its_workspaces_cap_is_refused_and_leaves_no_trace():
    async def scenario(site, first, _):
        body = BODY.replace(b'"cpu":500', b'"cpu":1500')
        status = await first.call("POST", f"/p/{JOB}", key="Token key-a", body=body)
        return status, site.log.topics[JOB_TOPIC]

    workspace = make_workspace("a", cores=1, keys=["key-a"])
    assert run_scenario(scenario, workspace) == (429, [])


def test_no_record_of_a_job_holds_its_key():
    async def scenario(site, first, _):
        await first.call("POST", f"/p/{JOB}", key="Token key-a", body=BODY)
        (entry,) = site.log.topics[JOB_TOPIC]
        return entry

    entry = run_scenario(scenario)
    assert b"key-a" not in entry.value
    assert decode_record(entry.key, entry.value).workspace == "a"
