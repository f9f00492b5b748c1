"""Back-off from cells that declined a task.

A cell declines what its published digest made look possible, and the digest takes
a while to catch up.
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
    """Pauses by cell and requested resources.

    A pause applies to the requested amount rather than to a task, since the next
    task of the same size would be declined as well.
    """

    _pauses: dict[tuple[DomainId, Resources], _Pause] = field(default_factory=dict)

    def record_decline(self, domain: DomainId, need: Resources, now: Seconds) -> None:
        """Start a pause, or double it if the previous one ended recently.

        Declines during a pause answer offers sent before it and don't extend it.
        """
        known = self._pauses.get((domain, need))
        if known is not None and now < known.until:
            return
        repeated = known is not None and now < known.until + MAX_PAUSE_SECONDS
        seconds = INITIAL_PAUSE_SECONDS
        if known is not None and repeated:
            seconds = min(known.seconds * 2, MAX_PAUSE_SECONDS)
        self._pauses[domain, need] = _Pause(Seconds(now + seconds), seconds)

    def record_success(self, domain: DomainId, need: Resources) -> None:
        """Remove the pause after an accepted task."""
        self._pauses.pop((domain, need), None)

    def get_remaining_pause(
        self, domain: DomainId, need: Resources, now: Seconds
    ) -> float:
        """Return the seconds until the cell may be tried again, 0 if it may be now."""
        known = self._pauses.get((domain, need))
        return max(0.0, known.until - now) if known else 0.0

    def expire(self, now: Seconds) -> None:
        """Remove pauses that ended ``MAX_PAUSE_SECONDS`` ago or earlier."""
        self._pauses = {
            key: pause
            for key, pause in self._pauses.items()
            if now < pause.until + MAX_PAUSE_SECONDS
        }
