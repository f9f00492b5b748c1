"""A stand-in for a worker: runs attempts under leases.

A service replica is a target on a port of its own; a batch attempt takes its
declared time, less what its checkpoint says was done.
"""

import threading
import time
from collections.abc import Callable, Iterable
from contextlib import ExitStack
from dataclasses import dataclass
from typing import Any

import msgspec

from plantainhinge.core.ids import Attempt, TaskId, WorkerId
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

from .target import TargetApplication
from .witness import Witness
from .wsgi import Environ, Problem, respond, serve

START_WINDOW_SECONDS = 5.0
TARGET_THREADS = 16
SWEEP_SECONDS = 0.2


@dataclass
class _Run:
    start: StartTask
    started_at: float
    expires_at: float
    stack: ExitStack
    address: str = ""
    outcome: AttemptOutcome | None = None
    checkpoint: str = ""


class RefusalError(Exception):
    """The worker refuses a call before any effect."""

    def __init__(self, code: str, detail: str) -> None:
        super().__init__(detail)
        self.code = code
        self.detail = detail


class Worker:
    """The attempts of one worker; safe to use from any thread."""

    def __init__(self, name: str, ip: str) -> None:
        self.name = WorkerId(name)
        self.witness = Witness(name)
        self.ip = ip
        self.history: list[tuple[TaskId, Attempt]] = []
        self._runs: dict[tuple[TaskId, Attempt], _Run] = {}
        self._tombstones: dict[tuple[TaskId, Attempt], AttemptOutcome] = {}
        self._epoch = 0
        self._lock = threading.RLock()

    def start(self, message: StartTask) -> AttemptReport:
        """Start an attempt unless it is known, fenced or too old."""
        ref = (message.task, message.attempt)
        with self._lock:
            if ref in self._tombstones:
                return self._describe(ref)
            self._fence(message.cell_epoch)
            if time.monotonic() - message.as_of > START_WINDOW_SECONDS:
                raise RefusalError("stale", "the start is older than the start window")
            if ref not in self._runs:
                self._runs[ref] = self._launch(message)
                self.history.append(ref)
            return self._describe(ref)

    def renew(self, message: RenewLeases) -> WorkerReport:
        """Renew leases and report all attempts."""
        now = time.monotonic()
        with self._lock:
            self._fence(message.cell_epoch)
            self.sweep(now)
            for attempt in message.attempts:
                run = self._runs.get((attempt.task, attempt.attempt))
                if run is not None:
                    run.expires_at = now + message.lease_seconds
            known = [*self._runs, *self._tombstones]
            return WorkerReport(
                worker=self.name, now=now, attempts=[self._describe(r) for r in known]
            )

    def checkpoint(self, message: AttemptRef) -> AttemptReport:
        """Save the attempt's progress."""
        with self._lock:
            ref = (message.task, message.attempt)
            run = self._runs.get(ref)
            if run is not None:
                run.checkpoint = _measure_progress(run, time.monotonic())
            return self._describe(ref)

    def throttle(self, message: ThrottleTask) -> AttemptReport:
        """Accept the limit; this stand-in's attempts do not slow down."""
        with self._lock:
            self._fence(message.cell_epoch)
            return self._describe((message.task, message.attempt))

    def stop(self, message: StopTask) -> AttemptReport:
        """Stop the attempt if it runs, and never start it later."""
        ref = (message.task, message.attempt)
        with self._lock:
            self._fence(message.cell_epoch)
            self.sweep(time.monotonic())
            if ref not in self._tombstones:
                self._end(ref, AttemptOutcome.EVICTED)
            return self._describe(ref)

    def sweep(self, now: float) -> None:
        """End attempts that finished or whose lease ran out."""
        for ref, run in list(self._runs.items()):
            if now >= run.expires_at:
                self._end(ref, AttemptOutcome.LOST)
            elif _is_finished(run, now):
                self._end(ref, AttemptOutcome.FINISHED)

    def run_sweeps(self, stopped: threading.Event) -> None:
        """Sweep until told to stop."""
        while not stopped.wait(SWEEP_SECONDS):
            with self._lock:
                self.sweep(time.monotonic())

    def _fence(self, epoch: int) -> None:
        if epoch < self._epoch:
            raise RefusalError("fenced", f"epoch {epoch} is older than {self._epoch}")
        self._epoch = epoch

    def _launch(self, message: StartTask) -> _Run:
        now = time.monotonic()
        run = _Run(message, now, now + message.lease_seconds, ExitStack())
        run.checkpoint = message.checkpoint
        self.witness.note_start(message)
        run.stack.callback(self._note_end, run)
        if message.service:
            name = f"{message.task}.{message.attempt}"
            port = run.stack.enter_context(
                serve(
                    TargetApplication(name, witness=self.witness),
                    self.ip,
                    0,
                    TARGET_THREADS,
                )
            )
            run.address = f"{self.ip}:{port}"
        return run

    def _end(self, ref: tuple[TaskId, Attempt], outcome: AttemptOutcome) -> None:
        run = self._runs.pop(ref, None)
        self._tombstones[ref] = outcome
        if run is not None:
            self._saved = _measure_progress(run, time.monotonic())
            run.stack.close()

    def _note_end(self, run: _Run) -> None:
        ref = (run.start.task, run.start.attempt)
        outcome = self._describe(ref).outcome
        assert outcome is not None
        overdue = max(0.0, time.monotonic() - run.expires_at)
        self.witness.note_end(*ref, outcome, ended_at=time.time() - overdue)

    def _describe(self, ref: tuple[TaskId, Attempt]) -> AttemptReport:
        run = self._runs.get(ref)
        return AttemptReport(
            task=ref[0],
            attempt=ref[1],
            outcome=self._tombstones.get(ref),
            address=run.address if run else "",
            checkpoint=run.checkpoint if run else "",
        )


def _measure_progress(run: _Run, now: float) -> str:
    done = float(run.start.checkpoint or 0.0)
    return f"{done + now - run.started_at:.3f}"


def _is_finished(run: _Run, now: float) -> bool:
    if run.start.service:
        return False
    return float(_measure_progress(run, now)) >= run.start.run_seconds


class WorkerApplication:
    """The worker's HTTP API."""

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
        """Answer one HTTP request."""
        if environ["PATH_INFO"] == "/witness":
            return respond(start_response, self.worker.witness.report())
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
