"""Faults that the soak test injects into a running site.

Each fault is a context manager: it begins on entry and is undone on exit.
"""

import asyncio
import math
import random
import signal
from collections.abc import AsyncIterator, Callable, Iterable, Iterator
from contextlib import (
    AbstractAsyncContextManager,
    ExitStack,
    asynccontextmanager,
    contextmanager,
)
from dataclasses import dataclass

from plantainhinge.core.registry import Registry

from .callers import Caller
from .proxy import Proxy, ProxyMode
from .site import DOMAINS, SoakInstance, SoakSite

Fault = Callable[["FaultContext"], AbstractAsyncContextManager[None]]
FAULTS: Registry[Fault] = Registry("fault")
# seconds for which a fault lasts
SECONDS = (0.3, 5.0)
LONG_SECONDS = {
    "a failure domain is cut off": (2.0, 15.0),
    "the log is lost for short times": (5.0, 15.0),
    "the owner pauses past its lease": (4.5, 9.0),
    "the owner is killed and back while cut off": (2.0, 15.0),
}
DISTURBANCES = (
    ProxyMode.NORMAL,
    ProxyMode.BLOCKED,
    ProxyMode.NO_RESPONSES,
    ProxyMode.SLOW,
)
BLOCKING_MODES = (ProxyMode.BLOCKED, ProxyMode.NO_REQUESTS, ProxyMode.NO_RESPONSES)
# modes of the paths that leave a failure domain, with that of the paths that enter it
OPPOSITES = {
    ProxyMode.BLOCKED: ProxyMode.BLOCKED,
    ProxyMode.NO_REQUESTS: ProxyMode.NO_RESPONSES,
    ProxyMode.NO_RESPONSES: ProxyMode.NO_REQUESTS,
}
# half of the cuts are both ways
CUT_MODES = (ProxyMode.BLOCKED, *BLOCKING_MODES)
# numbers of callers from here on submit one deadly job each
DEADLY_CALLER = 1 << 20


@dataclass
class FaultContext:
    """What a fault acts on.

    Parameters
    ----------
    rng : Random
        Seeded source of the choice of instances and workers.
    """

    site: SoakSite
    rng: random.Random

    def choose_instance(self) -> SoakInstance:
        """Return the owner with probability one half, otherwise any instance."""
        owner = self.site.find_owner()
        if owner is not None and self.rng.random() < 0.5:
            return owner
        return self.rng.choice(list(self.site.instances.values()))

    def choose_owner(self) -> SoakInstance:
        """Return the owner, or any instance if there is none."""
        return self.site.find_owner() or self.choose_instance()

    def choose_worker(self) -> str:
        """Return the name of a random worker."""
        return self.rng.choice(sorted(self.site.workers))

    def list_proxies(self) -> list[Proxy]:
        """Return all proxies of the site, in a fixed order."""
        proxies = [self.site.worker_proxies[name] for name in sorted(self.site.workers)]
        for instance in self.site.instances.values():
            proxies += [instance.callers, instance.log]
        return [*proxies, *self.site.paths.values()]

    def list_log_proxies(self) -> list[Proxy]:
        """Return the proxies between all instances and the log."""
        return [instance.log for instance in self.site.instances.values()]


@FAULTS.register("the log refuses all")
@asynccontextmanager
async def refuse_log_calls(context: FaultContext) -> AsyncIterator[None]:
    """Refuse every call to the log."""
    context.site.store.down = True
    yield
    context.site.store.down = False


@FAULTS.register("the log loses answers")
@asynccontextmanager
async def lose_responses(context: FaultContext) -> AsyncIterator[None]:
    """Apply up to six appends without sending a response."""
    context.site.store.lost_responses += context.rng.randint(1, 6)
    yield
    context.site.store.lost_responses = 0


@FAULTS.register("the log is silent")
@asynccontextmanager
async def block_log(context: FaultContext) -> AsyncIterator[None]:
    """Block the connections of all instances to the log."""
    with _impose(context.list_log_proxies(), ProxyMode.BLOCKED):
        yield


@FAULTS.register("an instance is cut from the log")
@asynccontextmanager
async def disturb_log(context: FaultContext) -> AsyncIterator[None]:
    """Block, slow down or reset the connections of one instance to the log."""
    async with _disturb(context, context.choose_instance().log):
        yield


@FAULTS.register("callers lose an instance")
@asynccontextmanager
async def disturb_callers(context: FaultContext) -> AsyncIterator[None]:
    """Block, slow down or reset the connections of callers to one instance."""
    async with _disturb(context, context.choose_instance().callers):
        yield


@FAULTS.register("a worker is cut off")
@asynccontextmanager
async def disturb_worker(context: FaultContext) -> AsyncIterator[None]:
    """Block, slow down or reset the connections to one worker."""
    async with _disturb(context, context.site.worker_proxies[context.choose_worker()]):
        yield


