"""A returning domain gets assignments at a bounded, growing rate."""

from itertools import pairwise

from hypothesis import given, strategies as st

from plantainhinge.placement.ramp import RampLimits, RampTable, count_allowed

LIMITS = RampLimits()


def fill(table, now):
    taken = 0
    while table.allows_assignment("d", now) and taken < 10_000:
        table.record_assignment("d")
        taken += 1
    return taken


@given(st.lists(st.floats(0.01, 3.0), min_size=1, max_size=20))
def test_no_ramp_allows_more_than_its_integral(steps):
    table = RampTable(LIMITS)
    table.update(["d"], 0.0)
    now, total = 0.0, 0
    for step in steps:
        now += step
        if now >= LIMITS.ramp_seconds:
            return
        total += fill(table, now)
        assert total <= 1 + count_allowed(LIMITS, now) + 1


def test_the_rate_grows_and_the_limit_ends():
    table = RampTable(LIMITS)
    table.update(["d"], 0.0)
    counts = [fill(table, float(second)) for second in range(0, 35, 5)]
    assert counts[0] == 1
    assert all(later > earlier for earlier, later in pairwise(counts))
    assert fill(table, LIMITS.ramp_seconds) == 10_000


def test_the_ramp_restarts_after_the_domain_went_out_again():
    table = RampTable(LIMITS)
    table.update(["d"], 0.0)
    fill(table, 20.0)
    table.update([], 21.0)
    assert not table.allows_assignment("d", 21.0)
    table.update(["d"], 22.0)
    assert fill(table, 22.0) == 1
