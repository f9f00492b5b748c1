"""Callers that submit jobs, poll their state and cancel some of them."""

import asyncio
import json
import random
from dataclasses import dataclass

from plantainhinge.adapters.stream_http_client import (
    HttpCall,
    HttpClient,
    HttpResponse,
)
from plantainhinge.core.errors import UnavailableError, UncertainError
from plantainhinge.core.ids import Seconds

from .observations import ObservedJob, SubmitResult, read_time
from .site import HOST_NAME, SoakSite
from .workers import DEADLY, TASK_MILLICORES

CALL_TIMEOUT_SECONDS = Seconds(2.0)
RETRY_DELAY_SECONDS = 0.2
POLL_INTERVAL_SECONDS = 0.4
SUBMIT_TRIES_MAX = 8
REFUSED_STATUSES = frozenset({429, 503})
# shares of jobs whose tasks run until they are cancelled, and of those that may run for
# as long as the longest cut
LASTING_SHARE = 0.1
LONG_SHARE = 0.06
LONG_SECONDS = (5.0, 15.0)
# until a lasting job is cancelled, so that they don't fill all workers in a long phase
LASTING_SECONDS = (3.0, 20.0)
DEADLY_SECONDS = 0.5
STATUS_OK = 200
STATUS_GONE = 410


@dataclass
class Caller:
    """One caller with open connections to all instances.

    Parameters
    ----------
    rng : Random
        Seeded source of all of its decisions.
    number : int
        First part of its job names; unique among callers.
    """

    site: SoakSite
    rng: random.Random
    number: int
    _submitted: int = 0

    def __post_init__(self) -> None:
        self._clients = {
            name: HttpClient(instance.callers.listen, 2)
            for name, instance in self.site.instances.items()
        }

    async def run(self, *, until: float) -> None:
        """Submit jobs until the given time and follow each to its end."""
        async with asyncio.TaskGroup() as group:
            while read_time() < until:
                await asyncio.sleep(self.rng.uniform(0.2, 1.2))
                group.create_task(self._follow(self._generate_job(), until=until))

    async def query_state(self, job: ObservedJob) -> None:
        """Query the state of a job once and record the response."""
        response = await self._call("GET", job.job)
        if response is None:
            return
        if response.status == STATUS_OK:
            job.states.append((read_time(), json.loads(response.body)["state"]))
        elif response.status == STATUS_GONE:
            job.states.append((read_time(), "gone"))

    async def submit_deadly(self) -> None:
        """Submit a job whose first task crashes each worker that starts it."""
        job = self._generate_job()
        job.long_running, job.deadly = False, True
        job.seconds = DEADLY_SECONDS
        await self._submit(job)

    async def _follow(self, job: ObservedJob, *, until: float) -> None:
        await self._submit(job)
        if job.accepted_at is None:
            return
        cancel_at = float("inf")
        if job.long_running:
            cancel_at = read_time() + self.rng.uniform(*LASTING_SECONDS)
        if self.rng.random() < 0.2:
            cancel_at = read_time() + self.rng.uniform(0.1, 4.0)
        while read_time() < until and not self._has_ended(job):
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
            if read_time() > cancel_at and job.cancelled_at is None:
                await self._cancel(job)
            await self.query_state(job)

    async def _submit(self, job: ObservedJob) -> None:
        steps: list[dict[str, object]] = [
            {"count": count, "cpu": TASK_MILLICORES, "estRuntimeMs": 500}
            for count in job.steps
        ]
        for index, step in enumerate(steps):
            if job.long_running:
                step["longRunning"] = True
            if index > 0:
                step["dependsOn"] = [index - 1]
        payload = f"{job.seconds}{DEADLY}" if job.deadly else str(job.seconds)
        body = json.dumps({"spec": payload, "steps": steps}).encode()
        for _ in range(SUBMIT_TRIES_MAX):
            response = await self._call("POST", job.job, body)
            if response is not None and response.status == STATUS_OK:
                job.submit_results.append(SubmitResult.DONE)
                job.accepted_at = read_time()
                return
            refused = response is not None and response.status in REFUSED_STATUSES
            job.submit_results.append(
                SubmitResult.REFUSED if refused else SubmitResult.UNKNOWN
            )
            await asyncio.sleep(RETRY_DELAY_SECONDS)

    async def _cancel(self, job: ObservedJob) -> None:
        job.cancel_sent_at = job.cancel_sent_at or read_time()
        response = await self._call("DELETE", job.job)
        if response is not None and response.status in (STATUS_OK, STATUS_GONE):
            job.cancelled_at = read_time()

    async def _call(
        self, method: str, job: str, body: bytes = b""
    ) -> HttpResponse | None:
        """Call a random instance; return None if no response arrived."""
        client = self._clients[self.rng.choice(sorted(self._clients))]
        call = HttpCall(
            method=method,
            path=f"/jobs/{job}",
            body=body,
            headers=(("Host", HOST_NAME),),
        )
        try:
            return await client.call(call, timeout=CALL_TIMEOUT_SECONDS)
        except (UnavailableError, UncertainError):
            return None

    def _generate_job(self) -> ObservedJob:
        self._submitted += 1
        name = f"{self.number:08x}{self._submitted:08x}"
        steps = [self.rng.randint(1, 4) for _ in range(self.rng.randint(1, 3))]
        seconds = round(self.rng.uniform(0.1, 1.5), 2)
        kind = self.rng.random()
        if kind < LASTING_SHARE:
            job = ObservedJob(name, steps[:1], long_running=True)
        elif kind < LASTING_SHARE + LONG_SHARE:
            steps = steps[:2]
            seconds = round(self.rng.uniform(*LONG_SECONDS) / len(steps), 2)
            job = ObservedJob(name, steps, seconds=seconds)
        else:
            job = ObservedJob(name, steps, seconds=seconds)
        self.site.observations.jobs[name] = job
        return job

    @staticmethod
    def _has_ended(job: ObservedJob) -> bool:
        return any(state in ("completed", "cancelled") for _, state in job.states)
