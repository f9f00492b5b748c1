"""Ownership of a stream: one process at a time, under increasing epochs.

An owner may act only while ``may_act`` holds on its own clock, and a candidate may
claim the stream only once ``may_claim`` holds on its own clock. Both measure from
the owner's last record: the owner from the time before sending it, the candidate
from the time after reading it. As long as the clocks run at nearly the same rate,
the two intervals never overlap.
"""

from dataclasses import dataclass

import msgspec

from ..core.ids import Epoch, ProcessId, Seconds
from ..core.records import (
    AnyRecord,
    OwnershipClaimed,
    OwnershipConfirmed,
    OwnershipReleased,
    PredecessorsEnded,
)

OWNER_LEASE_SECONDS = 4.0
CLOCK_MARGIN_SECONDS = 0.5
CLAIM_STAGGER_SECONDS = 1.0
CONFIRM_PERIOD_SECONDS = 1.0


class Predecessor(msgspec.Struct, frozen=True, array_like=True):
    """An owner that was replaced without releasing the stream, and its address."""

    process: ProcessId
    address: str


@dataclass
class Ownership:
    """Ownership of one stream, replayed from its records.

    Parameters
    ----------
    owner : ProcessId or None
        None before the first claim and after a release.
    last_read_at : Seconds
        When this reader last read a record of the owner, on its own clock.
    predecessors : tuple of Predecessor
        Owners that were replaced without releasing the stream and are not known to
        have ended. They may still renew leases.
    """

    epoch: Epoch = Epoch(0)
    owner: ProcessId | None = None
    address: str = ""
    last_read_at: Seconds = Seconds(0.0)
    predecessors: tuple[Predecessor, ...] = ()

    def apply(self, record: AnyRecord) -> str | None:
        """Apply an ownership record; return the reason if it is rejected, else None."""
        match record:
            case OwnershipClaimed():
                return self._claim(record)
            case OwnershipReleased():
                return self._release(record)
            case OwnershipConfirmed():
                return self.check_epoch(record.epoch)
            case PredecessorsEnded():
                return self._forget_predecessors(record)
        raise TypeError(f"not an ownership record: {record!r}")

    def check_epoch(self, epoch: Epoch) -> str | None:
        """Return why a record written under ``epoch`` is rejected, or None."""
        if epoch == self.epoch and self.owner is not None:
            return None
        return f"epoch {epoch} does not own the stream; epoch is {self.epoch}"

    def may_claim(self, now: Seconds, rank: int) -> bool:
        """Return whether the candidate with this rank may claim the stream.

        Candidates wait longer by rank, so that usually only the first claims it.
        """
        stagger = rank * CLAIM_STAGGER_SECONDS
        if self.owner is None:
            return now >= self.last_read_at + stagger
        expiry = self.last_read_at + OWNER_LEASE_SECONDS + CLOCK_MARGIN_SECONDS
        return now >= expiry + stagger

    def _claim(self, record: OwnershipClaimed) -> str | None:
        if record.epoch != self.epoch + 1:
            return f"epoch {record.epoch} does not follow epoch {self.epoch}"
        if self.owner is not None:
            replaced = Predecessor(self.owner, self.address)
            self.predecessors = (*self.predecessors, replaced)
        self.epoch = record.epoch
        self.owner = record.owner
        self.address = record.address
        return None

    def _release(self, record: OwnershipReleased) -> str | None:
        rejection = self.check_epoch(record.epoch)
        if rejection is None:
            self.owner = None
        return rejection

    def _forget_predecessors(self, record: PredecessorsEnded) -> str | None:
        rejection = self.check_epoch(record.epoch)
        if rejection is None:
            self.predecessors = ()
        return rejection


def may_act(confirmed_at: Seconds | None, now: Seconds) -> bool:
    """Return whether an owner whose record was sent at ``confirmed_at`` may act."""
    return confirmed_at is not None and now < confirmed_at + OWNER_LEASE_SECONDS