@FAULTS.register("a worker crashes")
@asynccontextmanager
async def crash_worker(context: FaultContext) -> AsyncIterator[None]:
    """Restart one worker, which loses all of its attempts and state."""
    name = context.choose_worker()
    context.site.worker_proxies[name].reset()
    context.site.workers[name].crash()
    yield


@FAULTS.register("a worker is away for a while")
@asynccontextmanager
async def take_worker_away(context: FaultContext) -> AsyncIterator[None]:
    """Crash one worker; it comes back after some seconds, maybe under another id."""
    await context.site.crash_worker(context.choose_worker(), context.rng.uniform(1, 4))
    yield


@FAULTS.register("a worker shrinks")
@asynccontextmanager
async def shrink_worker(context: FaultContext) -> AsyncIterator[None]:
    """Change the capacity of one worker, until it changes again."""
    worker = context.site.workers[context.choose_worker()]
    worker.set_capacity(context.rng.choice([0, 1000, 2000, 4000, 8000]))
    yield


@FAULTS.register("a task crashes its workers")
@asynccontextmanager
async def submit_deadly_job(context: FaultContext) -> AsyncIterator[None]:
    """Submit a job whose first task crashes each worker that starts it."""
    number = DEADLY_CALLER + context.rng.randrange(1 << 20)
    caller = Caller(context.site, context.rng, number)
    await caller.submit_deadly()
    yield


@FAULTS.register("an instance is killed")
@asynccontextmanager
async def kill_instance(context: FaultContext) -> AsyncIterator[None]:
    """Kill one instance process and start it again when the fault ends."""
    instance = context.choose_instance()
    await context.site.stop(instance, signal.SIGKILL)
    yield
    await context.site.launch(instance)


@FAULTS.register("all instances are killed")
@asynccontextmanager
async def kill_all_instances(context: FaultContext) -> AsyncIterator[None]:
    """Kill all instance processes and start them again when the fault ends."""
    instances = list(context.site.instances.values())
    for instance in instances:
        await context.site.stop(instance, signal.SIGKILL)
    yield
    for instance in instances:
        await context.site.launch(instance)


@FAULTS.register("an instance freezes")
@asynccontextmanager
async def freeze_instance(context: FaultContext) -> AsyncIterator[None]:
    """Suspend one instance process by SIGSTOP and resume it when the fault ends."""
    instance = context.choose_instance()
    context.site.signal(instance, signal.SIGSTOP)
    yield
    context.site.signal(instance, signal.SIGCONT)


@FAULTS.register("an instance is stopped by plan")
@asynccontextmanager
async def stop_instance(context: FaultContext) -> AsyncIterator[None]:
    """Stop one instance process gracefully by SIGTERM and restart it."""
    instance = context.choose_instance()
    await context.site.restart(instance, signal.SIGTERM)
    yield


@FAULTS.register("instances reload")
@asynccontextmanager
async def reload_instances(context: FaultContext) -> AsyncIterator[None]:
    """Send SIGHUP to all instances, so that they reload their settings."""
    for instance in context.site.instances.values():
        context.site.signal(instance, signal.SIGHUP)
    yield


@FAULTS.register("the configuration changes")
@asynccontextmanager
async def change_configuration(context: FaultContext) -> AsyncIterator[None]:
    """Publish up to five versions of the configuration in quick succession."""
    for _ in range(context.rng.randint(1, 5)):
        context.site.change_configuration()
        await asyncio.sleep(0.05)
    yield


@FAULTS.register("a failure domain is emptied")
@asynccontextmanager
async def take_out_domain(context: FaultContext) -> AsyncIterator[None]:
    """Take one failure domain out and bring it back when the fault ends."""
    key = f"evacuate/{context.rng.choice(DOMAINS)}"
    context.site.store.put("keyed.op", key, b"{}")
    yield
    context.site.store.put("keyed.op", key, b"")


@FAULTS.register("connections are reset")
@asynccontextmanager
async def reset_connections(context: FaultContext) -> AsyncIterator[None]:
    """Reset about half of all connections: of callers, to the log and to workers."""
    for proxy in context.list_proxies():
        if context.rng.random() < 0.5:
            proxy.reset()
    yield


@FAULTS.register("packets pass one way only")
@asynccontextmanager
async def pass_one_way(context: FaultContext) -> AsyncIterator[None]:
    """Hold back all answers of the workers of a domain, and to one instance's callers.

    Requests arrive and take effect, so both sides believe something else meanwhile.
    """
    domain = context.rng.choice(DOMAINS)
    site = context.site
    proxies = [
        proxy
        for name, proxy in site.worker_proxies.items()
        if site.workers[name].domain == domain
    ]
    proxies.append(context.choose_instance().callers)
    with _impose(proxies, ProxyMode.NO_RESPONSES):
        yield


@FAULTS.register("a failure domain is cut off")
@asynccontextmanager
async def cut_domain(context: FaultContext) -> AsyncIterator[None]:
    """Cut a failure domain from the log, and from peers and workers elsewhere."""
    with _cut(context, context.choose_instance().domain):
        yield


