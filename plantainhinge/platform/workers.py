"""Client for the platform's workers, and the decoding of their directory entries."""

import asyncio
import ipaddress
import logging
import re
from dataclasses import dataclass, field
from typing import Any

import msgspec

from ..adapters.stream_http_client import (
    ConnectionBudget,
    HttpCall,
    HttpClient,
    HttpResponse,
)
from ..core.errors import PlantainhingeError, UnavailableError, UncertainError
from ..core.ids import DomainId, Seconds, ServiceId, WorkerId
from ..core.log_events import write_event
from ..core.packing import DECODING_ERRORS
from ..core.resources import Resources
from ..fleet.log_events import (
    AdviceFailed,
    AdviceRefused,
    EntryIgnored,
    ReportMalformed,
    WorkerCallFailed,
)
from ..fleet.model import (
    Advice,
    AdviceRequest,
    OrderOutcome,
    OrderResponse,
    Renewal,
    StartOrder,
    StopOrder,
    ThrottleOrder,
    WorkerEntry,
    WorkerReport,
    WorkerState,
)
from .amounts import Amount
from .worker_reports import Report, decode_report, format_task

logger = logging.getLogger(__name__)

OK = 200
RENEW_PATH = "/-/hold"
ADVICE_TIMEOUT_SECONDS = Seconds(3.0)
ORDER_TIMEOUT_SECONDS = Seconds(0.5)
RENEWAL_TIMEOUT_SECONDS = Seconds(0.7)
CONNECTIONS_MAX = 6

PORT_MAX = 65535
# of an entry and what it contains, as other writers share the directory; a worker's id,
# service and labels take some ten bytes each
ENTRY_BYTES_MAX = 16_384
NAME_BYTES_MAX = 128
LABELS_MAX = 16
ADDRESS_CHARACTERS_MAX = len("255.255.255.255:65535")
# of a log line, since it repeats what an entry contains
CAUSE_CHARACTERS_MAX = 200
# an id is sent in a header, which holds no spaces, control or non-ASCII characters
WORKER_ID_PATTERN = re.compile(r"[!-~]+")

OUTCOMES_BY_REASON = {
    "fence": OrderOutcome.FENCED,
    "old": OrderOutcome.SUPERSEDED,
    "late": OrderOutcome.TOO_LATE,
    "room": OrderOutcome.NO_CAPACITY,
    "ticket": OrderOutcome.NO_TICKET,
}
STATES = {"ready": WorkerState.READY, "draining": WorkerState.DRAINING}


class _Capacity(msgspec.Struct):
    cpu: Amount  # thousandths of a core
    memory: Amount = msgspec.field(name="memMb")
    gpu: Amount = 0


class _Entry(msgspec.Struct, kw_only=True):
    service: str
    address: str = msgspec.field(name="addr")
    # on the wire "zone": the failure domain
    domain: str = msgspec.field(name="zone")
    state: str
    capacity: _Capacity
    labels: list[str]
    # on the wire "born": a number that identifies the start of the worker process
    incarnation: Amount = msgspec.field(name="born")
    remaining_ms: float = msgspec.field(name="remainingMs", default=0)
    # on the wire "coldLeftMs": time until the worker runs at full speed
    warming_ms: float = msgspec.field(name="coldLeftMs", default=0)


class _OrderResponseBody(msgspec.Struct):
    clock_ms: float | None = msgspec.field(name="clockMs", default=None)
    reason: str = ""


class _Advice(msgspec.Struct):
    # on the wire "good": pairs of an eligible worker and the ticket to start there
    tickets: list[tuple[str, str]] = msgspec.field(name="good")
    validity_ms: float = msgspec.field(name="validityMs")


def decode_entry(key: str, value: bytes) -> WorkerEntry | None:
    """Decode a worker's directory entry; None if it is invalid.

    Other writers share the topic, so an invalid entry is logged and ignored. So is one
    whose key can't be sent or whose address can't be called, as no call could reach it,
    and one that is larger than any worker's.
    """
    try:
        _check_worker_id(key)
        _check_size("entry", len(value), ENTRY_BYTES_MAX)
        entry = msgspec.json.decode(value, type=_Entry)
        _check_size("labels", len(entry.labels), LABELS_MAX)
        for name in (key, entry.service, entry.domain, *entry.labels):
            _check_size("name", len(name.encode()), NAME_BYTES_MAX)
        capacity = entry.capacity
        return WorkerEntry(
            worker=WorkerId(key),
            incarnation=entry.incarnation,
            service=ServiceId(entry.service),
            address=_check_address(entry.address),
            domain=DomainId(entry.domain),
            capacity=Resources(capacity.cpu, capacity.memory, capacity.gpu),
            labels=tuple(entry.labels),
            state=STATES[entry.state],
            remaining=entry.remaining_ms / 1000,
            warming=entry.warming_ms / 1000,
        )
    except (*DECODING_ERRORS, KeyError, ValueError) as error:
        cause = str(error)[:CAUSE_CHARACTERS_MAX]
        write_event(logger, EntryIgnored(key=key, cause=cause))
        return None


