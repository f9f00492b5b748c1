"""Stand-in for a worker that runs attempts under leases.

An attempt of a service is a target on a port of its own. A batch attempt takes its
declared run time, less the progress in its checkpoint.
"""

import math
import threading
import time
from collections.abc import Callable, Iterable
from contextlib import ExitStack
from dataclasses import dataclass
from typing import Any

import msgspec

from plantainhinge.core.ids import AttemptNumber, TaskId, WorkerId
from plantainhinge.core.messages import (
    AttemptRef,
    AttemptReport,
    RenewLeases,
    StartTask,
    StopTask,
    ThrottleTask,
    WorkerReport,
)
from plantainhinge.core.states import AttemptOutcome
from plantainhinge.ledgers.leases import READING_AGE_SECONDS_MAX, is_stale

from .recorder import Recorder
from .target import Target, serve_target
from .wsgi import Environ, Problem, respond

EXPIRY_CHECK_SECONDS = 0.2
MS_PER_SECOND = 1000

Ref = tuple[TaskId, AttemptNumber]
Clock = Callable[[], float]


@dataclass
class _RunningAttempt:
    start: StartTask
    started_at: float
    expires_at: float
    stack: ExitStack
    address: str = ""
    checkpoint: str = ""
    millicores: int | None = None


@dataclass
class _Tombstone:
    outcome: AttemptOutcome
    checkpoint: str = ""
    forget_at: float | None = None


class RefusalError(Exception):
    """The worker refused a call, which had no effect."""

    def __init__(self, code: str, detail: str) -> None:
        super().__init__(detail)
        self.code = code
        self.detail = detail


class Worker:
    """The attempts of one worker; thread-safe.

    Parameters
    ----------
    clock : callable
        The worker's own clock, in seconds.
    incarnation : int
        Number of the worker's start, which increases; by default the current time.
    """

    def __init__(
        self,
        name: str,
        ip: str,
        *,
        clock: Clock = time.monotonic,
        incarnation: int | None = None,
    ) -> None:
        self.name = WorkerId(name)
        self.recorder = Recorder(name)
        self.ip = ip
        self.history: list[Ref] = []
        self.incarnation = incarnation or int(time.time() * MS_PER_SECOND)
        self._clock = clock
        self._running: dict[Ref, _RunningAttempt] = {}
        self._tombstones: dict[Ref, _Tombstone] = {}
        self._epoch = 0
        self._lock = threading.RLock()

    def start(self, message: StartTask) -> AttemptReport:
        """Start an attempt unless it is already known.

        Raises
        ------
        RefusalError
            If the epoch is fenced, the clock reading is stale or the start is late.
        """
        ref = (message.task, message.attempt)
        with self._lock:
            self._check_epoch(message.cell_epoch)
            if ref in self._tombstones or ref in self._running:
                return self._build_report(ref)
            self._check_reading(message.as_of, message.incarnation)
            if message.start_before and self._clock() >= message.start_before:
                raise RefusalError("stale", "the start is past its limit")
            self._running[ref] = self._launch(message)
            self.history.append(ref)
            return self._build_report(ref)

    def renew(self, message: RenewLeases) -> WorkerReport:
        """Extend leases unless the clock reading is stale, and report all attempts.

        Ends in ``forget`` are no longer reported.
        """
        now = self._clock()
        with self._lock:
            self._check_epoch(message.cell_epoch)
            self.expire(now)
            if not self._is_stale(message.as_of, message.incarnation):
                self._extend_leases(message, now)
            for ref in message.forget:
                self._forget((ref.task, ref.attempt), now)
            return WorkerReport(
                worker=self.name,
                now=now,
                attempts=[
                    self._build_report(ref) for ref in self._list_unacknowledged()
                ],
                incarnation=self.incarnation,
            )

    def checkpoint(self, message: AttemptRef) -> AttemptReport:
        """Save the progress of an attempt as its checkpoint."""
        with self._lock:
            ref = (message.task, message.attempt)
            running = self._running.get(ref)
            if running is not None:
                running.checkpoint = _measure_progress(running, self._clock())
            return self._build_report(ref)

    def throttle(self, message: ThrottleTask) -> AttemptReport:
        """Record the CPU limit; it doesn't slow the stand-in's attempts down."""
        ref = (message.task, message.attempt)
        with self._lock:
            self._check_epoch(message.cell_epoch)
            self._check_reading(message.as_of, message.incarnation)
            if ref in self._running:
                self._running[ref].millicores = message.millicores
            return self._build_report(ref)

    def stop(self, message: StopTask) -> AttemptReport:
        """Stop an attempt, and prevent a start that arrives later."""
        ref = (message.task, message.attempt)
        with self._lock:
            self._check_epoch(message.cell_epoch)
            self.expire(self._clock())
            if ref not in self._tombstones:
                self._end(ref, AttemptOutcome.EVICTED, self._clock())
            return self._build_report(ref)

    def list_running(self) -> list[Ref]:
        """Return the attempts that are running."""
        with self._lock:
            self.expire(self._clock())
            return list(self._running)

    def expire(self, now: float) -> None:
        """End attempts that finished or lost their lease, and drop old tombstones."""
        for ref, running in list(self._running.items()):
            finishes_at = _compute_finish_time(running)
            if finishes_at <= min(now, running.expires_at):
                self._end(ref, AttemptOutcome.FINISHED, finishes_at)
            elif now >= running.expires_at:
                self._end(ref, AttemptOutcome.LOST, running.expires_at)
        for ref, tombstone in list(self._tombstones.items()):
            if tombstone.forget_at is not None and now >= tombstone.forget_at:
                del self._tombstones[ref]

    def run_expiry(self, stopped: threading.Event) -> None:
        """Call ``expire`` periodically until ``stopped`` is set."""
        while not stopped.wait(EXPIRY_CHECK_SECONDS):
            with self._lock:
                self.expire(self._clock())

    def _check_epoch(self, epoch: int) -> None:
        if epoch < self._epoch:
            raise RefusalError("fenced", f"epoch {epoch} is older than {self._epoch}")
        self._epoch = epoch

    def _is_stale(self, as_of: float, incarnation: int) -> bool:
        return is_stale(
            as_of, incarnation, clock=self._clock(), current=self.incarnation
        )

    def _check_reading(self, as_of: float, incarnation: int) -> None:
        if self._is_stale(as_of, incarnation):
            raise RefusalError("stale", "the reading is older than the start window")

    def _extend_leases(self, message: RenewLeases, now: float) -> None:
        for attempt in message.attempts:
            running = self._running.get((attempt.task, attempt.attempt))
            if running is not None:
                running.expires_at = now + message.lease_seconds

    def _forget(self, ref: Ref, now: float) -> None:
        tombstone = self._tombstones.get(ref)
        if tombstone is not None and tombstone.forget_at is None:
            tombstone.forget_at = now + READING_AGE_SECONDS_MAX

    def _list_unacknowledged(self) -> list[Ref]:
        ended = [ref for ref, t in self._tombstones.items() if t.forget_at is None]
        return [*self._running, *ended]

    def _launch(self, message: StartTask) -> _RunningAttempt:
        now = self._clock()
        running = _RunningAttempt(
            message, now, now + message.lease_seconds, ExitStack()
        )
        running.checkpoint = message.checkpoint
        self.recorder.record_start(message)
        running.stack.callback(self._record_end, running)
        if message.service:
            name = f"{message.task}.{message.attempt}"
            target = Target(name, recorder=self.recorder)
            running.address = running.stack.enter_context(serve_target(target, self.ip))
        return running

    def _end(self, ref: Ref, outcome: AttemptOutcome, ended_at: float) -> None:
        running = self._running.pop(ref, None)
        tombstone = _Tombstone(outcome)
        self._tombstones[ref] = tombstone
        if running is not None:
            if not running.start.service:
                tombstone.checkpoint = _measure_progress(running, ended_at)
            running.stack.close()

    def _record_end(self, running: _RunningAttempt) -> None:
        ref = (running.start.task, running.start.attempt)
        outcome = self._build_report(ref).outcome
        assert outcome is not None
        overdue = max(0.0, self._clock() - running.expires_at)
        self.recorder.record_end(*ref, outcome, ended_at=time.time() - overdue)

    def _build_report(self, ref: Ref) -> AttemptReport:
        running = self._running.get(ref)
        tombstone = self._tombstones.get(ref)
        known = running or tombstone
        return AttemptReport(
            task=ref[0],
            attempt=ref[1],
            outcome=tombstone.outcome if tombstone else None,
            address=running.address if running else "",
            checkpoint=known.checkpoint if known else "",
            limit=(running.millicores or 0) if running else 0,
        )


