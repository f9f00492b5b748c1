"""Decodes the operator's records in the platform's store."""

import logging
from typing import Annotated, Any

import msgspec

from ..core.errors import BadInputError
from ..core.ids import DomainId, QueueName, Revision, ServiceId, WorkspaceId
from ..core.log_events import write_event
from ..core.packing import DECODING_ERRORS
from ..core.resources import Resources
from ..fleet.credentials import check_workspaces, digest_key
from ..fleet.log_events import ConfigurationUnreadable
from ..fleet.operator import (
    BODY_BYTES_MAX,
    DomainClosure,
    OperatorRecord,
    QueueRoute,
    SchedulingConfiguration,
    Workspace,
)
from ..jobs.model import QueuePolicy
from .amounts import INTEGER_MAX, Amount

logger = logging.getLogger(__name__)

CONFIG_KEY = "config"
EVACUATE_PREFIX = "evacuate/"
KEY_BYTES_MAX = 256

Key = Annotated[str, msgspec.Meta(min_length=1, max_length=KEY_BYTES_MAX)]
Weight = Annotated[float, msgspec.Meta(ge=0, le=INTEGER_MAX)]


class _Route(msgspec.Struct, kw_only=True):
    name: str
    host: str
    prefix: str = msgspec.field(name="pathPrefix")
    service: str
    priority: int = 0
    attempts: int = 1
    slack_factor: float = msgspec.field(name="slackFactor", default=1.0)
    target_latency_ms: float = msgspec.field(name="targetLatencyMs", default=0)
    # on the wire "hint": limits of the service that advises on eligible workers
    advice: Any = msgspec.field(name="hint", default=None)
    anonymous: bool = False


class _Service(msgspec.Struct, kw_only=True):
    name: str
    # on the wire "enforceCapacity": whether workers refuse what doesn't fit
    guarded: bool = msgspec.field(name="enforceCapacity", default=False)


class _Limits(msgspec.Struct):
    body_bytes_max: int = msgspec.field(name="maxBodyBytes", default=BODY_BYTES_MAX)


class _Cap(msgspec.Struct, kw_only=True):
    # on the wire, 0 stands for no limit
    cpu: Amount = 0  # thousandths of a core
    memory: Amount = msgspec.field(name="memMb", default=0)
    gpu: Amount = 0


# on the wire "tenants"
class _Workspace(msgspec.Struct, kw_only=True):
    name: str
    keys: list[Key] = msgspec.field(name="apiKeys", default_factory=list)
    weight: Weight = 1.0
    cap: _Cap = msgspec.field(default_factory=_Cap)


class _Config(msgspec.Struct, kw_only=True):
    version: int
    routes: list[_Route]
    services: list[_Service] = []
    workspaces: list[_Workspace] | None = msgspec.field(name="tenants", default=None)
    limits: _Limits = msgspec.field(default_factory=_Limits)


def decode_operator_record(key: str, value: bytes) -> OperatorRecord | None:
    """Decode an operator's record; None if its key is unknown or it is invalid."""
    if key.startswith(EVACUATE_PREFIX):
        return DomainClosure(DomainId(key.removeprefix(EVACUATE_PREFIX)))
    if key != CONFIG_KEY:
        return None
    try:
        return _decode_configuration(msgspec.json.decode(value, type=_Config))
    except (BadInputError, *DECODING_ERRORS) as error:
        write_event(logger, ConfigurationUnreadable(cause=str(error)))
        return None


def _decode_configuration(config: _Config) -> SchedulingConfiguration:
    workspaces = None
    if config.workspaces is not None:
        workspaces = tuple(_decode_workspace(each) for each in config.workspaces)
        check_workspaces(workspaces)
    return SchedulingConfiguration(
        revision=Revision(config.version),
        routes=tuple(_decode_route(route) for route in config.routes),
        body_bytes_max=config.limits.body_bytes_max,
        guarded_services=frozenset(
            ServiceId(service.name) for service in config.services if service.guarded
        ),
        workspaces=workspaces,
    )


def _decode_workspace(workspace: _Workspace) -> Workspace:
    cap = workspace.cap
    return Workspace(
        name=WorkspaceId(workspace.name),
        key_digests=tuple(digest_key(key) for key in workspace.keys),
        weight=workspace.weight,
        cap=Resources(
            cap.cpu or INTEGER_MAX, cap.memory or INTEGER_MAX, cap.gpu or INTEGER_MAX
        ),
    )


def _decode_route(route: _Route) -> QueueRoute:
    policy = QueuePolicy(
        queue=QueueName(route.name),
        service=ServiceId(route.service),
        priority=route.priority,
        attempts=route.attempts,
        slack_factor=route.slack_factor,
        target_latency=route.target_latency_ms / 1000,
        advised=bool(route.advice),
    )
    return QueueRoute(
        host=route.host,
        prefix=route.prefix,
        policy=policy,
        anonymous=route.anonymous,
    )
