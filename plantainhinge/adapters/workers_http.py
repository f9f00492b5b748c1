"""Client for the workers' API, over HTTP."""

from ..core.messages import (
    AttemptRef,
    AttemptReport,
    RenewLeases,
    StartTask,
    StopTask,
    ThrottleTask,
    WorkerReport,
)
from .http_calls import call
from .http_pool import HttpPool


class HttpWorkerClient:
    """Client for all workers, by address."""

    def __init__(self) -> None:
        self._pool = HttpPool(idle_per_peer=2)

    def start(self, address: str, message: StartTask) -> AttemptReport:
        """Start an attempt; idempotent, returning the report of one already started."""
        return self._call(address, "start", message)

    def renew(self, address: str, message: RenewLeases) -> WorkerReport:
        """Renew leases and return the worker's report of all its attempts."""
        return call(
            self._pool,
            address,
            "POST",
            "/leases/renew",
            step="worker.renew",
            body=message,
            response_type=WorkerReport,
        )

    def checkpoint(self, address: str, message: AttemptRef) -> AttemptReport:
        """Checkpoint the attempt; the report has the name of the checkpoint."""
        return self._call(address, "checkpoint", message)

    def throttle(self, address: str, message: ThrottleTask) -> AttemptReport:
        """Limit the CPU of the attempt."""
        return self._call(address, "throttle", message)

    def stop(self, address: str, message: StopTask) -> AttemptReport:
        """Stop the attempt and report its outcome; the worker keeps a tombstone."""
        return self._call(address, "stop", message)

    def _call(self, address: str, verb: str, message: object) -> AttemptReport:
        return call(
            self._pool,
            address,
            "POST",
            f"/tasks/{verb}",
            step=f"worker.{verb}",
            body=message,
            response_type=AttemptReport,
        )
