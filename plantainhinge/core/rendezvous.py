"""Rendezvous hashing: who ranks first for a key, agreed without a message.

Thaler and Ravishankar (1998): a member that joins or leaves moves only the keys
that it gains or held.
"""

import hashlib
from collections.abc import Iterable
from typing import TypeVar

MemberT = TypeVar("MemberT", bound=str)

DIGEST_BYTES = 8


def rank_by_rendezvous(key: str, members: Iterable[MemberT]) -> list[MemberT]:
    """Return the members by highest random weight for a key, heaviest first."""
    return sorted(
        members, key=lambda member: _compute_weight(key, member), reverse=True
    )


def _compute_weight(key: str, member: str) -> bytes:
    digest = hashlib.blake2b(f"{key}|{member}".encode(), digest_size=DIGEST_BYTES)
    return digest.digest()
