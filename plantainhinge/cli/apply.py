"""Applying a configuration: proposed to the log, decided by reading it back."""

import time

from ..core.clock import read_monotonic
from ..core.errors import (
    RaceLostError,
    TrimmedError,
    UnavailableError,
    UncertainError,
)
from ..core.ids import Epoch, Offset, Revision, WriterId
from ..core.protocols import PlatformLog
from ..core.records import ConfigurationPublished
from ..streams.configuration import ConfigurationState
from ..streams.names import CONFIGURATION
from ..streams.replica import Append, Proposal, Read, Replica

APPLY_TIMEOUT_SECONDS = 20.0
RETRY_SECONDS = 0.2
READ_BYTES = 262_144


def read_configuration(
    log: PlatformLog, writer: WriterId
) -> Replica[ConfigurationState]:
    """Return a replica of the configuration stream, read to its end."""
    replica = Replica(CONFIGURATION, writer, ConfigurationState())
    _advance(replica, log, lambda: replica.caught_up)
    return replica


def apply_configuration(
    log: PlatformLog, writer: WriterId, document: str, *, operator: str
) -> Revision:
    """Publish a checked document and return the revision it got.

    Raises
    ------
    RaceLostError
        If another operator's document came first.
    UncertainError
        If the log could not be read back in time.
    """
    replica = read_configuration(log, writer)
    revision = replica.reducer.revision
    proposal = replica.propose(ConfigurationPublished(document, revision, operator))
    _advance(replica, log, lambda: proposal.decided)
    _raise_if_rejected(proposal)
    return replica.reducer.revision


def _raise_if_rejected(proposal: Proposal) -> None:
    if proposal.rejection is not None:
        raise RaceLostError(proposal.rejection, step="configuration.apply")


def _advance(replica, log, is_done) -> None:  # type: ignore[no-untyped-def]
    deadline = read_monotonic() + APPLY_TIMEOUT_SECONDS
    while not is_done():
        now = read_monotonic()
        if now >= deadline:
            raise UncertainError(
                "the log did not answer in time", step="configuration.apply"
            )
        command = replica.next_command(now, Epoch(0))
        if command is None:
            time.sleep(RETRY_SECONDS / 10)
        else:
            _execute(command, replica, log)


def _execute(command, replica, log) -> None:  # type: ignore[no-untyped-def]
    retry_at = read_monotonic() + RETRY_SECONDS
    try:
        if isinstance(command, Append):
            log.append(command.stream, command.data)
            replica.on_appended()
        elif isinstance(command, Read):
            page = log.read(command.stream, command.start, READ_BYTES)
            replica.on_page(page, read_monotonic())
    except TrimmedError as error:
        replica.on_trimmed(Offset(error.first))
    except UncertainError:
        replica.on_append_uncertain(retry_at)
    except UnavailableError:
        replica.on_append_refused(retry_at) if isinstance(
            command, Append
        ) else replica.on_refused(retry_at)
