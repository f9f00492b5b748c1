"""Non-idempotent requests at several gateways against the real ledger, with faults.

Targets and ledger both fail. What ran is counted by the fake targets themselves, not
by the tables of the code under test.
"""

import random

import pytest

from plantainhinge.adapters.peers_grpc import CLAIM, FINISH_CLAIM
from plantainhinge.core.claims import CLAIM_WINDOW_SECONDS
from plantainhinge.core.errors import NotOwnerError, UnavailableError, UncertainError
from plantainhinge.core.states import Outcome
from plantainhinge.routing.claims import (
    KeyAge,
    classify_key_age,
    parse_key_time,
)
from standins.keys import make_key

from .fakes import Behaviour, Clock
from .harness import TICK_SECONDS, WALL_OFFSET, run_site
from .test_request_runner import PURCHASE, RequestPath

DEADLINE = 5.0
CLAIM_SECONDS = 1.5


class SiteLedger:
    """Calls the owner of the site's ledger with a timeout, as a gateway does."""

    def __init__(self, site, clock):
        self.site = site
        self.clock = clock
        self.unsent = []
        self.during_claim = []

    def claim(self, message, timeout):
        started_at = self.site.now
        owner = self.site.find_owner("ledger.0")
        if owner is None:
            raise UnavailableError("no owner", step="ledger.Claim")
        reply = self.site.ask(CLAIM, message, owner)
        if self.during_claim:
            self.during_claim.pop()()
        deadline = started_at + min(timeout, CLAIM_SECONDS)
        while not reply.done() and self.site.now < deadline:
            self.site.advance(TICK_SECONDS)
        self.clock.now += self.site.now - started_at
        if not reply.done():
            raise UncertainError("timeout", step="ledger.Claim")
        try:
            return reply.result()
        except NotOwnerError as error:
            raise UnavailableError(error.message, step=error.step) from error

    def finish(self, message):
        self.unsent.append(message)

    def flush(self):
        self.site.await_state(lambda: self.site.find_owner("ledger.0") is not None)
        for message in self.unsent:
            self.site.ask(FINISH_CLAIM, message)
        self.unsent.clear()
        self.site.advance(10.0)


class Shop:
    """Three gateways in front of the same targets, and one key."""

    def __init__(self, site):
        self.site = site
        clock = Clock()
        self.ledger = SiteLedger(site, clock)
        self.gateways = [
            RequestPath(ledger=self.ledger, clock=clock, prefix=f"g{number}-")
            for number in range(3)
        ]
        self.key = make_key(WALL_OFFSET + site.now, rng=random.Random(1))

    def buy(self, number):
        gateway = self.gateways[number]
        gateway.key_at = parse_key_time(self.key)
        return gateway.run(PURCHASE, key=self.key, remaining_seconds=DEADLINE).outcome

    def count_runs(self):
        return sum(len(gateway.targets.ran) for gateway in self.gateways)


def lose_answers(shop):
    shop.site.log.lose_answers = 2


def duplicate_appends(shop):
    shop.site.log.duplicate = True


def kill_owner(shop):
    owner = shop.site.find_owner("ledger.0")
    shop.ledger.during_claim.append(lambda: shop.site.kill(owner.name))


def pause_owner(shop):
    owner = shop.site.find_owner("ledger.0")
    shop.ledger.during_claim.append(lambda: setattr(owner, "paused", True))


def take_log_down(shop):
    shop.site.log.down = True


def cut_target(shop):
    shop.gateways[0].targets.script = [Behaviour.CUTS_CONNECTION]


def refuse_at_target(shop):
    shop.gateways[0].targets.script = [Behaviour.REFUSES]


FAULTS = [
    lose_answers,
    duplicate_appends,
    kill_owner,
    pause_owner,
    take_log_down,
    cut_target,
    refuse_at_target,
]


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_a_purchase_runs_at_most_once_and_not_run_is_reported_truthfully(fault):
    with run_site() as site:
        shop = Shop(site)
        fault(shop)
        first = shop.buy(0)
        ran_at_first = shop.count_runs()
        if first is Outcome.NOT_RUN:
            assert ran_at_first == 0
        assert ran_at_first <= 1
        site.log.down = False
        shop.ledger.flush()
        later = [shop.buy(number) for number in (1, 2, 0)]
        assert shop.count_runs() <= 1
        if ran_at_first:
            assert later == [Outcome.UNKNOWN] * 3
        assert Outcome.NOT_RUN not in later


def test_the_same_key_at_two_gateways_at_the_same_time_runs_once():
    with run_site() as site:
        shop = Shop(site)
        outcomes = []
        shop.ledger.during_claim.append(lambda: outcomes.append(shop.buy(1)))
        outcomes.append(shop.buy(0))
        assert sorted(outcome.value for outcome in outcomes) == ["done", "unknown"]
        assert shop.count_runs() == 1


def test_a_purchase_with_a_released_key_can_run():
    with run_site() as site:
        shop = Shop(site)
        refuse_at_target(shop)
        assert shop.buy(0) is Outcome.NOT_RUN
        shop.ledger.flush()
        assert shop.buy(1) is Outcome.DONE
        assert shop.count_runs() == 1


def test_a_key_older_than_the_window_never_runs_again():
    with run_site() as site:
        shop = Shop(site)
        assert shop.buy(0) is Outcome.DONE
        shop.ledger.flush()
        claims = site.find_owner("ledger.0").scheduler.ledgers[0].state.claims
        assert shop.key in claims
        site.advance(CLAIM_WINDOW_SECONDS)
        site.await_state(lambda: shop.key not in claims)
        age = classify_key_age(parse_key_time(shop.key), WALL_OFFSET + site.now)
        assert age is KeyAge.EXPIRED
        # A gateway whose clock is far behind still asks the ledger, which refuses.
        assert shop.buy(1) is Outcome.UNKNOWN
        assert shop.count_runs() == 1
