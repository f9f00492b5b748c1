"""Back-off from cells that declined a task.

A cell declines a task if it has less free capacity than its last digest showed. The
next digest takes a while to arrive, so offers of the same size are paused meanwhile.
"""

from dataclasses import dataclass, field

from ..core.ids import DomainId, Seconds
from ..core.resources import Resources

INITIAL_PAUSE_SECONDS = 0.25
MAX_PAUSE_SECONDS = 8.0


@dataclass(frozen=True)
class _Pause:
    until: Seconds
    seconds: float


@dataclass
class BackoffTable:
    """Pauses by cell (one per failure domain) and requested resources.

    A pause applies to the requested amount rather than to a task, since the next
    task of the same size would be declined as well.
    """

    _pauses: dict[tuple[DomainId, Resources], _Pause] = field(default_factory=dict)

    def record_decline(self, domain: DomainId, need: Resources, now: Seconds) -> None:
        """Start a pause, of doubled length if the previous one ended recently.

        Recently means less than ``MAX_PAUSE_SECONDS`` ago. A decline during a pause
        answers an offer that was sent before it and doesn't extend the pause.
        """
        previous = self._pauses.get((domain, need))
        if previous is not None and now < previous.until:
            return
        repeated = previous is not None and now < previous.until + MAX_PAUSE_SECONDS
        seconds = INITIAL_PAUSE_SECONDS
        if previous is not None and repeated:
            seconds = min(previous.seconds * 2, MAX_PAUSE_SECONDS)
        self._pauses[domain, need] = _Pause(Seconds(now + seconds), seconds)

    def record_success(self, domain: DomainId, need: Resources) -> None:
        """Remove the pause after an accepted task."""
        self._pauses.pop((domain, need), None)

    def get_remaining_pause(
        self, domain: DomainId, need: Resources, now: Seconds
    ) -> float:
        """Return the seconds until the cell may be tried again, 0 if it may be now."""
        pause = self._pauses.get((domain, need))
        return max(0.0, pause.until - now) if pause else 0.0

    def expire(self, now: Seconds) -> None:
        """Remove pauses that ended ``MAX_PAUSE_SECONDS`` ago or earlier."""
        self._pauses = {
            key: pause
            for key, pause in self._pauses.items()
            if now < pause.until + MAX_PAUSE_SECONDS
        }
