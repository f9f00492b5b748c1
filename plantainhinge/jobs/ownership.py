"""Who owns a cell: one instance under an epoch that only grows.

The record of the owner changes by conditional append only, so of two that try at
once one wins. The group of live instances merely says when a change is due.
"""

from collections.abc import Collection

import msgspec

from ..core.ids import Epoch, InstanceId
from ..core.packing import unpack_record

OWNER_KEY = "owner"


class OwnerRecord(msgspec.Struct, frozen=True):
    """The owner of the cell.

    Parameters
    ----------
    instance : InstanceId
        Empty after an owner gave the cell up.
    life : str
        Names one process of that instance.
    """

    epoch: Epoch
    instance: InstanceId
    life: str


def encode_owner(record: OwnerRecord) -> bytes:
    """Return the record's value in the log."""
    return msgspec.msgpack.encode(record)


def decode_owner(value: bytes) -> OwnerRecord:
    """Return the record in a value of the log.

    Raises
    ------
    CorruptRecordError
        If it isn't one.
    """
    return unpack_record(value, OwnerRecord, step="ownership.decode")


def should_take_over(
    owner: OwnerRecord | None,
    *,
    me: InstanceId,
    candidate: bool,
    members: Collection[InstanceId],
) -> bool:
    """Return whether this process, which owns nothing now, should claim the cell.

    Parameters
    ----------
    me : InstanceId
        This process's name in the group. A record that names it comes from a claim
        whose answer was lost.
    candidate : bool
        Whether the group names this process as the next owner.
    members : collection of InstanceId
        Processes that the group holds for alive.
    """
    if owner is not None and name_member(owner) == me:
        return True
    if not candidate:
        return False
    return owner is None or not owner.instance or name_member(owner) not in members


def name_member(owner: OwnerRecord) -> InstanceId:
    """Return the name under which the owner's process joined the group."""
    return InstanceId(f"{owner.instance}/{owner.life}")
