"""Proposals on their way into the log, and the batches that carry them."""

from collections.abc import Sequence as SequenceOf
from dataclasses import dataclass, field

from ..core.ids import Epoch, Seconds, Sequence, WriterId
from ..core.records import RECORD_VERSION, AnyRecord, Batch, measure_record

BATCH_RECORDS = 256
BATCH_BYTES = 192 * 1024
RECORD_BYTES_MAX = 768 * 1024
OUTCOME_TRIMMED = "the verdict was trimmed before it could be read"


@dataclass
class Proposal:
    """A record on its way into the log.

    Parameters
    ----------
    urgent : bool
        Whether it goes out without waiting for the commit timer.
    rejection : str or None
        Why replay rejected it; meaningful once ``decided``.
    is_unknown : bool
        Whether it was decided by a record that can no longer be read.
    """

    record: AnyRecord
    urgent: bool = False
    decided: bool = False
    rejection: str | None = None
    is_unknown: bool = False

    def decide(self, rejection: str | None) -> None:
        """Note the verdict of replay."""
        self.decided = True
        self.rejection = rejection


@dataclass
class PendingBatch:
    """The one batch whose verdict has not been read back.

    Parameters
    ----------
    sent_at : Seconds or None
        When it was sent first; a resend does not change it.
    retry_at : Seconds
        A resend waits until then.
    """

    batch: Batch
    proposals: list[Proposal]
    sent_at: Seconds | None = None
    must_send: bool = True
    retry_at: Seconds = Seconds(0.0)

    def is_due(self, now: Seconds) -> bool:
        """Return whether the batch must be sent now."""
        return self.must_send and now >= self.retry_at

    def decide(self, rejections: SequenceOf[str | None]) -> None:
        """Note the verdicts of replay, in the order of the records."""
        for proposal, rejection in zip(self.proposals, rejections, strict=True):
            proposal.decide(rejection)

    def mark_unknown(self) -> None:
        """Note that the verdicts were passed but can no longer be read."""
        for proposal in self.proposals:
            proposal.is_unknown = True
            proposal.decide(OUTCOME_TRIMMED)


@dataclass
class ProposalQueue:
    """Proposals of one writer that are in no batch yet."""

    writer: WriterId
    sequence: int = 0
    waiting: list[Proposal] = field(default_factory=list)

    def add(self, record: AnyRecord, *, urgent: bool) -> Proposal:
        """Queue a record; one too large for any entry is rejected at once."""
        proposal = Proposal(record, urgent)
        size = measure_record(record)
        if size > RECORD_BYTES_MAX:
            proposal.decide(f"{size} bytes are more than {RECORD_BYTES_MAX}")
        else:
            self.waiting.append(proposal)
        return proposal

    def is_urgent(self) -> bool:
        """Return whether any proposal asks not to wait."""
        return any(proposal.urgent for proposal in self.waiting)

    def take_batch(self, epoch: Epoch) -> PendingBatch:
        """Return a batch of the oldest proposals that fit one entry."""
        self.sequence += 1
        proposals = self.waiting[: self._count_fitting()]
        del self.waiting[: len(proposals)]
        return PendingBatch(self._build(proposals, self.sequence, epoch), proposals)

    def split(self, outstanding: PendingBatch) -> PendingBatch | None:
        """Return the first half of a batch that the log found too large.

        The other half waits again. A lone record is rejected; then there is no
        batch left.
        """
        proposals = outstanding.proposals
        if len(proposals) == 1:
            proposals[0].decide("the log takes no entry as large as this")
            return None
        half = len(proposals) // 2
        self.waiting[:0] = proposals[half:]
        batch = outstanding.batch
        first = self._build(proposals[:half], batch.sequence, batch.epoch)
        return PendingBatch(first, proposals[:half], outstanding.sent_at)

    def _build(
        self, proposals: SequenceOf[Proposal], sequence: int, epoch: Epoch
    ) -> Batch:
        records = [proposal.record for proposal in proposals]
        return Batch(RECORD_VERSION, self.writer, Sequence(sequence), epoch, records)

    def _count_fitting(self) -> int:
        size = 0
        for count, proposal in enumerate(self.waiting[:BATCH_RECORDS]):
            size += measure_record(proposal.record)
            if count and size > BATCH_BYTES:
                return count
        return min(len(self.waiting), BATCH_RECORDS)
