"""Queues records proposed for the log and groups them into batches."""

from collections.abc import Sequence as SequenceOf
from dataclasses import dataclass, field

from ..core.ids import Epoch, Seconds, Sequence, WriterId
from ..core.records import RECORD_VERSION, AnyRecord, Batch, measure_record

BATCH_RECORDS_MAX = 256
BATCH_BYTES_MAX = 192 * 1024
RECORD_BYTES_MAX = 768 * 1024
OUTCOME_TRIMMED = "the verdict was trimmed before it could be read"


@dataclass
class Proposal:
    """A record proposed for the log, and its outcome.

    Parameters
    ----------
    urgent : bool
        Whether to send it without waiting for the commit timer.
    decided : bool
        Whether the outcome is known, or known to be lost.
    rejection : str or None
        Why it was rejected; None if it was accepted. Valid once ``decided``.
    is_unknown : bool
        Whether the entry was trimmed from the log before its outcome was read.
    """

    record: AnyRecord
    urgent: bool = False
    decided: bool = False
    rejection: str | None = None
    is_unknown: bool = False

    def decide(self, rejection: str | None) -> None:
        """Record the outcome; ``rejection`` is None if the record was accepted."""
        self.decided = True
        self.rejection = rejection


@dataclass
class PendingBatch:
    """The one batch that has not been read back from the log yet.

    Parameters
    ----------
    sent_at : Seconds or None
        When it was first sent; resending it does not change this.
    must_send : bool
        Whether it has to be sent, for the first time or again.
    retry_at : Seconds
        Earliest time to send it again.
    """

    batch: Batch
    proposals: list[Proposal]
    sent_at: Seconds | None = None
    must_send: bool = True
    retry_at: Seconds = Seconds(0.0)

    def is_due(self, now: Seconds) -> bool:
        """Return whether the batch should be sent now."""
        return self.must_send and now >= self.retry_at

    def decide(self, rejections: SequenceOf[str | None]) -> None:
        """Record the outcomes of replay, in the order of the records."""
        for proposal, rejection in zip(self.proposals, rejections, strict=True):
            proposal.decide(rejection)

    def mark_unknown(self) -> None:
        """Decide all proposals with an unknown outcome: their entry was trimmed."""
        for proposal in self.proposals:
            proposal.is_unknown = True
            proposal.decide(OUTCOME_TRIMMED)


@dataclass
class ProposalQueue:
    """Proposals of one writer that are not yet part of a batch."""

    writer: WriterId
    sequence: int = 0
    waiting: list[Proposal] = field(default_factory=list)

    def add(self, record: AnyRecord, *, urgent: bool) -> Proposal:
        """Queue a record, or reject it at once if it is larger than an entry may be."""
        proposal = Proposal(record, urgent)
        size = measure_record(record)
        if size > RECORD_BYTES_MAX:
            proposal.decide(f"{size} bytes are more than {RECORD_BYTES_MAX}")
        else:
            self.waiting.append(proposal)
        return proposal

    def has_urgent(self) -> bool:
        """Return whether any queued proposal is urgent."""
        return any(proposal.urgent for proposal in self.waiting)

    def take_batch(self, epoch: Epoch) -> PendingBatch:
        """Remove and return a batch of the oldest proposals that fit into one entry."""
        self.sequence += 1
        proposals = self.waiting[: self._count_fitting()]
        del self.waiting[: len(proposals)]
        return PendingBatch(self._build(proposals, self.sequence, epoch), proposals)

    def split(self, pending: PendingBatch) -> PendingBatch | None:
        """Return the first half of a batch that was too large for the log.

        The second half goes back to the head of the queue. A single record can't
        be split: it is rejected and None is returned.
        """
        proposals = pending.proposals
        if len(proposals) == 1:
            proposals[0].decide("the log takes no entry as large as this")
            return None
        half = len(proposals) // 2
        self.waiting[:0] = proposals[half:]
        batch = pending.batch
        first = self._build(proposals[:half], batch.sequence, batch.epoch)
        return PendingBatch(first, proposals[:half], pending.sent_at)

    def _build(
        self, proposals: SequenceOf[Proposal], sequence: int, epoch: Epoch
    ) -> Batch:
        records = [proposal.record for proposal in proposals]
        return Batch(RECORD_VERSION, self.writer, Sequence(sequence), epoch, records)

    def _count_fitting(self) -> int:
        size = 0
        for count, proposal in enumerate(self.waiting[:BATCH_RECORDS_MAX]):
            size += measure_record(proposal.record)
            if count and size > BATCH_BYTES_MAX:
                return count
        return min(len(self.waiting), BATCH_RECORDS_MAX)
