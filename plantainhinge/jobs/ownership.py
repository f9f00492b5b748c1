"""Ownership of a cell: at most one process owns it, under an increasing epoch.

The owner record is only ever changed by a conditional append, so of two concurrent
claims one succeeds. Group membership only decides when a process should claim the
cell and which one.
"""

from collections.abc import Collection, Iterable

import msgspec

from ..core.ids import Epoch, InstanceId, MemberName, Seconds
from ..core.packing import decode_record

OWNER_KEY = "owner"
# key of the ``EpochMarker`` records among the jobs in the log
EPOCH_KEY = "epoch"
CENTICORES_PER_CORE = 100
# of the address in a member name, from its end
ADDRESS_POSITION = 2
# for which a member defers its claims when the owner asks
DEFERRAL_SECONDS = Seconds(2.0)
# the slower of two clocks, relative to the other
CLOCK_RATIO_MIN = 0.97
# memberships last a second at least, so nobody can miss an owner sooner than this after
# it was last confirmed
UNNOTICED_SECONDS = Seconds(0.7)
# a handover briefly pauses all starts, so the gain in cores must outweigh that
HANDOVER_CORES_RATIO_MIN = 1.5


class OwnerRecord(msgspec.Struct, frozen=True):
    """Stored record of the owner of the cell.

    Parameters
    ----------
    member : MemberName
        Member name of the owner; empty after it has released the cell.
    """

    epoch: Epoch
    member: MemberName


class EpochMarker(msgspec.Struct, frozen=True):
    """Marks the position among the jobs in the log at which an owner took over.

    Earlier owners start no jobs that come after the marker. The new owner may therefore
    start these jobs without waiting for workers that an earlier owner may still reach.
    """

    epoch: Epoch


def encode_marker(marker: EpochMarker) -> bytes:
    """Return the value that stores a marker in the log."""
    return msgspec.msgpack.encode(marker)


def decode_marker(value: bytes) -> EpochMarker:
    """Decode the epoch marker in a value of the log.

    Raises
    ------
    CorruptRecordError
        If the value is not an encoded marker.
    """
    return decode_record(value, EpochMarker, step="ownership.mark")


def encode_owner(record: OwnerRecord) -> bytes:
    """Return the value that stores an owner record in the log."""
    return msgspec.msgpack.encode(record)


def decode_owner(value: bytes) -> OwnerRecord:
    """Decode the owner record in a value of the log.

    Raises
    ------
    CorruptRecordError
        If the value is not an encoded owner record.
    """
    return decode_record(value, OwnerRecord, step="ownership.decode")


def build_member_name(
    instance: InstanceId, process: str, *, address: str, cores: float
) -> MemberName:
    """Return the name under which a process joins the group.

    Parameters
    ----------
    process : str
        Distinguishes the processes of an instance.
    address : str
        ``host:port`` at which its peers reach the process.
    cores : float
        Processor capacity that the process has for owning a cell.
    """
    return MemberName(
        f"{instance}/{process}/{address}/{round(cores * CENTICORES_PER_CORE)}"
    )


def parse_address(member: MemberName) -> str:
    """Return the ``host:port`` in a member name."""
    return member.split("/")[-ADDRESS_POSITION]


def find_address(member: MemberName) -> str:
    """Return the ``host:port`` in a member name; empty if the name is malformed."""
    return parse_address(member) if member.count("/") >= ADDRESS_POSITION else ""


def choose_candidate(members: Collection[MemberName]) -> MemberName | None:
    """Return the live process that should own the cell: the one with the most cores.

    Ties are broken by name, so that all processes choose the same one.
    """
    return max(members, key=_rank_member, default=None)


def should_take_over(
    owner: OwnerRecord | None,
    *,
    this_member: MemberName,
    members: Collection[MemberName],
) -> bool:
    """Return whether this process, which is not the owner now, should claim the cell.

    Parameters
    ----------
    this_member : MemberName
        Member name of this process. If the owner record already names it, this process
        made an earlier claim and the response was lost.
    members : collection of MemberName
        Processes that are alive according to the group.
    """
    if owner is not None and owner.member == this_member:
        return True
    if owner is not None and owner.member and owner.member in members:
        return False
    return choose_candidate(members) == this_member


def compute_deferral_end(
    last_answers: Iterable[float], *, confirmed_at: float, asked_at: float
) -> float:
    """Return the time before which no member takes the cell over.

    Each member has deferred its claims. None can have claimed the cell before if the
    log fell silent for all of them before anyone could miss the owner.

    Parameters
    ----------
    last_answers : iterable of float
        Latest time at which the log can have answered each other member.
    confirmed_at : float
        When the log last confirmed the owner and its membership.
    asked_at : float
        When the members were asked.

    Returns
    -------
    float
        Minus infinity if another member may have taken the cell over, or if there is
        none to tell.
    """
    if max(last_answers, default=float("inf")) > confirmed_at + UNNOTICED_SECONDS:
        return float("-inf")
    return asked_at + CLOCK_RATIO_MIN * DEFERRAL_SECONDS


def should_hand_over(this_member: MemberName, members: Collection[MemberName]) -> bool:
    """Return whether a live process with clearly more cores should own the cell."""
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
