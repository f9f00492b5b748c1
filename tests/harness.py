"""Real schedulers with small fakes around them, on simulated time, in one thread.

Processes tick in turn. Their calls wait until their next tick, so that a process that
is paused or killed does not send them, and one that resumes sends them late.
"""

import json
from concurrent.futures import Future
from contextlib import ExitStack, contextmanager, suppress
from dataclasses import dataclass, field
from random import Random
from unittest import mock

from plantainhinge.adapters.log_memory import MemoryLog
from plantainhinge.adapters.peers_grpc import (
    OFFER,
    QUERY_JOB,
    REPORT_CLOSURES,
    SUBMIT,
    Call,
)
from plantainhinge.core.errors import (
    BadInputError,
    PlantainhingeError,
    UnavailableError,
    UncertainError,
)
from plantainhinge.core.ids import Epoch, Sequence, WriterId
from plantainhinge.core.messages import Instance, QueryJob, SubmitJob
from plantainhinge.core.records import (
    RECORD_VERSION,
    Batch,
    ConfigurationPublished,
    encode_batch,
)
from plantainhinge.core.resources import Resources
from plantainhinge.core.settings import Settings
from plantainhinge.core.states import (
    FINAL_TASK_STATES,
    AttemptOutcome,
    DaemonRole,
    InstanceRole,
    InstanceState,
)
from plantainhinge.daemons.log_driver import LogDriver
from plantainhinge.daemons.node import Node
from plantainhinge.daemons.scheduler import Scheduler
from standins.worker import RefusalError, Worker

TICK_SECONDS = 0.25
SETTLE_SECONDS = 4.0
PEER_TIMEOUT_SECONDS = 2.0
CAPACITY = Resources(8000, 16384, 0)
JOB_MILLICORES = 4000
WALL_OFFSET = 1_700_000_000.0


class FaultyLog:
    """An in-memory log that is down, loses responses or duplicates on demand."""

    def __init__(self):
        self.inner = MemoryLog()
        self.down = False
        self.lose_answers = 0
        self.duplicate = False
        self.on_effect = lambda: None

    def append(self, stream, data):
        self._check("log.append")
        offset = self.inner.append(stream, data)
        if not stream.startswith("config"):
            self.on_effect()
        if self.duplicate:
            self.inner.append(stream, data)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise UncertainError("answer lost", step="log.append")
        return offset

    def read(self, stream, start, max_bytes):
        self._check("log.read")
        return self.inner.read(stream, start, max_bytes)

    def _check(self, step):
        if self.down:
            raise UnavailableError("log is down", step=step)


class ProcessLog:
    """One process's access to the log, which can be cut."""

    def __init__(self, process):
        self.process, self.site = process, process.site

    def append(self, stream, data):
        return self._find().append(stream, data)

    def read(self, stream, start, max_bytes):
        return self._find().read(stream, start, max_bytes)

    def _find(self):
        if self.process.name in self.site.log_cut:
            raise UnavailableError("log is out of reach", step="log")
        return self.site.log


class RecordingWorker(Worker):
    """A worker that reports the start and end of its attempts to the site."""

    def __init__(self, site, name, domain, *, rate, incarnation):
        self.site, self.domain, self.rate = site, domain, rate
        super().__init__(
            name, "127.0.0.1", clock=lambda: site.now * rate, incarnation=incarnation
        )

    def start(self, message):
        before = len(self.history)
        report = super().start(message)
        if len(self.history) > before:
            self.site.record_start(self, message)
        return report

    def _end(self, ref, outcome, at):
        super()._end(ref, outcome, at)
        self.site.record_end(ref, outcome, self._tombstones[ref].checkpoint)


class FakeExecutor:
    """Holds calls until the next step of the process."""

    def __init__(self, process):
        self.process = process
        self.calls = []

    def submit(self, function, *arguments, callback):
        self.calls.append((function, arguments, callback))

    def add_callback(self, future, *, callback):
        future.add_done_callback(
            lambda done: self.process.inbox.append(lambda now: callback(done, now))
        )

    def execute(self):
        calls, self.calls = self.calls, []
        for function, arguments, callback in calls:
            if self.process.dead:
                return
            future = Future()
            self.add_callback(future, callback=callback)
            try:
                future.set_result(function(*arguments))
            except PlantainhingeError as error:
                future.set_exception(error)


