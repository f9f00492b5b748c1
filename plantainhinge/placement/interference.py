"""How much kinds of work slow each other down on one worker.

The slowdown of a kind is estimated as one plus a sum over the kinds beside it:
a pair's weight times the share of the worker's processors that the other kind
keeps busy. The estimate therefore shifts with load. The weights are learned by
normalized least mean squares (Widrow and Hoff, 1960; Nagumo and Noda, 1967) and
decay towards a prior, so that old findings do not bind for ever.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from ..core.ids import KindId, Seconds
from ..core.registry import Registry
from ..core.states import TaskClass

LEARNING_RATE = 0.25
REGULARIZATION = 0.02
HALF_LIFE_SECONDS = 6 * 3600.0
MAX_PAIRS = 16_384
MAX_WEIGHT = 50.0
BATCH_WEIGHT = 0.2


@dataclass(frozen=True)
class KindLoad:
    """The share of a worker's processors that one kind keeps busy."""

    kind: KindId
    task_class: TaskClass
    load: float


@dataclass(frozen=True)
class Observation:
    """A slowdown, and the mix over the window that it was measured in.

    Parameters
    ----------
    slowdown : float
        Relative to running alone; 1.0 is no loss.
    beside : tuple of KindLoad
        What else ran on the worker in that window.
    """

    kind: KindId
    slowdown: float
    colocated: tuple[KindLoad, ...]


@dataclass
class LearnedWeight:
    """The weight of one ordered pair and when it was last learned."""

    weight: float
    learned_at: Seconds


@dataclass
class PairTable:
    """Weights by the kind that suffers and the kind that causes it.

    Parameters
    ----------
    prior : float
        The weight of a pair that was never seen together.
    """

    prior: float = 0.3
    rows: dict[tuple[KindId, KindId], LearnedWeight] = field(default_factory=dict)

    def get(self, victim: KindId, other: KindId, now: Seconds) -> float:
        """Return a pair's weight, decayed to ``now``."""
        row = self.rows.get((victim, other))
        if row is None:
            return self.prior
        kept = 0.5 ** (max(0.0, now - row.learned_at) / HALF_LIFE_SECONDS)
        return self.prior + (row.weight - self.prior) * kept

    def set(self, victim: KindId, other: KindId, weight: float, now: Seconds) -> None:
        """Store a pair's weight, in the place of the oldest when full."""
        key = (victim, other)
        self.rows.pop(key, None)
        if len(self.rows) >= MAX_PAIRS:
            del self.rows[next(iter(self.rows))]
        self.rows[key] = LearnedWeight(min(max(weight, 0.0), MAX_WEIGHT), now)


def estimate_slowdown(
    table: PairTable, kind: KindId, beside: Mapping[KindId, KindLoad], now: Seconds
) -> float:
    """Return the expected slowdown of a kind beside others."""
    return 1.0 + sum(
        table.get(kind, other.kind, now) * other.load for other in beside.values()
    )


def update_weights(
    table: PairTable,
    observation: Observation,
    now: Seconds,
    *,
    learning_rate: float = LEARNING_RATE,
) -> None:
    """Move the weights of the kinds beside towards the measured slowdown.

    Parameters
    ----------
    learning_rate : float
        Share of the error that one observation corrects, at large loads.
    """
    beside = [other for other in observation.colocated if other.load > 0.0]
    power = sum(other.load**2 for other in beside)
    if not beside:
        return
    weights = [table.get(observation.kind, other.kind, now) for other in beside]
    expected = 1.0 + sum(
        weight * other.load for weight, other in zip(weights, beside, strict=True)
    )
    error = observation.slowdown - expected
    for weight, other in zip(weights, beside, strict=True):
        change = learning_rate * error * other.load / (power + REGULARIZATION)
        table.set(observation.kind, other.kind, weight + change, now)


InterferenceModel = Callable[[PairTable, KindId, KindId, Seconds], float]
INTERFERENCE_MODELS: Registry[InterferenceModel] = Registry("interference model")


@INTERFERENCE_MODELS.register("none")
def expect_no_interference(
    table: PairTable, victim: KindId, other: KindId, now: Seconds
) -> float:
    """Expect no interference at all."""
    return 0.0


@INTERFERENCE_MODELS.register("pairwise")
def get_learned_weight(
    table: PairTable, victim: KindId, other: KindId, now: Seconds
) -> float:
    """Return the learned weight of the pair."""
    return table.get(victim, other, now)


def estimate_interference_cost(
    model: InterferenceModel,
    table: PairTable,
    arriving: KindLoad,
    beside: Sequence[KindLoad],
    now: Seconds,
) -> float:
    """Return the cost of the slowdown that a placement adds on a worker.

    The cost covers the new task and the tasks already there. A latency-critical task
    counts half the square of its slowdown, which spreads slowdown over many tasks
    rather than concentrating it on one. A batch task counts a fraction of its
    slowdown.
    """
    met = sum(model(table, arriving.kind, x.kind, now) * x.load for x in beside)
    cost = _weigh_slowdown(arriving.task_class, 0.0, met)
    for other in beside:
        caused = model(table, other.kind, arriving.kind, now) * arriving.load
        if not caused:
            continue
        loss = 0.0
        if other.task_class is TaskClass.LATENCY_CRITICAL:
            loss = sum(model(table, other.kind, x.kind, now) * x.load for x in beside)
        cost += _weigh_slowdown(other.task_class, loss, caused)
    return cost


def estimate_caused_slowdown(
    model: InterferenceModel,
    table: PairTable,
    load: KindLoad,
    victims: Iterable[KindId],
    now: Seconds,
) -> float:
    """Return the greatest slowdown that a load causes to any of the victims."""
    caused = (model(table, kind, load.kind, now) * load.load for kind in victims)
    return max(caused, default=0.0)


def _weigh_slowdown(task_class: TaskClass, before: float, added: float) -> float:
    if task_class is TaskClass.LATENCY_CRITICAL:
        return added * (before + added / 2)
    return added * BATCH_WEIGHT
