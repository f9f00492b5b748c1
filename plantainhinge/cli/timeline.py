"""The time line of events over all processes."""

from ..adapters.instances_http import HttpInstanceList
from ..adapters.peers_grpc import QUERY_EVENTS, Peers
from ..core.errors import PlantainhingeError
from ..core.events import Event
from ..core.messages import QueryEvents
from ..core.settings import Settings
from ..core.states import InstanceRole

QUERY_TIMEOUT_SECONDS = 2.0


def collect_events(settings: Settings, subject: str) -> list[Event]:
    """Return the events about a subject from all processes, in order."""
    addresses = _list_addresses(settings)
    peers = Peers()
    events: list[Event] = []
    with peers.connect():
        futures = [
            peers.call(
                address,
                QUERY_EVENTS,
                QueryEvents(subject=subject),
                timeout=QUERY_TIMEOUT_SECONDS,
            )
            for address in addresses
        ]
        for future in futures:
            try:
                events.extend(future.result().events)
            except PlantainhingeError:
                continue
    return sorted(events, key=lambda event: event.stamp)


def format_event(event: Event) -> str:
    """Return one line for a person to read."""
    detail = " ".join(f"{key}={value}" for key, value in event.detail.items() if value)
    return (
        f"{event.stamp.wall:.3f}.{event.stamp.counter} "
        f"{event.stamp.process:<40} {event.name:<24} {event.subject} {detail}"
    )


def _list_addresses(settings: Settings) -> list[str]:
    rows = HttpInstanceList(settings.instance_list_address).fetch()
    ports = (settings.ports.gateway_peers, settings.ports.scheduler_peers)
    return [
        f"{row.address}:{port}"
        for row in rows
        if row.role is InstanceRole.ENTRY
        for port in ports
    ]
