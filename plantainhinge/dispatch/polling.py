"""How often the owner looks at workers that run nothing.

A worker with attempts is looked at all the time: a look renews its leases and returns
as soon as an attempt ends. One that runs nothing is only asked whether it still
answers. The load that this answers is a site of thousands of workers, most of them
idle, whose answers would keep the owner from everything else.
"""

from ..core.ids import Seconds
from .model import HandoverMark, Worker
from .scheduling_state import SchedulingState

# looks at idle workers; a site with fewer workers looks at each of them once a second
IDLE_LOOKS_PER_SECOND_MAX = 300.0
LOOK_INTERVAL_SECONDS_MIN = 1.0


def plan_pause(cell: SchedulingState, worker: Worker) -> Seconds:
    """Return how long to wait before the next look at a worker that has just answered.

    The pause ends early when something is started there.
    """
    is_idle = (
        not worker.attempts
        and worker.handover is HandoverMark.OPEN
        and worker.last_end_sequence <= worker.acknowledged
        and not worker.orphans
    )
    interval = len(cell.workers) / IDLE_LOOKS_PER_SECOND_MAX
    if not is_idle or interval <= LOOK_INTERVAL_SECONDS_MIN:
        return Seconds(0.0)
    return Seconds(interval)
