"""The platform's HTTP API for jobs, translated to calls of the job service."""

import asyncio
import logging
import math
import re
from dataclasses import dataclass, field
from typing import Annotated

import msgspec

from ..adapters.stream_http_messages import HttpReply, HttpRequest
from ..core.errors import BadInputError
from ..core.ids import JobId, Seconds
from ..core.log_events import write_event
from ..core.packing import DECODING_ERRORS
from ..core.resources import Resources
from ..daemons.authentication import Authenticator
from ..daemons.job_service import JobService
from ..fleet.log_events import JobMalformed
from ..fleet.operator import QueueRoute, SchedulingConfiguration, Workspace
from ..jobs.admission import Refusal
from ..jobs.model import (
    NO_WORKSPACE,
    TASKS_MAX,
    Caller,
    JobSpec,
    Recurrence,
    Step,
)
from ..jobs.outcomes import CallOutcome
from .amounts import Amount

logger = logging.getLogger(__name__)

JOB_ID = re.compile(r"[0-9a-fA-F]{16}\Z")
JSON_TYPE = ("Content-Type", "application/json")
DEADLINE_HEADER = "x-deadline-ms"
AUTHORIZATION_HEADER = "authorization"
AUTHORIZATION_SCHEME = "token"
DEFAULT_TIMEOUT_SECONDS = Seconds(3.0)
TIMEOUT_SECONDS_MAX = Seconds(60.0)
SPEC_BYTES_MAX = 4000
# objects in the body of a job: the job, its steps, and braces in its payload. They are
# counted first, as decoding takes a hundred times the memory of a short step
OBJECTS_MAX = 1 + TASKS_MAX + SPEC_BYTES_MAX

# a larger body may hold so many steps that decoding it takes a noticeable time
LARGE_BODY_BYTES = 16_384

# outcomes after which the caller may try again later
NOT_RUN = frozenset({CallOutcome.REFUSED, CallOutcome.OVER_CAP, CallOutcome.OVERLOADED})
STATUSES = {
    CallOutcome.DONE: 200,
    CallOutcome.UNKNOWN_QUEUE: 404,
    CallOutcome.UNKNOWN_JOB: 410,
    CallOutcome.MALFORMED: 400,
    CallOutcome.UNAUTHENTICATED: 401,
    CallOutcome.OVER_CAP: 429,
    CallOutcome.OVERLOADED: 429,
    CallOutcome.REFUSED: 503,
    CallOutcome.UNCERTAIN: 504,
}


Count = Annotated[int, msgspec.Meta(ge=1, le=TASKS_MAX)]
Milliseconds = Annotated[float, msgspec.Meta(ge=0)]


class _Step(msgspec.Struct, kw_only=True):
    count: Count = 1
    cpu: Amount = 0  # thousandths of a core
    memory: Amount = msgspec.field(name="memMb", default=0)
    gpu: Amount = 0
    estimate_ms: Milliseconds = msgspec.field(name="estRuntimeMs", default=0)
    depends_on: tuple[int, ...] = msgspec.field(name="dependsOn", default=())
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = msgspec.field(name="sameRack", default=False)
    # on the wire "constraints", although it is a single label
    label: str = msgspec.field(name="constraints", default="")
    # on the wire "affinity": the rack that holds the data
    rack: str = msgspec.field(name="affinity", default="")
    # on the wire "antiAffinity": maximum number of the step's tasks on a worker
    per_worker_max: Amount = msgspec.field(name="antiAffinity", default=0)
    speculative: bool = False
    long_running: bool = msgspec.field(name="longRunning", default=False)
    image: str = ""
    target_ms: float = msgspec.field(name="targetMs", default=0)
    # on the wire "fills": runs on otherwise idle capacity
    best_effort: bool = msgspec.field(name="fills", default=False)
    unavailable_max: Amount = msgspec.field(name="maxUnavailable", default=0)


class _Job(msgspec.Struct, kw_only=True):
    spec: str
    steps: Annotated[tuple[_Step, ...], msgspec.Meta(min_length=1)]
    times: Amount = 0  # number of occurrences; 0 if the job does not recur
    start_at_ms: Milliseconds = msgspec.field(name="startAtMs", default=0)
    interval_ms: Milliseconds = msgspec.field(name="intervalMs", default=0)


