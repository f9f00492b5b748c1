"""Rendezvous hashing, by which processes agree on owners without communication.

See Thaler and Ravishankar (1998). When a member joins or leaves, only the keys that
it gains or held move.
"""

import hashlib
from collections.abc import Iterable
from typing import TypeVar

MemberT = TypeVar("MemberT", bound=str)

DIGEST_BYTES = 8


def rank_by_rendezvous(key: str, members: Iterable[MemberT]) -> list[MemberT]:
    """Return the members sorted by their hash weight for a key, highest first."""
    return sorted(
        members, key=lambda member: _compute_weight(key, member), reverse=True
    )


def _compute_weight(key: str, member: str) -> bytes:
    digest = hashlib.blake2b(f"{key}|{member}".encode(), digest_size=DIGEST_BYTES)
    return digest.digest()
