"""Lines of the log about an entry instance: its calls, its views, its ownership."""

import logging

from ..core.ids import DomainId, Epoch, JobId, MemberName, Revision
from ..core.log_events import LogEvent, log_event
from ..jobs.verdicts import Verdict


class CallAnswered(LogEvent, frozen=True, kw_only=True):
    """A caller was answered.

    Parameters
    ----------
    job : str
        The id that the caller chose.
    outcome : str
        What the caller was told.
    cause : str
        The queue, or why the log was not asked.
    took_s : float
        Seconds from the call to its answer.
    """

    job: JobId
    outcome: Verdict
    cause: str
    took_s: float


@log_event("submit")
class SubmitAnswered(CallAnswered, frozen=True, kw_only=True):
    """A caller handed a job in."""


@log_event("cancel")
class CancelAnswered(CallAnswered, frozen=True, kw_only=True):
    """A caller took a job back."""


@log_event("state")
class StateAnswered(CallAnswered, frozen=True, kw_only=True):
    """A caller asked for a state that could not be told."""


@log_event("append failed", level=logging.WARNING)
class AppendFailed(LogEvent, frozen=True, kw_only=True):
    """The log refused an append for a caller, or lost its answer.

    Parameters
    ----------
    job : str
        The job it was about.
    cause : str
        The error with its step and peer.
    """

    job: JobId
    cause: str


@log_event("state from an old view")
class StateFromOldView(LogEvent, frozen=True, kw_only=True):
    """The log could not be read for a caller, who was told what is known here.

    Parameters
    ----------
    job : str
        The job asked for.
    cause : str
        The error with its step and peer.
    age_s : float
        Seconds since the view was last confirmed.
    """

    job: JobId
    cause: str
    age_s: float


@log_event("count from an old view")
class CountFromOldView(LogEvent, frozen=True, kw_only=True):
    """The log could not be read for a caller who asked how many jobs wait.

    Parameters
    ----------
    cause : str
        The error with its step and peer.
    """

    cause: str


@log_event("call passed on")
class CallPassedOn(LogEvent, frozen=True, kw_only=True):
    """This instance lost the log and asked another one.

    Parameters
    ----------
    job : str
        The job that the call is about.
    passed_call : str
        What was asked.
    peer : str
        The other process's name in the group.
    outcome : str
        What became of it there.
    """

    job: JobId
    passed_call: str
    peer: MemberName
    outcome: Verdict


@log_event("peer failed")
class PeerFailed(LogEvent, frozen=True, kw_only=True):
    """Another instance didn't answer a call that was passed on.

    Parameters
    ----------
    peer : str
        Its name in the group.
    cause : str
        The error with its step and peer.
    """

    peer: MemberName
    cause: str


@log_event("peer call malformed", level=logging.WARNING)
class PeerCallMalformed(LogEvent, frozen=True, kw_only=True):
    """A call of another instance can't be read; it was told so.

    Parameters
    ----------
    cause : str
        What is wrong with it.
    """

    cause: str


@log_event("standby behind", level=logging.WARNING)
class StandbyBehind(LogEvent, frozen=True, kw_only=True):
    """The next owner could not read on, and would begin with an older view.

    Parameters
    ----------
    cause : str
        The error with its step and peer.
    """

    cause: str


@log_event("joined the group")
class JoinedGroup(LogEvent, frozen=True, kw_only=True):
    """This process became a member of the group of instances.

    Parameters
    ----------
    member : str
        Its name there.
    """

    member: MemberName


@log_event("group call failed", level=logging.WARNING)
class GroupCallFailed(LogEvent, frozen=True, kw_only=True):
    """The group of instances didn't answer.

    Parameters
    ----------
    cause : str
        The error with its step and peer.
    silent_s : float
        Seconds since its last answer.
    """

    cause: str
    silent_s: float


@log_event("leaving failed", level=logging.WARNING)
class LeavingFailed(LogEvent, frozen=True, kw_only=True):
    """The group or the owner's record could not be told of a planned stop.

    Parameters
    ----------
    cause : str
        The error with its step and peer.
    """

    cause: str


