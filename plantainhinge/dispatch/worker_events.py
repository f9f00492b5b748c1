"""Log events about the workers of an owned cell."""

import logging

from ..core.ids import WorkerId
from ..core.log_events import LogEvent, LogFields, log_event
from ..fleet.model import WorkerState
from .model import Worker


class WorkerFields(LogFields, frozen=True, kw_only=True):
    """A worker.

    Parameters
    ----------
    worker : str
        Its id.
    worker_domain : str
        Its failure domain.
    born : int
        Its incarnation: when it started, in milliseconds since the Unix epoch.
    """

    worker: WorkerId
    worker_domain: str
    born: int


class WorkerEvent(LogEvent, frozen=True, kw_only=True):
    """An event about one worker."""

    about: WorkerFields


@log_event("worker listed")
class WorkerListed(WorkerEvent, frozen=True, kw_only=True):
    """A worker appeared in the directory.

    Parameters
    ----------
    address : str
        Its address.
    predecessors : list of str
        The newest three other known workers with that address; they have ended.
    """

    address: str
    predecessors: tuple[WorkerId, ...] = ()


@log_event("worker left the list")
class WorkerUnlisted(WorkerEvent, frozen=True, kw_only=True):
    """A worker's entry was removed from the directory; nothing is started there."""


@log_event("worker changed state")
class WorkerChangedState(WorkerEvent, frozen=True, kw_only=True):
    """A worker became ready, or began to drain.

    Parameters
    ----------
    state : str
        Its new state.
    """

    state: WorkerState


@log_event("worker out of touch", level=logging.WARNING)
class WorkerUnreachable(WorkerEvent, frozen=True, kw_only=True):
    """A worker didn't answer; nothing is started there until it does.

    Parameters
    ----------
    silent_s : float
        Seconds since its last answer.
    """

    silent_s: float


@log_event("worker restarted")
class WorkerRestarted(WorkerEvent, frozen=True, kw_only=True):
    """A worker restarted under its id; the attempts that it had reported are lost.

    Parameters
    ----------
    attempts_lost : int
        Attempts that its reports had listed.
    """

    attempts_lost: int


@log_event("worker replaced")
class WorkerReplaced(WorkerEvent, frozen=True, kw_only=True):
    """Another worker answers at a worker's address; all that it ran has ended.

    Parameters
    ----------
    attempts_lost : int
        Attempts that were bound to it.
    """

    attempts_lost: int


def describe_worker(worker: Worker) -> WorkerFields:
    """Return the fields that identify a worker in log events."""
    return WorkerFields(
        worker=worker.name, worker_domain=worker.entry.domain, born=worker.incarnation
    )
