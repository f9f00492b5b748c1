"""Typed messages between our processes and with the platform and workers."""

from .base import Message
from .claims import ClaimAnswer, ClaimRequest, FinishClaim
from .instances import Instance
from .jobs import CancelJob, JobAccount, JobList, ListJobs, QueryJob, SubmitJob
from .log import Entry, Page
from .offers import (
    Closure,
    ClosuresTaken,
    OfferAttempt,
    OfferAttempts,
    OffersTaken,
    ReportClosures,
)
from .peers import CellDigest, ConfigurationCopy, Heartbeat, LoadDigest, Relay
from .status import (
    Empty,
    ProcessStatus,
    QueryEvents,
    QueryStatus,
    QueryTargets,
    TargetList,
)
from .targets import Target, TargetAnswer, TargetRequest
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
    "AttemptRef",
    "AttemptReport",
    "CancelJob",
    "CellDigest",
    "ClaimAnswer",
    "ClaimRequest",
    "Closure",
    "ClosuresTaken",
    "ConfigurationCopy",
    "Empty",
    "Entry",
    "FinishClaim",
    "Heartbeat",
    "Instance",
    "JobAccount",
    "JobList",
    "ListJobs",
    "LoadDigest",
    "Message",
    "OfferAttempt",
    "OfferAttempts",
    "OffersTaken",
    "Page",
    "ProcessStatus",
    "QueryEvents",
    "QueryJob",
    "QueryStatus",
    "QueryTargets",
    "Relay",
    "RenewLeases",
    "ReportClosures",
    "StartTask",
    "StopTask",
    "SubmitJob",
    "Target",
    "TargetAnswer",
    "TargetList",
    "TargetRequest",
    "ThrottleTask",
    "WorkerReport",
]
