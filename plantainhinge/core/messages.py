"""Typed messages between our processes and with the platform and workers."""

import msgspec

from .ids import (
    Attempt,
    DomainId,
    Epoch,
    InstanceId,
    KindId,
    Offset,
    ProcessId,
    RackId,
    RegionId,
    RequestId,
    RequestKey,
    Revision,
    ServiceId,
    StreamName,
    TargetId,
    TaskId,
    TeamId,
    WorkerId,
)
from .resources import Resources
from .states import (
    AttemptOutcome,
    ClaimState,
    DaemonRole,
    InstanceRole,
    InstanceState,
    PeerState,
    TaskClass,
    TaskState,
)


class Message(msgspec.Struct, frozen=True, kw_only=True):
    """Base of all messages."""


# The platform's log.


class Entry(Message, frozen=True):
    """One log entry at its offset."""

    offset: Offset
    data: bytes


class Page(Message, frozen=True):
    """Entries from one offset on, and where to read next.

    Parameters
    ----------
    first : Offset
        The oldest offset that the log still holds.
    end : Offset
        The offset that the next append will get.
    """

    entries: list[Entry]
    first: Offset
    end: Offset


# The platform's instance list.


class Instance(Message, frozen=True):
    """One row of the platform's list of instances."""

    instance: InstanceId
    role: InstanceRole
    state: InstanceState
    address: str
    domain: DomainId
    region: RegionId
    rack: RackId = RackId("")
    capacity: Resources = Resources()


# Workers.


class StartTask(Message, frozen=True):
    """Asks a worker to start an attempt under a lease.

    Parameters
    ----------
    cell_epoch : Epoch
        A worker refuses an epoch older than the newest it has seen.
    lease_seconds : float
        The attempt ends by itself when it is not renewed for this long.
    as_of : float
        The worker's own clock as last told to the owner; a worker refuses a
        start whose reading is older than its start window.
    incarnation : int
        The worker's incarnation as last told to the owner; a worker refuses
        another one's.
    start_before : float
        The worker's own clock from which on it must refuse this start.
    """

    task: TaskId
    attempt: Attempt
    kind: KindId
    task_class: TaskClass
    resources: Resources
    cell_epoch: Epoch
    lease_seconds: float
    as_of: float
    incarnation: int = 0
    start_before: float = 0.0
    service: ServiceId = ServiceId("")
    checkpoint: str = ""
    run_seconds: float = 0.0


class AttemptRef(Message, frozen=True):
    """Names one attempt of one task."""

    task: TaskId
    attempt: Attempt


class RenewLeases(Message, frozen=True):
    """Renews the leases of the attempts named, and fences older epochs.

    A worker renews nothing if ``as_of`` or ``incarnation`` are stale, as for a
    start; it reports all the same.

    Parameters
    ----------
    forget : list of AttemptRef
        Ended attempts that the worker need not report any more. It refuses to
        start them for one more start window, then forgets them.
    """

    cell_epoch: Epoch
    lease_seconds: float
    attempts: list[AttemptRef]
    as_of: float = 0.0
    incarnation: int = 0
    forget: list[AttemptRef] = []


class AttemptReport(Message, frozen=True):
    """What a worker says of one attempt.

    Parameters
    ----------
    outcome : AttemptOutcome or None
        None while it runs.
    address : str
        Where a service replica answers requests.
    usage : Resources
        Mean use over the last reporting window.
    slowdown : float
        Service time or progress relative to running alone; 1.0 is no loss.
    usage_age : float
        Seconds since the reporting window ended.
    limit : int
        The processors that a throttle leaves it, in millicores; 0 for no throttle.
    """

    task: TaskId
    attempt: Attempt
    outcome: AttemptOutcome | None = None
    address: str = ""
    checkpoint: str = ""
    reason: str = ""
    usage: Resources = Resources()
    slowdown: float = 1.0
    usage_age: float = 0.0
    limit: int = 0


