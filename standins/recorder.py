"""What a worker and its targets saw happen, with times of their own."""

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
    """One request that a target ran to its end."""

    request: str
    method: str
    path: str
    target: str
    at: float


class RecorderReport(msgspec.Struct, kw_only=True):
    """Everything one worker saw."""

    worker: str
    now: float
    attempts: list[RecordedAttempt]
    requests: list[RecordedRequest]


class Recorder:
    """Notes what happens on one worker; safe to use from any thread."""

    def __init__(self, worker: str) -> None:
        self.worker = worker
        self._attempts: dict[tuple[str, int], RecordedAttempt] = {}
        self._requests: list[RecordedRequest] = []
        self._lock = threading.Lock()

    def record_start(self, start: StartTask) -> None:
        """Note that an attempt started."""
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
        """Note how an attempt that had started ended."""
        with self._lock:
            seen = self._attempts.get((task, attempt))
            if seen is not None:
                seen.ended_at = ended_at
                seen.outcome = outcome

    def record_request(self, request: str, method: str, path: str, target: str) -> None:
        """Note that a target ran a request."""
        seen = RecordedRequest(
            request=request, method=method, path=path, target=target, at=time.time()
        )
        with self._lock:
            self._requests.append(seen)

    def report(self) -> RecorderReport:
        """Return everything seen so far."""
        with self._lock:
            return RecorderReport(
                worker=self.worker,
                now=time.time(),
                attempts=list(self._attempts.values()),
                requests=list(self._requests),
            )
