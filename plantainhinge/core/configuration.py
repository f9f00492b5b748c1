"""Schema of the site configuration.

The operators write it as one document, which is validated and applied as a whole.
"""

from typing import Annotated, Literal

import msgspec

from .ids import DomainId, KindId, RegionId, ServiceId, TeamId
from .resources import Resources
from .states import DomainState, TaskClass

SCHEMA = 1

PositiveInt = Annotated[int, msgspec.Meta(gt=0)]
Count = Annotated[int, msgspec.Meta(ge=0)]
PositiveSeconds = Annotated[float, msgspec.Meta(gt=0)]


class _Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    pass


class Amount(_Section, frozen=True):
    """Resources as declared in the configuration: cores, GiB and accelerators."""

    processors: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    memory_gib: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    accelerators: Count = 0

    def to_resources(self) -> Resources:
        """Convert to millicores, MiB and whole accelerators, rounded to the nearest."""
        return Resources(
            round(self.processors * 1000),
            round(self.memory_gib * 1024),
            self.accelerators,
        )


class Domain(_Section, frozen=True):
    """A failure domain and whether work may be placed in it."""

    region: RegionId
    state: DomainState = DomainState.IN


class Team(_Section, frozen=True):
    """A team and the quota on the resources of its running tasks."""

    quota: Amount


class Service(_Section, frozen=True):
    """A latency-critical service and its desired number of replicas.

    Parameters
    ----------
    slots : int
        Requests that one replica runs at once.
    connections : int
        Connections that one replica accepts, over all gateways.
    """

    team: TeamId
    replicas: Count
    task: Amount
    slots: PositiveInt = 8
    connections: PositiveInt = 64


class Kind(_Section, frozen=True):
    """A kind of work: either requests to a service or batch jobs.

    Parameters
    ----------
    service : ServiceId or None
        The service that handles requests of this kind; None for batch jobs.
    task_class : TaskClass
        Latency-critical work takes precedence over batch work.
    idempotent : bool
        Whether a request may safely be run more than once.
    deadline_seconds : float
        Deadline of a request whose caller gave none.
    task : Amount
        Resources that a batch job of this kind requests.
    priority : int
        Batch jobs with a higher priority are placed first.
    urgent : bool
        Whether its batch jobs start ahead of all jobs that are not urgent.
    """

    team: TeamId
    task_class: TaskClass
    service: ServiceId | None = None
    idempotent: bool = True
    deadline_seconds: PositiveSeconds = 2.0
    task: Amount = Amount()
    priority: int = 0
    urgent: bool = False


class Limits(_Section, frozen=True):
    """Site-wide limits.

    Parameters
    ----------
    gateways : int
        Maximum number of gateways that run at once in one region, counting
        replaced ones that may still be running. Each gateway may use the fraction
        ``1 / gateways`` of the connections that a target accepts.
    """

    gateways: PositiveInt = 16
    ledger_partitions: PositiveInt = 4
    attempts_per_task: PositiveInt = 5


class Placement(_Section, frozen=True):
    """The selected placement policies and their limits.

    Parameters
    ----------
    headroom_share : float
        Share of the services of a failure domain for which the other failure
        domains of its region keep free capacity, in case it is taken out.
    grace_seconds : float
        How long tasks may keep running in a failure domain that is taken out.
    slowdown_limit : float
        Slowdown of a service, relative to running alone, above which batch work
        on the same worker is held back by the policy that ``relief`` selects.
    """

    order: Literal["arrival", "strict-priority", "aged-priority"] = "aged-priority"
    cell_choice: Literal["first-fit", "most-free", "spread"] = "spread"
    score: Literal["first-fit", "least-loaded", "combined"] = "combined"
    interference: Literal["none", "pairwise"] = "pairwise"
    relief: Literal["none", "evict-on-harm", "throttle-then-evict"] = (
        "throttle-then-evict"
    )
    drain: Literal["at-once", "by-priority"] = "by-priority"
    headroom_share: Annotated[float, msgspec.Meta(ge=0, le=1)] = 1.0
    grace_seconds: Annotated[float, msgspec.Meta(ge=0, le=3600)] = 20.0
    slowdown_limit: Annotated[float, msgspec.Meta(gt=1)] = 2.0


class Configuration(_Section, frozen=True):
    """The complete site configuration, as written by the operators."""

    schema: Annotated[int, msgspec.Meta(ge=1, le=SCHEMA)]
    domains: dict[DomainId, Domain]
    teams: dict[TeamId, Team]
    services: dict[ServiceId, Service]
    kinds: dict[KindId, Kind]
    limits: Limits = Limits()
    placement: Placement = Placement()
