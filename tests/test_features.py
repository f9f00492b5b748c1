"""The steps of the scenarios in ``tests/features``."""

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
from plantainhinge.streams.names import CONFIGURATION

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
    "answer": [],
    "cut the connection": [Behaviour.CUTS_CONNECTION],
    "refuse": [Behaviour.REFUSES],
    "cannot be reached": [Behaviour.UNREACHABLE],
    "never answer": [Behaviour.NEVER_RESPONDS],
    "say they leave": [Behaviour.IS_LEAVING],
    "all refuse": [Behaviour.REFUSES] * TARGETS,
    "all cannot be reached": [Behaviour.UNREACHABLE] * TARGETS,
    "all cut the connection": [Behaviour.CUTS_CONNECTION] * TARGETS,
}
FAULTS = {
    "the log is down for an hour": faults.lose_log,
    "the log loses its answers after the effect": faults.lose_answers,
    "the log takes every record twice": faults.duplicate_appends,
    "every owner is paused past its lease in turn": faults.pause_owners,
    "a worker is cut off for longer than its leases": faults.disconnect_worker,
    "a worker restarts": faults.restart_worker,
    "a worker's scheduler is killed while it is cut off": (
        faults.disconnect_worker_then_kill_owner
    ),
    "every scheduler is lost at once": faults.lose_all_processes,
    "a failure domain goes, comes, goes and comes": faults.take_domain_out_and_back,
}
WRONG_FILES = {
    "a broken bracket": TEXT[:-3],
    "an unknown team": TEXT.replace('"team": "', '"team": "no-', 1),
    "an unknown name": TEXT.replace('"schema"', '"surplus": 1, "schema"', 1),
    "a negative amount": TEXT.replace('"replicas": 2', '"replicas": -2', 1),
}


# Batch work.


@pytest.fixture
def site():
    with ExitStack() as stack:
        yield stack.enter_context(run_site())


@given("six jobs run in two failure domains")
def submit_six(site):
    faults.submit_all(site)
    faults.await_running(site)


@when(parsers.re("(?P<fault>" + "|".join(FAULTS) + ")$"))
def bring_about(site, fault):
    FAULTS[fault](site)


@when(parsers.parse('operators take failure domain "{domain}" out'))
def take_out(site, domain):
    site.set_domain(domain, "out")


@when(parsers.parse('operators bring failure domain "{domain}" back'))
def bring_back(site, domain):
    site.set_domain(domain, "in")


@when(parsers.parse("{seconds:d} seconds pass"))
def pass_time(site, seconds):
    site.advance(float(seconds))


@when("a caller submits a job larger than any instance")
def submit_too_large(site):
    site.submit("huge", kind="huge")


@then("that job fails and its account says why")
def check_failed(site):
    site.await_state(lambda: site.is_final("huge"))
    account = site.query("huge")
    assert account.state is TaskState.FAILED
    assert account.reason


@then(parsers.parse('nothing runs in failure domain "{domain}"'))
def check_empty(site, domain):
    running = [
        ref
        for worker in site.workers.values()
        if worker.domain == domain
        for ref in worker.list_running()
    ]
    assert running == []


@then("every job finishes")
def check_finished(site):
    faults.await_finished(site, limit=8000.0)


@then("each job finished once on the workers")
def check_once(site):
    finished = [
        ref[0]
        for ref, end in site.ends.items()
        if end[0] is AttemptOutcome.FINISHED and ref[0] in faults.JOBS
    ]
    assert sorted(finished) == sorted(faults.JOBS)


# Requests.


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


@when(parsers.parse("a caller makes a {kind}"), target_fixture="answers")
def make_request(paths, kind):
    return [paths[0].run(KINDS[kind])]


@when("a caller makes the same purchase at both", target_fixture="answers")
def buy_at_both(paths):
    return [path.run(PURCHASE) for path in paths]


@when(parsers.parse("a caller makes {count:d} lookups"), target_fixture="answers")
def make_lookups(paths, count):
    return [paths[0].run(LOOKUP) for _ in range(count)]


