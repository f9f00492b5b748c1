"""Calls from a gateway to the owners of ledgers."""

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

CALL_SECONDS = 5.0
REMEMBERED_TASKS_MAX = 10_000

Request = TypeVar("Request", bound="OfTeam")
Reply = TypeVar("Reply")


class OfTeam(Protocol):
    """A message about something of one team."""

    @property
    def team(self) -> TeamId:
        """The team whose ledger is meant."""


class LedgerClient:
    """Finds the owner of a team's ledger and calls it.

    Parameters
    ----------
    draw : callable
        Returns uniform numbers in [0, 1).
    """

    def __init__(self, node: Node, draw: Callable[[], float]) -> None:
        self._node = node
        self._draw = draw
        self._finishes = FinishOutbox()
        self._inbox: queue.SimpleQueue[FinishClaim] = queue.SimpleQueue()
        self._down_since: dict[int, Seconds] = {}
        self._teams: dict[TaskId, TeamId] = {}

    def claim(self, message: ClaimRequest, timeout: float) -> ClaimResponse:
        """Ask for the only right to send a request.

        Raises
        ------
        UnavailableError
            If it surely was not granted.
        UncertainError
            If the answer was lost.
        """
        return self._call(CLAIM, message, timeout)

    def finish(self, message: FinishClaim) -> None:
        """Tell the ledger how a claimed request went, until it has heard it."""
        self._inbox.put(message)

    def step(self, now: Seconds) -> None:
        """Send the messages that are due."""
        while not self._inbox.empty():
            enqueue(self._finishes, self._inbox.get(), now)
        for message in collect_due(self._finishes, now, self._has_owner):
            address = self._find_owner(message.team)
            assert address is not None
            future = self._node.peers.call(address, FINISH_CLAIM, message)
            self._node.commander.follow(future, then=self._build_receipt(message))

    def has_unfinished(self) -> bool:
        """Return whether some message has not been acknowledged."""
        return bool(self._finishes.entries) or not self._inbox.empty()

    def submit(self, message: SubmitJob) -> JobStatus:
        """Have a job accepted."""
        account = self._call(SUBMIT, message, CALL_SECONDS)
        self._remember(account)
        return account

    def query(self, task: TaskId) -> JobStatus:
        """Return a job's account from the ledger that has it."""
        known = self._teams.get(task)
        if known is not None:
            return self._call(QUERY_JOB, QueryJob(task=task, team=known), CALL_SECONDS)
        return self._search(task)

    def cancel(self, task: TaskId) -> JobStatus:
        """Cancel a job in the ledger that has it."""
        team = self._teams.get(task) or self._search(task).team
        return self._call(CANCEL, CancelJob(task=task, team=team), CALL_SECONDS)

    def _build_receipt(
        self, message: FinishClaim
    ) -> Callable[[Future[Empty], Seconds], None]:
        def take(done: Future[Empty], now: Seconds) -> None:
            if done.exception() is None:
                acknowledge(self._finishes, message)

        return take

    def _search(self, task: TaskId) -> JobStatus:
        """Ask all ledgers at once, each through one of its teams."""
        calls = [
            self._start(QUERY_JOB, QueryJob(task=task, team=team), CALL_SECONDS)
            for team in self._list_one_team_each()
        ]
        failure: PlantainhingeError | None = None
        for call in calls:
            try:
                account = call.result()
            except BadInputError:
                continue
            except PlantainhingeError as error:
                failure = error
                continue
            self._remember(account)
            return account
        if failure is not None:
            raise self._build_unavailable(failure.message, failure.step)
        raise BadInputError(f"job {task!r} is unknown", step="job.query")

    def _list_one_team_each(self) -> list[TeamId]:
        teams = {self._find_partition(team): team for team in self._list_teams()}
        return list(teams.values())

    def _list_teams(self) -> list[TeamId]:
        configuration = self._node.current
        return sorted(configuration.teams) if configuration else []

    def _remember(self, account: JobStatus) -> None:
        if len(self._teams) >= REMEMBERED_TASKS_MAX:
            self._teams.pop(next(iter(self._teams)), None)
        self._teams[account.task] = account.team

    def _call(
        self, method: Method[Request, Reply], message: Request, timeout: float
    ) -> Reply:
        try:
            return self._start(method, message, timeout).result()
        except NotOwnerError as error:
            raise self._build_unavailable(
                error.message, error.step, error.peer
            ) from error

    def _start(
        self, method: Method[Request, Reply], message: Request, timeout: float
    ) -> "Future[Reply]":
        address = self._find_owner(message.team)
        if address is None:
            failed: Future[Reply] = Future()
            failed.set_exception(self._refuse_ownerless(message.team, method.name))
            return failed
        return self._node.peers.call(address, method, message, timeout=timeout)

    def _refuse_ownerless(self, team: TeamId, name: str) -> UnavailableError:
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
        wait = estimate_recovery(down_for, self._draw())
        return UnavailableError(message, step=step, peer=peer, retry_after=wait)

    def _has_owner(self, message: FinishClaim) -> bool:
        return self._find_owner(message.team) is not None

    def _find_owner(self, team: TeamId) -> str | None:
        partition = self._find_partition(team)
        stream = name_ledger_stream(partition)
        owner = self._node.table.find_owner(stream, read_monotonic())
        if owner is None:
            return None
        self._down_since.pop(partition, None)
        return owner.address

    def _find_partition(self, team: TeamId) -> int:
        configuration = self._node.current
        if configuration is None:
            raise UnavailableError("no configuration yet", step="ledger.call")
        return find_partition(team, configuration.limits.ledger_partitions)
