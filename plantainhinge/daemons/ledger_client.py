"""Calls from a gateway to the owners of ledger partitions."""

import queue
from collections.abc import Callable
from concurrent.futures import Future
from typing import Protocol, TypeVar

from ..adapters.peers_grpc import (
    CANCEL,
    CLAIM,
    FINISH_CLAIM,
    QUERY_JOB,
    SUBMIT,
    Method,
)
from ..core.clock import read_monotonic
from ..core.errors import (
    BadInputError,
    NotOwnerError,
    PlantainhingeError,
    UnavailableError,
)
from ..core.ids import Seconds, TaskId, TeamId
from ..core.messages import (
    CancelJob,
    ClaimRequest,
    ClaimResponse,
    Empty,
    FinishClaim,
    JobStatus,
    QueryJob,
    SubmitJob,
)
from ..routing.admission import estimate_recovery
from ..routing.claims import FinishOutbox, acknowledge, collect_due, enqueue
from ..streams.names import find_partition, name_ledger_stream
from .node import Node

CALL_TIMEOUT_SECONDS = 5.0
REMEMBERED_TASKS_MAX = 10_000

Request = TypeVar("Request", bound="TeamMessage")
Response = TypeVar("Response")


class TeamMessage(Protocol):
    """A message that concerns one team, and so the ledger of that team."""

    @property
    def team(self) -> TeamId:
        """The team whose ledger handles the message."""


class LedgerClient:
    """Finds the owner of a team's ledger and calls it.

    Parameters
    ----------
    draw : callable
        Returns a uniform random number in [0, 1), used for jitter.
    """

    def __init__(self, node: Node, draw: Callable[[], float]) -> None:
        self._node = node
        self._draw = draw
        self._finishes = FinishOutbox()
        self._new_finishes: queue.SimpleQueue[FinishClaim] = queue.SimpleQueue()
        self._down_since: dict[int, Seconds] = {}
        self._teams: dict[TaskId, TeamId] = {}

    def claim(self, message: ClaimRequest, timeout: float) -> ClaimResponse:
        """Claim the exclusive right to send a request.

        Raises
        ------
        UnavailableError
            If the claim was definitely not granted.
        UncertainError
            If the response was lost, so that the claim may have been granted.
        """
        return self._call(CLAIM, message, timeout)

    def finish(self, message: FinishClaim) -> None:
        """Queue the report of how a claimed request ended.

        It is sent repeatedly until the ledger acknowledges it.
        """
        self._new_finishes.put(message)

    def step(self, now: Seconds) -> None:
        """Send the queued reports that are due."""
        while not self._new_finishes.empty():
            enqueue(self._finishes, self._new_finishes.get(), now)
        for message in collect_due(self._finishes, now, self._has_owner):
            address = self._find_owner(message.team)
            assert address is not None
            future = self._node.peers.call(address, FINISH_CLAIM, message)
            self._node.executor.add_callback(
                future, callback=self._build_acknowledge_callback(message)
            )

    def has_unacknowledged_finishes(self) -> bool:
        """Return whether a report of a finished claim still awaits acknowledgement."""
        return bool(self._finishes.entries) or not self._new_finishes.empty()

    def submit(self, message: SubmitJob) -> JobStatus:
        """Submit a job and return its status once its ledger has accepted it."""
        status = self._call(SUBMIT, message, CALL_TIMEOUT_SECONDS)
        self._remember_team(status)
        return status

    def query(self, task: TaskId) -> JobStatus:
        """Return a job's status from the ledger that has it."""
        team = self._teams.get(task)
        if team is not None:
            return self._call(
                QUERY_JOB, QueryJob(task=task, team=team), CALL_TIMEOUT_SECONDS
            )
        return self._search(task)

    def cancel(self, task: TaskId) -> JobStatus:
        """Cancel a job in the ledger that has it, and return its status."""
        team = self._teams.get(task) or self._search(task).team
        return self._call(CANCEL, CancelJob(task=task, team=team), CALL_TIMEOUT_SECONDS)

    def _build_acknowledge_callback(
        self, message: FinishClaim
    ) -> Callable[[Future[Empty], Seconds], None]:
        def handle_result(done: Future[Empty], now: Seconds) -> None:
            if done.exception() is None:
                acknowledge(self._finishes, message)

        return handle_result

    def _search(self, task: TaskId) -> JobStatus:
        """Query all ledgers concurrently, addressing each by one of its teams."""
        calls = [
            self._send(QUERY_JOB, QueryJob(task=task, team=team), CALL_TIMEOUT_SECONDS)
            for team in self._list_team_per_partition()
        ]
        failure: PlantainhingeError | None = None
        for call in calls:
            try:
                status = call.result()
            except BadInputError:
                continue
            except PlantainhingeError as error:
                failure = error
                continue
            self._remember_team(status)
            return status
        if failure is not None:
            raise self._build_unavailable(failure.message, failure.step)
        raise BadInputError(f"job {task!r} is unknown", step="job.query")

    def _list_team_per_partition(self) -> list[TeamId]:
        teams = {self._find_partition(team): team for team in self._list_teams()}
        return list(teams.values())

    def _list_teams(self) -> list[TeamId]:
        configuration = self._node.current_configuration
        return sorted(configuration.teams) if configuration else []

    def _remember_team(self, status: JobStatus) -> None:
        if len(self._teams) >= REMEMBERED_TASKS_MAX:
            self._teams.pop(next(iter(self._teams)), None)
        self._teams[status.task] = status.team

    def _call(
        self, method: Method[Request, Response], message: Request, timeout: float
    ) -> Response:
        try:
            return self._send(method, message, timeout).result()
        except NotOwnerError as error:
            raise self._build_unavailable(
                error.message, error.step, error.peer
            ) from error

    def _send(
        self, method: Method[Request, Response], message: Request, timeout: float
    ) -> "Future[Response]":
        address = self._find_owner(message.team)
        if address is None:
            failed: Future[Response] = Future()
            failed.set_exception(self._build_no_owner_error(message.team, method.name))
            return failed
        return self._node.peers.call(address, method, message, timeout=timeout)

    def _build_no_owner_error(self, team: TeamId, name: str) -> UnavailableError:
        now = read_monotonic()
        since = self._down_since.setdefault(self._find_partition(team), now)
        return self._build_unavailable(
            f"the ledger of team {team!r} has no owner",
            f"ledger.{name}",
            down_for=now - since,
        )

    def _build_unavailable(
        self, message: str, step: str, peer: str = "", *, down_for: float = 0.0
    ) -> UnavailableError:
        retry_after = estimate_recovery(down_for, self._draw())
        return UnavailableError(message, step=step, peer=peer, retry_after=retry_after)

    def _has_owner(self, message: FinishClaim) -> bool:
        return self._find_owner(message.team) is not None

    def _find_owner(self, team: TeamId) -> str | None:
        partition = self._find_partition(team)
        stream = name_ledger_stream(partition)
        owner = self._node.peer_table.find_owner(stream, read_monotonic())
        if owner is None:
            return None
        self._down_since.pop(partition, None)
        return owner.address

    def _find_partition(self, team: TeamId) -> int:
        configuration = self._node.current_configuration
        if configuration is None:
            raise UnavailableError("no configuration yet", step="ledger.call")
        return find_partition(team, configuration.limits.ledger_partitions)
