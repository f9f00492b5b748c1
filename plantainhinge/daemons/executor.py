"""Runs blocking calls on a bounded pool and hands their results to the tick loop."""

from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any, TypeVar

from ..core.ids import Seconds
from ..core.tick import TickLoop

T = TypeVar("T")

Event = Callable[[Seconds], None]
Continuation = Callable[[Future[T], Seconds], None]


class Commander:
    """Executes commands; their continuations run inside the next tick.

    Parameters
    ----------
    loop : TickLoop
        Its events are functions of the monotonic time.
    """

    def __init__(self, loop: TickLoop[Event], executor: ThreadPoolExecutor) -> None:
        self._loop = loop
        self._executor = executor

    def run(
        self, function: Callable[..., T], *args: Any, then: Continuation[T]
    ) -> None:
        """Call ``function`` on the pool, then ``then`` in a tick."""
        self.follow(self._executor.submit(function, *args), then=then)

    def follow(self, future: Future[T], *, then: Continuation[T]) -> None:
        """Call ``then`` in a tick once the future is done."""
        future.add_done_callback(
            lambda done: self._loop.post(lambda now: then(done, now))
        )
