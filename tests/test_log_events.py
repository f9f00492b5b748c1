"""Structured log events, and that the listed modules write no other log lines."""

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
from plantainhinge.jobs.outcomes import CallOutcome
from tools.log_page import EVENT_MODULES

PACKAGE = Path(plantainhinge.__file__).parent
DAEMONS = [
    "admission", "authentication", "cell_runner", "confirmation", "instance",
    "instance_peers", "job_lookup", "job_service", "job_view", "job_writer",
    "load_report", "logged_jobs", "operator_view", "ownership", "progress_log",
    "renewals", "round_times", "settings_watch", "tail", "takeover", "worker_orders",
    "worker_view",
]  # fmt: skip
MODULES = [
    path
    for folder in ("dispatch", "fleet", "jobs", "platform")
    for path in sorted((PACKAGE / folder).glob("*.py"))
]
MODULES += [PACKAGE / "daemons" / f"{name}.py" for name in DAEMONS]
MODULES += sorted((PACKAGE / "adapters").glob("stream_http_*.py"))
MODULES.append(PACKAGE / "adapters" / "acceptor.py")
RECORD_ATTRIBUTES = set(logging.makeLogRecord({}).__dict__) | {"message", "asctime"}


def list_event_types():
    return [LOG_EVENT_TYPES.find(name) for name in LOG_EVENT_TYPES]


def test_an_event_is_one_line_with_flat_fields(caplog):
    caplog.set_level(logging.INFO)
    fields = AttemptFields(
        job=JobId("j"),
        task="j.0.1.2",
        attempt=3,
        worker=WorkerId("w"),
        phase=AttemptPhase.ORDERED,
        tries=1,
    )
    event = StartRefused(about=fields, cause=OrderOutcome.NO_CAPACITY)
    write_event(logging.getLogger("x"), event)
    (record,) = caplog.records
    assert record.message == "start refused"
    assert (record.job, record.phase, record.cause) == ("j", "ordered", "no-room")
    assert json.dumps(flatten_fields(event))


def test_an_error_is_logged_with_its_event(caplog):
    error = ValueError("bad")
    write_event(logging.getLogger("x"), LoopFailed(loop="run"), error=error)
    (record,) = caplog.records
    assert record.levelno == logging.ERROR
    assert record.exc_info[1] is error


def test_the_outcome_of_a_call_is_logged_as_its_value():
    # The log rate limiter recognises by this value the lines that it must keep.
    event = SubmitAnswered(
        job=JobId("j"), outcome=CallOutcome.REFUSED, cause="q", took_s=0.1
    )
    assert flatten_fields(event)["outcome"] == "refused"


def test_two_events_cannot_share_a_message():
    with pytest.raises(ValueError, match="registered twice"):

        @log_event("submit")
        class Duplicate(LogEvent, frozen=True, kw_only=True):
            """Another event with the same message."""


@pytest.mark.parametrize(
    "event_type", list_event_types(), ids=lambda entry: entry.message
)
def test_event_fields_do_not_collide_with_log_record_attributes(event_type):
    fields = set()
    for name in event_type.event_class.__struct_fields__:
        annotation = event_type.event_class.__annotations__.get(name)
        fields |= set(getattr(annotation, "__struct_fields__", (name,)))
    assert not fields & RECORD_ATTRIBUTES


@pytest.mark.parametrize("path", MODULES, ids=lambda path: path.stem)
def test_modules_log_only_through_events(path):
    direct_uses = [
        node.lineno
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8")))
        if isinstance(node, ast.Attribute)
        and isinstance(node.value, ast.Name)
        and node.value.id == "logger"
    ]
    assert direct_uses == []


def test_every_event_is_used():
    declaring_modules = {Path(module.__file__) for module in EVENT_MODULES}
    text = "".join(
        path.read_text() for path in MODULES if path not in declaring_modules
    )
    names = {
        event_type.event_class.__name__ for event_type in list_event_types()
    } - USED_INDIRECTLY
    assert [name for name in sorted(names) if f"{name}(" not in text] == []


# Classes that are passed as values and instantiated once the result is known.
USED_INDIRECTLY = {"SubmitAnswered", "CancelAnswered", "StateAnswered", "CellLoad"}
