"""Settings of a daemon: a JSON file with comments, validated at startup."""

import ipaddress
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Annotated, Any

import msgspec

from .errors import BadInputError
from .faults import Fault, find_type_faults, make_fault_error, parse_json
from .ids import DomainId, InstanceId, RegionId

Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
PositiveInt = Annotated[int, msgspec.Meta(gt=0)]
PositiveSeconds = Annotated[float, msgspec.Meta(gt=0)]
NonNegativeSeconds = Annotated[float, msgspec.Meta(ge=0)]

STEP = "settings.check"
LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
PORT_MAX = 65535

OVERRIDES = {
    "address": ("address",),
    "domain": ("domain",),
    "instance": ("instance",),
    "callers-port": ("ports", "callers"),
    "gateway-peers-port": ("ports", "gateway_peers"),
    "scheduler-peers-port": ("ports", "scheduler_peers"),
}


class _Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    pass


class Ports(_Section, frozen=True):
    """TCP ports, the same on every instance of the site.

    Parameters
    ----------
    callers : int
        Port on which the gateway listens for callers.
    gateway_peers : int
        Port on which the gateway listens for peers.
    scheduler_peers : int
        Port on which the scheduler listens for peers.
    """

    callers: Port = 8080
    gateway_peers: Port = 7101
    scheduler_peers: Port = 7102


class Callers(_Section, frozen=True):
    """Limits on the connections and requests of callers.

    Parameters
    ----------
    threads : int
        Maximum number of requests handled concurrently.
    connections : int
        Maximum number of open connections, and at most half of the system's limit of
        open files. A further one closes that which has waited longest for its caller.
    body_bytes : int
        Maximum size of a request body.
    header_bytes : int
        Maximum total size of the header lines of a request.
    received_bytes : int
        Maximum total size of all requests from their first byte until they are
        answered. Beyond it, the largest that isn't complete is refused.
    unread_bytes : int
        Total size of answers that callers haven't read beyond which those that read
        nothing for two seconds are closed.
    idle_seconds : int
        Time after which an idle connection is closed.
    linger_seconds : float
        Time in a planned stop between reporting unready and refusing connections;
        must exceed the time that the load balancer takes to notice.
    drain_seconds : float
        Maximum time in a planned stop to finish requests in flight; must exceed
        the longest deadline.
    """

    threads: PositiveInt = 64
    connections: PositiveInt = 1000
    body_bytes: PositiveInt = 1_048_576
    header_bytes: PositiveInt = 16_384
    received_bytes: PositiveInt = 25_165_824
    unread_bytes: PositiveInt = 16_777_216
    idle_seconds: PositiveInt = 120
    linger_seconds: NonNegativeSeconds = 3.0
    drain_seconds: PositiveSeconds = 30.0


class PeerLimits(_Section, frozen=True):
    """Limits on the connections and calls of peers.

    Parameters
    ----------
    connections : int
        Maximum number of open connections, and at most a quarter of the system's limit
        of open files. A further one closes that which has been idle longest.
    message_bytes : int
        Maximum size of the message of a call.
    held_bytes : int
        Maximum total size of the calls that are being received or handled and of the
        answers that are being sent. Beyond it, the connection with most is closed.
    """

    connections: PositiveInt = 1000
    message_bytes: PositiveInt = 4_194_304
    held_bytes: PositiveInt = 16_777_216


class Settings(_Section, frozen=True):
    """What a daemon needs to know before it can read the log.

    Parameters
    ----------
    instance : str
        Name of this instance in the platform's list of instances.
    address : str
        IP address of this instance, on which the daemons listen.
    domain : str
        Failure domain of this instance.
    region : str
        Region of this instance.
    log_address : str
        ``ip:port`` of the platform's log.
    instance_list_address : str
        ``ip:port`` of the platform's list of instances.
    ports : object
        TCP ports, the same on every instance of the site.
    callers : object
        Limits on the connections and requests of callers.
    peers : object
        Limits on the connections and calls of peers.
    log_level : str
        Minimum level of log lines: DEBUG, INFO, WARNING or ERROR.
    metrics_endpoint : str
        URL of an OTLP collector for metrics; empty for none.
    """

    instance: Annotated[InstanceId, msgspec.Meta(min_length=1, max_length=128)]
    address: str
    domain: Annotated[DomainId, msgspec.Meta(min_length=1, max_length=128)]
    region: Annotated[RegionId, msgspec.Meta(min_length=1, max_length=128)]
    log_address: str
    instance_list_address: str
    ports: Ports = Ports()
    callers: Callers = Callers()
    peers: PeerLimits = PeerLimits()
    log_level: str = "INFO"
    metrics_endpoint: str = ""


def load_settings(path: Path, overrides: Mapping[str, str] | None = None) -> Settings:
    """Read and validate a settings file.

    Parameters
    ----------
    overrides : mapping
        Values that take precedence over the file's, keyed as in ``OVERRIDES``.

    Raises
    ------
    BadInputError
        If the file cannot be read, is not valid JSON, or has invalid settings;
        the message lists every fault.
    """
    text = read_text(path, step=STEP)
    document = parse_json(text, step=STEP, source=str(path))
    faults = []
    if isinstance(document, dict):
        for name, value in (overrides or {}).items():
            _override(document, OVERRIDES[name], value)
        faults = find_value_faults(document)
    faults = [*find_type_faults(document, Settings), *faults]
    if faults:
        raise make_fault_error(faults, step=STEP, source=str(path))
    return msgspec.convert(document, Settings)


def read_text(path: Path, *, step: str) -> str:
    """Return a file's text.

    Raises
    ------
    BadInputError
        If the file cannot be read or is not valid UTF-8.
    """
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, ValueError) as error:
        raise BadInputError(str(error), step=step, peer=str(path)) from error


def find_value_faults(document: Mapping[str, Any]) -> list[Fault]:
    """Return the faults of values whose type is right but whose content is not."""
    faults = []
    for name, (is_valid, expected) in _TEXT_CHECKS.items():
        value = document.get(name)
        if isinstance(value, str) and not is_valid(value):
            faults.append(Fault(name, f"{value!r} is wrong; valid: {expected}"))
    ports = document.get("ports")
    if isinstance(ports, dict) and len(set(map(repr, ports.values()))) < len(ports):
        faults.append(Fault("ports", f"{ports!r} is wrong; valid: all different"))
    return faults


def _override(document: dict[str, Any], keys: tuple[str, ...], value: str) -> None:
    for key in keys[:-1]:
        document = document.setdefault(key, {})
        if not isinstance(document, dict):
            return
    document[keys[-1]] = int(value) if value.isdecimal() else value


def _is_ip(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def _is_endpoint_url(text: str) -> bool:
    return not text or text.startswith(("http://", "https://"))


def _is_endpoint(text: str) -> bool:
    ip, _, port = text.rpartition(":")
    return _is_ip(ip) and port.isdecimal() and 0 < int(port) <= PORT_MAX


_TEXT_CHECKS: dict[str, tuple[Callable[[str], bool], str]] = {
    "address": (_is_ip, "an IP address"),
    "log_address": (_is_endpoint, "ip:port"),
    "instance_list_address": (_is_endpoint, "ip:port"),
    "log_level": (LOG_LEVELS.__contains__, f"one of {list(LOG_LEVELS)}"),
    "metrics_endpoint": (_is_endpoint_url, "empty or an http:// or https:// URL"),
}