@FAULTS.register("the log is lost for short times")
@asynccontextmanager
async def lose_log_repeatedly(context: FaultContext) -> AsyncIterator[None]:
    """Cut all instances from the log for a moment, every few seconds."""
    losing = asyncio.create_task(_lose_log_repeatedly(context))
    yield
    losing.cancel()


@FAULTS.register("the owner pauses past its lease")
@asynccontextmanager
async def pause_owner(context: FaultContext) -> AsyncIterator[None]:
    """Suspend the owner for longer than the leases that it has granted."""
    owner = context.choose_owner()
    context.site.signal(owner, signal.SIGSTOP)
    yield
    context.site.signal(owner, signal.SIGCONT)


@FAULTS.register("the owner is killed and back while cut off")
@asynccontextmanager
async def restart_cut_owner(context: FaultContext) -> AsyncIterator[None]:
    """Kill the owner and start it again while its failure domain is cut off."""
    owner = context.choose_owner()
    with _cut(context, owner.domain):
        await context.site.restart(owner, signal.SIGKILL)
        yield


@FAULTS.register("the log refuses a failure domain")
@asynccontextmanager
async def refuse_domain(context: FaultContext) -> AsyncIterator[None]:
    """Refuse the calls to the log of all instances of a failure domain."""
    domain, status = context.choose_instance().domain, context.rng.choice([429, 503])
    fronts = [
        instance.front
        for instance in context.site.instances.values()
        if instance.domain == domain
    ]
    for front in fronts:
        front.refusal = status
    yield
    for front in fronts:
        front.refusal = 0


@FAULTS.register("the log takes few calls")
@asynccontextmanager
async def limit_rates(context: FaultContext) -> AsyncIterator[None]:
    """Let the log refuse what exceeds a rate, of all instances together."""
    store, rng = context.site.store, context.rng
    store.reads_per_second = rng.uniform(5, 100)
    store.writes_per_second = rng.uniform(2, 50)
    yield
    store.reads_per_second = store.writes_per_second = math.inf


@FAULTS.register("a worker carries out orders late")
@asynccontextmanager
async def delay_orders(context: FaultContext) -> AsyncIterator[None]:
    """Let a worker carry out up to six orders seconds later, without a response."""
    worker = context.site.workers[context.choose_worker()]
    worker.late_orders += context.rng.randint(1, 6)
    yield
    worker.late_orders = 0


@FAULTS.register("the group is reassigned")
@asynccontextmanager
async def reassign_group(context: FaultContext) -> AsyncIterator[None]:
    """Give each instance the partitions of another one at once."""
    context.site.store.group.reassign_all()
    yield


@FAULTS.register("old records expire")
@asynccontextmanager
async def trim_history(context: FaultContext) -> AsyncIterator[None]:
    """Delete all but the last records of each topic; each key's newest stays."""
    for topic in context.site.store.topics.values():
        topic.trim(len(topic.records) - context.rng.randint(0, 50))
    yield


async def _lose_log_repeatedly(context: FaultContext) -> None:
    rng = context.rng
    while True:
        with _impose(context.list_log_proxies(), rng.choice(BLOCKING_MODES)):
            await asyncio.sleep(rng.uniform(0.2, 0.6))
        await asyncio.sleep(rng.uniform(1.0, 4.0))


@contextmanager
def _cut(context: FaultContext, domain: str) -> Iterator[None]:
    """Cut what crosses the border of a failure domain, both ways or one way.

    Its workers may lose the directory too, unless only answers are held back.
    """
    mode, site = context.rng.choice(CUT_MODES), context.site
    hides = context.rng.random() < 0.5 and mode is not ProxyMode.NO_RESPONSES
    hidden = [
        worker for worker in site.workers.values() if hides and worker.domain == domain
    ]
    domains = {name: instance.domain for name, instance in site.instances.items()}
    domains |= {name: worker.domain for name, worker in site.workers.items()}
    leaving, entering = [], []
    for instance in site.instances.values():
        if instance.domain == domain:
            leaving.append(instance.log)
    for (source, target), path in site.paths.items():
        if domains[source] == domain != domains[target]:
            leaving.append(path)
        elif domains[target] == domain != domains[source]:
            entering.append(path)
    for worker in hidden:
        worker.hidden += 1
    with _impose(leaving, mode), _impose(entering, OPPOSITES[mode]):
        yield
    for worker in hidden:
        worker.hidden -= 1


@contextmanager
def _impose(proxies: Iterable[Proxy], mode: ProxyMode) -> Iterator[None]:
    with ExitStack() as stack:
        for proxy in proxies:
            stack.enter_context(proxy.impose(mode))
        yield


@asynccontextmanager
async def _disturb(context: FaultContext, proxy: Proxy) -> AsyncIterator[None]:
    mode = context.rng.choice(DISTURBANCES)
    if mode is ProxyMode.NORMAL:
        proxy.reset()
    with proxy.impose(mode):
        yield
    if context.rng.random() < 0.3:
        proxy.reset()
