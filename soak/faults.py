"""Faults that a soak injects from outside, each with its end."""

import asyncio
import random
import signal
from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from dataclasses import dataclass

from plantainhinge.core.registry import Registry

from .proxy import Proxy, ProxyMode
from .site import DOMAINS, SoakInstance, SoakSite

Fault = Callable[["FaultContext"], AbstractAsyncContextManager[None]]
FAULTS: Registry[Fault] = Registry("fault")


@dataclass
class FaultContext:
    """Where a fault strikes.

    Parameters
    ----------
    chance : Random
        Chooses whom it strikes; seeded.
    """

    site: SoakSite
    rng: random.Random

    def choose_instance(self) -> SoakInstance:
        """Return the owner in half of the cases, or else any instance."""
        owner = self.site.find_owner()
        if owner is not None and self.rng.random() < 0.5:
            return owner
        return self.rng.choice(list(self.site.instances.values()))

    def choose_worker(self) -> str:
        """Return the name of a worker."""
        return self.rng.choice(sorted(self.site.workers))


@FAULTS.register("the log refuses all")
@asynccontextmanager
async def stop_log(stage: FaultContext) -> AsyncIterator[None]:
    """Have each call to the log refused."""
    stage.site.store.down = True
    yield
    stage.site.store.down = False


@FAULTS.register("the log loses answers")
@asynccontextmanager
async def lose_answers(stage: FaultContext) -> AsyncIterator[None]:
    """Have some appends done and not answered."""
    stage.site.store.lost_answers += stage.rng.randint(1, 6)
    yield
    stage.site.store.lost_answers = 0


@FAULTS.register("the log is silent")
@asynccontextmanager
async def silence_log(stage: FaultContext) -> AsyncIterator[None]:
    """Have nobody reach the log."""
    proxies = [instance.log for instance in stage.site.instances.values()]
    for proxy in proxies:
        proxy.set_mode(ProxyMode.BLOCKED)
    yield
    for proxy in proxies:
        proxy.set_mode(ProxyMode.NORMAL)


@FAULTS.register("an instance is cut from the log")
@asynccontextmanager
async def cut_log(stage: FaultContext) -> AsyncIterator[None]:
    """Cut, slow or reset one instance's way to the log."""
    async with _disturb(stage, stage.choose_instance().log):
        yield


@FAULTS.register("callers lose an instance")
@asynccontextmanager
async def cut_callers(stage: FaultContext) -> AsyncIterator[None]:
    """Cut, slow or reset callers' connections to one instance."""
    async with _disturb(stage, stage.choose_instance().callers):
        yield


@FAULTS.register("a worker is cut off")
@asynccontextmanager
async def cut_worker(stage: FaultContext) -> AsyncIterator[None]:
    """Cut, slow or reset the way to one worker."""
    async with _disturb(stage, stage.site.worker_proxies[stage.choose_worker()]):
        yield


@FAULTS.register("a worker crashes")
@asynccontextmanager
async def crash_worker(stage: FaultContext) -> AsyncIterator[None]:
    """Have one worker lose all that it runs and start again."""
    name = stage.choose_worker()
    stage.site.worker_proxies[name].reset()
    stage.site.workers[name].crash()
    yield


@FAULTS.register("an instance is killed")
@asynccontextmanager
async def kill_instance(stage: FaultContext) -> AsyncIterator[None]:
    """Kill one process and start it again later."""
    instance = stage.choose_instance()
    await stage.site.stop(instance, signal.SIGKILL)
    yield
    await stage.site.launch(instance)


@FAULTS.register("all instances are killed")
@asynccontextmanager
async def kill_all(stage: FaultContext) -> AsyncIterator[None]:
    """Kill all processes at once and start them again later."""
    instances = list(stage.site.instances.values())
    for instance in instances:
        await stage.site.stop(instance, signal.SIGKILL)
    yield
    for instance in instances:
        await stage.site.launch(instance)


@FAULTS.register("an instance freezes")
@asynccontextmanager
async def freeze_instance(stage: FaultContext) -> AsyncIterator[None]:
    """Stop one process in its tracks and let it go on later."""
    instance = stage.choose_instance()
    stage.site.signal(instance, signal.SIGSTOP)
    yield
    stage.site.signal(instance, signal.SIGCONT)


@FAULTS.register("an instance is stopped by plan")
@asynccontextmanager
async def stop_instance(stage: FaultContext) -> AsyncIterator[None]:
    """Stop one process by signal and start it again."""
    instance = stage.choose_instance()
    await stage.site.restart(instance, signal.SIGTERM)
    yield


@FAULTS.register("instances reload")
@asynccontextmanager
async def reload_instances(stage: FaultContext) -> AsyncIterator[None]:
    """Have all processes read their settings again."""
    for instance in stage.site.instances.values():
        stage.site.signal(instance, signal.SIGHUP)
    yield


@FAULTS.register("the configuration changes")
@asynccontextmanager
async def change_configuration(stage: FaultContext) -> AsyncIterator[None]:
    """Put several versions in force in quick succession."""
    for _ in range(stage.rng.randint(1, 5)):
        stage.site.change_configuration()
        await asyncio.sleep(0.05)
    yield


@FAULTS.register("a failure domain is emptied")
@asynccontextmanager
async def close_domain(stage: FaultContext) -> AsyncIterator[None]:
    """Take one failure domain out, and back later."""
    key = f"evacuate/{stage.rng.choice(DOMAINS)}"
    stage.site.store.put("keyed.op", key, b"{}")
    yield
    stage.site.store.put("keyed.op", key, b"")


@asynccontextmanager
async def _disturb(stage: FaultContext, proxy: Proxy) -> AsyncIterator[None]:
    weather = stage.rng.choice([*ProxyMode])
    if weather is ProxyMode.NORMAL:
        proxy.reset()
    proxy.set_mode(weather)
    yield
    proxy.set_mode(ProxyMode.NORMAL)
    if stage.rng.random() < 0.3:
        proxy.reset()
