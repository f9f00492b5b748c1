"""Messages by which ledgers offer attempts to cells, and learn of their ends."""

from ..ids import AttemptNumber, DomainId, Epoch, KindId, ServiceId, TaskId, WorkerId
from ..resources import Resources
from ..states import AttemptOutcome, TaskClass
from .base import Message
from .workers import AttemptRef


class AttemptOffer(Message, frozen=True, array_like=True):
    """A ledger's owner hands an assigned attempt to a cell's owner."""

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
    """Offers of one ledger's owner to one cell's owner.

    Parameters
    ----------
    sequence : int
        Rises with each message of the ledger's owner under its epoch.
    """

    ledger: int
    ledger_epoch: Epoch
    sequence: int
    cell: DomainId
    offers: list[AttemptOffer]


class OffersAcknowledged(Message, frozen=True):
    """The offered attempts that the cell has recorded, placed or closed."""

    known: list[AttemptRef]


class Closure(Message, frozen=True, array_like=True):
    """The end of one attempt, as its cell recorded it."""

    task: TaskId
    attempt: AttemptNumber
    outcome: AttemptOutcome
    checkpoint: str = ""
    reason: str = ""
    worker: WorkerId = WorkerId("")


class ReportClosures(Message, frozen=True):
    """A cell's owner tells a ledger's owner which attempts have ended."""

    ledger: int
    cell: DomainId
    closures: list[Closure]


class ClosuresAcknowledged(Message, frozen=True):
    """The closures that the ledger has recorded, and the fence of its offers.

    Parameters
    ----------
    sequence : int
        Every offer of the ledger's owner sent before has a smaller one.
    """

    ledger_epoch: Epoch
    sequence: int
    recorded: list[AttemptRef]
