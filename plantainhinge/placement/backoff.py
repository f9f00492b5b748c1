"""Back-off from cells that declined, while their digests catch up."""

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
    """Cells that declined an amount of resources, and until when to leave them.

    The pause is kept for the amount and not for the task, since the next task of
    the same size would be declined as well.
    """

    _pauses: dict[tuple[DomainId, Resources], _Pause] = field(default_factory=dict)

    def record_decline(self, domain: DomainId, need: Resources, now: Seconds) -> None:
        """Double the pause, at most once for declines that crossed."""
        known = self._pauses.get((domain, need))
        if known is not None and now < known.until:
            return
        longer = known is not None and now < known.until + MAX_PAUSE_SECONDS
        length = INITIAL_PAUSE_SECONDS
        if known is not None and longer:
            length = min(known.seconds * 2, MAX_PAUSE_SECONDS)
        self._pauses[domain, need] = _Pause(Seconds(now + length), length)

    def record_success(self, domain: DomainId, need: Resources) -> None:
        """Forget the pause."""
        self._pauses.pop((domain, need), None)

    def get_remaining_pause(
        self, domain: DomainId, need: Resources, now: Seconds
    ) -> float:
        """Return the seconds until the cell may be tried again; 0 for now."""
        known = self._pauses.get((domain, need))
        return max(0.0, known.until - now) if known else 0.0

    def expire(self, now: Seconds) -> None:
        """Forget pauses that are long over."""
        self._pauses = {
            key: pause
            for key, pause in self._pauses.items()
            if now < pause.until + MAX_PAUSE_SECONDS
        }
