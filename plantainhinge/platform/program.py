"""Assembles an entry instance for the platform and runs it."""

import asyncio
import os
import resource
import sys
from pathlib import Path

from ..adapters.stream_http_client import ConnectionBudget, HttpClient
from ..core.errors import PlantainhingeError
from ..core.ids import Seconds
from ..daemons.bounded_logs import open_bounded_logs
from ..daemons.instance import Instance, InstanceSettings
from ..daemons.operator_view import OperatorView
from ..daemons.settings_watch import SettingsWatch
from ..daemons.worker_view import WorkerView
from ..dispatch.leases import LeaseTerms
from .ingress import Ingress
from .operator import decode_operator_record
from .settings import PlatformSettings, read_platform_settings
from .store import Store
from .workers import PlatformWorkerClient, decode_entry

SETTINGS_VARIABLE = "PLANTAINHINGE_SETTINGS"
OPERATOR_TOPIC = "keyed.op"
WORKER_TOPIC = "keyed.servers"
LEASE_SECONDS = Seconds(6.0)
LOG_CONNECTIONS_MAX = 16
BYTES_PER_MB = 1_000_000
# share of the file descriptors for connections to workers
WORKER_FILES_RATIO = 0.5


def main() -> int:
    """Run until SIGTERM and return the exit code."""
    path = Path(os.environ[SETTINGS_VARIABLE])
    try:
        settings = read_platform_settings(path)
    except PlantainhingeError as error:
        print(error, file=sys.stderr)
        return error.exit_code
    identity = {"instance": settings.instance, "domain": settings.domain}
    with open_bounded_logs(identity):
        asyncio.run(run_instance(settings, path))
    return 0


async def run_instance(settings: PlatformSettings, path: Path) -> None:
    """Assemble the instance and run it until it stops."""
    store = Store(
        client=HttpClient(settings.log_address, LOG_CONNECTIONS_MAX),
        waiting_client=HttpClient(settings.log_address, LOG_CONNECTIONS_MAX),
        member_seconds=Seconds(settings.member_seconds),
        record_bytes_max=settings.record_bytes_max,
        append_bytes_max=settings.append_bytes_max,
    )
    files = min(settings.files_max, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
    instance = Instance(
        settings=InstanceSettings(
            instance=settings.instance,
            callers_address=settings.callers_address,
            ready_address=settings.ready_address,
            control_address=settings.control_address,
            terms=_build_lease_terms(settings),
            cores=settings.core_share * settings.core_speed,
            memory_bytes=int(settings.memory_mb * BYTES_PER_MB),
            files=files,
        ),
        log=store,
        calls=PlatformWorkerClient(
            settings.advice_address,
            ConnectionBudget(int(WORKER_FILES_RATIO * files)),
        ),
        operator=OperatorView(store, OPERATOR_TOPIC, decode_operator_record),
        workers=WorkerView(store, WORKER_TOPIC, decode_entry),
    )
    instance.settings_watch = SettingsWatch(
        current=settings,
        read=lambda: read_platform_settings(path),
        apply=lambda updated: instance.set_lease_terms(_build_lease_terms(updated)),
        reloadable=frozenset({"lease_seconds_max"}),
    )
    ingress = Ingress(instance.service, instance.authenticator)
    await instance.run(ingress.handle)


def _build_lease_terms(settings: PlatformSettings) -> LeaseTerms:
    limit = Seconds(settings.lease_seconds_max)
    return LeaseTerms(length=Seconds(min(LEASE_SECONDS, limit)), length_max=limit)
