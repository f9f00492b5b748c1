"""Admission control of one instance, by the owner's digests.

The digest is asked for when jobs arrive and the last one has grown old. No job waits
for it: one that arrives meanwhile is judged by the digest at hand.
"""

import asyncio
import logging
from collections import Counter as Totals
from collections.abc import Callable
from dataclasses import dataclass, field

from ..core.clock import read_monotonic
from ..core.errors import CorruptRecordError
from ..core.ids import MemberName, QueueName, Seconds, WorkspaceId
from ..core.log_events import write_event
from ..core.metrics import Counter, Level, Metrics, NullMetrics
from ..jobs.admission import (
    NO_DIGEST,
    AdmissionDigest,
    AdmissionGate,
    Refusal,
    RefusalCause,
    decode_digest,
    encode_digest,
)
from ..jobs.forwarding import PassedLoadQuery, PassedResponse
from ..jobs.model import JobSpec, QueuePolicy
from ..jobs.outcomes import CallOutcome
from .call_events import DigestUnreadable, JobsRefused
from .instance_peers import InstancePeers

logger = logging.getLogger(__name__)

# the owner measures, and an instance asks, at most once in this time
REFRESH_SECONDS = Seconds(0.5)
QUERY_TIMEOUT_SECONDS = Seconds(0.4)
LOG_INTERVAL_SECONDS = 1.0


@dataclass
class AdmissionControl:
    """Decides which jobs this instance refuses.

    Parameters
    ----------
    owns_cell : callable
        Returns whether this instance owns the cell.
    measure : callable
        Returns a new digest; called by the owner only.
    get_owner : callable
        Returns the owner's name in the group; empty if none is known.
    peers : InstancePeers, optional
        Client for the other instances; without it only the owner refuses jobs.
    """

    owns_cell: Callable[[], bool] = lambda: False
    measure: Callable[[], AdmissionDigest] = lambda: NO_DIGEST
    get_owner: Callable[[], MemberName] = lambda: MemberName("")
    peers: InstancePeers | None = None
    metrics: Metrics = field(default_factory=NullMetrics)
    gate: AdmissionGate = field(default_factory=AdmissionGate)
    _query: "asyncio.Task[None] | None" = None
    _asked_at: float = float("-inf")
    _refused: Totals[tuple[QueueName, WorkspaceId, RefusalCause]] = field(
        default_factory=Totals
    )
    _logged_at: float = float("-inf")

    def decide(
        self, policy: QueuePolicy, spec: JobSpec, workspace: WorkspaceId
    ) -> Refusal | None:
        """Return why a job must be refused, or None if it is admitted."""
        self._refresh()
        return self.gate.decide(policy, spec, workspace, now=read_monotonic())

    def record(
        self, policy: QueuePolicy, workspace: WorkspaceId, refusal: Refusal
    ) -> None:
        """Count a job that was refused, and log refusals now and then."""
        self.metrics.count(Counter.JOBS_REFUSED, cause=refusal.cause.value)
        self._refused[policy.queue, workspace, refusal.cause] += 1
        now = read_monotonic()
        if now < self._logged_at + LOG_INTERVAL_SECONDS:
            return
        self._logged_at = now
        age = round(now - self.gate.measured_at, 3)
        for (queue, name, cause), jobs in self._refused.items():
            event = JobsRefused(
                queue=queue, workspace=name, cause=cause, jobs=jobs, digest_age_s=age
            )
            write_event(logger, event)
        self._refused.clear()

    def describe_load(self) -> PassedResponse:
        """Answer a load query of another instance."""
        if not self.owns_cell():
            return PassedResponse(CallOutcome.REFUSED)
        self._measure()
        age = Seconds(read_monotonic() - self.gate.measured_at)
        digest = encode_digest(self.gate.digest)
        return PassedResponse(CallOutcome.DONE, digest=digest, age=age)

    def _refresh(self) -> None:
        """Measure, or ask the owner, if the digest has grown old."""
        now = read_monotonic()
        if now < self.gate.measured_at + REFRESH_SECONDS:
            return
        if self.owns_cell():
            self._measure()
            return
        if self.peers is None:
            return
        is_asking = self._query is not None and not self._query.done()
        owner = self.get_owner()
        if is_asking or not owner or now < self._asked_at + REFRESH_SECONDS:
            return
        self._asked_at = now
        self._query = asyncio.get_running_loop().create_task(self._ask(owner))

    def _measure(self) -> None:
        """Measure a new digest, as the owner, if the last one has grown old."""
        now = read_monotonic()
        if now >= self.gate.measured_at + REFRESH_SECONDS:
            self.gate.update(self.measure(), measured_at=now)

    async def _ask(self, owner: MemberName) -> None:
        assert self.peers is not None
        asked_at = read_monotonic()
        answer = await self.peers.ask(
            owner, PassedLoadQuery(), timeout=QUERY_TIMEOUT_SECONDS
        )
        if answer.age is None:
            return
        try:
            digest = decode_digest(answer.digest)
        except CorruptRecordError as error:
            write_event(logger, DigestUnreadable(peer=owner, cause=str(error)))
            return
        self.gate.update(digest, measured_at=asked_at - answer.age)
        self.metrics.set(Level.DIGEST_AGE, answer.age)
