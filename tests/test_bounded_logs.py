"""Tests of rate-limited logging that never blocks the process."""

import io
import json
import logging
import os
import threading
import time

import pytest

from plantainhinge.daemons.bounded_logs import (
    QUEUE_LINES,
    WINDOWS_MAX,
    LineBudget,
    open_bounded_logs,
)


@pytest.fixture(autouse=True)
def restore_logging():
    root = logging.getLogger()
    handlers, level = root.handlers[:], root.level
    yield
    root.handlers[:], root.level = handlers, level


def make_record(message, *, created, level=logging.INFO, **fields):
    record = logging.LogRecord("n", level, "p", 1, message, None, None)
    record.created = created
    for name, value in fields.items():
        setattr(record, name, value)
    return record


def test_each_line_is_one_json_object_with_the_identity():
    output = io.StringIO()
    with open_bounded_logs({"instance": "i"}, output=output):
        logging.getLogger("x").info("hello", extra={"job": "j"})
    line = json.loads(output.getvalue())
    assert (line["instance"], line["message"], line["job"]) == ("i", "hello", "j")


def test_a_flood_of_one_message_does_not_limit_others():
    budget = LineBudget(per_second=3)
    flood = [budget.filter(make_record("a", created=0.1)) for _ in range(10)]
    assert flood == [True] * 3 + [False] * 7
    assert budget.filter(make_record("b", created=0.2))


def test_the_next_line_carries_the_number_of_suppressed_lines():
    budget = LineBudget(per_second=1)
    for _ in range(5):
        budget.filter(make_record("a", created=0.1))
    record = make_record("a", created=1.2)
    assert budget.filter(record)
    assert record.left_out == 4


def test_warnings_and_refusals_have_a_higher_limit_of_their_own():
    budget = LineBudget(per_second=1, important_per_second=3)
    budget.filter(make_record("submit", created=0.1))
    assert not budget.filter(make_record("submit", created=0.1, outcome="done"))
    assert budget.filter(make_record("submit", created=0.1, outcome="refused"))
    assert budget.filter(make_record("submit", created=0.1, level=logging.WARNING))
    refused = [
        budget.filter(make_record("submit", created=0.2, outcome="refused"))
        for _ in range(3)
    ]
    assert refused == [True, False, False]
    record = make_record("submit", created=1.3, outcome="refused")
    assert budget.filter(record)
    assert record.left_out == 2


def test_messages_that_are_all_different_take_no_memory():
    budget = LineBudget()
    for index in range(3 * WINDOWS_MAX):
        assert budget.filter(make_record(f"line {index}", created=0.1))
    assert len(budget._windows) <= WINDOWS_MAX


def test_an_output_that_nobody_reads_does_not_block():
    reading, writing = os.pipe()
    with (
        os.fdopen(writing, "w") as output,
        open_bounded_logs({"instance": "i"}, output=output) as handler,
    ):
        started = time.monotonic()
        for index in range(3 * QUEUE_LINES):
            logging.getLogger("x").warning(f"line {index}", extra={"job": "j"})
        elapsed = time.monotonic() - started
        dropped = handler.dropped
        drain = threading.Thread(target=_drain, args=(reading,))
        drain.start()
    drain.join(5)
    assert dropped > 0
    assert elapsed < 5


def _drain(descriptor):
    while os.read(descriptor, 1 << 16):
        continue
