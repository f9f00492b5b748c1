"""Contract of the workers' API, in memory and over HTTP."""

from contextlib import contextmanager

import pytest

from plantainhinge.adapters.workers_http import HttpWorkerClient
from plantainhinge.core.errors import BadInputError
from plantainhinge.core.messages import (
    AttemptRef,
    RenewLeases,
    StartTask,
    StopTask,
    ThrottleTask,
)
from plantainhinge.core.resources import Resources
from plantainhinge.core.states import AttemptOutcome, TaskClass
from plantainhinge.ledgers.leases import LEASE_SECONDS, READING_AGE_SECONDS_MAX
from standins.worker import RefusalError, Worker, WorkerApplication
from standins.wsgi import serve

REF = AttemptRef(task="t", attempt=1)


class WorkerHarness:
    """A worker on a simulated clock, called in memory or over HTTP."""

    def __init__(self, over_http):
        self.now = 1000.0
        self.over_http = over_http
        self.worker = Worker("w", "127.0.0.1", clock=lambda: self.now, incarnation=7)

    @contextmanager
    def open(self):
        if not self.over_http:
            self.client, self.address = _DirectClient(self.worker), ""
            yield self
            return
        with serve(WorkerApplication(self.worker), "127.0.0.1", 0, 2) as port:
            self.client, self.address = HttpWorkerClient(), f"127.0.0.1:{port}"
            yield self

    def start(self, *, epoch=1, as_of=None, incarnation=7, before=0.0, checkpoint=""):
        message = StartTask(
            task="t",
            attempt=1,
            kind="k",
            task_class=TaskClass.BATCH,
            resources=Resources(),
            cell_epoch=epoch,
            lease_seconds=LEASE_SECONDS,
            as_of=self.now if as_of is None else as_of,
            incarnation=incarnation,
            start_before=before,
            checkpoint=checkpoint,
            run_seconds=100.0,
        )
        return self.client.start(self.address, message)

    def renew(self, *, epoch=1, as_of=None, incarnation=7, forget=()):
        message = RenewLeases(
            cell_epoch=epoch,
            lease_seconds=LEASE_SECONDS,
            attempts=[REF],
            as_of=self.now if as_of is None else as_of,
            incarnation=incarnation,
            forget=list(forget),
        )
        return self.client.renew(self.address, message)

    def stop(self, *, epoch=1):
        message = StopTask(task="t", attempt=1, cell_epoch=epoch)
        return self.client.stop(self.address, message)

    def throttle(self, *, as_of):
        message = ThrottleTask(
            task="t",
            attempt=1,
            cell_epoch=1,
            millicores=500,
            as_of=as_of,
            incarnation=7,
        )
        return self.client.throttle(self.address, message)


class _DirectClient:
    def __init__(self, worker):
        self.worker = worker

    def __getattr__(self, verb):
        def call(address, message):
            try:
                return getattr(self.worker, verb)(message)
            except RefusalError as error:
                raise BadInputError(error.detail, step=f"worker.{verb}") from error

        return call


@pytest.fixture(params=[False, True], ids=["memory", "http"])
def harness(request):
    with WorkerHarness(request.param).open() as opened:
        yield opened


def test_a_repeated_start_returns_the_same_attempt(harness):
    assert harness.start().outcome is None
    assert harness.start().outcome is None
    assert harness.worker.history == [("t", 1)]


@pytest.mark.parametrize(
    "message",
    [
        {"as_of": 1000.0 - READING_AGE_SECONDS_MAX - 1.0},
        {"incarnation": 6},
        {"incarnation": 8},
        {"before": 1000.0},
        {"epoch": 0},
    ],
)
def test_a_stale_or_fenced_start_is_refused(harness, message):
    harness.renew(epoch=1)
    with pytest.raises(BadInputError):
        harness.start(**message)
    assert harness.worker.history == []


def test_a_tombstone_is_kept_until_delayed_starts_are_too_old(harness):
    sent_at = harness.now
    assert harness.stop().outcome is AttemptOutcome.EVICTED
    assert len(harness.renew().attempts) == 1
    assert len(harness.renew(forget=[REF]).attempts) == 0
    harness.now += READING_AGE_SECONDS_MAX - 1.0
    assert harness.renew().attempts == []
    assert harness.start(as_of=sent_at).outcome is AttemptOutcome.EVICTED
    harness.now += 2.0
    harness.renew()
    with pytest.raises(BadInputError):
        harness.start(as_of=sent_at)


def test_an_ended_attempt_is_reported_until_forgotten(harness):
    harness.start()
    for _ in range(12):
        harness.now += 10.0
        report = harness.renew()
    assert report.attempts[0].outcome is AttemptOutcome.FINISHED
    assert harness.renew().attempts[0].outcome is AttemptOutcome.FINISHED


def test_a_lease_that_is_not_renewed_ends_the_attempt_with_its_progress(harness):
    harness.start(checkpoint="20.0")
    harness.now += LEASE_SECONDS + 30.0
    report = harness.renew().attempts[0]
    assert report.outcome is AttemptOutcome.LOST
    assert float(report.checkpoint) == 20.0 + LEASE_SECONDS


@pytest.mark.parametrize("stale", [{"as_of": 900.0}, {"incarnation": 6}])
def test_a_stale_renewal_reports_and_renews_nothing(harness, stale):
    harness.start()
    harness.now += LEASE_SECONDS - 1.0
    assert len(harness.renew(**stale).attempts) == 1
    harness.now += 2.0
    assert harness.renew().attempts[0].outcome is AttemptOutcome.LOST


def test_a_renewal_fences_older_epochs(harness):
    harness.start(epoch=1)
    harness.renew(epoch=2)
    for call in (harness.stop, harness.renew, harness.start):
        with pytest.raises(BadInputError):
            call(epoch=1)
    assert harness.worker.list_running() == [("t", 1)]


def test_a_stale_throttle_is_refused(harness):
    harness.start()
    harness.throttle(as_of=harness.now)
    with pytest.raises(BadInputError):
        harness.throttle(as_of=harness.now - READING_AGE_SECONDS_MAX - 1.0)
