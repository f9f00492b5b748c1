"""What every worker promises, in memory and over HTTP."""

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


class Bench:
    """A worker on a paused clock, called by one of the clients."""

    def __init__(self, over_http):
        self.now = 1000.0
        self.over_http = over_http
        self.worker = Worker("w", "127.0.0.1", clock=lambda: self.now, incarnation=7)

    @contextmanager
    def open(self):
        if not self.over_http:
            self.client, self.address = _Direct(self.worker), ""
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


class _Direct:
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
def bench(request):
    with Bench(request.param).open() as opened:
        yield opened


def test_a_start_again_returns_the_same_attempt(bench):
    assert bench.start().outcome is None
    assert bench.start().outcome is None
    assert bench.worker.history == [("t", 1)]


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
def test_a_stale_or_fenced_start_is_refused(bench, message):
    bench.renew(epoch=1)
    with pytest.raises(BadInputError):
        bench.start(**message)
    assert bench.worker.history == []


def test_a_stop_leaves_a_tombstone_that_outlasts_forgetting_by_the_window(bench):
    sent_at = bench.now
    assert bench.stop().outcome is AttemptOutcome.EVICTED
    assert len(bench.renew().attempts) == 1
    assert len(bench.renew(forget=[REF]).attempts) == 0
    bench.now += READING_AGE_SECONDS_MAX - 1.0
    assert bench.renew().attempts == []
    assert bench.start(as_of=sent_at).outcome is AttemptOutcome.EVICTED
    bench.now += 2.0
    bench.renew()
    with pytest.raises(BadInputError):
        bench.start(as_of=sent_at)


def test_an_ended_attempt_is_reported_until_forgotten(bench):
    bench.start()
    for _ in range(12):
        bench.now += 10.0
        report = bench.renew()
    assert report.attempts[0].outcome is AttemptOutcome.FINISHED
    assert bench.renew().attempts[0].outcome is AttemptOutcome.FINISHED


def test_a_lease_that_is_not_renewed_ends_with_its_progress(bench):
    bench.start(checkpoint="20.0")
    bench.now += LEASE_SECONDS + 30.0
    report = bench.renew().attempts[0]
    assert report.outcome is AttemptOutcome.LOST
    assert float(report.checkpoint) == 20.0 + LEASE_SECONDS


@pytest.mark.parametrize("stale", [{"as_of": 900.0}, {"incarnation": 6}])
def test_a_stale_renewal_reports_and_renews_nothing(bench, stale):
    bench.start()
    bench.now += LEASE_SECONDS - 1.0
    assert len(bench.renew(**stale).attempts) == 1
    bench.now += 2.0
    assert bench.renew().attempts[0].outcome is AttemptOutcome.LOST


def test_a_renewal_fences_older_epochs(bench):
    bench.start(epoch=1)
    bench.renew(epoch=2)
    for call in (bench.stop, bench.renew, bench.start):
        with pytest.raises(BadInputError):
            call(epoch=1)
    assert bench.worker.list_running() == [("t", 1)]


def test_a_stale_throttle_is_refused(bench):
    bench.start()
    bench.throttle(as_of=bench.now)
    with pytest.raises(BadInputError):
        bench.throttle(as_of=bench.now - READING_AGE_SECONDS_MAX - 1.0)
