"""The ``jobs`` command: the jobs of a team, or the details of one job."""

import argparse
from typing import Any

import msgspec

from ..adapters.peers_grpc import LIST_JOBS, QUERY_JOB, Method
from ..core.errors import BadInputError, UnavailableError
from ..core.ids import TaskId, TeamId
from ..core.messages import JobList, JobStatus, ListJobs, QueryJob
from ..core.settings import Settings
from ..core.states import DaemonRole
from .arguments import add_settings, read_settings
from .output import format_table
from .processes import query_processes
from .registry import command

COLUMNS = ("job", "kind", "state", "attempts", "domain", "reason")
DEFAULT_LIMIT = 50


class TeamJobs(msgspec.Struct, frozen=True):
    """The newest jobs of a team and how many it has in total."""

    team: TeamId
    list: JobList

    def format_text(self) -> str:
        """Return a table."""
        rows = [_format_row(job) for job in self.list.jobs]
        shown = f"{len(rows)} of {self.list.total} jobs of team {self.team}"
        return f"{shown}\n{format_table(COLUMNS, rows)}" if rows else shown


class JobDetails(msgspec.Struct, frozen=True):
    """The status of one job."""

    job: JobStatus

    def format_text(self) -> str:
        """Return one line per field that is set."""
        fields = msgspec.to_builtins(self.job)
        lines = (f"{name}: {value}" for name, value in fields.items() if value != "")
        return "\n".join(lines)


def list_jobs(settings: Settings, team: TeamId, limit: int) -> TeamJobs:
    """Query the newest jobs of a team from the owner of its ledger."""
    return TeamJobs(
        team, _query_owner(settings, LIST_JOBS, ListJobs(team=team, limit=limit), team)
    )


def find_job(settings: Settings, team: TeamId, task: TaskId) -> JobDetails:
    """Query the status of one job from the owner of its team's ledger."""
    return JobDetails(
        _query_owner(settings, QUERY_JOB, QueryJob(task=task, team=team), team)
    )


def _query_owner(
    settings: Settings, method: Method[Any, Any], request: Any, team: TeamId
) -> Any:
    """Query all schedulers and return the response of the ledger's owner.

    Raises
    ------
    BadInputError
        If a scheduler rejected the request as invalid.
    UnavailableError
        If none of them owns the ledger of the team.
    """
    replies = query_processes(settings, method, [request], role=DaemonRole.SCHEDULER)
    for reply in replies:
        if reply.response is not None:
            return reply.response
        if isinstance(reply.error, BadInputError):
            raise reply.error
    raise UnavailableError(
        f"the ledger of team {team!r} has no owner now", step=f"peer.{method.name}"
    )


def _format_row(job: JobStatus) -> list[str]:
    return [
        job.task,
        job.kind,
        job.state.value,
        str(job.attempts),
        job.cell or "-",
        job.reason or job.waits_for or "-",
    ]


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("team", type=TeamId)
    parser.add_argument(
        "job", type=TaskId, nargs="?", help="show only this job, with all its fields"
    )
    parser.add_argument(
        "--limit",
        type=int,
        default=DEFAULT_LIMIT,
        help="maximum number of jobs to list",
    )
    add_settings(parser)


@command(
    "jobs",
    summary="list a team's jobs, or show one in detail",
    example="plantainhinge jobs audit --settings /etc/plantainhinge.jsonc",
    arguments=_add_arguments,
)
def show_jobs(options: argparse.Namespace) -> TeamJobs | JobDetails:
    """Query the scheduler that owns the ledger of the team."""
    settings = read_settings(options)
    if options.job is not None:
        return find_job(settings, options.team, options.job)
    return list_jobs(settings, options.team, options.limit)