class WorkerReport(Message, frozen=True):
    """A worker's answer to a renewal: its clock and all its attempts.

    Parameters
    ----------
    now : float
        The worker's monotonic clock.
    incarnation : int
        Rises with each start of the worker. No attempt outlives an incarnation.
    """

    worker: WorkerId
    now: float
    attempts: list[AttemptReport]
    incarnation: int = 0


class StopTask(Message, frozen=True):
    """Asks a worker to stop an attempt, or never to start it."""

    task: TaskId
    attempt: Attempt
    cell_epoch: Epoch
    checkpoint: bool = True


class ThrottleTask(Message, frozen=True):
    """Limits the processors of a running batch attempt."""

    task: TaskId
    attempt: Attempt
    cell_epoch: Epoch
    millicores: int
    as_of: float = 0.0
    incarnation: int = 0


# Targets.


class TargetRequest(Message, frozen=True):
    """One request as it goes to a target."""

    request: RequestId
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    timeout: float


class TargetAnswer(Message, frozen=True):
    """A whole answer of a target to its request.

    Parameters
    ----------
    refused : bool
        The target says that it did not run the request.
    leaving : bool
        The target says that it takes no new work.
    in_flight : int
        Requests the target is running or queueing, over all gateways.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    refused: bool = False
    leaving: bool = False
    in_flight: int = 0


class Target(Message, frozen=True):
    """A service replica that answers requests."""

    target: TargetId
    service: ServiceId
    address: str
    domain: DomainId
    rack: RackId
    worker: WorkerId
    leaving: bool = False


# Peers.


class CellDigest(Message, frozen=True, array_like=True):
    """What a cell can still take, for the ledgers that assign work to it.

    Parameters
    ----------
    shapes : list of Resources
        The different capacities that its workers have.
    largest_free : Resources
        The most that one worker has free, each amount by itself.
    critical : Resources
        What its latency-critical tasks hold.
    """

    domain: DomainId
    free: Resources
    capacity: Resources
    largest_free: Resources
    workers: int
    shapes: list[Resources] = []
    critical: Resources = Resources()


class LoadDigest(Message, frozen=True, array_like=True):
    """What one gateway has in flight at one service."""

    service: ServiceId
    in_flight: int
    arrivals_per_second: float


class Heartbeat(Message, frozen=True, array_like=True):
    """What a process tells its peers about itself.

    Parameters
    ----------
    incarnation : int
        Rises with each start of a process at one address.
    revision : Revision
        The configuration it runs.
    owned : dict of StreamName to Epoch
        The streams it owns.
    beat : int
        Rises with each heartbeat of an incarnation.
    age : float or None
        Seconds since it knew its configuration to be the newest.
    unready : str
        Why it is not ready, when the reason is known.
    """

    process: ProcessId
    incarnation: int
    role: DaemonRole
    address: str
    domain: DomainId
    revision: Revision
    ready: bool
    owned: dict[StreamName, Epoch] = {}
    cells: list[CellDigest] = []
    loads: list[LoadDigest] = []
    beat: int = 0
    age: float | None = None
    unready: str = ""
    relays: list["Relay"] = []


class Relay(Message, frozen=True, array_like=True):
    """What a process last heard of another.

    Parameters
    ----------
    age : float
        Seconds since the heartbeat was sent.
    """

    heartbeat: Heartbeat
    state: PeerState
    age: float


class ConfigurationCopy(Message, frozen=True):
    """A replica's state of the configuration stream, as in a snapshot.

    Parameters
    ----------
    state : bytes
        An encoded snapshot; empty if the process has none.
    """

    state: bytes


class SubmitJob(Message, frozen=True):
    """Asks a ledger's owner to accept a batch job."""

    task: TaskId
    kind: KindId
    team: TeamId
    run_seconds: float


class CancelJob(Message, frozen=True):
    """Asks a ledger's owner to cancel a task."""

    task: TaskId
    team: TeamId


class QueryJob(Message, frozen=True):
    """Asks a ledger's owner for a task's account."""

    task: TaskId
    team: TeamId


