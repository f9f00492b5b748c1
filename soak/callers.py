"""Callers that hand jobs in, ask for them and take some back."""

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

from .accounts import Answer, JobAccount, read_now
from .site import HOST_NAME, SoakSite

CALL_SECONDS = Seconds(2.0)
RETRY_SECONDS = 0.2
POLL_SECONDS = 0.4
TRIES_MAX = 8
REFUSALS = frozenset({429, 503})
OK = 200
GONE = 410


@dataclass
class Caller:
    """One caller with open connections to the instances.

    Parameters
    ----------
    chance : Random
        Decides what it does; seeded.
    number : int
        Tells its jobs from those of others.
    """

    site: SoakSite
    chance: random.Random
    number: int
    _handed_in: int = 0

    def __post_init__(self) -> None:
        self._clients = {
            name: HttpClient(instance.callers.listen, 2)
            for name, instance in self.site.instances.items()
        }

    async def run(self, *, until: float) -> None:
        """Hand jobs in until a time, and follow each to its end."""
        async with asyncio.TaskGroup() as group:
            while read_now() < until:
                await asyncio.sleep(self.chance.uniform(0.2, 1.2))
                group.create_task(self._follow(self._draw_job(), until=until))

    async def ask(self, job: JobAccount) -> None:
        """Ask for a job's state once and note the answer."""
        answer = await self._call("GET", job.job)
        if answer is None:
            return
        if answer.status == OK:
            job.states.append((read_now(), json.loads(answer.body)["state"]))
        elif answer.status == GONE:
            job.states.append((read_now(), "gone"))

    async def _follow(self, job: JobAccount, *, until: float) -> None:
        await self._hand_in(job)
        if job.accepted_at is None:
            return
        leaves_at = until if job.lasting else float("inf")
        if self.chance.random() < 0.2:
            leaves_at = read_now() + self.chance.uniform(0.1, 4.0)
        while read_now() < until and not self._is_final(job):
            await asyncio.sleep(POLL_SECONDS)
            if read_now() > leaves_at and job.cancelled_at is None:
                await self._cancel(job)
            await self.ask(job)

    async def _hand_in(self, job: JobAccount) -> None:
        steps: list[dict[str, object]] = [
            {"count": count, "cpu": 1000, "estRuntimeMs": 500} for count in job.steps
        ]
        for index, step in enumerate(steps):
            if job.lasting:
                step["longRunning"] = True
            if index > 0:
                step["dependsOn"] = [index - 1]
        seconds = 0 if job.lasting else round(self.chance.uniform(0.1, 1.5), 2)
        body = json.dumps({"spec": str(seconds), "steps": steps}).encode()
        for _ in range(TRIES_MAX):
            answer = await self._call("POST", job.job, body)
            if answer is not None and answer.status == OK:
                job.answers.append(Answer.DONE)
                job.accepted_at = read_now()
                return
            refused = answer is not None and answer.status in REFUSALS
            job.answers.append(Answer.REFUSED if refused else Answer.UNKNOWN)
            await asyncio.sleep(RETRY_SECONDS)

    async def _cancel(self, job: JobAccount) -> None:
        job.cancel_sent = job.cancel_sent or read_now()
        answer = await self._call("DELETE", job.job)
        if answer is not None and answer.status in (OK, GONE):
            job.cancelled_at = read_now()

    async def _call(
        self, method: str, job: str, body: bytes = b""
    ) -> HttpResponse | None:
        """Call an instance; None if there was no answer."""
        client = self._clients[self.chance.choice(sorted(self._clients))]
        call = HttpCall(
            method=method,
            path=f"/jobs/{job}",
            body=body,
            headers=(("Host", HOST_NAME),),
        )
        try:
            return await client.call(call, timeout=CALL_SECONDS)
        except (UnavailableError, UncertainError):
            return None

    def _draw_job(self) -> JobAccount:
        self._handed_in += 1
        name = f"{self.number:08x}{self._handed_in:08x}"
        steps = [self.chance.randint(1, 4) for _ in range(self.chance.randint(1, 3))]
        lasting = self.chance.random() < 0.1
        job = JobAccount(name, steps[:1] if lasting else steps, lasting)
        self.site.accounts.jobs[name] = job
        return job

    @staticmethod
    def _is_final(job: JobAccount) -> bool:
        return any(state in ("completed", "cancelled") for _, state in job.states)
