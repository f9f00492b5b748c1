"""Who owns a cell: one instance under an epoch that only grows.

The record of the owner changes by conditional append only, so of two that try at
once one wins. The group of live processes merely says when a change is due, and for
whom.
"""

from collections.abc import Collection

import msgspec

from ..core.ids import Epoch, InstanceId, MemberName
from ..core.packing import decode_record

OWNER_KEY = "owner"
# of the mark between jobs in the log, see ``EpochMarker``
EPOCH_KEY = "epoch"
CENTICORES_PER_CORE = 100
# a hand-over pauses all starts for a moment, so it must be worth that
HANDOVER_CORES_RATIO_MIN = 1.5


class OwnerRecord(msgspec.Struct, frozen=True):
    """The owner of the cell.

    Parameters
    ----------
    member : MemberName
        The owner's process; empty after it gave the cell up.
    """

    epoch: Epoch
    member: MemberName


class EpochMarker(msgspec.Struct, frozen=True):
    """Stands in the log among the jobs, where an owner began.

    An earlier owner starts nothing of the jobs after it, so the new one needn't wait
    for workers that the earlier one may still reach.
    """

    epoch: Epoch


def encode_marker(mark: EpochMarker) -> bytes:
    """Return the mark's value in the log."""
    return msgspec.msgpack.encode(mark)


def decode_marker(value: bytes) -> EpochMarker:
    """Return the mark in a value of the log.

    Raises
    ------
    CorruptRecordError
        If it isn't one.
    """
    return decode_record(value, EpochMarker, step="ownership.mark")


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
    return decode_record(value, OwnerRecord, step="ownership.decode")


def build_member_name(
    instance: InstanceId, process: str, *, address: str, cores: float
) -> MemberName:
    """Return the name of a process in the group.

    Parameters
    ----------
    process : str
        Tells the processes of an instance apart.
    address : str
        ``host:port`` where its peers reach it.
    cores : float
        What it can carry.
    """
    return MemberName(
        f"{instance}/{process}/{address}/{round(cores * CENTICORES_PER_CORE)}"
    )


def parse_address(member: MemberName) -> str:
    """Return where a process's peers reach it."""
    return member.split("/")[-2]


def choose_candidate(members: Collection[MemberName]) -> MemberName | None:
    """Return the live process that should own the cell: the one with most cores."""
    return max(members, key=_rank_member, default=None)


def should_take_over(
    owner: OwnerRecord | None,
    *,
    this_member: MemberName,
    members: Collection[MemberName],
) -> bool:
    """Return whether this process, which owns nothing now, should claim the cell.

    Parameters
    ----------
    this_member : MemberName
        This process. A record that names it comes from a claim whose answer was
        lost.
    members : collection of MemberName
        Processes that the group holds for alive.
    """
    if owner is not None and owner.member == this_member:
        return True
    if owner is not None and owner.member and owner.member in members:
        return False
    return choose_candidate(members) == this_member


def should_hand_over(this_member: MemberName, members: Collection[MemberName]) -> bool:
    """Return whether another live process can carry the cell much better."""
    candidate = choose_candidate(members)
    if candidate is None or candidate == this_member:
        return False
    return (
        _rank_member(candidate)[0]
        >= HANDOVER_CORES_RATIO_MIN * _rank_member(this_member)[0]
    )


def _rank_member(member: MemberName) -> tuple[int, str]:
    cores = member.rpartition("/")[2]
    return (int(cores) if cores.isdigit() else 0, member)
