"""A daemon's settings: a JSON file with comments, checked whole at start."""

from pathlib import Path
from typing import Annotated

import json5
import msgspec

from .errors import BadInputError
from .ids import DomainId, InstanceId, RegionId

Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
PositiveInt = Annotated[int, msgspec.Meta(gt=0)]


class _Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    pass


class Ports(_Section, frozen=True):
    """TCP ports, the same on every instance of the site."""

    callers: Port = 8080
    gateway_peers: Port = 7101
    scheduler_peers: Port = 7102


class Callers(_Section, frozen=True):
    """Bounds on what callers may send and hold."""

    threads: PositiveInt = 64
    connections: PositiveInt = 1000
    body_bytes: PositiveInt = 1_048_576
    header_bytes: PositiveInt = 16_384


class Settings(_Section, frozen=True):
    """Everything one daemon needs to know before it can read the log.

    Parameters
    ----------
    instance : InstanceId
        This instance's name on the platform's list.
    address : str
        This instance's IP number; daemons listen on it.
    log_address, instance_list_address : str
        ``ip:port`` of the platform's services.
    """

    instance: InstanceId
    address: str
    domain: DomainId
    region: RegionId
    log_address: str
    instance_list_address: str
    ports: Ports = Ports()
    callers: Callers = Callers()
    log_level: str = "INFO"
    metrics_endpoint: str = ""


def load_settings(path: Path) -> Settings:
    """Return the checked settings in a file.

    Raises
    ------
    BadInputError
        If the file cannot be read, is no JSON, or fails a check.
    """
    step = "settings.check"
    try:
        document = json5.loads(path.read_text(encoding="utf-8"))
        return msgspec.convert(document, Settings)
    except (OSError, ValueError, msgspec.ValidationError) as error:
        raise BadInputError(str(error), step=step, peer=str(path)) from error
