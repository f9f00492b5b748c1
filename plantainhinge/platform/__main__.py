"""Runs an entry instance on the users' platform."""

import asyncio
import os
import sys
from pathlib import Path

from ..adapters.stream_http_client import HttpClient
from ..core.errors import PlantainhingeError
from ..core.ids import Seconds
from ..daemons.bounded_logs import open_bounded_logs
from ..daemons.instance import Instance, InstanceSettings
from ..daemons.operator_view import OperatorView
from ..daemons.worker_view import WorkerView
from ..dispatch.leases import LeaseTerms
from .ingress import Ingress
from .operator import decode_operator_record
from .settings import PlatformSettings, read_platform_settings
from .store import Store
from .workers import Workers, decode_entry

SETTINGS_VARIABLE = "PLANTAINHINGE_SETTINGS"
OPERATOR_TOPIC = "keyed.op"
WORKER_TOPIC = "keyed.servers"
LEASE_SECONDS = Seconds(6.0)
LOG_CONNECTIONS = 16


def main() -> int:
    """Run until SIGTERM and return the exit code."""
    try:
        settings = read_platform_settings(Path(os.environ[SETTINGS_VARIABLE]))
    except PlantainhingeError as error:
        print(error, file=sys.stderr)
        return error.exit_code
    identity = {"instance": settings.instance, "domain": settings.domain}
    with open_bounded_logs(identity):
        asyncio.run(run_instance(settings))
    return 0


async def run_instance(settings: PlatformSettings) -> None:
    """Put the parts together and run them."""
    store = Store(
        client=HttpClient(settings.log_address, LOG_CONNECTIONS),
        waiting_client=HttpClient(settings.log_address, LOG_CONNECTIONS),
        member_seconds=Seconds(settings.member_seconds),
    )
    lease_max = Seconds(settings.lease_seconds_max)
    instance = Instance(
        settings=InstanceSettings(
            instance=settings.instance,
            callers_address=settings.callers_address,
            ready_address=settings.ready_address,
            metrics_address=settings.metrics_address,
            terms=LeaseTerms(
                length=Seconds(min(LEASE_SECONDS, lease_max)), length_max=lease_max
            ),
            cores=settings.core_share * settings.core_speed,
        ),
        log=store,
        calls=Workers(lease_max, settings.advice_address),
        operator=OperatorView(store, OPERATOR_TOPIC, decode_operator_record),
        workers=WorkerView(store, WORKER_TOPIC, decode_entry),
    )
    await instance.run(Ingress(instance.service).handle)


if __name__ == "__main__":
    sys.exit(main())