class FakePeers:
    """Peers whose calls become messages of the site, delivered in the next step."""

    def __init__(self, process):
        self.process = process

    def call(self, address, method, request, *, timeout=PEER_TIMEOUT_SECONDS):
        future = Future()
        message = _Message(self.process, address, Call(method, request, Future()))
        message.reply, message.until = future, self.process.site.now + timeout
        self.process.site.messages.append(message)
        return future


@dataclass
class _Message:
    source: object
    address: str
    call: Call
    reply: Future = None
    until: float = 0.0
    delivered: bool = False


class FakeWorkers:
    """One process's calls to workers, which are cut, delayed or fail on demand."""

    def __init__(self, process):
        self.process, self.site = process, process.site

    def start(self, address, message):
        if self.site.hold_starts:
            self.site.held.append((address, message))
            raise UncertainError("answer lost", step="worker.start", peer=address)
        if address in self.site.failing:
            raise UncertainError("status 500", step="worker.start", peer=address)
        return self._affect(address, "start", message)

    def renew(self, address, message):
        return self._call(address, "renew", message)

    def stop(self, address, message):
        return self._affect(address, "stop", message)

    def throttle(self, address, message):
        return self._call(address, "throttle", message)

    def _affect(self, address, verb, message):
        try:
            return self._call(address, verb, message)
        finally:
            self.site.record_effect()

    def _call(self, address, verb, message):
        step = f"worker.{verb}"
        if (self.process.name, address) in self.site.cut or address in self.site.cut:
            raise UncertainError("timeout", step=step, peer=address)
        try:
            return getattr(self.site.workers[address], verb)(message)
        except RefusalError as error:
            raise BadInputError(error.detail, step=step, peer=address) from error


class Process:
    """One scheduler process with its fakes."""

    def __init__(self, site, name, incarnation):
        self.site, self.name, self.inbox = site, name, []
        self.paused, self.dead = False, False
        self.executor = FakeExecutor(self)
        draws = Random(incarnation)
        settings = Settings(
            instance=name,
            address=f"127.0.0.{1 + site.names.index(name)}",
            domain=site.process_domains[name],
            region="r",
            log_address="",
            instance_list_address="",
        )
        self.node = Node(
            settings,
            DaemonRole.SCHEDULER,
            instances=site,
            executor=self.executor,
            driver=LogDriver(ProcessLog(self), self.executor, draw=draws.random),
            peers=FakePeers(self),
            rng=draws,
        )
        self.scheduler = Scheduler(self.node, FakeWorkers(self))

    def step(self):
        self.executor.execute()
        if self.dead:
            return
        events, self.inbox = self.inbox, []
        self.scheduler.tick(events, self.site.now)


