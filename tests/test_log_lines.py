"""The timeline of one request, from the logs of all instances."""

import json

import pytest
from hypothesis import given, strategies as st

from plantainhinge.cli.log_lines import (
    SITE_MESSAGES,
    WORKER_MESSAGES,
    parse_line,
    read_lines,
    select_lines,
)
from plantainhinge.cli.main import main
from plantainhinge.core.errors import BadInputError
from plantainhinge.core.log_events import LOG_EVENT_TYPES
from tools.log_page import EVENT_MODULES

assert EVENT_MODULES


def write_line(second, message, instance="entry-1", **fields):
    line = {
        "asctime": f"2026-12-04 10:00:{second:06.3f}".replace(".", ","),
        "levelname": "INFO",
        "name": "x",
        "instance": instance,
        "message": message,
    }
    return json.dumps(line | fields)


@pytest.fixture
def logs(tmp_path):
    """Logs of two instances; job j ran on w1, which then became unreachable."""
    first = [
        write_line(10, "submit", job="j", outcome="done"),
        write_line(10.2, "submit", job="k", outcome="done"),
        write_line(50, "log lost", cause="much later"),
    ]
    second = [
        "starting up",
        write_line(10.1, "step placed", "entry-2", job="j", workers=["w1"]),
        write_line(11, "worker out of touch", "entry-2", worker="w1"),
        write_line(11, "worker out of touch", "entry-2", worker="w2"),
        write_line(12, "attempt ended", "entry-2", task="j.0.0.1", worker="w1"),
        write_line(9, "cell owned", "entry-2", epoch=3),
        write_line(13, "attempts paced", "entry-2", worker="w1", tasks=["j.0.0.2"]),
        "{broken",
    ]
    paths = [tmp_path / "1.log", tmp_path / "2.log"]
    for path, lines in zip(paths, (first, second), strict=True):
        path.write_text("\n".join(lines))
    return [str(path) for path in paths]


def test_a_request_is_explained_by_its_own_lines_and_those_around_it(logs):
    lines = select_lines(read_lines(logs), "j")
    assert [line.message for line in lines] == [
        "cell owned",
        "submit",
        "step placed",
        "worker out of touch",
        "attempt ended",
        "attempts paced",
    ]
    assert {line.fields.get("worker") for line in lines if "worker" in line.fields} == {
        "w1"
    }


def test_an_unknown_subject_has_no_lines(logs):
    assert select_lines(read_lines(logs), "nobody") == []


def test_a_prefix_of_a_log_collector_is_skipped():
    line = parse_line("12.5 entry-1 | " + write_line(1, "submit", job="j"))
    assert line.message == "submit"
    assert line.mentions("j")


@given(st.text())
def test_any_text_is_a_line_or_none(text):
    parse_line(text)


@given(st.recursive(st.none() | st.integers() | st.text(), st.lists))
def test_any_value_is_a_line_or_none(value):
    parse_line(json.dumps({"asctime": value, "message": value}))


def test_a_file_that_is_missing_is_named(tmp_path):
    with pytest.raises(BadInputError, match="missing"):
        list(read_lines([str(tmp_path / "missing.log")]))


def test_the_selected_messages_are_registered_log_events():
    assert set(LOG_EVENT_TYPES) >= SITE_MESSAGES | WORKER_MESSAGES


def test_the_command_prints_one_line_per_event(logs, capsys):
    assert main(["timeline", "j", "--logs", *logs]) == 0
    output = capsys.readouterr().out.splitlines()
    assert len(output) == 6
    assert output[1].startswith("2026-12-04 10:00:10.000 entry-1")
    assert "outcome=done" in output[1]


def test_the_command_needs_a_source():
    assert main(["timeline", "j"]) == 2
