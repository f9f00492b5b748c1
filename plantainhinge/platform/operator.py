"""Decodes the operator's records in the platform's store."""

import logging
from typing import Any

import msgspec

from ..core.ids import DomainId, QueueName, Revision, ServiceId
from ..core.log_events import write_event
from ..core.packing import DECODING_ERRORS
from ..fleet.log_events import ConfigurationUnreadable
from ..fleet.operator import (
    DomainClosure,
    OperatorRecord,
    QueueRoute,
    SchedulingConfiguration,
)
from ..jobs.model import QueuePolicy

logger = logging.getLogger(__name__)

CONFIG_KEY = "config"
EVACUATE_PREFIX = "evacuate/"


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


class _Service(msgspec.Struct, kw_only=True):
    name: str
    # on the wire "enforceCapacity": whether workers refuse what doesn't fit
    guarded: bool = msgspec.field(name="enforceCapacity", default=False)


class _Limits(msgspec.Struct):
    body_bytes_max: int = msgspec.field(name="maxBodyBytes", default=262144)


class _Config(msgspec.Struct, kw_only=True):
    version: int
    routes: list[_Route]
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


def decode_operator_record(key: str, value: bytes) -> OperatorRecord | None:
    """Decode an operator's record; None if its key is unknown or it is invalid."""
    if key.startswith(EVACUATE_PREFIX):
        return DomainClosure(DomainId(key.removeprefix(EVACUATE_PREFIX)))
    if key != CONFIG_KEY:
        return None
    try:
        config = msgspec.json.decode(value, type=_Config)
    except DECODING_ERRORS as error:
        write_event(logger, ConfigurationUnreadable(cause=str(error)))
        return None
    return SchedulingConfiguration(
        revision=Revision(config.version),
        routes=tuple(_decode_route(route) for route in config.routes),
        body_bytes_max=config.limits.body_bytes_max,
        guarded_services=frozenset(
            ServiceId(service.name) for service in config.services if service.guarded
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
    return QueueRoute(host=route.host, prefix=route.prefix, policy=policy)
