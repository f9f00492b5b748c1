"""Workspaces by the digests of their keys.

Keys are secrets: only their digests are kept, logged nowhere, and compared.
"""

import hashlib
from collections import Counter
from collections.abc import Iterable

from ..core.errors import BadInputError
from .operator import Workspace

STEP = "workspaces.check"


def digest_key(key: str) -> bytes:
    """Return the digest of a key.

    Keys are long random strings, so the digest needs no salt.
    """
    return hashlib.sha256(key.encode("utf-8", "surrogatepass")).digest()


class Credentials:
    """Finds the workspace to which a key belongs.

    A lookup by digest tells an attacker nothing about a key by its duration.
    """

    def __init__(self, workspaces: Iterable[Workspace]) -> None:
        self._owners = {
            digest: workspace
            for workspace in workspaces
            for digest in workspace.key_digests
        }

    def find(self, digest: bytes) -> Workspace | None:
        """Return the workspace of a key, or None if no workspace has it."""
        return self._owners.get(digest)


def check_workspaces(workspaces: Iterable[Workspace]) -> None:
    """Check that no name and no key occurs twice.

    Raises
    ------
    BadInputError
        If one does; the message names the workspaces but no key.
    """
    names = Counter(workspace.name for workspace in workspaces)
    twice = sorted(name for name, count in names.items() if count > 1)
    if twice:
        raise BadInputError(f"workspaces {twice} are defined twice", step=STEP)
    owners: dict[bytes, Workspace] = {}
    for workspace in workspaces:
        for digest in workspace.key_digests:
            other = owners.setdefault(digest, workspace)
            if other is not workspace:
                raise BadInputError(
                    f"workspaces {other.name!r} and {workspace.name!r} share a key",
                    step=STEP,
                )