@log_event("cell claimed")
class CellClaimed(LogEvent, frozen=True, kw_only=True):
    """This process became the owner of the cell.

    Parameters
    ----------
    epoch : int
        The fencing token of this ownership.
    generation : int
        The group's, when the claim was decided.
    previous : str
        The owner before; empty if it gave the cell up.
    members : int
        Processes in the group.
    """

    epoch: Epoch
    generation: int
    previous: MemberName
    members: int


@log_event("claim lost")
class ClaimLost(LogEvent, frozen=True, kw_only=True):
    """Another process claimed the cell first.

    Parameters
    ----------
    epoch : int
        The epoch that was claimed.
    cause : str
        The log's answer.
    """

    epoch: Epoch
    cause: str


@log_event("cell owned")
class CellOwned(LogEvent, frozen=True, kw_only=True):
    """The new owner has read everything and begins to act.

    Parameters
    ----------
    epoch : int
        The fencing token of this ownership.
    jobs, workers : int
        Open jobs and known workers.
    took_s : float
        Seconds since the claim.
    """

    epoch: Epoch
    jobs: int
    workers: int
    took_s: float


@log_event("cell given up")
class CellGivenUp(LogEvent, frozen=True, kw_only=True):
    """This process no longer acts for the cell.

    Parameters
    ----------
    epoch : int
        The epoch that ended.
    cause : str
        Why.
    """

    epoch: Epoch
    cause: str


@log_event("cell handed over")
class CellHandedOver(LogEvent, frozen=True, kw_only=True):
    """A much larger process is there, and should own the cell.

    Parameters
    ----------
    to : str
        Its name in the group.
    """

    to: MemberName


@log_event("owner unwatched")
class OwnerUnwatched(LogEvent, frozen=True, kw_only=True):
    """The owner's record could not be watched for changes.

    Parameters
    ----------
    cause : str
        The error with its step and peer.
    """

    cause: str


@log_event("owner unreadable", level=logging.ERROR)
class OwnerUnreadable(LogEvent, frozen=True, kw_only=True):
    """The owner's record doesn't decode; the cell counts as unowned.

    Parameters
    ----------
    cause : str
        What is wrong with it.
    """

    cause: str


@log_event("ownership not verified", level=logging.WARNING)
class OwnershipNotVerified(LogEvent, frozen=True, kw_only=True):
    """The owner's record could not be read after the process stood still.

    Parameters
    ----------
    cause : str
        The error with its step and peer.
    """

    cause: str


@log_event("takeover step failed", level=logging.WARNING)
class TakeoverStepFailed(LogEvent, frozen=True, kw_only=True):
    """The log refused a step of a takeover, which is tried again.

    Parameters
    ----------
    epoch : int
        The epoch that begins.
    attempt : int
        How many tries failed before.
    cause : str
        The error with its step and peer.
    """

    epoch: Epoch
    attempt: int
    cause: str


@log_event("jobs unreadable", level=logging.WARNING)
class JobsUnreadable(LogEvent, frozen=True, kw_only=True):
    """The owner could not read new jobs; it tries again.

    Parameters
    ----------
    cause : str
        The error with its step and peer.
    """

    cause: str


@log_event("directory unreadable", level=logging.WARNING)
class DirectoryUnreadable(LogEvent, frozen=True, kw_only=True):
    """The owner could not read the directory of workers; the last one holds.

    Parameters
    ----------
    cause : str
        The error with its step and peer.
    """

    cause: str


@log_event("process stood still", level=logging.WARNING)
class ProcessStoodStill(LogEvent, frozen=True, kw_only=True):
    """The owner was frozen, and checks whether another one came.

    Parameters
    ----------
    slept_s : float
        Seconds for which it did nothing.
    """

    slept_s: float


@log_event("decisions failed", level=logging.ERROR)
class DecisionsFailed(LogEvent, frozen=True, kw_only=True):
    """A fault of ours; the next decisions are made in a moment."""


@log_event("loop ended by an error", level=logging.ERROR)
class LoopEnded(LogEvent, frozen=True, kw_only=True):
    """A fault of ours; the cell is given up."""


@log_event("loop failed", level=logging.ERROR)
class LoopFailed(LogEvent, frozen=True, kw_only=True):
    """A fault of ours; the loop begins again.

    Parameters
    ----------
    loop : str
        Its function.
    """

    loop: str