@dataclass
class Ingress:
    """HTTP handler for the callers' requests about jobs.

    Parameters
    ----------
    service : JobService
        Stores jobs and reports their states.
    authenticator : Authenticator
        Finds the workspaces of keys.
    """

    service: JobService
    authenticator: Authenticator
    _large_body_lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    async def handle(self, request: HttpRequest) -> HttpReply:
        """Handle one request; it is refused until a configuration has been read."""
        configuration = await self._get_configuration()
        if configuration is None:
            return _build_outcome_reply(CallOutcome.REFUSED, 1)
        host = request.headers.get("host", "").partition(":")[0]
        path = request.path.partition("?")[0]
        if len(request.body) > configuration.body_bytes_max:
            return HttpReply(status=413)
        route = configuration.find_route(host, path)
        if route is None:
            return _build_outcome_reply(CallOutcome.UNKNOWN_QUEUE, 1)
        workspace = None
        if configuration.workspaces is not None and not route.anonymous:
            found = await self.authenticator.authenticate(
                _read_key(request), queue=route.policy.queue
            )
            if isinstance(found, CallOutcome):
                return _build_outcome_reply(found, self.service.retry_after)
            workspace = found
        call = _Call(
            route,
            path.removeprefix(route.prefix),
            request,
            workspace,
            has_workspaces=configuration.workspaces is not None,
        )
        return await self._handle_queue(call)

    async def _get_configuration(self) -> SchedulingConfiguration | None:
        """Return the configuration in force, confirmed if it has keys to withdraw."""
        configuration = self.service.configuration
        if configuration is not None and configuration.workspaces is not None:
            await self.authenticator.confirm_view()
        return self.service.configuration

    async def _handle_queue(self, call: "_Call") -> HttpReply:
        request, subpath = call.request, call.subpath
        if request.method == "GET" and not subpath:
            return await self._count_queued(call)
        if not JOB_ID.match(subpath):
            return _build_outcome_reply(CallOutcome.MALFORMED, 1)
        job = JobId(subpath)
        match request.method:
            case "POST":
                return await self._submit(call, job)
            case "GET":
                return await self._get_state(call, job)
            case "DELETE":
                return await self._cancel(call, job)
        return HttpReply(status=405)

    async def _submit(self, call: "_Call", job: JobId) -> HttpReply:
        timeout = _read_timeout(call.request)
        try:
            spec = await self._decode(call.request.body, timeout)
        except BadInputError as error:
            write_event(logger, JobMalformed(job=job, cause=str(error)))
            return HttpReply(status=STATUSES[CallOutcome.MALFORMED])
        except TimeoutError:
            return _build_outcome_reply(CallOutcome.REFUSED, self.service.retry_after)
        outcome = await self.service.submit(
            job,
            call.route.policy,
            spec,
            workspace=call.workspace,
            timeout=timeout,
        )
        if isinstance(outcome, Refusal):
            return _build_outcome_reply(CallOutcome.OVERLOADED, outcome.retry_after)
        return _build_outcome_reply(outcome, self.service.retry_after)

    async def _decode(self, body: bytes, timeout: Seconds) -> JobSpec:
        """Decode the body of a submitted job, large ones in turn.

        Otherwise many large bodies that arrive together would keep everything else
        waiting until the last one is decoded.

        Raises
        ------
        BadInputError
            If the body is invalid.
        TimeoutError
            If its turn doesn't come in time.
        """
        if len(body) <= LARGE_BODY_BYTES:
            return decode_spec(body)
        async with asyncio.timeout(timeout), self._large_body_lock:
            # lets go of the event loop, as decoding itself doesn't
            await asyncio.sleep(0)
            return decode_spec(body)

    async def _get_state(self, call: "_Call", job: JobId) -> HttpReply:
        state = await self.service.get_job_state(
            job, caller=call.caller, timeout=_read_timeout(call.request)
        )
        if isinstance(state, CallOutcome):
            return _build_outcome_reply(state, self.service.retry_after)
        return _build_json_reply({"state": state.value})

    async def _cancel(self, call: "_Call", job: JobId) -> HttpReply:
        outcome = await self.service.cancel(
            job, caller=call.caller, timeout=_read_timeout(call.request)
        )
        return _build_outcome_reply(outcome, self.service.retry_after)

    async def _count_queued(self, call: "_Call") -> HttpReply:
        count = await self.service.count_queued(
            call.route.policy.queue, timeout=_read_timeout(call.request)
        )
        if isinstance(count, CallOutcome):
            return _build_outcome_reply(count, self.service.retry_after)
        return _build_json_reply({"pending": count})


