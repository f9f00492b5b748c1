"""How much memory jobs take up, and a bound for those that are being written."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from .model import JobSpec

# of a decoded spec: each step, and each index of a step that it depends on
STEP_BYTES = 512
INDEX_BYTES = 8
# of an open job at its owner, besides: each step and each of its tasks
OPEN_STEP_BYTES = 640
TASK_BYTES = 400


@dataclass
class SpecBudget:
    """Memory for the specs of jobs between their decoding and their answer.

    Parameters
    ----------
    limit : int
        Bytes that they may take up together; one alone may take more.
    held : int
        Bytes that they take up.
    """

    limit: int
    held: int = 0

    @contextmanager
    def hold(self, spec: JobSpec) -> Iterator[bool]:
        """Count a spec while the block runs; yield whether there is room for it."""
        size = estimate_memory(spec)
        has_room = self.held == 0 or self.held + size <= self.limit
        self.held += size
        try:
            yield has_room
        finally:
            self.held -= size


def estimate_memory(spec: JobSpec) -> int:
    """Return about how many bytes of memory a decoded spec takes up."""
    indices = sum(len(step.depends_on) for step in spec.steps)
    return len(spec.payload) + STEP_BYTES * len(spec.steps) + INDEX_BYTES * indices


def estimate_open_memory(spec: JobSpec) -> int:
    """Return about how many bytes an occurrence of a job takes up while it is open."""
    tasks = sum(step.count for step in spec.steps)
    return OPEN_STEP_BYTES * len(spec.steps) + TASK_BYTES * tasks
