"""The latest expiry of a lease, checked against the stand-in for workers."""

from contextlib import suppress

import pytest
from hypothesis import given, strategies as st

from plantainhinge.core.ids import Seconds
from plantainhinge.core.messages import AttemptRef, RenewLeases, StartTask
from plantainhinge.core.resources import Resources
from plantainhinge.core.states import TaskClass
from plantainhinge.ledgers.leases import (
    CLOCK_DRIFT_RATIO,
    LEASE_SECONDS,
    READING_AGE_SECONDS_MAX,
    RENEWAL_GRACE_SECONDS,
    ClockReading,
    Takeover,
    compute_latest_expiry,
    compute_start_limit,
    is_newer,
    is_stale,
    may_renew,
)
from standins.worker import RefusalError, Worker

LEASE_LIFETIME = (READING_AGE_SECONDS_MAX + LEASE_SECONDS) * (1 + CLOCK_DRIFT_RATIO)
RENEWAL_GRACE = RENEWAL_GRACE_SECONDS * (1 + CLOCK_DRIFT_RATIO)


@pytest.mark.parametrize(
    ("reading", "takeover", "base"),
    [
        (None, Takeover(100.0, released=True), 100.0),
        (None, Takeover(100.0), 100.0 + RENEWAL_GRACE),
        (None, Takeover(100.0, predecessors_ended_at=130.0), 130.0),
        (None, Takeover(100.0, predecessors_ended_at=90.0), 100.0),
        (
            None,
            Takeover(100.0, predecessors_ended_at=100.0 + 2 * RENEWAL_GRACE),
            100.0 + RENEWAL_GRACE,
        ),
        (ClockReading(1, 7.0, 150.0), Takeover(100.0), 150.0),
        (
            ClockReading(1, 7.0, 150.0),
            Takeover(100.0, predecessors_ended_at=200.0),
            150.0,
        ),
    ],
)
def test_latest_expiry_counts_from_the_newest_reading_any_owner_can_use(
    reading, takeover, base
):
    end = compute_latest_expiry(reading, takeover)
    assert base + LEASE_LIFETIME < end < base + LEASE_LIFETIME + 1.0


@pytest.mark.parametrize(
    ("as_of", "incarnation", "stale"),
    [
        (100.0, 3, False),
        (100.0 - READING_AGE_SECONDS_MAX, 3, False),
        (100.0 - READING_AGE_SECONDS_MAX - 0.01, 3, True),
        (100.0, 2, True),
        (100.0, 4, True),
        (0.0, 0, True),
    ],
)
def test_worker_refuses_old_readings_and_other_incarnations(as_of, incarnation, stale):
    assert is_stale(as_of, incarnation, clock=100.0, current=3) is stale


@pytest.mark.parametrize(
    ("reading", "newer"),
    [
        (None, True),
        (ClockReading(2, 5.0, 0.0), True),
        (ClockReading(2, 6.0, 0.0), False),
        (ClockReading(1, 9.0, 0.0), True),
        (ClockReading(3, 1.0, 0.0), False),
    ],
)
def test_late_report_does_not_replace_a_newer_one(reading, newer):
    assert is_newer(reading, ClockReading(2, 5.5, 1.0)) is newer


def test_renewal_grace_period_ends():
    assert not may_renew(None, Seconds(1.0))
    assert may_renew(Seconds(10.0), Seconds(10.0 + RENEWAL_GRACE_SECONDS - 1))
    assert not may_renew(Seconds(10.0), Seconds(10.0 + RENEWAL_GRACE_SECONDS))


rates = st.floats(1 - CLOCK_DRIFT_RATIO, 1 + CLOCK_DRIFT_RATIO)


@given(rate=rates, lag=st.floats(0, 2), left=st.floats(0, 30))
def test_no_start_is_accepted_past_its_limit_at_any_drift(rate, lag, left):
    """The clock was read up to ``lag`` seconds before the reading was received."""
    reading = ClockReading(1, 50.0, Seconds(100.0))
    limit = compute_start_limit(reading, Seconds(100.0 + left))
    clock_at_deadline = 50.0 + (lag + left) * rate
    assert clock_at_deadline >= limit - 1e-6


class DelayedOwner:
    """A worker, and an owner whose messages arrive late.

    The owner's successor never reaches the worker, so it must rely on the latest
    expiry.
    """

    def __init__(self, rate):
        self.now = 0.0
        self.rate = rate
        self.worker = Worker("w", "", clock=lambda: self.now * rate, incarnation=1)
        self.reading = None
        self.messages = []

    def read(self):
        report = self.worker.renew(self._renewal())
        self.reading = ClockReading(report.incarnation, report.now, self.now)

    def send(self, kind):
        message = self._renewal() if kind == "renew" else self._start()
        self.messages.append(message)

    def deliver(self, index):
        if not self.messages:
            return
        message = self.messages[index % len(self.messages)]
        with suppress(RefusalError):
            if isinstance(message, RenewLeases):
                self.worker.renew(message)
            else:
                self.worker.start(message)

    def _renewal(self):
        reading = self.reading
        return RenewLeases(
            cell_epoch=1,
            lease_seconds=LEASE_SECONDS,
            attempts=[AttemptRef(task="t", attempt=1)],
            as_of=reading.clock if reading else 0.0,
            incarnation=reading.incarnation if reading else 0,
        )

    def _start(self):
        return StartTask(
            task="t",
            attempt=1,
            kind="k",
            task_class=TaskClass.BATCH,
            resources=Resources(),
            cell_epoch=1,
            lease_seconds=LEASE_SECONDS,
            as_of=self.reading.clock if self.reading else 0.0,
            incarnation=1,
            run_seconds=1e9,
        )


steps = st.one_of(
    st.tuples(st.just("advance"), st.floats(0.1, 8.0)),
    st.tuples(st.just("send"), st.sampled_from(["renew", "start"])),
    st.tuples(st.just("deliver"), st.integers(0, 9)),
    st.tuples(st.just("read"), st.none()),
)


@given(
    rate=rates, steps=st.lists(steps, max_size=40), late=st.lists(steps, max_size=40)
)
def test_nothing_runs_past_the_latest_expiry(rate, steps, late):
    """The successor knows that the old owner ended, but old messages still arrive.

    Once the old owner has ended, no new clock reading reaches any message, so
    every attempt must have stopped by the latest expiry.
    """
    site = DelayedOwner(rate)
    for action, argument in steps:
        if action == "advance":
            site.now += argument
        elif action == "read":
            site.read()
        else:
            getattr(site, action)(argument)
    end = compute_latest_expiry(
        None, Takeover(Seconds(site.now), predecessors_ended_at=Seconds(site.now))
    )
    for action, argument in late:
        if action == "advance":
            site.now += argument
        elif action != "read":
            getattr(site, action)(argument)
        assert site.now < end or not site.worker.list_running()
    site.now = max(site.now, end)
    for index in range(len(site.messages)):
        site.deliver(index)
    assert not site.worker.list_running()