class JobAccount(Message, frozen=True):
    """A job's account for callers and operators.

    Parameters
    ----------
    waits_for : str
        Which limit holds the job back; empty when none does.
    look_again : float
        Seconds after which another look is worthwhile.
    """

    task: TaskId
    team: TeamId
    kind: KindId
    state: TaskState
    attempts: int
    cell: DomainId | None = None
    reason: str = ""
    waits_for: str = ""
    look_again: float = 0.0


class ClaimRequest(Message, frozen=True):
    """Asks a ledger's owner for the only right to send a request."""

    key: RequestKey
    request: RequestId
    team: TeamId
    gateway: ProcessId
    key_at: float = 0.0


class ClaimAnswer(Message, frozen=True):
    """Whether the claim was granted; if not, the request may have run.

    Parameters
    ----------
    state : ClaimState or None
        Where the claim of an earlier request with this key stands; None if the
        key is too old to know.
    reason : str
        Why it was not granted.
    """

    granted: bool
    state: ClaimState | None = None
    reason: str = ""


class FinishClaim(Message, frozen=True):
    """Tells a ledger's owner how a claimed request went."""

    key: RequestKey
    request: RequestId
    team: TeamId
    ran: bool


class OfferAttempt(Message, frozen=True, array_like=True):
    """A ledger's owner hands an assigned attempt to a cell's owner."""

    ledger: int
    ledger_epoch: Epoch
    task: TaskId
    attempt: Attempt
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
    offers: list[OfferAttempt]


class OffersTaken(Message, frozen=True):
    """The offered attempts that the cell has recorded, placed or closed."""

    known: list[AttemptRef]


class Closure(Message, frozen=True, array_like=True):
    """The end of one attempt, as its cell recorded it."""

    task: TaskId
    attempt: Attempt
    outcome: AttemptOutcome
    checkpoint: str = ""
    reason: str = ""
    worker: WorkerId = WorkerId("")


class ReportClosures(Message, frozen=True):
    """A cell's owner tells a ledger's owner which attempts have ended."""

    ledger: int
    cell: DomainId
    closures: list[Closure]


class ClosuresTaken(Message, frozen=True):
    """The closures that the ledger has recorded, and the fence of its offers.

    Parameters
    ----------
    sequence : int
        Every offer of the ledger's owner sent before has a smaller one.
    """

    ledger_epoch: Epoch
    sequence: int
    recorded: list[AttemptRef]


class QueryTargets(Message, frozen=True):
    """Asks a cell's owner for the replicas it runs, for a known service.

    Parameters
    ----------
    gateway : ProcessId
        Who asks; a large cell tells each gateway another part of its replicas.
    limit : int
        The most replicas wanted; 0 for all.
    seen : int
        The version that the gateway has; 0 if none.
    """

    cell: DomainId
    service: ServiceId
    gateway: ProcessId = ProcessId("")
    limit: int = 0
    seen: int = 0


class TargetList(Message, frozen=True):
    """The replicas of one service in one cell.

    Parameters
    ----------
    version : int
        Changes with the list; never 0.
    unchanged : bool
        The gateway's version is still right and no replicas are listed.
    """

    targets: list[Target]
    version: int = 1
    unchanged: bool = False


class QueryEvents(Message, frozen=True):
    """Asks a process for its events about a subject; empty asks for all."""

    subject: str = ""


class QueryStatus(Message, frozen=True):
    """Asks a process how it fares."""


class ProcessStatus(Message, frozen=True):
    """How a process fares.

    Parameters
    ----------
    configuration_age : float or None
        Seconds since it last confirmed its view of the configuration; None if
        it never did.
    peers : int
        Live processes it hears of, with itself.
    troubles : list of str
        Why it lags or is not ready.
    """

    heartbeat: Heartbeat
    configuration_age: float | None
    peers: int
    troubles: list[str]


class ListJobs(Message, frozen=True):
    """Asks a ledger's owner for the newest batch jobs of a team."""

    team: TeamId
    limit: int


class JobList(Message, frozen=True):
    """Batch jobs of a team, the newest first.

    Parameters
    ----------
    total : int
        How many the ledger has, listed or not.
    """

    jobs: list[JobAccount]
    total: int


class Empty(Message, frozen=True):
    """No content."""