@then(parsers.parse('the caller is told "{outcome}" by its deadline'))
def check_told(paths, answers, outcome):
    assert [answer.outcome for answer in answers] == [Outcome(outcome)]
    assert paths[0].clock.now <= Clock().now + DEADLINE


@then(parsers.parse("the targets ran it {count:d} time(s)"))
def check_runs(paths, count):
    assert sum(len(path.targets.ran) for path in paths) == count


@then('a "not-run" came with the time to return')
def check_return(answers):
    for answer in answers:
        assert (answer.retry_after is not None) == (answer.outcome is Outcome.NOT_RUN)


@then(parsers.parse('one is told "{first}" and the other "{second}"'))
def check_both(answers, first, second):
    assert [answer.outcome.value for answer in answers] == [first, second]


@then(parsers.parse("the target that is leaving received {count:d} of them"))
def check_leaving(paths, answers, count):
    leaving = paths[0].targets.sent[0][0]
    sent = [address for address, *_ in paths[0].targets.sent]
    assert sent.count(leaving) == count
    assert len(sent) == len(answers)


# Operators.


class Operators:
    """Operators and daemons around one log."""

    def __init__(self):
        self.log = MemoryLog()
        self.sessions = 0
        self.verdicts = {}

    def open(self):
        self.sessions += 1
        return ConfigurationSession(self.log, WriterId(f"w{self.sessions}"))

    def apply(self, document, based_on=None):
        try:
            session = self.open()
            apply_configuration(session, document, operator="o", based_on=based_on)
        except (ConflictError, BadInputError) as error:
            self.verdicts[document] = error.code
        else:
            self.verdicts[document] = "accepted"

    def publish(self, session, document, base):
        """Publish without another look at the log, as in the tightest race."""
        checked = encode_configuration(parse_configuration(document))
        record = ConfigurationPublished(document, base, "o", checked)
        rejected = session.publish(record) is not None
        self.verdicts[document] = "race-lost" if rejected else "accepted"

    def read(self):
        return self.open().read()


@given("a revision is in force", target_fixture="operators")
def apply_first():
    operators = Operators()
    operators.apply(TEXT)
    assert operators.verdicts.pop(TEXT) == "accepted"
    return operators


@when("two operators each apply a file made from it")
def apply_two(operators):
    base = operators.read().revision
    sessions = [operators.open() for _ in range(2)]
    for session in sessions:
        session.read()
    for number, session in enumerate(sessions):
        operators.publish(session, f"{TEXT}// {number}\n", base)


@when("the log delivers the accepted record a second time")
def deliver_again(operators):
    entries = operators.log.read(CONFIGURATION, Offset(0), 1_000_000).entries
    for entry in entries:
        operators.log.append(CONFIGURATION, entry.data)


@when(parsers.parse("an operator applies a file with {fault}"))
def apply_wrong(operators, fault):
    operators.apply(WRONG_FILES[fault])


@then("one is told it is accepted and the other that it lost the race")
def check_race(operators):
    assert sorted(operators.verdicts.values()) == ["accepted", "race-lost"]


@then("every daemon that reads the log runs the accepted file")
def check_in_force(operators):
    accepted = [d for d, told in operators.verdicts.items() if told == "accepted"]
    assert [operators.read().document] == accepted


@then("the operator is told of bad input")
def check_bad_input(operators):
    assert list(operators.verdicts.values()) == ["bad-input"]


@then("the revision in force is the same")
def check_same(operators):
    assert operators.read().document == TEXT


# Planned stops.


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


@when("it is told to stop")
def stop(server):
    threading.Thread(target=server[0].drain).start()


@then("new connections are refused")
def check_refused(server):
    with pytest.raises(ConnectionRefusedError):
        for _ in range(100):
            with socket.create_connection((IP, server[3]), timeout=TIMEOUT_SECONDS):
                threading.Event().wait(0.05)


@then("the request in flight gets its whole answer")
def check_whole(server):
    _, application, busy, _ = server
    application.released.set()
    assert busy.getresponse().read() == b"ok"
