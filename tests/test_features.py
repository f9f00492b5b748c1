"""Step definitions of the scenarios in ``tests/features``."""

import http.client
import socket
import threading
from contextlib import ExitStack

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from plantainhinge.adapters.callers_server import serve_callers
from plantainhinge.adapters.log_memory import MemoryLog
from plantainhinge.cli.apply import ConfigurationSession, apply_configuration
from plantainhinge.core.documents import encode_configuration, parse_configuration
from plantainhinge.core.errors import BadInputError, ConflictError
from plantainhinge.core.ids import Offset, WriterId
from plantainhinge.core.records import ConfigurationPublished
from plantainhinge.core.states import AttemptOutcome, Outcome, TaskState
from plantainhinge.streams.names import CONFIGURATION_STREAM

from . import test_recovery as faults
from .fakes import Behaviour, Clock, FakeLedger
from .harness import run_site
from .test_callers_server import IP, LIMITS, TIMEOUT_SECONDS, Application, find_port
from .test_documents import TEXT
from .test_request_runner import DEADLINE, LOOKUP, PURCHASE, RequestPath

scenarios("features")

KINDS = {"lookup": LOOKUP, "purchase": PURCHASE}
TARGETS = 3
BEHAVIOURS = {
    "respond": [],
    "cut the connection": [Behaviour.CUTS_CONNECTION],
    "refuse": [Behaviour.REFUSES],
    "are unreachable": [Behaviour.UNREACHABLE],
    "never respond": [Behaviour.NEVER_RESPONDS],
    "announce that they leave": [Behaviour.IS_LEAVING],
    "all refuse": [Behaviour.REFUSES] * TARGETS,
    "are all unreachable": [Behaviour.UNREACHABLE] * TARGETS,
    "all cut the connection": [Behaviour.CUTS_CONNECTION] * TARGETS,
}
FAULTS = {
    "the log is down for an hour": faults.lose_log,
    "the log applies appends but loses the responses": faults.lose_answers,
    "the log stores every record twice": faults.duplicate_appends,
    "each owner in turn is paused beyond its lease": faults.pause_owners,
    "a worker is cut off for longer than its leases": faults.disconnect_worker,
    "a worker restarts": faults.restart_worker,
    "a worker is cut off and its scheduler is killed": (
        faults.disconnect_worker_then_kill_owner
    ),
    "all schedulers are killed at once": faults.lose_all_processes,
    "a failure domain is taken out and brought back twice": (
        faults.take_domain_out_and_back
    ),
}
INVALID_FILES = {
    "an unclosed bracket": TEXT[:-3],
    "an unknown team": TEXT.replace('"team": "', '"team": "no-', 1),
    "an unknown field": TEXT.replace('"schema"', '"surplus": 1, "schema"', 1),
    "a negative number of replicas": TEXT.replace('"replicas": 2', '"replicas": -2', 1),
}


# batch.feature


@pytest.fixture
def site():
    with ExitStack() as stack:
        yield stack.enter_context(run_site())


@given("six jobs run in two failure domains")
def submit_six_jobs(site):
    faults.submit_all(site)
    faults.await_running(site)


@when(parsers.re("(?P<fault>" + "|".join(FAULTS) + ")$"))
def cause_fault(site, fault):
    FAULTS[fault](site)


@when(parsers.parse('operators take failure domain "{domain}" out'))
def take_domain_out(site, domain):
    site.set_domain(domain, "out")


@when(parsers.parse('operators bring failure domain "{domain}" back'))
def bring_domain_back(site, domain):
    site.set_domain(domain, "in")


@when(parsers.parse("{seconds:d} seconds pass"))
def advance_time(site, seconds):
    site.advance(float(seconds))


@when("a caller submits a job larger than any instance")
def submit_too_large(site):
    site.submit("huge", kind="huge")


@then("that job fails and its status has a reason")
def check_job_failed_with_reason(site):
    site.await_state(lambda: site.is_final("huge"))
    status = site.query("huge")
    assert status.state is TaskState.FAILED
    assert status.reason


@then(parsers.parse('nothing runs in failure domain "{domain}"'))
def check_domain_empty(site, domain):
    running = [
        ref
        for worker in site.workers.values()
        if worker.domain == domain
        for ref in worker.list_running()
    ]
    assert running == []


@then("every job finishes")
def check_all_finished(site):
    faults.await_finished(site, limit=8000.0)


@then("each job finished once on the workers")
def check_each_finished_once(site):
    finished = [
        ref[0]
        for ref, end in site.ends.items()
        if end[0] is AttemptOutcome.FINISHED and ref[0] in faults.JOBS
    ]
    assert sorted(finished) == sorted(faults.JOBS)


# requests.feature


@given(
    parsers.parse("a gateway with three targets that first {behaviour}"),
    target_fixture="paths",
)
def open_gateway(behaviour):
    path = RequestPath(targets=TARGETS)
    path.targets.script = list(BEHAVIOURS[behaviour])
    return [path]


@given("two gateways that share a ledger", target_fixture="paths")
def open_two_gateways():
    clock = Clock()
    ledger = FakeLedger(clock)
    return [RequestPath(ledger=ledger, clock=clock, prefix=f"g{n}-") for n in range(2)]