def _measure_progress(running: _RunningAttempt, now: float) -> str:
    progress_seconds = float(running.start.checkpoint or 0.0)
    return f"{progress_seconds + now - running.started_at:.3f}"


def _compute_finish_time(running: _RunningAttempt) -> float:
    if running.start.service:
        return math.inf
    progress_seconds = float(running.start.checkpoint or 0.0)
    return running.started_at + running.start.run_seconds - progress_seconds


class WorkerApplication:
    """WSGI application of a worker."""

    def __init__(self, worker: Worker) -> None:
        self.worker = worker
        self._routes: dict[str, tuple[type, Callable[[Any], object]]] = {
            "/tasks/start": (StartTask, worker.start),
            "/tasks/checkpoint": (AttemptRef, worker.checkpoint),
            "/tasks/throttle": (ThrottleTask, worker.throttle),
            "/tasks/stop": (StopTask, worker.stop),
            "/leases/renew": (RenewLeases, worker.renew),
        }

    def __call__(
        self, environ: Environ, start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Handle one HTTP request."""
        if environ["PATH_INFO"] == "/witness":
            return respond(start_response, self.worker.recorder.report())
        route = self._routes.get(environ["PATH_INFO"])
        if route is None:
            problem = Problem(code="not-found", detail="no such path")
            return respond(start_response, problem, status=404)
        message_type, handle = route
        try:
            body = environ["wsgi.input"].read()
            message: object = msgspec.json.decode(body, type=message_type)
            return respond(start_response, handle(message))
        except msgspec.MsgspecError as error:
            problem = Problem(code="bad-input", detail=str(error))
            return respond(start_response, problem, status=400)
        except RefusalError as error:
            problem = Problem(code=error.code, detail=error.detail)
            return respond(start_response, problem, status=409)