@dataclass(frozen=True, slots=True)
class _Call:
    """A request with its route and its caller's workspace.

    Parameters
    ----------
    subpath : str
        What follows the route's prefix.
    workspace : Workspace, optional
        None if the route is open to all callers.
    has_workspaces : bool
        Whether the site has workspaces, so that callers see their own jobs only.
    """

    route: QueueRoute
    subpath: str
    request: HttpRequest
    workspace: Workspace | None
    has_workspaces: bool

    @property
    def caller(self) -> Caller | None:
        """Return who calls; None where all callers may see all jobs."""
        if not self.has_workspaces:
            return None
        name = NO_WORKSPACE if self.workspace is None else self.workspace.name
        return Caller(name, self.route.policy.queue)


def decode_spec(body: bytes) -> JobSpec:
    """Decode the body of a submitted job.

    Raises
    ------
    BadInputError
        If the body is invalid; the message names the field.
    """
    if body.count(b"{") > OBJECTS_MAX:
        raise BadInputError(f"too many steps; at most {TASKS_MAX}", step="ingress.job")
    try:
        job = msgspec.json.decode(body, type=_Job)
    except DECODING_ERRORS as error:
        raise BadInputError(str(error), step="ingress.job") from error
    size = len(job.spec.encode())
    if size > SPEC_BYTES_MAX:
        message = f"spec of {size} bytes; at most {SPEC_BYTES_MAX}"
        raise BadInputError(message, step="ingress.job")
    steps = tuple(_decode_step(step) for step in job.steps)
    for index, step in enumerate(steps):
        if any(not 0 <= earlier < index for earlier in step.depends_on):
            raise BadInputError(
                f"step {index} depends on {step.depends_on}; valid: 0 to {index - 1}",
                step="ingress.job",
            )
    tasks = sum(step.count for step in steps)
    if tasks > TASKS_MAX:
        raise BadInputError(f"{tasks} tasks; at most {TASKS_MAX}", step="ingress.job")
    recurrence = None
    if job.times > 0:
        recurrence = Recurrence(
            job.times, job.start_at_ms / 1000, job.interval_ms / 1000
        )
    return JobSpec(payload=job.spec, steps=steps, recurrence=recurrence)


def _decode_step(step: _Step) -> Step:
    return Step(
        count=step.count,
        request=Resources(step.cpu, step.memory, step.gpu),
        estimate=step.estimate_ms / 1000,
        depends_on=step.depends_on,
        checkpoints=step.checkpointing,
        gang=step.gang,
        same_rack=step.same_rack,
        label=step.label,
        rack=step.rack,
        per_worker_max=step.per_worker_max,
        speculative=step.speculative,
        long_running=step.long_running,
        image=step.image,
        target_seconds=step.target_ms / 1000,
        best_effort=step.best_effort,
        unavailable_max=step.unavailable_max,
    )


def _read_key(request: HttpRequest) -> str:
    """Return the key that the caller sent; empty if there is none."""
    value = request.headers.get(AUTHORIZATION_HEADER, "")
    scheme, _, key = value.partition(" ")
    return key.strip() if scheme.lower() == AUTHORIZATION_SCHEME else ""


def _read_timeout(request: HttpRequest) -> Seconds:
    """Return the timeout that the caller sent, or the default, in seconds.

    It is bounded: a request is kept, with its connection, until it is answered.
    """
    try:
        timeout = Seconds(float(request.headers[DEADLINE_HEADER]) / 1000)
    except (KeyError, ValueError):
        return DEFAULT_TIMEOUT_SECONDS
    if math.isnan(timeout):
        return DEFAULT_TIMEOUT_SECONDS
    return min(timeout, TIMEOUT_SECONDS_MAX)


def _build_outcome_reply(outcome: CallOutcome, retry_after: float) -> HttpReply:
    status = STATUSES[outcome]
    if outcome in NOT_RUN:
        seconds = str(max(1, math.ceil(retry_after)))
        return HttpReply(status=status, headers=(("Retry-After", seconds),))
    return HttpReply(status=status)


def _build_json_reply(content: dict[str, str | int]) -> HttpReply:
    return HttpReply(
        status=200, body=msgspec.json.encode(content), headers=(JSON_TYPE,)
    )
