"""Authenticates callers by the keys of their workspaces.

Each request is judged by the configuration in force, and the configuration must have
been confirmed a moment ago: by the log or, if that doesn't answer this instance, by a
peer. A key that is known stays valid while nobody confirms anything, so that callers
can read the states of their jobs while the log is down; without the log and without a
peer no job can be accepted. An unknown key may be newer than the view, so it is
rejected only by a confirmed one.
"""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field

from ..core.clock import read_monotonic
from ..core.errors import CorruptRecordError, PlantainhingeError
from ..core.ids import QueueName, Revision, Seconds
from ..core.log_events import write_event
from ..core.metrics import Counter, Metrics, NullMetrics
from ..fleet.credentials import digest_key
from ..fleet.operator import (
    SchedulingConfiguration,
    Workspace,
    decode_configuration,
    encode_configuration,
)
from ..jobs.forwarding import PassedConfigurationQuery, PassedResponse
from ..jobs.outcomes import CallOutcome
from .call_events import CallerRejected, ViewNotConfirmed
from .instance_peers import InstancePeers
from .operator_view import OperatorView

logger = logging.getLogger(__name__)

# how old the confirmation of the configuration may be; the operator topic is read with
# a wait of a second, so while the log answers it is never older
VIEW_AGE_SECONDS_MAX = Seconds(1.5)
# the same before a key is rejected as unknown: it may have just been added
UNKNOWN_KEY_AGE_SECONDS_MAX = Seconds(0.5)
# timeout of the read that confirms the view, and of a call to a peer
CONFIRMATION_TIMEOUT_SECONDS = Seconds(0.4)
# pause after a failed confirmation, during which calls don't wait for another one
RETRY_SECONDS = 0.3
KEY_LENGTH_MAX = 256
LOG_INTERVAL_SECONDS = 1.0


@dataclass
class Authenticator:
    """Finds the workspace of a caller by its key.

    Parameters
    ----------
    operator : OperatorView
        The configuration in force, with its keys.
    is_log_lost : callable
        Returns whether the log has stopped answering this instance.
    peers : InstancePeers, optional
        Client for the other instances.
    """

    operator: OperatorView
    is_log_lost: Callable[[], bool]
    peers: InstancePeers | None = None
    metrics: Metrics = field(default_factory=NullMetrics)
    _failed_at: float = float("-inf")
    _confirming: asyncio.Lock = field(default_factory=asyncio.Lock)
    _rejected: int = 0
    _logged_at: float = float("-inf")

    async def authenticate(
        self, key: str, *, queue: QueueName
    ) -> Workspace | CallOutcome:
        """Return the workspace that a key belongs to, or why there is none.

        Parameters
        ----------
        queue : QueueName
            The queue that is called, for the log.
        """
        found = await self._find_workspace(key)
        if isinstance(found, CallOutcome):
            self._record_rejection(queue, found)
        return found

    async def _find_workspace(self, key: str) -> Workspace | CallOutcome:
        if not 0 < len(key) <= KEY_LENGTH_MAX:
            return CallOutcome.UNAUTHENTICATED
        digest = digest_key(key)
        workspace = self.operator.credentials.find(digest)
        if workspace is not None:
            return workspace
        is_confirmed = await self.confirm_view(UNKNOWN_KEY_AGE_SECONDS_MAX)
        workspace = self.operator.credentials.find(digest)
        if workspace is not None:
            return workspace
        return CallOutcome.UNAUTHENTICATED if is_confirmed else CallOutcome.REFUSED

    async def confirm_view(self, age_max: Seconds = VIEW_AGE_SECONDS_MAX) -> bool:
        """Bring the configuration up to date; return whether it is.

        Parameters
        ----------
        age_max : float
            Seconds for which a confirmation counts.
        """
        since = read_monotonic() - age_max
        if self.operator.confirmed_at >= since:
            return True
        async with self._confirming:
            if self.operator.confirmed_at >= since:
                return True
            if read_monotonic() < self._failed_at + RETRY_SECONDS:
                return False
            cause = await self._ask_log(since)
            if self.operator.confirmed_at < since:
                cause = await self._ask_peer() or cause
            if self.operator.confirmed_at < since:
                self._failed_at = read_monotonic()
                age = self._failed_at - self.operator.confirmed_at
                write_event(logger, ViewNotConfirmed(age_s=age, cause=cause))
                return False
        return True

    def describe_configuration(self, query: PassedConfigurationQuery) -> PassedResponse:
        """Answer a peer that has lost the log.

        Only what the log told this instance counts, so that two instances without the
        log don't confirm each other's views.
        """
        configuration = self.operator.configuration
        age = Seconds(read_monotonic() - self.operator.tail.synced_at)
        if configuration is None or age > VIEW_AGE_SECONDS_MAX:
            return PassedResponse(CallOutcome.REFUSED)
        is_newer = configuration.revision > query.revision
        value = encode_configuration(configuration) if is_newer else b""
        return PassedResponse(CallOutcome.DONE, configuration=value, age=age)

    def _record_rejection(self, queue: QueueName, outcome: CallOutcome) -> None:
        self.metrics.count(
            Counter.JOB_CALLS, call="authenticate", outcome=outcome.value
        )
        self._rejected += 1
        now = read_monotonic()
        if now < self._logged_at + LOG_INTERVAL_SECONDS:
            return
        event = CallerRejected(queue=queue, outcome=outcome, rejected=self._rejected)
        write_event(logger, event)
        self._logged_at, self._rejected = now, 0

    async def _ask_log(self, since: float) -> str:
        """Read the operator's records; return why that failed, if it did."""
        if self.is_log_lost():
            return "the log is lost"
        try:
            async with asyncio.timeout(CONFIRMATION_TIMEOUT_SECONDS):
                await self.operator.tail.catch_up(since=since)
        except (PlantainhingeError, TimeoutError) as error:
            return str(error) or "timeout"
        return ""

    async def _ask_peer(self) -> str:
        """Adopt a peer's configuration; return what was wrong with its answer."""
        if self.peers is None:
            return ""
        current = self.operator.configuration
        revision = current.revision if current is not None else Revision(0)
        asked_at = read_monotonic()
        answer = await self.peers.ask_any(
            PassedConfigurationQuery(revision), timeout=CONFIRMATION_TIMEOUT_SECONDS
        )
        if answer.age is None:
            return ""
        newer: SchedulingConfiguration | None = None
        try:
            if answer.configuration:
                newer = decode_configuration(answer.configuration)
        except CorruptRecordError as error:
            return str(error)
        self.operator.adopt(newer, confirmed_at=asked_at - answer.age)
        return ""
