"""Messages by which ledgers offer attempts to cells and cells report their ends."""

from ..ids import AttemptNumber, DomainId, Epoch, KindId, ServiceId, TaskId, WorkerId
from ..resources import Resources
from ..states import AttemptOutcome, TaskClass
from .base import Message
from .workers import AttemptRef


class AttemptOffer(Message, frozen=True, array_like=True):
    """An assigned attempt that a ledger's owner offers to a cell's owner.

    Parameters
    ----------
    cancelled : bool
        Whether the attempt should be closed rather than placed.
    avoid : list of WorkerId
        Workers on which earlier attempts of the task failed.
    """

    ledger: int
    ledger_epoch: Epoch
    task: TaskId
    attempt: AttemptNumber
    cell: DomainId
    kind: KindId
    task_class: TaskClass
    resources: Resources
    service: ServiceId = ServiceId("")
    checkpoint: str = ""
    run_seconds: float = 0.0
    cancelled: bool = False
    priority: int = 0
    urgent: bool = False
    avoid: list[WorkerId] = []


class OfferAttempts(Message, frozen=True):
    """The attempts that a ledger's owner offers to a cell's owner.

    Parameters
    ----------
    sequence : int
        Increases with each message of the ledger's owner within its epoch.
    """

    ledger: int
    ledger_epoch: Epoch
    sequence: int
    cell: DomainId
    offers: list[AttemptOffer]


class OffersAcknowledged(Message, frozen=True):
    """Response to offers: the attempts that the cell recorded as placed or closed."""

    known: list[AttemptRef]


class Closure(Message, frozen=True, array_like=True):
    """The end of an attempt, as recorded by its cell.

    Parameters
    ----------
    crashed : bool
        Whether the attempt was lost because its worker restarted.
    """

    task: TaskId
    attempt: AttemptNumber
    outcome: AttemptOutcome
    checkpoint: str = ""
    reason: str = ""
    worker: WorkerId = WorkerId("")
    crashed: bool = False


class ReportClosures(Message, frozen=True):
    """Reports to a ledger's owner the attempts that a cell has closed."""

    ledger: int
    cell: DomainId
    closures: list[Closure]


class ClosuresAcknowledged(Message, frozen=True):
    """Response to closures: those that the ledger has recorded, and its fence.

    Parameters
    ----------
    sequence : int
        Exceeds the sequence number of every offer sent before by the ledger's
        owner, so that the cell can reject delayed offers of these attempts.
    """

    ledger_epoch: Epoch
    sequence: int
    recorded: list[AttemptRef]
