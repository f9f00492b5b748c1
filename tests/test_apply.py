"""Applying a configuration on a failing log and against concurrent operators."""

from itertools import count, permutations

import pytest

from plantainhinge.adapters.log_memory import MemoryLog
from plantainhinge.cli.apply import (
    ApplyOutcome,
    ConfigurationSession,
    apply_configuration,
    change_domain,
    diff_configuration,
)
from plantainhinge.core.errors import (
    BadInputError,
    ConflictError,
    TrimmedError,
    UnavailableError,
    UncertainError,
)
from plantainhinge.core.ids import Offset
from plantainhinge.core.states import DomainState
from plantainhinge.streams.names import CONFIGURATION_STREAM
from standins.log_faults import FaultRule, FaultyLog, LogFault, LogOperation

from .test_documents import TEXT

OTHER = TEXT.replace('"replicas": 2', '"replicas": 1')
WRITER_NUMBERS = count()
THIRD = TEXT.replace('"replicas": 2', '"replicas": 0')


class Clock:
    def __init__(self):
        self.now = 1000.0

    def read(self):
        return self.now

    def sleep(self, seconds):
        self.now += max(seconds, 0.001)


@pytest.fixture
def clock(monkeypatch):
    clock = Clock()
    monkeypatch.setattr("plantainhinge.cli.apply.read_monotonic", clock.read)
    return clock


@pytest.fixture
def log(clock):
    return FaultyLog(MemoryLog(), clock=clock.read, sleep=clock.sleep)


def open_session(log, clock, name):
    writer = f"{name}/{next(WRITER_NUMBERS)}"
    return ConfigurationSession(log, writer, sleep=clock.sleep)


def apply(log, clock, document, name="op", **options):
    session = open_session(log, clock, name)
    return apply_configuration(session, document, operator=name, **options)


def test_an_apply_takes_effect_and_reports_its_differences(log, clock):
    applied = apply(log, clock, TEXT)
    assert (applied.revision, applied.outcome) == (1, ApplyOutcome.ACCEPTED)
    applied = apply(log, clock, OTHER, "op2")
    assert list(map(str, applied.differences)) == ["services.s.replicas: 2 -> 1"]


def test_a_document_with_faults_changes_nothing(log, clock):
    with pytest.raises(BadInputError):
        apply(log, clock, TEXT.replace('"team": "t"', '"team": "x"'))
    assert log.read(CONFIGURATION_STREAM, Offset(0), 100).end == 0


@pytest.mark.parametrize("order", list(permutations(range(3))))
@pytest.mark.parametrize("lost", [0, 1, 3])
def test_of_concurrent_operators_one_wins_and_the_others_get_a_conflict(
    log, clock, order, lost
):
    apply(log, clock, TEXT, "first")
    sessions = [open_session(log, clock, f"op{n}") for n in range(3)]
    bases = [session.read().revision for session in sessions]
    log.faults = [
        FaultRule(
            fault=LogFault.LOSE_RESPONSE, operation=LogOperation.APPEND, calls=lost
        )
    ]
    documents = [OTHER, THIRD, TEXT + "// again"]
    winners, losers = [], []
    for n in order:
        try:
            winners.append(
                apply_configuration(
                    sessions[n], documents[n], operator=f"op{n}", based_on=bases[n]
                )
            )
        except ConflictError as error:
            losers.append(error.message)
    assert len(winners) == 1
    assert len(losers) == 2
    assert all(f"'op{order[0]}' has published revision" in text for text in losers)
    newest = open_session(log, clock, "reader").read()
    assert newest.document == documents[order[0]]


def test_a_conflict_shows_what_changed(log, clock):
    base = apply(log, clock, TEXT).revision
    apply(log, clock, OTHER, "op2")
    with pytest.raises(ConflictError, match="replicas: 2 -> 1"):
        apply(log, clock, THIRD, "op3", based_on=base)


def test_a_repeated_apply_recognises_its_own_success(log, clock):
    base = apply(log, clock, TEXT).revision
    own = apply(log, clock, OTHER, based_on=base).revision
    again = apply(log, clock, OTHER, based_on=base)
    assert (again.revision, again.outcome) == (own, ApplyOutcome.ALREADY_IN_FORCE)
    apply(log, clock, THIRD, "op2")
    replaced = apply(log, clock, OTHER, based_on=base)
    assert (replaced.revision, replaced.outcome) == (own, ApplyOutcome.REPLACED_SINCE)
    assert open_session(log, clock, "reader").read().document == THIRD


@pytest.mark.parametrize(
    ("fault", "operation", "error"),
    [
        (LogFault.REFUSE, LogOperation.ANY, UnavailableError),
        (LogFault.REFUSE, LogOperation.APPEND, UnavailableError),
        (LogFault.LOSE_CALL, LogOperation.APPEND, UncertainError),
        (LogFault.READ_BEHIND, LogOperation.READ, UncertainError),
    ],
)
def test_an_apply_during_an_outage_reports_whether_it_may_take_effect(
    log, clock, fault, operation, error
):
    log.faults = [FaultRule(fault=fault, operation=operation)]
    with pytest.raises(error):
        apply(log, clock, TEXT)
    log.faults = []
    assert apply(log, clock, TEXT).revision == 1


@pytest.mark.parametrize("fault", [LogFault.LOSE_RESPONSE, LogFault.REFUSE])
def test_an_apply_survives_a_short_fault_and_takes_effect_once(log, clock, fault):
    log.faults = [FaultRule(fault=fault, operation=LogOperation.APPEND, calls=2)]
    assert apply(log, clock, TEXT).revision == 1
    assert apply(log, clock, OTHER, "op2", based_on=1).outcome is ApplyOutcome.ACCEPTED


def test_a_domain_goes_out_and_back_by_one_command_each(log, clock):
    apply(log, clock, TEXT)
    session = open_session(log, clock, "op2")
    out = change_domain(session, "a", DomainState.OUT, operator="op2")
    assert list(map(str, out.differences)) == ['domains.a.state: "in" -> "out"']
    session = open_session(log, clock, "op3")
    change_domain(session, "a", DomainState.IN, operator="op3")
    session = open_session(log, clock, "op4")
    assert diff_configuration(session, TEXT) == []
    again = change_domain(session, "a", DomainState.IN, operator="op4")
    assert again.outcome is ApplyOutcome.ALREADY_IN_FORCE


def test_a_domain_cannot_go_out_before_the_first_configuration(log, clock):
    session = open_session(log, clock, "op")
    with pytest.raises(BadInputError, match="no configuration"):
        change_domain(session, "a", DomainState.OUT, operator="op")


def test_a_configuration_trimmed_by_retention_raises_an_error(log, clock):
    apply(log, clock, TEXT)
    apply(log, clock, OTHER, "op2")
    log.log.trim(CONFIGURATION_STREAM, Offset(1))
    with pytest.raises(TrimmedError, match="no longer in the log"):
        apply(log, clock, THIRD, "op3")
