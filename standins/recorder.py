"""Recorder of the attempts and requests that ran on one worker.

Tests check guarantees against these records, which don't depend on the state of the
system under test. All times are read from the clock of the worker's process.
"""

import threading
import time

import msgspec

from plantainhinge.core.messages import StartTask
from plantainhinge.core.states import AttemptOutcome


class RecordedAttempt(msgspec.Struct, kw_only=True):
    """One attempt that a worker started.

    Parameters
    ----------
    started_at, ended_at : float
        Seconds since the Unix epoch; ``ended_at`` is None while it runs.
    """

    task: str
    attempt: int
    worker: str
    service: str
    started_at: float
    checkpoint: str = ""
    ended_at: float | None = None
    outcome: AttemptOutcome | None = None


class RecordedRequest(msgspec.Struct, frozen=True, kw_only=True):
    """One request that a target executed."""

    request: str
    method: str
    path: str
    target: str
    at: float


class RecorderReport(msgspec.Struct, kw_only=True):
    """All records of one worker, with its current time."""

    worker: str
    now: float
    attempts: list[RecordedAttempt]
    requests: list[RecordedRequest]


class Recorder:
    """Records attempts and requests on one worker; thread-safe."""

    def __init__(self, worker: str) -> None:
        self.worker = worker
        self._attempts: dict[tuple[str, int], RecordedAttempt] = {}
        self._requests: list[RecordedRequest] = []
        self._lock = threading.Lock()

    def record_start(self, start: StartTask) -> None:
        """Record the start of an attempt."""
        with self._lock:
            self._attempts[(start.task, start.attempt)] = RecordedAttempt(
                task=start.task,
                attempt=start.attempt,
                worker=self.worker,
                service=start.service,
                started_at=time.time(),
                checkpoint=start.checkpoint,
            )

    def record_end(
        self, task: str, attempt: int, outcome: AttemptOutcome, *, ended_at: float
    ) -> None:
        """Record the end of an attempt; unknown attempts are ignored."""
        with self._lock:
            recorded = self._attempts.get((task, attempt))
            if recorded is not None:
                recorded.ended_at = ended_at
                recorded.outcome = outcome

    def record_request(self, request: str, method: str, path: str, target: str) -> None:
        """Record that a target executed a request."""
        recorded = RecordedRequest(
            request=request, method=method, path=path, target=target, at=time.time()
        )
        with self._lock:
            self._requests.append(recorded)

    def report(self) -> RecorderReport:
        """Return all records so far."""
        with self._lock:
            return RecorderReport(
                worker=self.worker,
                now=time.time(),
                attempts=list(self._attempts.values()),
                requests=list(self._requests),
            )
