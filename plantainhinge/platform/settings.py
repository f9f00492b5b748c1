"""The settings file, which the platform renders from the deploy folder's template."""

from pathlib import Path
from typing import Annotated

import msgspec

from ..core.errors import BadInputError
from ..core.ids import DomainId, InstanceId
from .store import APPEND_BYTES_MAX, RECORD_BYTES_MAX

FILES_MAX = 4096
MEMORY_MB = 200.0

PositiveNumber = Annotated[float, msgspec.Meta(gt=0)]
PositiveInteger = Annotated[int, msgspec.Meta(gt=0)]
Address = Annotated[str, msgspec.Meta(pattern=r"^[^:\s]+:\d+$")]


class PlatformSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The settings of one entry instance.

    Parameters
    ----------
    callers_address : str
        ``host:port`` on which to serve callers.
    ready_address : str
        ``host:port`` on which to serve readiness probes.
    control_address : str
        ``host:port`` on which to serve peers and metrics.
    log_address : str
        ``host:port`` of the platform's store.
    advice_address : str
        ``host:port`` of the service that advises on workers; empty if there is none.
    lease_seconds_max : float
        Longest lease that workers grant.
    member_seconds : float
        Shortest time without contact after which the store removes a group member.
    record_bytes_max, append_bytes_max : int
        Largest record and append that the store takes, in bytes.
    files_max : int
        File descriptors that the process may have open.
    memory_mb : float
        Memory that the process may use, in MB; a share of it is for requests that
        are being received.
    core_share, core_speed : float
        Share of a CPU core that the process has, and the core's speed relative to a
        standard core.
    """

    instance: InstanceId
    domain: DomainId
    callers_address: Address
    ready_address: Address
    control_address: Address
    log_address: Address
    advice_address: str = ""
    lease_seconds_max: PositiveNumber
    member_seconds: PositiveNumber
    record_bytes_max: PositiveInteger = RECORD_BYTES_MAX
    append_bytes_max: PositiveInteger = APPEND_BYTES_MAX
    files_max: PositiveInteger = FILES_MAX
    memory_mb: PositiveNumber = MEMORY_MB
    core_share: PositiveNumber = 1.0
    core_speed: PositiveNumber = 1.0


def read_platform_settings(path: Path) -> PlatformSettings:
    """Read and validate the settings file.

    Raises
    ------
    BadInputError
        If the file can't be read or a value is invalid; the message names it.
    """
    try:
        return msgspec.json.decode(path.read_bytes(), type=PlatformSettings)
    except (OSError, msgspec.MsgspecError) as error:
        raise BadInputError(str(error), step="settings.read", peer=str(path)) from error
