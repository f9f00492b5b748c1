"""The ``status`` command: readiness and configuration of every daemon."""

import argparse

import msgspec

from ..adapters.peers_grpc import QUERY_STATUS
from ..core.ids import Revision
from ..core.messages import ProcessStatus, QueryStatus
from ..core.settings import Settings
from ..core.states import DaemonRole
from .arguments import add_settings, read_settings
from .output import format_table
from .processes import Reply, query_processes
from .registry import command

COLUMNS = ("instance", "role", "ready", "revision", "age s", "owns", "troubles")


class DaemonRow(msgspec.Struct, frozen=True, kw_only=True):
    """The status of one daemon.

    Parameters
    ----------
    age : float or None
        Seconds since the daemon last confirmed its view of the configuration; None if
        it never did or did not respond.
    troubles : list of str
        Why it lags behind, is not ready, or did not respond.
    """

    instance: str
    role: DaemonRole
    address: str
    ready: bool
    revision: Revision
    age: float | None
    owned: list[str]
    troubles: list[str]


class SiteStatus(msgspec.Struct, frozen=True):
    """The status of all daemons, and the newest revision that any of them runs."""

    revision: Revision
    daemons: list[DaemonRow]

    def format_text(self) -> str:
        """Return a summary line and a table with one row per daemon."""
        rows = [_format_row(row) for row in self.daemons]
        ready = sum(row.ready for row in self.daemons)
        return (
            f"revision {self.revision}; {ready} of {len(rows)} daemons ready\n"
            f"{format_table(COLUMNS, rows)}"
        )


def collect_status(settings: Settings) -> SiteStatus:
    """Query the status of every daemon."""
    replies = query_processes(settings, QUERY_STATUS, [QueryStatus()])
    revisions = [r.response.heartbeat.revision for r in replies if r.response]
    newest = max(revisions, default=Revision(0))
    return SiteStatus(newest, [_build_row(reply, newest) for reply in replies])


def _build_row(reply: Reply[ProcessStatus], newest: Revision) -> DaemonRow:
    endpoint, status = reply.endpoint, reply.response
    if status is None:
        return DaemonRow(
            instance=endpoint.instance,
            role=endpoint.role,
            address=endpoint.address,
            ready=False,
            revision=Revision(0),
            age=None,
            owned=[],
            troubles=[str(reply.error)],
        )
    revision = status.heartbeat.revision
    lag = [f"runs revision {revision}, newest is {newest}"]
    return DaemonRow(
        instance=endpoint.instance,
        role=endpoint.role,
        address=endpoint.address,
        ready=status.heartbeat.ready,
        revision=revision,
        age=status.configuration_age,
        owned=sorted(status.heartbeat.owned),
        troubles=[*(lag if revision < newest else []), *status.troubles],
    )


def _format_row(row: DaemonRow) -> list[str]:
    return [
        row.instance,
        row.role.value,
        "yes" if row.ready else "no",
        str(row.revision),
        "-" if row.age is None else f"{row.age:.1f}",
        ",".join(row.owned) or "-",
        "; ".join(row.troubles) or "-",
    ]


@command(
    "status",
    summary="show readiness, configuration, streams and troubles of every daemon",
    example="plantainhinge status --settings /etc/plantainhinge.jsonc",
    arguments=add_settings,
)
def show_status(options: argparse.Namespace) -> SiteStatus:
    """Show the status of every daemon, also of those that don't respond."""
    return collect_status(read_settings(options))
