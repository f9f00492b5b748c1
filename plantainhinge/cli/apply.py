"""Applies a configuration by optimistic concurrency on the configuration stream.

A new revision is appended to the log and then read back. Of several records with the
same base revision, replay accepts only the first, so that one of the concurrent
operators succeeds and the others get a ``ConflictError``.
"""

import time
from collections.abc import Callable
from enum import Enum

import msgspec

from ..core.clock import read_monotonic
from ..core.configuration import Configuration
from ..core.differences import Difference, edit_domain_state, find_differences
from ..core.documents import encode_configuration, parse_configuration
from ..core.errors import (
    BadInputError,
    ConflictError,
    PlantainhingeError,
    TooLargeError,
    TrimmedError,
    UnavailableError,
    UncertainError,
)
from ..core.ids import DomainId, Epoch, Offset, Revision, Seconds, WriterId
from ..core.protocols import PlatformLog
from ..core.records import ConfigurationPublished
from ..core.rules import find_transition_faults
from ..core.states import DomainState
from ..streams.configuration import ConfigurationHistory
from ..streams.names import CONFIGURATION_STREAM
from ..streams.replica import Append, Read, Replica

APPLY_TIMEOUT_SECONDS = 20.0
RETRY_DELAY_SECONDS = 0.2
POLL_INTERVAL_SECONDS = 0.02
READ_BYTES_MAX = 262_144
STEP = "configuration.apply"
NO_EPOCH = Epoch(0)


class ApplyOutcome(Enum):
    """How a configuration document came to be accepted."""

    ACCEPTED = "accepted"
    ALREADY_IN_FORCE = "already in force"
    REPLACED_SINCE = "accepted earlier and replaced since"


class ApplyResult(msgspec.Struct, frozen=True, kw_only=True):
    """The revision of the applied document, and what it changed."""

    revision: Revision
    outcome: ApplyOutcome
    differences: list[Difference] = []


