"""Idempotency keys as callers make them: UUIDs of version 7 (RFC 9562)."""

import random
import uuid

MS_PER_SECOND = 1000


def make_key(unix_seconds: float, *, rng: random.Random | None = None) -> str:
    """Return a key with the given creation time, in seconds since the Unix epoch.

    ``rng`` is the source of the random bits; by default the system's.
    """
    bits = (rng or random.SystemRandom()).getrandbits(80)
    value = int(unix_seconds * MS_PER_SECOND) << 80 | bits
    value = value & ~(0xF << 76) | 0x7 << 76
    value = value & ~(0x3 << 62) | 0x2 << 62
    return str(uuid.UUID(int=value))