@when(parsers.parse("a caller makes a {kind}"), target_fixture="responses")
def send_request(paths, kind):
    return [paths[0].run(KINDS[kind])]


@when("a caller makes the same purchase at both", target_fixture="responses")
def send_purchase_to_both(paths):
    return [path.run(PURCHASE) for path in paths]


@when(parsers.parse("a caller makes {count:d} lookups"), target_fixture="responses")
def send_lookups(paths, count):
    return [paths[0].run(LOOKUP) for _ in range(count)]


@then(parsers.parse('the caller gets the outcome "{outcome}" by its deadline'))
def check_outcome(paths, responses, outcome):
    assert [response.outcome for response in responses] == [Outcome(outcome)]
    assert paths[0].clock.now <= Clock().now + DEADLINE


@then(parsers.parse("the targets ran the request {count:d} time(s)"))
def check_run_count(paths, count):
    assert sum(len(path.targets.ran) for path in paths) == count


@then('only the outcome "not-run" comes with a time to retry')
def check_retry_time(responses):
    for response in responses:
        assert (response.retry_after is not None) == (
            response.outcome is Outcome.NOT_RUN
        )


@then(parsers.parse('the first outcome is "{first}" and the second is "{second}"'))
def check_both_outcomes(responses, first, second):
    assert [response.outcome.value for response in responses] == [first, second]


@then(parsers.parse("the leaving target received {count:d} of them"))
def check_leaving_target(paths, responses, count):
    leaving = paths[0].targets.sent[0][0]
    sent = [address for address, *_ in paths[0].targets.sent]
    assert sent.count(leaving) == count
    assert len(sent) == len(responses)


# operators.feature: configuration


class Operators:
    """Operators and daemons that share a log, with the result of each applied file."""

    def __init__(self):
        self.log = MemoryLog()
        self.sessions = 0
        self.results = {}

    def open_session(self):
        self.sessions += 1
        return ConfigurationSession(self.log, WriterId(f"w{self.sessions}"))

    def apply(self, document, based_on=None):
        try:
            session = self.open_session()
            apply_configuration(session, document, operator="o", based_on=based_on)
        except (ConflictError, BadInputError) as error:
            self.results[document] = error.code
        else:
            self.results[document] = "accepted"

    def publish(self, session, document, base):
        """Publish without reading the log again, so that two operators conflict."""
        checked = encode_configuration(parse_configuration(document))
        record = ConfigurationPublished(document, base, "o", checked)
        rejected = session.publish(record) is not None
        self.results[document] = "race-lost" if rejected else "accepted"

    def read(self):
        return self.open_session().read()


@given("a revision is in force", target_fixture="operators")
def apply_first_file():
    operators = Operators()
    operators.apply(TEXT)
    assert operators.results.pop(TEXT) == "accepted"
    return operators


@when("two operators each apply a file made from it")
def apply_two_files(operators):
    base = operators.read().revision
    sessions = [operators.open_session() for _ in range(2)]
    for session in sessions:
        session.read()
    for number, session in enumerate(sessions):
        operators.publish(session, f"{TEXT}// {number}\n", base)


@when("the log delivers its records a second time")
def deliver_records_again(operators):
    entries = operators.log.read(CONFIGURATION_STREAM, Offset(0), 1_000_000).entries
    for entry in entries:
        operators.log.append(CONFIGURATION_STREAM, entry.data)


@when(parsers.parse("an operator applies a file with {fault}"))
def apply_invalid_file(operators, fault):
    operators.apply(INVALID_FILES[fault])


@then('one file is accepted and the other is rejected with "race-lost"')
def check_one_accepted(operators):
    assert sorted(operators.results.values()) == ["accepted", "race-lost"]


@then("every daemon that reads the log uses the accepted file")
def check_accepted_in_force(operators):
    accepted = [d for d, result in operators.results.items() if result == "accepted"]
    assert [operators.read().document] == accepted


@then('the file is rejected with "bad-input"')
def check_rejected(operators):
    assert list(operators.results.values()) == ["bad-input"]


@then("the revision in force is unchanged")
def check_revision_unchanged(operators):
    assert operators.read().document == TEXT


# operators.feature: planned stops


@pytest.fixture
def server():
    application, port = Application(), find_port()
    busy = http.client.HTTPConnection(IP, port, timeout=TIMEOUT_SECONDS)
    with serve_callers(application, IP, port, LIMITS) as running:
        busy.request("GET", "/slow")
        assert application.entered.wait(TIMEOUT_SECONDS)
        yield running, application, busy, port
        application.released.set()


@given("a server with a request in flight")
def check_in_flight(server):
    assert not server[1].released.is_set()


@when("the server is told to stop")
def stop_server(server):
    threading.Thread(target=server[0].drain).start()


@then("new connections are refused")
def check_connections_refused(server):
    with pytest.raises(ConnectionRefusedError):
        for _ in range(100):
            with socket.create_connection((IP, server[3]), timeout=TIMEOUT_SECONDS):
                threading.Event().wait(0.05)


@then("the request in flight gets its complete response")
def check_response_complete(server):
    _, application, busy, _ = server
    application.released.set()
    assert busy.getresponse().read() == b"ok"