class ConfigurationSession:
    """Reads and writes the configuration stream for one command of an operator.

    Parameters
    ----------
    timeout : float
        Seconds after which a read or publish fails.
    sleep : callable
        Called with the number of seconds to wait before the next poll of the replica.
    """

    def __init__(
        self,
        log: PlatformLog,
        writer: WriterId,
        *,
        timeout: float = APPLY_TIMEOUT_SECONDS,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self.replica: Replica[ConfigurationHistory] = Replica(
            CONFIGURATION_STREAM, writer, ConfigurationHistory()
        )
        self._log = log
        self._timeout = timeout
        self._sleep = sleep
        self._may_be_appended = False

    @property
    def state(self) -> ConfigurationHistory:
        """The configuration history, as far as the stream has been read."""
        return self.replica.reducer

    def read(self) -> ConfigurationHistory:
        """Read the stream to its end and return the history."""
        self._advance(lambda: self.replica.caught_up)
        return self.state

    def publish(self, record: ConfigurationPublished) -> str | None:
        """Append a record and return why replay rejected it, or None."""
        proposal = self.replica.propose(record, urgent=True)
        self._advance(lambda: proposal.decided)
        return proposal.rejection

    def _advance(self, is_done: Callable[[], bool]) -> None:
        deadline = read_monotonic() + self._timeout
        while not is_done():
            now = read_monotonic()
            if self.replica.halt_error is not None:
                raise self.replica.halt_error
            if self.replica.is_lost:
                raise TrimmedError(
                    "the newest configuration is no longer in the log",
                    step=STEP,
                    first=self.replica.next_offset,
                )
            if now >= deadline:
                raise self._build_timeout_error()
            command = self.replica.next_command(now, NO_EPOCH)
            if command is None:
                self._sleep(POLL_INTERVAL_SECONDS)
            else:
                self._execute(command)

    def _build_timeout_error(self) -> PlantainhingeError:
        if self._may_be_appended:
            message = "the log did not answer in time; apply the same file again"
            return UncertainError(message, step=STEP)
        message = "the log is down; nothing was applied"
        return UnavailableError(message, step=STEP, retry_after=RETRY_DELAY_SECONDS)

    def _execute(self, command: Append | Read) -> None:
        if isinstance(command, Append):
            self._append(command)
        else:
            self._read(command)

    def _append(self, command: Append) -> None:
        try:
            offset = self._log.append(command.stream, command.data)
            self._may_be_appended = True
            self.replica.on_appended(offset)
        except TooLargeError:
            self.replica.on_append_too_large()
        except UncertainError:
            self._may_be_appended = True
            self.replica.on_append_uncertain(_compute_retry_time())
        except UnavailableError as error:
            self.replica.on_append_refused(_compute_retry_time(error.retry_after))

    def _read(self, command: Read) -> None:
        try:
            page = self._log.read(command.stream, command.start, READ_BYTES_MAX)
            self.replica.on_page(page, read_monotonic())
        except TrimmedError as error:
            self.replica.on_trimmed(Offset(error.first))
        except (UncertainError, UnavailableError):
            self.replica.on_refused(_compute_retry_time())


def apply_configuration(
    session: ConfigurationSession,
    document: str,
    *,
    operator: str,
    based_on: Revision | None = None,
) -> ApplyResult:
    """Apply a configuration document atomically.

    Parameters
    ----------
    based_on : Revision or None
        The revision that the document was edited from; None for the newest.

    Raises
    ------
    BadInputError
        If the document is invalid, or not allowed to follow the newest revision.
    ConflictError
        If another document was accepted first; the message shows what it changed.
    UnavailableError
        If the log was unavailable and nothing was appended.
    UncertainError
        If the log could not be read back in time: the document may take effect.
    """
    configuration = parse_configuration(document)
    before = session.read()
    if before.revision and before.document == document:
        return ApplyResult(
            revision=before.revision, outcome=ApplyOutcome.ALREADY_IN_FORCE
        )
    base = before.revision if based_on is None else based_on
    if base != before.revision:
        return _get_earlier_result(before, document, base)
    _check_transition(before.configuration, configuration)
    differences = find_differences(before.configuration, configuration)
    rejection = session.publish(
        ConfigurationPublished(
            document, base, operator, encode_configuration(configuration)
        )
    )
    if rejection is not None:
        raise _build_conflict_error(session.state, base, rejection)
    return ApplyResult(
        revision=_find_successor(session.state, base),
        outcome=ApplyOutcome.ACCEPTED,
        differences=differences,
    )


def change_domain(
    session: ConfigurationSession,
    domain: DomainId,
    state: DomainState,
    *,
    operator: str,
) -> ApplyResult:
    """Take a failure domain out of service or back in, and change nothing else.

    Raises
    ------
    BadInputError
        If there is no configuration, or it has no such domain.
    """
    newest = session.read()
    if not newest.revision:
        raise BadInputError("no configuration is in force", step=STEP)
    document = edit_domain_state(newest.document, domain, state)
    return apply_configuration(
        session, document, operator=operator, based_on=newest.revision
    )


def diff_configuration(
    session: ConfigurationSession, document: str
) -> list[Difference]:
    """Return the differences that applying a document would make."""
    return find_differences(session.read().configuration, parse_configuration(document))


def _check_transition(before: Configuration | None, after: Configuration) -> None:
    if before is None:
        return
    faults = list(find_transition_faults(before, after))
    if faults:
        lines = "\n".join(f"  {fault}" for fault in faults)
        raise BadInputError(f"{len(faults)} faults:\n{lines}", step=STEP)


def _get_earlier_result(
    newest: ConfigurationHistory, document: str, base: Revision
) -> ApplyResult:
    """Return the result if the document was already accepted after ``base``.

    This happens if an operator repeats an apply whose response was lost.

    Raises
    ------
    ConflictError
        If the revision after ``base`` is another document.
    """
    successor = _find_successor(newest, base)
    if newest.documents[successor] != document:
        raise _build_conflict_error(newest, base)
    return ApplyResult(revision=successor, outcome=ApplyOutcome.REPLACED_SINCE)


def _find_successor(state: ConfigurationHistory, base: Revision) -> Revision:
    """Return the revision that was accepted with ``base`` as its base."""
    later = [revision for revision in state.documents if revision > base]
    return min(later, default=state.revision)


def _build_conflict_error(
    newest: ConfigurationHistory, base: Revision, rejection: str = ""
) -> ConflictError:
    lines = [
        f"made from revision {base}; {newest.operator!r} has published "
        f"revision {newest.revision} since"
    ]
    base_text = newest.documents.get(base)
    if newest.configuration is not None and base_text:
        changes = find_differences(parse_configuration(base_text), newest.configuration)
        lines.extend(f"  {change}" for change in changes)
    elif rejection:
        lines.append(rejection)
    return ConflictError("\n".join(lines), step=STEP)


def _compute_retry_time(retry_after: float = 0.0) -> Seconds:
    return Seconds(read_monotonic() + max(RETRY_DELAY_SECONDS, retry_after))
