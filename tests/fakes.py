"""Fakes of the targets and the ledger that a gateway calls, on a simulated clock."""

from collections import defaultdict
from enum import Enum

from plantainhinge.core.errors import UnavailableError, UncertainError
from plantainhinge.core.messages import ClaimResponse, TargetResponse


class Clock:
    """Monotonic clock that advances only when a test or a fake sets ``now``."""

    def __init__(self):
        self.now = 100.0

    def read(self):
        return self.now


class Behaviour(Enum):
    """How a fake target handles a request."""

    RESPONDS = "answers"
    RESPONDS_SLOWLY = "slowly"
    FAILS = "fails"
    REFUSES = "refuses"
    IS_LEAVING = "leaves"
    CUTS_CONNECTION = "cuts"
    NEVER_RESPONDS = "never"
    UNREACHABLE = "unreachable"
    BREAKS_DURING_SEND = "breaks-in-send"


DELAYS = {
    Behaviour.RESPONDS_SLOWLY: 0.5,
    Behaviour.NEVER_RESPONDS: float("inf"),
    Behaviour.CUTS_CONNECTION: 0.002,
}
NOT_RUN = {Behaviour.REFUSES, Behaviour.UNREACHABLE}


class FakeExchange:
    def __init__(self, targets, address, request, behaviour, ready_at):
        self.targets = targets
        self.address = address
        self.request = request
        self.behaviour = behaviour
        self.ready_at = ready_at

    def receive(self):
        self.targets.open[self.address] -= 1
        if self.behaviour is Behaviour.CUTS_CONNECTION:
            raise UncertainError("cut", step="target.exchange", peer=self.address)
        failed = self.behaviour is Behaviour.FAILS
        return TargetResponse(
            status=500 if failed else 200,
            headers={},
            body=self.request.request.encode(),
            refused=self.behaviour is Behaviour.REFUSES,
            leaving=self.behaviour is Behaviour.IS_LEAVING,
            in_flight=max(0, self.targets.open[self.address]),
        )

    def abandon(self):
        self.targets.open[self.address] -= 1


class FakeTargets:
    """Targets that record the requests they were sent and the requests they ran.

    Each request takes its behaviour from ``script`` while that has entries, then
    from ``behaviours`` by address.
    """

    def __init__(self, clock, *, seconds=0.002):
        self.clock = clock
        self.seconds = seconds
        self.behaviours = defaultdict(lambda: Behaviour.RESPONDS)
        self.script = []
        self.ran = []
        self.sent = []
        self.open = defaultdict(int)
        self.max_open = defaultdict(int)

    def send(self, address, request):
        behaviour = self.script.pop(0) if self.script else self.behaviours[address]
        if behaviour is Behaviour.UNREACHABLE:
            raise UnavailableError("refused", step="target.exchange", peer=address)
        self.sent.append((self.clock.now, address, request.request))
        if behaviour not in NOT_RUN:
            self.ran.append((address, request.request))
        if behaviour is Behaviour.BREAKS_DURING_SEND:
            raise UncertainError("broken", step="target.exchange", peer=address)
        self.open[address] += 1
        self.max_open[address] = max(self.max_open[address], self.open[address])
        ready_at = self.clock.now + DELAYS.get(behaviour, self.seconds)
        return FakeExchange(self, address, request, behaviour, ready_at)

    def wait(self, exchanges, timeout):
        until = min(*(e.ready_at for e in exchanges), self.clock.now + timeout)
        self.clock.now = max(self.clock.now, until)
        return [e for e in exchanges if e.ready_at <= self.clock.now]

    def close_idle(self):
        pass


class FakeLedger:
    """Ledger that grants each key to the first request that claims it.

    The grant lasts until ``finish`` reports that the request did not run. ``script``
    holds the errors of the next claims, None for no error. A claim that ends in
    ``UncertainError`` is granted all the same, but its response is lost.
    """

    def __init__(self, clock):
        self.clock = clock
        self.holders = {}
        self.finished = []
        self.script = []

    def claim(self, message, timeout):
        error = self.script.pop(0) if self.script else None
        if isinstance(error, UnavailableError):
            raise error
        granted = self.holders.setdefault(message.key, message.request)
        if isinstance(error, UncertainError):
            self.clock.now += timeout
            raise error
        return ClaimResponse(granted=granted == message.request)

    def finish(self, message):
        self.finished.append(message)
        if not message.ran and self.holders.get(message.key) == message.request:
            del self.holders[message.key]
