"""Validation rules across sections and revisions of a configuration.

The rules for a schema version must not change once it is released: daemons of
different releases replay the same documents and must agree on which are valid. A
stricter rule requires a new schema version.
"""

from collections.abc import Iterator

from .configuration import Amount, Configuration
from .faults import Fault, describe_unknown
from .states import DomainState, TaskClass


def find_reference_faults(configuration: Configuration) -> Iterator[Fault]:
    """Yield faults between sections, such as references to unknown names."""
    yield from _check_services(configuration)
    yield from _check_kinds(configuration)


def find_transition_faults(
    before: Configuration, after: Configuration
) -> Iterator[Fault]:
    """Yield a fault for each change that is not allowed between two revisions."""
    for name, domain in before.domains.items():
        if name in after.domains and after.domains[name].region != domain.region:
            yield Fault(f"domains.{name}.region", f"must stay {domain.region!r}")
        if name not in after.domains and domain.state is DomainState.IN:
            yield Fault(f"domains.{name}", 'must be "out" before it is removed')
    partitions = before.limits.ledger_partitions
    if after.limits.ledger_partitions != partitions:
        yield Fault("limits.ledger_partitions", f"must stay {partitions}")
    for kind_name, kind in before.kinds.items():
        changed = after.kinds.get(kind_name)
        if kind.idempotent or changed is None or changed.team == kind.team:
            continue
        # Claims are kept in the team's ledger; another team's would grant them again.
        yield Fault(f"kinds.{kind_name}.team", f"must stay {kind.team!r}")


def _check_services(configuration: Configuration) -> Iterator[Fault]:
    teams = configuration.teams
    for name, service in configuration.services.items():
        team = teams.get(service.team)
        if team is None:
            problem = describe_unknown(service.team, sorted(teams))
            yield Fault(f"services.{name}.team", problem)
        elif service.replicas and not _fits(service.task, team.quota):
            yield Fault(
                f"services.{name}.task",
                f"one replica is more than the quota of team {service.team!r}",
            )
        if service.connections < configuration.limits.gateways:
            yield Fault(
                f"services.{name}.connections",
                f"{service.connections} is below limits.gateways; "
                f"valid: at least {configuration.limits.gateways}",
            )


def _check_kinds(configuration: Configuration) -> Iterator[Fault]:
    for name, kind in configuration.kinds.items():
        where = f"kinds.{name}"
        if kind.team not in configuration.teams:
            problem = describe_unknown(kind.team, sorted(configuration.teams))
            yield Fault(f"{where}.team", problem)
        if kind.service is None:
            if kind.task_class is TaskClass.LATENCY_CRITICAL:
                yield Fault(f"{where}.service", "a latency-critical kind needs one")
        elif kind.task_class is TaskClass.BATCH:
            yield Fault(f"{where}.service", "a batch kind has none")
        elif kind.service not in configuration.services:
            problem = describe_unknown(kind.service, sorted(configuration.services))
            yield Fault(f"{where}.service", problem)


def _fits(task: Amount, quota: Amount) -> bool:
    return (
        task.processors <= quota.processors
        and task.memory_gib <= quota.memory_gib
        and task.accelerators <= quota.accelerators
    )
