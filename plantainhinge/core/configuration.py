"""The operators' configuration: one checked document, applied whole."""

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
    """Declared resources of a task, in the operators' units."""

    processors: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    memory_gib: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    accelerators: Count = 0

    def to_resources(self) -> Resources:
        """Return the amount in millicores, MiB and whole accelerators."""
        return Resources(
            round(self.processors * 1000),
            round(self.memory_gib * 1024),
            self.accelerators,
        )


class Domain(_Section, frozen=True):
    """A failure domain and whether it takes work."""

    region: RegionId
    state: DomainState = DomainState.IN


class Team(_Section, frozen=True):
    """A team and the most it may have running at once."""

    quota: Amount


class Service(_Section, frozen=True):
    """A latency-critical service kept at a count of replicas."""

    team: TeamId
    replicas: Count
    task: Amount
    slots: PositiveInt = 8
    connections: PositiveInt = 64


class Kind(_Section, frozen=True):
    """A kind of work: requests to a service, or batch jobs.

    Parameters
    ----------
    service : ServiceId or None
        The service that answers requests of this kind; none for batch jobs.
    task_class : TaskClass
        Latency-critical work goes first.
    idempotent : bool
        Whether a request may run twice without harm.
    deadline_seconds : float
        Time a request has when its caller names none.
    task : Amount
        What a batch job of this kind declares.
    priority : int
        Higher goes first among batch jobs.
    urgent : bool
        Whether it starts ahead of all work that is not urgent.
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
    """Bounds that hold for the whole site.

    Parameters
    ----------
    gateways : int
        The most gateways that run at once in one region, replaced ones that
        may not have ended included. Each may use this part of the connections
        that a target takes.
    """

    gateways: PositiveInt = 16
    ledger_partitions: PositiveInt = 4
    attempts_per_task: PositiveInt = 5


class Placement(_Section, frozen=True):
    """Which placement policies are in force, and their limits.

    Parameters
    ----------
    headroom_share : float
        The part of a leaving domain's services that the others of its region keep
        room for.
    grace_seconds : float
        How long tasks may run on in a domain that is out.
    slowdown_limit : float
        How many times its time alone a service may take before batch is held back.
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
    """Everything the operators declare."""

    schema: Annotated[int, msgspec.Meta(ge=1, le=SCHEMA)]
    domains: dict[DomainId, Domain]
    teams: dict[TeamId, Team]
    services: dict[ServiceId, Service]
    kinds: dict[KindId, Kind]
    limits: Limits = Limits()
    placement: Placement = Placement()