@log_event("progress not logged", level=logging.WARNING)
class ProgressNotLogged(LogEvent, frozen=True, kw_only=True):
    """The log didn't confirm progress; the same append is repeated.

    Parameters
    ----------
    cause : str
        The error with its step and peer.
    """

    cause: str


@log_event("records deleted")
class RecordsDeleted(LogEvent, frozen=True, kw_only=True):
    """Jobs that ended long ago left the log.

    Parameters
    ----------
    jobs : int
        How many.
    """

    jobs: int


@log_event("records not deleted", level=logging.WARNING)
class RecordsNotDeleted(LogEvent, frozen=True, kw_only=True):
    """Records of ended jobs stay in the log for now.

    Parameters
    ----------
    cause : str
        The error with its step and peer.
    """

    cause: str


@log_event("handover ignored", level=logging.ERROR)
class HandoverIgnored(LogEvent, frozen=True, kw_only=True):
    """What the last owner left doesn't decode.

    Parameters
    ----------
    cause : str
        What is wrong with it.
    """

    cause: str


@log_event("record ignored", level=logging.ERROR)
class RecordIgnored(LogEvent, frozen=True, kw_only=True):
    """A record about a job doesn't decode.

    Parameters
    ----------
    key : str
        The record's key.
    cause : str
        What is wrong with it.
    """

    key: str
    cause: str


@log_event("configuration in force")
class ConfigurationInForce(LogEvent, frozen=True, kw_only=True):
    """This instance follows another configuration.

    Parameters
    ----------
    revision : int
        Its revision.
    queues : int
        How many queues it has.
    """

    revision: Revision
    queues: int


@log_event("failure domain closed")
class DomainClosed(LogEvent, frozen=True, kw_only=True):
    """An operator took a failure domain out; nothing starts there.

    Parameters
    ----------
    closed_domain : str
        The failure domain.
    """

    closed_domain: DomainId


@log_event("failure domain opened")
class DomainOpened(LogEvent, frozen=True, kw_only=True):
    """An operator brought a failure domain back.

    Parameters
    ----------
    opened_domain : str
        The failure domain.
    """

    opened_domain: DomainId


@log_event("topic trimmed")
class TopicTrimmed(LogEvent, frozen=True, kw_only=True):
    """The log dropped records before they were read; the newest ones are read.

    Parameters
    ----------
    topic : str
        The topic.
    position, first : int
        The offset wanted, and the first one that the log still has.
    """

    topic: str
    position: int
    first: int


@log_event("log lost", level=logging.WARNING)
class LogLost(LogEvent, frozen=True, kw_only=True):
    """The log can't be reached or turns this instance away.

    Parameters
    ----------
    cause : str
        The error with its step and peer.
    """

    cause: str


@log_event("log regained")
class LogRegained(LogEvent, frozen=True, kw_only=True):
    """The log answers again.

    Parameters
    ----------
    lost_s : float
        Seconds for which it didn't.
    """

    lost_s: float


@log_event("started")
class Started(LogEvent, frozen=True, kw_only=True):
    """The process takes calls.

    Parameters
    ----------
    address : str
        Where callers reach it.
    cores : float
        Processors at hand.
    """

    address: str
    cores: float


@log_event("stopping")
class Stopping(LogEvent, frozen=True, kw_only=True):
    """A planned stop began.

    Parameters
    ----------
    owner : bool
        Whether this process owns the cell.
    """

    owner: bool


@log_event("stopped")
class Stopped(LogEvent, frozen=True, kw_only=True):
    """The last call was answered.

    Parameters
    ----------
    took_s : float
        Seconds since the stop began.
    """

    took_s: float


@log_event("settings reread")
class SettingsReread(LogEvent, frozen=True, kw_only=True):
    """The settings file was read again, after a signal or because it changed.

    Parameters
    ----------
    signalled : bool
        Whether a signal asked for it.
    changed : list of str
        Settings that differ.
    restart_needed : list of str
        Those of them that take effect at the next start only.
    """

    signalled: bool
    changed: tuple[str, ...]
    restart_needed: tuple[str, ...]


@log_event("settings unreadable", level=logging.ERROR)
class SettingsUnreadable(LogEvent, frozen=True, kw_only=True):
    """The settings file was read again and is wrong; the old settings hold.

    Parameters
    ----------
    cause : str
        The setting that is wrong.
    """

    cause: str
