"""Processors that best-effort work could use on a worker, beside its serving tasks.

Idle processors are of no use to an image that would push a serving task over its target
(``dispatch.interference``). The estimate compares layouts of serving tasks, so it uses
the mean of each own load instead of its present value.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from ..core.ids import KindId
from .interference import PRESSURE_GOAL, find_neighbours
from .model import SERVING_USAGE_RATIO, Worker
from .weights import ImageWeights


@dataclass(frozen=True, slots=True)
class WorkerLayout:
    """The serving and best-effort tasks of a worker, as far as they interfere.

    Parameters
    ----------
    capacity : int
        Thousandths of a core that the worker has.
    idle_millicores : float
        Of these, what serving and ordinary tasks leave idle.
    own_loads : dict of str to float
        Highest mean own load, by serving image.
    running : dict of str to float
        Millicores that best-effort attempts there requested, by image.
    """

    capacity: int
    idle_millicores: float
    own_loads: dict[str, float]
    running: dict[str, float]

    def without(self, image: str, millicores: float) -> "WorkerLayout":
        """Return the layout once all tasks of a serving image have left."""
        loads = {each: load for each, load in self.own_loads.items() if each != image}
        idle = self.idle_millicores + millicores * SERVING_USAGE_RATIO
        return WorkerLayout(self.capacity, idle, loads, self.running)

    def joined_by(
        self, image: str, own_load: float, millicores: float
    ) -> "WorkerLayout":
        """Return the layout once one more serving task has come."""
        loads = self.own_loads | {image: max(own_load, self.own_loads.get(image, 0.0))}
        idle = self.idle_millicores - millicores * SERVING_USAGE_RATIO
        return WorkerLayout(self.capacity, idle, loads, self.running)


def measure_layout(worker: Worker) -> WorkerLayout:
    """Return a worker's present layout."""
    neighbours = find_neighbours(worker)
    loads: dict[str, float] = {}
    for attempt in neighbours.serving:
        step = attempt.task.step
        image = step.spec.image
        loads[image] = max(step.own_load.mean, loads.get(image, 0.0))
    running: dict[str, float] = {}
    for attempt in neighbours.best_effort:
        spec = attempt.task.step.spec
        running[spec.image] = running.get(spec.image, 0.0) + spec.request.millicores
    idle = worker.spare_millicores + worker.best_effort_millicores
    return WorkerLayout(worker.entry.capacity.millicores, idle, loads, running)


def estimate_usable(
    layout: WorkerLayout, waiting: Mapping[str, float], weights: ImageWeights
) -> float:
    """Return the millicores that waiting and running best-effort work could use.

    The images that interfere least go first, each as far as the pressures allow and up
    to what of it waits or runs there.

    Parameters
    ----------
    waiting : mapping of str to float
        Millicores that wait, by best-effort image.
    """
    allowances = {
        serving: max(0.0, PRESSURE_GOAL - load)
        for serving, load in layout.own_loads.items()
    }
    left = max(0.0, layout.idle_millicores)
    usable = 0.0
    for image, pressures in _order_images(layout, waiting, allowances, weights):
        demand = waiting.get(image, 0.0) + layout.running.get(image, 0.0)
        millicores = min(left, demand)
        for serving, pressure in pressures.items():
            if pressure > 0:
                millicores = min(millicores, allowances[serving] / pressure)
        for serving, pressure in pressures.items():
            allowances[serving] -= millicores * pressure
        left -= millicores
        usable += millicores
    return usable


def _order_images(
    layout: WorkerLayout,
    waiting: Mapping[str, float],
    allowances: Mapping[str, float],
    weights: ImageWeights,
) -> list[tuple[str, dict[str, float]]]:
    """Return the images with their pressure for each millicore, by serving image.

    Those that take the smallest part of any allowance come first.
    """
    rows: list[tuple[float, str, dict[str, float]]] = []
    for image in waiting.keys() | layout.running.keys():
        pressures = {
            serving: weights.find(KindId(serving), KindId(image)) / layout.capacity
            for serving in allowances
        }
        part = max(
            (
                pressure / max(allowances[serving], 1e-9)
                for serving, pressure in pressures.items()
            ),
            default=0.0,
        )
        rows.append((part, image, pressures))
    rows.sort(key=lambda row: row[:2])
    return [(image, pressures) for _, image, pressures in rows]
