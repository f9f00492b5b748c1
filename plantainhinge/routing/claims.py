"""Idempotency keys, and the outbox of messages that finish claims.

A gateway claims the key of a non-idempotent request at a ledger before it sends
the request. Once the outcome is certain it reports it to the ledger, and repeats
the report until the ledger acknowledges it.
"""

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
RESEND_SECONDS_MAX = 8.0
SENDS_MAX = 12
OUTBOX_MESSAGES_MAX = 10_000


class KeyAge(Enum):
    """Whether a ledger still keeps a claim that was made with a key."""

    RECENT = "recent"
    EXPIRED = "expired"
    FUTURE = "future"


def parse_key_time(key: RequestKey | None) -> float:
    """Return when a key was created, in seconds since the Unix epoch.

    The key is a UUID of version 7 (RFC 9562): its first 48 bits count
    milliseconds.

    Raises
    ------
    BadInputError
        If the key is missing or is not such a UUID.
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


def classify_key_age(key_at: float, wall_now: float) -> KeyAge:
    """Return whether a key is recent enough to be claimed.

    Parameters
    ----------
    key_at, wall_now : float
        When the key was created and the current time, in seconds since the Unix
        epoch.
    """
    if key_at > wall_now + CLOCK_SKEW_SECONDS:
        return KeyAge.FUTURE
    if key_at < wall_now - CLAIM_WINDOW_SECONDS:
        return KeyAge.EXPIRED
    return KeyAge.RECENT


@dataclass
class OutboxEntry:
    """The message that finishes one claim, kept until its ledger acknowledges it."""

    message: FinishClaim
    due_at: Seconds
    send_count: int = 0


@dataclass
class FinishOutbox:
    """Messages that are not acknowledged yet, by idempotency key."""

    entries: dict[RequestKey, OutboxEntry] = field(default_factory=dict)


def enqueue(outbox: FinishOutbox, message: FinishClaim, now: Seconds) -> None:
    """Add a message to send until it is acknowledged; drop the oldest when full."""
    if len(outbox.entries) >= OUTBOX_MESSAGES_MAX:
        del outbox.entries[next(iter(outbox.entries))]
    outbox.entries[message.key] = OutboxEntry(message, now)


def acknowledge(outbox: FinishOutbox, message: FinishClaim) -> None:
    """Remove a message that its ledger has acknowledged."""
    entry = outbox.entries.get(message.key)
    if entry is not None and entry.message.request == message.request:
        del outbox.entries[message.key]


def collect_due(
    outbox: FinishOutbox, now: Seconds, can_send: Callable[[FinishClaim], bool]
) -> list[FinishClaim]:
    """Return the messages to send now, and schedule their next repeats.

    The wait doubles with each repeat. A message is dropped once it was sent
    ``SENDS_MAX`` times without an acknowledgement.

    Parameters
    ----------
    can_send : callable
        Returns whether the ledger of a message has an owner; if it has none, the
        message waits and the attempt is not counted.
    """
    due = []
    for key, entry in list(outbox.entries.items()):
        if now < entry.due_at or not can_send(entry.message):
            continue
        if entry.send_count >= SENDS_MAX:
            del outbox.entries[key]
            continue
        wait = min(RESEND_SECONDS_MAX, FIRST_RESEND_SECONDS * 2**entry.send_count)
        entry.due_at = Seconds(now + wait)
        entry.send_count += 1
        due.append(entry.message)
    return due


def _build_key_error(key: RequestKey, step: str) -> BadInputError:
    return BadInputError(f"Idempotency-Key is {key!r}; valid: a UUIDv7", step=step)
