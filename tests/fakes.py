"""Small fakes at the interfaces of the request path, on a clock of their own."""

from collections import defaultdict
from enum import Enum

from plantainhinge.core.errors import UnavailableError, UncertainError
from plantainhinge.core.messages import ClaimResponse, TargetResponse


class Clock:
    """Monotonic seconds that only the test moves."""

    def __init__(self):
        self.now = 100.0

    def read(self):
        return self.now


class Does(Enum):
    """What a fake target does with a request."""

    ANSWERS = "answers"
    SLOWLY = "slowly"
    FAILS = "fails"
    REFUSES = "refuses"
    LEAVES = "leaves"
    CUTS = "cuts"
    NEVER = "never"
    UNREACHABLE = "unreachable"
    BREAKS_IN_SEND = "breaks-in-send"


DELAYS = {Does.SLOWLY: 0.5, Does.NEVER: float("inf"), Does.CUTS: 0.002}
RUNS_NOT = {Does.REFUSES, Does.UNREACHABLE}


class FakeExchange:
    def __init__(self, targets, address, request, does, ready_at):
        self.targets = targets
        self.address = address
        self.request = request
        self.does = does
        self.ready_at = ready_at

    def receive(self):
        self.targets.open[self.address] -= 1
        if self.does is Does.CUTS:
            raise UncertainError("cut", step="target.exchange", peer=self.address)
        failed = self.does is Does.FAILS
        return TargetResponse(
            status=500 if failed else 200,
            headers={},
            body=self.request.request.encode(),
            refused=self.does is Does.REFUSES,
            leaving=self.does is Does.LEAVES,
            in_flight=max(0, self.targets.open[self.address]),
        )

    def abandon(self):
        self.targets.open[self.address] -= 1


class FakeTargets:
    """Targets that follow a script; they witness what ran where."""

    def __init__(self, clock, *, seconds=0.002):
        self.clock = clock
        self.seconds = seconds
        self.does = defaultdict(lambda: Does.ANSWERS)
        self.script = []
        self.ran = []
        self.sent = []
        self.open = defaultdict(int)
        self.most_open = defaultdict(int)

    def send(self, address, request):
        does = self.script.pop(0) if self.script else self.does[address]
        if does is Does.UNREACHABLE:
            raise UnavailableError("refused", step="target.exchange", peer=address)
        self.sent.append((self.clock.now, address, request.request))
        if does not in RUNS_NOT:
            self.ran.append((address, request.request))
        if does is Does.BREAKS_IN_SEND:
            raise UncertainError("broken", step="target.exchange", peer=address)
        self.open[address] += 1
        self.most_open[address] = max(self.most_open[address], self.open[address])
        ready_at = self.clock.now + DELAYS.get(does, self.seconds)
        return FakeExchange(self, address, request, does, ready_at)

    def wait(self, exchanges, timeout):
        until = min(*(e.ready_at for e in exchanges), self.clock.now + timeout)
        self.clock.now = max(self.clock.now, until)
        return [e for e in exchanges if e.ready_at <= self.clock.now]

    def close_idle(self):
        pass


class FakeLedger:
    """Grants each key once; ``script`` holds errors for the next claims."""

    def __init__(self, clock):
        self.clock = clock
        self.holders = {}
        self.finished = []
        self.script = []

    def claim(self, message, timeout):
        fault = self.script.pop(0) if self.script else None
        if isinstance(fault, UnavailableError):
            raise fault
        granted = self.holders.setdefault(message.key, message.request)
        if isinstance(fault, UncertainError):
            self.clock.now += timeout
            raise fault
        return ClaimResponse(granted=granted == message.request)

    def finish(self, message):
        self.finished.append(message)
        if not message.ran and self.holders.get(message.key) == message.request:
            del self.holders[message.key]
