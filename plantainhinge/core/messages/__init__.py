"""Messages between the daemons, and with the platform, workers and targets."""

from .base import Message
from .claims import ClaimRequest, ClaimResponse, FinishClaim
from .instances import Instance
from .jobs import CancelJob, JobList, JobStatus, ListJobs, QueryJob, SubmitJob
from .log import Entry, Page
from .offers import (
    AttemptOffer,
    Closure,
    ClosuresAcknowledged,
    OfferAttempts,
    OffersAcknowledged,
    ReportClosures,
)
from .peers import (
    CellDigest,
    ConfigurationSnapshot,
    Heartbeat,
    LoadDigest,
    RelayedHeartbeat,
)
from .status import (
    Empty,
    ProcessStatus,
    QueryEvents,
    QueryStatus,
    QueryTargets,
    TargetList,
)
from .targets import Target, TargetRequest, TargetResponse
from .workers import (
    AttemptRef,
    AttemptReport,
    RenewLeases,
    StartTask,
    StopTask,
    ThrottleTask,
    WorkerReport,
)

__all__ = [
    "AttemptOffer",
    "AttemptRef",
    "AttemptReport",
    "CancelJob",
    "CellDigest",
    "ClaimRequest",
    "ClaimResponse",
    "Closure",
    "ClosuresAcknowledged",
    "ConfigurationSnapshot",
    "Empty",
    "Entry",
    "FinishClaim",
    "Heartbeat",
    "Instance",
    "JobList",
    "JobStatus",
    "ListJobs",
    "LoadDigest",
    "Message",
    "OfferAttempts",
    "OffersAcknowledged",
    "Page",
    "ProcessStatus",
    "QueryEvents",
    "QueryJob",
    "QueryStatus",
    "QueryTargets",
    "RelayedHeartbeat",
    "RenewLeases",
    "ReportClosures",
    "StartTask",
    "StopTask",
    "SubmitJob",
    "Target",
    "TargetList",
    "TargetRequest",
    "TargetResponse",
    "ThrottleTask",
    "WorkerReport",
]
