"""Typed lines of the log, and that all new code writes no others."""

import ast
import json
import logging
from pathlib import Path

import pytest

import plantainhinge
from plantainhinge.core.ids import JobId, WorkerId
from plantainhinge.core.log_events import (
    LOG_EVENT_TYPES,
    LogEvent,
    flatten_fields,
    log_event,
    write_event,
)
from plantainhinge.daemons.call_events import SubmitAnswered
from plantainhinge.daemons.process_events import LoopFailed
from plantainhinge.dispatch.log_events import AttemptFields, StartRefused
from plantainhinge.dispatch.model import AttemptPhase
from plantainhinge.fleet.model import OrderOutcome
from plantainhinge.jobs.verdicts import Verdict
from tools.log_page import SOURCES

PACKAGE = Path(plantainhinge.__file__).parent
DAEMONS = [
    "cell_runner", "instance", "instance_peers", "job_service", "job_view",
    "job_writer", "load_report", "operator_view", "ownership", "progress_log",
    "settings_watch", "tail", "worker_view",
]  # fmt: skip
WRITERS = [
    path
    for folder in ("dispatch", "fleet", "jobs", "platform")
    for path in sorted((PACKAGE / folder).glob("*.py"))
]
WRITERS += [PACKAGE / "daemons" / f"{name}.py" for name in DAEMONS]
WRITERS += sorted((PACKAGE / "adapters").glob("stream_http_*.py"))
RESERVED = set(logging.makeLogRecord({}).__dict__) | {"message", "asctime"}


def list_kinds():
    return [LOG_EVENT_TYPES.find(name) for name in LOG_EVENT_TYPES]


def test_an_event_is_one_line_with_flat_fields(caplog):
    caplog.set_level(logging.INFO)
    about = AttemptFields(
        job=JobId("j"),
        task="j.0.1.2",
        attempt=3,
        worker=WorkerId("w"),
        phase=AttemptPhase.ORDERED,
        tries=1,
    )
    event = StartRefused(about=about, cause=OrderOutcome.NO_ROOM)
    write_event(logging.getLogger("x"), event)
    (record,) = caplog.records
    assert record.message == "start refused"
    assert (record.job, record.phase, record.cause) == ("j", "ordered", "no-room")
    assert json.dumps(flatten_fields(event))


def test_an_error_goes_with_the_line(caplog):
    error = ValueError("bad")
    write_event(logging.getLogger("x"), LoopFailed(loop="run"), error=error)
    (record,) = caplog.records
    assert record.levelno == logging.ERROR
    assert record.exc_info[1] is error


def test_the_outcome_of_a_call_is_the_word_the_line_budget_looks_for():
    event = SubmitAnswered(
        job=JobId("j"), outcome=Verdict.REFUSED, cause="q", took_s=0.1
    )
    assert flatten_fields(event)["outcome"] == "refused"


def test_two_events_cannot_share_a_message():
    with pytest.raises(ValueError, match="registered twice"):

        @log_event("submit")
        class Again(LogEvent, frozen=True, kw_only=True):
            """Another event of the same name."""


@pytest.mark.parametrize("kind", list_kinds(), ids=lambda kind: kind.message)
def test_fields_of_events_keep_clear_of_those_of_all_lines(kind):
    fields = set()
    for name in kind.event_class.__struct_fields__:
        inner = kind.event_class.__annotations__.get(name)
        fields |= set(getattr(inner, "__struct_fields__", (name,)))
    assert not fields & RESERVED


@pytest.mark.parametrize("path", WRITERS, ids=lambda path: path.stem)
def test_lines_are_written_as_events_only(path):
    calls = [
        node.lineno
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8")))
        if isinstance(node, ast.Attribute)
        and isinstance(node.value, ast.Name)
        and node.value.id == "logger"
    ]
    assert calls == []


def test_every_event_is_written_somewhere():
    declaring = {Path(module.__file__) for module in SOURCES}
    text = "".join(path.read_text() for path in WRITERS if path not in declaring)
    names = {kind.event_class.__name__ for kind in list_kinds()} - CALLED_INDIRECTLY
    assert [name for name in sorted(names) if f"{name}(" not in text] == []


# classes that are handed on, and called where the answer is known
CALLED_INDIRECTLY = {"SubmitAnswered", "CancelAnswered", "StateAnswered", "CellLoad"}
