"""Ejection, probing and ramp-up of targets, with time passed in by the tests."""

import itertools

import pytest
from hypothesis import given, strategies as st

from plantainhinge.core.messages import Target
from plantainhinge.routing.ejection import (
    EJECTION_SECONDS_MAX,
    EJECTIONS,
    FAILURES_TO_EJECT,
    RAMP_SECONDS,
    list_available,
    record_success,
)
from plantainhinge.routing.targets import TargetRow, TargetTable

from .test_request_runner import list_targets

eject = EJECTIONS.find("consecutive")


def make_rows(count):
    return [TargetRow(target) for target in list_targets(count)]


def find_available(rows, now, *, max_in_flight=8):
    return list_available(
        rows, max_in_flight=max_in_flight, max_connections=64, batch=False, now=now
    )


def fail_until_ejected(row, now):
    for _ in range(FAILURES_TO_EJECT):
        eject(row, now, 0.5)


def test_a_failing_target_is_ejected_probed_once_and_ramped_up():
    rows = make_rows(4)
    failing = rows[0]
    fail_until_ejected(failing, 0.0)
    assert failing not in find_available(rows, 0.5)
    assert failing in find_available(rows, 1.5)
    failing.in_flight = 1
    assert failing not in find_available(rows, 1.5)
    record_success(failing, 1.6)
    assert failing not in find_available(rows, 1.7)
    failing.in_flight = 0
    assert failing in find_available(rows, 1.7)
    failing.in_flight = 5
    assert failing not in find_available(rows, 1.6 + RAMP_SECONDS / 2)
    assert failing in find_available(rows, 1.6 + RAMP_SECONDS)


@given(st.integers(0, 30), st.floats(0.0, 0.999))
def test_each_failed_probe_doubles_the_wait_up_to_a_bound(probes, draw):
    row = make_rows(1)[0]
    fail_until_ejected(row, 0.0)
    waits = []
    for _ in range(probes):
        now = row.ejected_until
        eject(row, now, draw)
        waits.append(row.ejected_until - now)
    longest = EJECTION_SECONDS_MAX * (0.5 + draw)
    for wait, next_wait in itertools.pairwise(waits):
        assert next_wait == pytest.approx(min(2 * wait, longest))


@given(st.integers(1, 12), st.integers(0, 12))
def test_a_fault_common_to_most_targets_ejects_none(count, failing):
    rows = make_rows(count)
    for row in rows[:failing]:
        fail_until_ejected(row, 0.0)
    assert len(find_available(rows, 0.1)) * 2 >= count


def test_targets_added_later_are_ramped_up_but_the_first_ones_are_not():
    table = TargetTable("d")
    first, later = list_targets(2)
    table.replace("s", "d", [first], now=0.0)
    table.replace("s", "d", [first, later], now=100.0)
    old, new = table.services["s"].targets.values()
    assert (old.ramp_started_at, new.ramp_started_at) == (None, 100.0)
    moved = Target(
        target="t1",
        service="s",
        address="b",
        domain="d",
        rack="r",
        worker="w1",
        leaving=True,
    )
    table.replace("s", "d", [first, moved], now=101.0)
    assert [row.target.target for row in table.list_serving("s", ["d"])] == ["t0"]