def _check_size(name: str, size: int, size_max: int) -> None:
    if size > size_max:
        raise ValueError(f"{name} of size {size}; at most {size_max}")


def _check_worker_id(key: str) -> None:
    if not WORKER_ID_PATTERN.fullmatch(key):
        raise ValueError(f"{key!r} is no worker id, which is printable ASCII")


def _check_address(address: str) -> str:
    """Return an address if it has the form ``host:port`` with an IPv4 host."""
    _check_size("address", len(address), ADDRESS_CHARACTERS_MAX)
    host, _, port = address.rpartition(":")
    ipaddress.IPv4Address(host)
    if not port.isascii() or not port.isdigit() or not 1 <= int(port) <= PORT_MAX:
        raise ValueError(f"{port!r} is no port from 1 to {PORT_MAX}")
    return address


@dataclass
class PlatformWorkerClient:
    """Client for all workers, with persistent connections; implements ``WorkerCalls``.

    Parameters
    ----------
    advice_address : str
        ``host:port`` of the service that decides which workers may run a step.
    budget : ConnectionBudget
        Limits the connections to workers that run nothing.
    """

    advice_address: str = ""
    budget: ConnectionBudget = field(default_factory=ConnectionBudget)
    _clients: dict[str, HttpClient] = field(default_factory=dict)

    async def start(self, entry: WorkerEntry, order: StartOrder) -> OrderResponse:
        """Send a start order."""
        body = {
            "task": format_task(order.task),
            "attempt": order.attempt,
            "spec": order.payload,
            "deadlineMs": int(order.lease_end * 1000),
            "fencingToken": order.epoch,
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        return await self._send_order(entry, "/-/run-start", body)

    async def stop(self, entry: WorkerEntry, order: StopOrder) -> OrderResponse:
        """Send a stop order."""
        body = {
            "task": format_task(order.task),
            "attempt": order.attempt,
            "fencingToken": order.epoch,
        }
        return await self._send_order(entry, "/-/run-stop", body)

    async def throttle(self, entry: WorkerEntry, order: ThrottleOrder) -> OrderResponse:
        """Send an order that limits the speed of an attempt."""
        body = {
            "task": format_task(order.task),
            "attempt": order.attempt,
            "percent": order.speed_percent,
            "fencingToken": order.epoch,
        }
        return await self._send_order(entry, "/-/pace", body)

    async def renew(
        self, entry: WorkerEntry, renewal: Renewal
    ) -> WorkerReport | OrderResponse:
        """Renew the leases of a worker; return its report, or why there is none.

        A worker may have restarted under its id. A connection on which it has answered
        leads to this incarnation alone; on any other one the renewal only asks for a
        report.
        """
        timeout = Seconds(renewal.wait + RENEWAL_TIMEOUT_SECONDS)
        until = asyncio.get_running_loop().time() + timeout
        client = self._get_client(entry.address)
        try:
            async with client.borrow(
                until=until, incarnation=renewal.incarnation
            ) as connection:
                is_proven = connection.peer_incarnation == renewal.incarnation
                call = _build_call(
                    entry, RENEW_PATH, _describe_renewal(renewal, is_proven=is_proven)
                )
                response = await connection.call(call, timeout=timeout, deadline=until)
                report = self._read_report(entry, response)
                if isinstance(report, WorkerReport):
                    connection.peer_incarnation = report.incarnation
        except (UnavailableError, UncertainError) as error:
            return _describe_failure(entry, RENEW_PATH, error)
        if self.budget.exceeded and isinstance(report, WorkerReport):
            self._close_idle(client, report)
        return report

    def _read_report(
        self, entry: WorkerEntry, response: HttpResponse
    ) -> WorkerReport | OrderResponse:
        if response.status != OK:
            return _decode_order_response(response)
        try:
            return decode_report(msgspec.json.decode(response.body, type=Report))
        except (*DECODING_ERRORS, ValueError, TypeError, IndexError) as error:
            event = ReportMalformed(worker=entry.worker, cause=str(error))
            write_event(logger, event)
            return OrderResponse(outcome=OrderOutcome.UNKNOWN)

    @staticmethod
    def _close_idle(client: HttpClient, report: WorkerReport) -> None:
        """Close the connections to a worker that has nothing to tell."""
        if not report.running and not report.ended:
            client.close()

    async def advise(self, request: AdviceRequest) -> Advice | None:
        """Ask which workers may run a step; None if there is no valid response."""
        step = format_task(request.task).rpartition(".")[0]
        call = HttpCall(
            method="POST",
            path="/-/advise",
            body=msgspec.json.encode({"step": step, "workers": request.workers}),
            headers=(("Content-Type", "application/json"),),
        )
        client = self._get_client(self.advice_address)
        try:
            response = await client.call(call, timeout=ADVICE_TIMEOUT_SECONDS)
            if response.status != OK:
                event = AdviceRefused(advised_step=step, status=response.status)
                write_event(logger, event)
                return None
            advice = msgspec.json.decode(response.body, type=_Advice)
        except (PlantainhingeError, *DECODING_ERRORS) as error:
            write_event(logger, AdviceFailed(advised_step=step, cause=str(error)))
            return None
        rows = tuple((WorkerId(worker), ticket) for worker, ticket in advice.tickets)
        return Advice(tickets=rows, valid_seconds=Seconds(advice.validity_ms / 1000))

    def close_connections(self, entry: WorkerEntry) -> None:
        """Close the connections to a worker that has left the directory."""
        client = self._clients.pop(entry.address, None)
        if client is not None:
            client.close()

    def _get_client(self, address: str) -> HttpClient:
        client = self._clients.get(address)
        if client is None:
            client = self._clients[address] = HttpClient(
                address, CONNECTIONS_MAX, self.budget
            )
        return client

    async def _send_order(
        self, entry: WorkerEntry, path: str, body: dict[str, Any]
    ) -> OrderResponse:
        response = await self._call(entry, path, body, ORDER_TIMEOUT_SECONDS)
        return (
            response
            if isinstance(response, OrderResponse)
            else _decode_order_response(response)
        )

    async def _call(
        self, entry: WorkerEntry, path: str, body: dict[str, Any], timeout: Seconds
    ) -> HttpResponse | OrderResponse:
        client = self._get_client(entry.address)
        call = _build_call(entry, path, body)
        try:
            return await client.call(call, timeout=timeout)
        except (UnavailableError, UncertainError) as error:
            return _describe_failure(entry, path, error)


def _build_call(entry: WorkerEntry, path: str, body: dict[str, Any]) -> HttpCall:
    return HttpCall(
        method="POST",
        path=path,
        body=msgspec.json.encode(body),
        headers=(
            ("Content-Type", "application/json"),
            ("X-Expect-Instance", entry.worker),
        ),
    )


def _describe_renewal(renewal: Renewal, *, is_proven: bool) -> dict[str, Any]:
    """Return the body of a renewal, which may reach another incarnation if not proven.

    What refers to the clock and the ends of an incarnation is left out then.
    """
    body: dict[str, Any] = {"fencingToken": renewal.epoch, "lastSeen": 0}
    if not is_proven:
        return body
    body["lastSeen"] = renewal.acknowledged
    if renewal.lease_end is not None:
        body["deadlineMs"] = int(renewal.lease_end * 1000)
    if renewal.wait > 0:
        body["waitMs"] = int(renewal.wait * 1000)
    return body


def _describe_failure(
    entry: WorkerEntry, path: str, error: UnavailableError | UncertainError
) -> OrderResponse:
    """Log why a call has no answer, and return whether it may have arrived."""
    event = WorkerCallFailed(worker=entry.worker, call=path, cause=str(error))
    write_event(logger, event)
    is_sent = isinstance(error, UncertainError)
    return OrderResponse(
        outcome=OrderOutcome.UNKNOWN if is_sent else OrderOutcome.NOT_SENT
    )


def _decode_order_response(response: HttpResponse) -> OrderResponse:
    """Map the status and reason of a worker's response to an outcome."""
    try:
        body = msgspec.json.decode(response.body, type=_OrderResponseBody)
    except DECODING_ERRORS:
        body = _OrderResponseBody()
    clock = None if body.clock_ms is None else Seconds(body.clock_ms / 1000)
    match response.status:
        case 200:
            outcome = OrderOutcome.ACCEPTED
        case 409:
            outcome = OUTCOMES_BY_REASON.get(body.reason, OrderOutcome.REFUSED)
        case 421:
            outcome = OrderOutcome.OTHER_INCARNATION
        case 400:
            outcome = OrderOutcome.MALFORMED
        case 429 | 503:
            outcome = OrderOutcome.REFUSED
        case _:
            outcome = OrderOutcome.UNKNOWN
    return OrderResponse(outcome=outcome, clock=clock)
