"""The ring buffers of events and their hybrid logical clock."""

import time_machine
from hypothesis import given, strategies as st

from plantainhinge.core.events import EventRing, Stamp
from plantainhinge.core.ids import ProcessId


def test_routine_events_do_not_displace_others():
    ring = EventRing(ProcessId("p"), size=8)
    ring.add("claim.granted", "r0", key="k")
    for number in range(100):
        ring.add("request.received", f"r{number}", routine=True)
    assert [event.name for event in ring.select("k")] == ["claim.granted"]
    assert len(ring.select()) == 9


@given(st.lists(st.floats(min_value=0, max_value=1e9), min_size=1, max_size=20))
def test_stamps_increase_when_the_wall_clock_steps(walls):
    ring = EventRing(ProcessId("p"))
    for wall in walls:
        with time_machine.travel(wall, tick=False):
            ring.add("e", "s")
    stamps = [event.stamp for event in ring.select()]
    assert stamps == sorted(set(stamps))
    assert len(stamps) == len(walls)


def test_an_effect_is_ordered_after_its_cause_despite_clock_skew():
    ahead, behind = EventRing(ProcessId("a")), EventRing(ProcessId("b"))
    with time_machine.travel(1000.0, tick=False):
        cause = ahead.add("cause", "s")
    with time_machine.travel(900.0, tick=False):
        behind.merge_stamp(cause.stamp)
        effect = behind.add("effect", "s")
    assert cause.stamp < effect.stamp


def test_an_implausible_stamp_does_not_advance_the_clock():
    ring = EventRing(ProcessId("p"))
    with time_machine.travel(1000.0, tick=False):
        for wall in (float("nan"), float("inf"), 1e9, -1.0):
            ring.merge_stamp(Stamp(wall, 0, ProcessId("q")))
        assert ring.add("e", "s").stamp.wall == 1000.0
