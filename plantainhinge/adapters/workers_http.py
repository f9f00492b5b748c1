"""The API of workers over HTTP."""

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
    """All workers, reached by their addresses."""

    def __init__(self) -> None:
        self._pool = HttpPool(idle_per_peer=2)

    def start(self, address: str, message: StartTask) -> AttemptReport:
        """Start an attempt; the same attempt again returns its report."""
        return self._call(address, "start", message)

    def renew(self, address: str, message: RenewLeases) -> WorkerReport:
        """Renew leases and return what the worker knows of all its attempts."""
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
        """Save the attempt's progress and return the checkpoint's name."""
        return self._call(address, "checkpoint", message)

    def throttle(self, address: str, message: ThrottleTask) -> AttemptReport:
        """Limit the attempt's processors."""
        return self._call(address, "throttle", message)

    def stop(self, address: str, message: StopTask) -> AttemptReport:
        """Stop the attempt, leave a tombstone, and return its outcome."""
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
