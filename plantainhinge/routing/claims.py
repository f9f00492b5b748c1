"""Keys of non-idempotent requests and the repetition of their last message."""

import uuid
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from ..core.claims import CLAIM_WINDOW_SECONDS
from ..core.errors import BadInputError
from ..core.ids import RequestKey, Seconds
from ..core.messages import FinishClaim

UUID_VERSION = 7
CLOCK_SKEW_SECONDS = 5.0
FIRST_RESEND_SECONDS = 0.5
MAX_RESEND_SECONDS = 8.0
SENDS_MAX = 12
OUTBOX_MAX_MESSAGES = 10_000


class KeyAge(Enum):
    """Whether a ledger can still know what became of a key."""

    RECENT = "recent"
    EXPIRED = "expired"
    FUTURE = "future"


def parse_key_time(key: RequestKey | None) -> float:
    """Return when a key was made, in seconds since the Unix epoch.

    The key is a UUID of version 7 (RFC 9562): its first 48 bits count
    milliseconds.

    Raises
    ------
    BadInputError
        If the key is missing or no such UUID.
    """
    step = "request.check"
    if key is None:
        raise BadInputError(
            "header Idempotency-Key is missing; valid: a UUIDv7", step=step
        )
    try:
        value = uuid.UUID(key)
    except ValueError as error:
        raise _build_key_error(key, step) from error
    if value.version != UUID_VERSION or str(value) != key.lower():
        raise _build_key_error(key, step)
    return (value.int >> 80) / 1000


def classify_key_age(key_at: float, wall: float) -> KeyAge:
    """Return whether a key is recent enough to be claimed.

    Parameters
    ----------
    key_at, wall : float
        When the key was made and the time now, in seconds since the Unix epoch.
    """
    if key_at > wall + CLOCK_SKEW_SECONDS:
        return KeyAge.FUTURE
    if key_at < wall - CLAIM_WINDOW_SECONDS:
        return KeyAge.EXPIRED
    return KeyAge.RECENT


@dataclass
class OutboxEntry:
    """The last message about one claim, until its ledger has acknowledged it."""

    message: FinishClaim
    due_at: Seconds
    sent: int = 0


@dataclass
class FinishOutbox:
    """Messages to repeat, by key."""

    entries: dict[RequestKey, OutboxEntry] = field(default_factory=dict)


def enqueue(table: FinishOutbox, message: FinishClaim, now: Seconds) -> None:
    """Have a message sent until it is acknowledged; the oldest give way."""
    if len(table.entries) >= OUTBOX_MAX_MESSAGES:
        del table.entries[next(iter(table.entries))]
    table.entries[message.key] = OutboxEntry(message, now)


def acknowledge(table: FinishOutbox, message: FinishClaim) -> None:
    """Forget a message that has arrived."""
    row = table.entries.get(message.key)
    if row is not None and row.message.request == message.request:
        del table.entries[message.key]


def collect_due(
    table: FinishOutbox, now: Seconds, can_send: Callable[[FinishClaim], bool]
) -> list[FinishClaim]:
    """Return the messages to send now; each repeat doubles the wait for the next.

    Parameters
    ----------
    can_send : callable
        Whether the ledger of a message has an owner; if not, it waits unsent.
    """
    due = []
    for key, row in list(table.entries.items()):
        if now < row.due_at or not can_send(row.message):
            continue
        if row.sent >= SENDS_MAX:
            del table.entries[key]
            continue
        wait = min(MAX_RESEND_SECONDS, FIRST_RESEND_SECONDS * 2**row.sent)
        row.due_at = Seconds(now + wait)
        row.sent += 1
        due.append(row.message)
    return due


def _build_key_error(key: RequestKey, step: str) -> BadInputError:
    return BadInputError(f"Idempotency-Key is {key!r}; valid: a UUIDv7", step=step)