@dataclass
class Site:
    """Schedulers, workers and one log; ``advance`` moves the simulated time."""

    workers_per_domain: int = 2
    names: list = field(default_factory=lambda: ["a", "b", "c"])
    process_domains: dict = field(
        default_factory=lambda: {"a": "d1", "b": "d2", "c": "d3"}
    )
    unlisted: set = field(default_factory=set)
    now: float = 100.0
    log: FaultyLog = field(default_factory=FaultyLog)
    workers: dict = field(default_factory=dict)
    processes: dict = field(default_factory=dict)
    messages: list = field(default_factory=list)
    cut: set = field(default_factory=set)
    log_cut: set = field(default_factory=set)
    delivered: list = field(default_factory=list)
    failing: set = field(default_factory=set)
    hold_starts: bool = False
    held: list = field(default_factory=list)
    starts: dict = field(default_factory=dict)
    ends: dict = field(default_factory=dict)
    out_since: dict = field(default_factory=dict)
    domains: dict = field(default_factory=lambda: {"d1": "in", "d2": "in"})
    finals: dict = field(default_factory=dict)
    jobs: list = field(default_factory=list)
    attempts_limit: int = 5
    tick_seconds: float = TICK_SECONDS
    partitions: int = 1
    jobs_urgent: bool = False
    declared: dict = field(default_factory=dict)
    capacities: dict = field(default_factory=dict)
    kill_after: int = 0
    effects: int = 0
    _stepping: Process | None = None
    _incarnation: int = 1
    _revision: int = 0

    def record_effect(self):
        """Count a call with an effect; kill its process after call ``kill_after``."""
        self.effects += 1
        if self.effects == self.kill_after:
            self.kill(self._stepping.name)

    def kill(self, name):
        self.processes.pop(name).dead = True

    def start(self):
        self.log.on_effect = self.record_effect
        for domain in self.domains:
            for index in range(self.workers_per_domain):
                self.add_worker(f"{domain}-w{index}", domain)
        self.publish()
        for name in self.names:
            self.start_process(name)
        streams = ["ledger.0", *(f"cell.{domain}" for domain in self.domains)]
        self.await_state(lambda: all(map(self.find_owner, streams)))
        self.advance(SETTLE_SECONDS)

    def add_worker(self, name, domain):
        self._incarnation += 1
        rate = 1.0 + 0.004 * (self._incarnation % 3 - 1)
        self.workers[name] = RecordingWorker(
            self, name, domain, rate=rate, incarnation=self._incarnation
        )

    def restart_worker(self, name):
        self.add_worker(name, self.workers[name].domain)

    def start_process(self, name):
        self._incarnation += 1
        self.processes[name] = Process(self, name, self._incarnation)

    def fetch(self):
        entries = [
            Instance(
                instance=name,
                role=InstanceRole.ENTRY,
                state=InstanceState.LIVE,
                address=f"127.0.0.{1 + self.names.index(name)}",
                domain=self.process_domains[name],
                region="r",
            )
            for name in self.names
            if name not in self.unlisted
        ]
        workers = [
            Instance(
                instance=name,
                role=InstanceRole.WORKER,
                state=InstanceState.LIVE,
                address=name,
                domain=worker.domain,
                region="r",
                capacity=self.capacities.get(name, CAPACITY),
            )
            for name, worker in self.workers.items()
        ]
        return entries + workers

    def publish(self):
        document = {
            "schema": 1,
            "domains": {
                n: {"region": "r", "state": s} for n, s in self.domains.items()
            },
            "teams": {"t": {"quota": {"processors": 100000, "memory_gib": 100000}}},
            "services": {},
            "kinds": {
                "small": {
                    "team": "t",
                    "task_class": "batch",
                    "task": {"processors": 4, "memory_gib": 1},
                    "urgent": self.jobs_urgent,
                },
                "huge": {
                    "team": "t",
                    "task_class": "batch",
                    "task": {"processors": 400},
                },
            },
            "limits": {
                "ledger_partitions": self.partitions,
                "attempts_per_task": self.attempts_limit,
            },
        }
        text = json.dumps(document | self.declared)
        record = ConfigurationPublished(text, self._revision, "operator")
        writer = WriterId(f"operator-{self._revision}")
        batch = Batch(RECORD_VERSION, writer, Sequence(1), Epoch(0), [record])
        self._revision = self.log.inner.append("config", encode_batch(batch)) + 1

    def set_domain(self, domain, state):
        self.domains[domain] = state
        self.publish()
        if state == "out":
            self.out_since[domain] = self.now
        else:
            self.out_since.pop(domain, None)

    def advance(self, seconds):
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now = round(self.now + self.tick_seconds, 6)
            self._deliver_messages()
            for process in list(self.processes.values()):
                self._stepping = process
                if not process.paused and not process.dead:
                    process.step()
            self.check()

    def await_state(self, condition, limit=120.0):
        end = self.now + limit
        while not condition():
            assert self.now < end, "the condition was not met in time"
            self.advance(TICK_SECONDS)

    def deliver_again(self, calls):
        """Deliver old offers and closures again, to all schedulers."""
        for call in calls:
            if call.method not in (OFFER, REPORT_CLOSURES):
                continue
            for process in self.processes.values():
                again = Call(call.method, call.request, Future())
                process.inbox.append(
                    lambda now, p=process, c=again: p.scheduler.handle_call(c, now)
                )

    def deliver_held(self):
        """Deliver the starts that were held back."""
        held, self.held = self.held, []
        for address, message in held:
            with suppress(RefusalError):
                self.workers[address].start(message)

    def find_owner(self, stream):
        for process in self.processes.values():
            if process.paused:
                continue
            for owner in process.scheduler._list_owners():
                if owner.replica.stream == stream and owner.owns(self.now):
                    return process
        return None

    def submit(self, task, kind="small", run_seconds=5.0):
        self.jobs.append(task)
        message = SubmitJob(task=task, kind=kind, team="t", run_seconds=run_seconds)
        return self.ask(SUBMIT, message)

    def ask(self, method, message, process=None):
        process = process or self.find_owner("ledger.0")
        call = Call(method, message, Future())
        process.scheduler.handle_call(call, self.now)
        return call.response

    def query(self, task):
        answer = self.ask(QUERY_JOB, QueryJob(task=task, team="t"))
        return answer.result()

    def is_final(self, *tasks):
        owner = self.find_owner("ledger.0")
        if owner is None:
            return False
        rows = owner.scheduler.ledgers[0].state.tasks
        return all(t in rows and rows[t].state in FINAL_TASK_STATES for t in tasks)

    def record_start(self, worker, message):
        ref = (message.task, message.attempt)
        assert ref not in self.starts, f"{ref} was started twice"
        self.starts[ref] = (worker.name, self.now, message.checkpoint)
        out_since = self.out_since.get(worker.domain)
        assert out_since is None or self.now <= out_since + 3.0 + TICK_SECONDS
        before = self.ends.get((message.task, message.attempt - 1))
        if before is not None and before[0] is AttemptOutcome.EVICTED and before[1]:
            assert message.checkpoint == before[1], "resumed from another checkpoint"

    def record_end(self, ref, outcome, checkpoint):
        if ref in self.starts:
            self.ends[ref] = (outcome, checkpoint)

    def check(self):
        """Check that no task runs twice at once, no worker is overcommitted, and that
        final task states never change.
        """
        locations = {}
        for worker in self.workers.values():
            running = worker.list_running()
            assert len(running) * JOB_MILLICORES <= CAPACITY.millicores
            for task, attempt in running:
                assert task not in locations, f"{task} runs in two places"
                locations[task] = (worker.name, attempt)
        for process in self.processes.values():
            for ledger in process.scheduler.ledgers.values():
                self._check_finals(ledger.state)

    def _check_finals(self, state):
        for task in state.changed:
            row = state.tasks.get(task)
            if row is not None and row.state in FINAL_TASK_STATES:
                assert self.finals.setdefault(task, row.state) is row.state

    def _deliver_messages(self):
        for message in list(self.messages):
            self._deliver(message)
            if message.reply.done():
                self.messages.remove(message)

    def _deliver(self, message):
        receiver = next(
            (p for p in self.processes.values() if p.node.address == message.address),
            None,
        )
        call = message.call
        if receiver is None:
            error = UnavailableError("refused", step="peer", peer=message.address)
            message.reply.set_exception(error)
            return
        if not message.delivered and not receiver.paused:
            message.delivered = True
            self.delivered.append(call)
            receiver.inbox.append(lambda now: receiver.scheduler.handle_call(call, now))
        if call.response.done():
            _copy(call.response, message.reply)
        elif self.now >= message.until:
            message.reply.set_exception(UncertainError("timeout", step="peer"))


def _copy(source, receiver):
    if source.exception() is not None:
        receiver.set_exception(source.exception())
    else:
        receiver.set_result(source.result())


@contextmanager
def run_site(**options):
    """Yield a started site whose processes all read its simulated clock."""
    site = Site(**options)
    with ExitStack() as stack:
        for name in ("daemons.cell_workers.read_monotonic",):
            stack.enter_context(mock.patch(f"plantainhinge.{name}", lambda: site.now))
        for name in ("daemons.node", "daemons.ledger_owner", "core.events"):
            stack.enter_context(
                mock.patch(
                    f"plantainhinge.{name}.read_wall", lambda: WALL_OFFSET + site.now
                )
            )
        site.start()
        yield site
