"""Model of how kinds of work slow each other down on the same worker.

The slowdown of a kind is estimated as one plus a sum over the colocated kinds: the
weight of the pair times the fraction of the worker's processors that the other kind
uses. The estimate therefore varies with load. The weights are learned by normalized
least mean squares (Widrow and Hoff, 1960; Nagumo and Noda, 1967) and decay towards
a prior, so that old observations lose their influence.
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
BATCH_COST_RATIO = 0.2


@dataclass(frozen=True)
class KindLoad:
    """Fraction of a worker's processors that one kind uses."""

    kind: KindId
    task_class: TaskClass
    load: float


@dataclass(frozen=True)
class Observation:
    """A measured slowdown of a kind, and the loads next to it at that time.

    Parameters
    ----------
    slowdown : float
        Relative to running alone; 1.0 is no slowdown.
    colocated : tuple of KindLoad
        Other load on the worker in the window of the measurement.
    """

    kind: KindId
    slowdown: float
    colocated: tuple[KindLoad, ...]


@dataclass
class LearnedWeight:
    """Weight of an ordered pair of kinds, and when it was last updated."""

    weight: float
    learned_at: Seconds


@dataclass
class PairTable:
    """Weights by the kind that is slowed down and the kind that causes it.

    Parameters
    ----------
    prior : float
        Weight of a pair that was never observed together.
    """

    prior: float = 0.3
    rows: dict[tuple[KindId, KindId], LearnedWeight] = field(default_factory=dict)

    def get(self, victim: KindId, other: KindId, now: Seconds) -> float:
        """Return the weight of a pair, decayed towards the prior until ``now``."""
        row = self.rows.get((victim, other))
        if row is None:
            return self.prior
        remaining = 0.5 ** (max(0.0, now - row.learned_at) / HALF_LIFE_SECONDS)
        return self.prior + (row.weight - self.prior) * remaining

    def set(self, victim: KindId, other: KindId, weight: float, now: Seconds) -> None:
        """Store the weight of a pair.

        A full table drops the pair that was updated least recently.
        """
        key = (victim, other)
        self.rows.pop(key, None)
        if len(self.rows) >= MAX_PAIRS:
            del self.rows[next(iter(self.rows))]
        self.rows[key] = LearnedWeight(min(max(weight, 0.0), MAX_WEIGHT), now)


def estimate_slowdown(
    table: PairTable, kind: KindId, colocated: Mapping[KindId, KindLoad], now: Seconds
) -> float:
    """Return the expected slowdown of a kind next to other loads."""
    return 1.0 + sum(
        table.get(kind, other.kind, now) * other.load for other in colocated.values()
    )


def update_weights(
    table: PairTable,
    observation: Observation,
    now: Seconds,
    *,
    learning_rate: float = LEARNING_RATE,
) -> None:
    """Correct the weights of the colocated kinds towards the measured slowdown.

    Parameters
    ----------
    learning_rate : float
        Fraction of the error that one observation corrects, at large loads.
    """
    colocated = [other for other in observation.colocated if other.load > 0.0]
    power = sum(other.load**2 for other in colocated)
    if not colocated:
        return
    weights = [table.get(observation.kind, other.kind, now) for other in colocated]
    expected = 1.0 + sum(
        weight * other.load for weight, other in zip(weights, colocated, strict=True)
    )
    error = observation.slowdown - expected
    for weight, other in zip(weights, colocated, strict=True):
        change = learning_rate * error * other.load / (power + REGULARIZATION)
        table.set(observation.kind, other.kind, weight + change, now)


InterferenceModel = Callable[[PairTable, KindId, KindId, Seconds], float]
INTERFERENCE_MODELS: Registry[InterferenceModel] = Registry("interference model")


@INTERFERENCE_MODELS.register("none")
def expect_no_interference(
    table: PairTable, victim: KindId, other: KindId, now: Seconds
) -> float:
    """Return 0: the baseline model expects no interference."""
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
    colocated: Sequence[KindLoad],
    now: Seconds,
) -> float:
    """Return the cost of the slowdown that a placement adds on a worker.

    The cost covers the new task and the tasks already there. A latency-critical task
    counts half the square of its slowdown, which spreads slowdown over many tasks
    rather than concentrating it on one. A batch task counts a fraction of its
    slowdown.
    """
    suffered = sum(model(table, arriving.kind, x.kind, now) * x.load for x in colocated)
    cost = _compute_slowdown_cost(arriving.task_class, 0.0, suffered)
    for other in colocated:
        caused = model(table, other.kind, arriving.kind, now) * arriving.load
        if not caused:
            continue
        before = 0.0
        if other.task_class is TaskClass.LATENCY_CRITICAL:
            before = sum(
                model(table, other.kind, x.kind, now) * x.load for x in colocated
            )
        cost += _compute_slowdown_cost(other.task_class, before, caused)
    return cost


def estimate_caused_slowdown(
    model: InterferenceModel,
    table: PairTable,
    load: KindLoad,
    victims: Iterable[KindId],
    now: Seconds,
) -> float:
    """Return the greatest slowdown that a load causes to any of the victims.

    Counted is what the load adds to the victim's slowdown; 0 without any victims.
    """
    caused = (model(table, kind, load.kind, now) * load.load for kind in victims)
    return max(caused, default=0.0)


def _compute_slowdown_cost(task_class: TaskClass, before: float, added: float) -> float:
    if task_class is TaskClass.LATENCY_CRITICAL:
        return added * (before + added / 2)
    return added * BATCH_COST_RATIO
