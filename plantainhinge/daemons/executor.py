"""Runs blocking calls on a bounded pool and passes their results to the tick loop."""

from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any, TypeVar

from ..core.ids import Seconds
from ..core.tick import TickLoop

T = TypeVar("T")

TickCallback = Callable[[Seconds], None]
Callback = Callable[[Future[T], Seconds], None]


class CallExecutor:
    """Runs calls on a thread pool; their callbacks run in the next tick.

    Parameters
    ----------
    loop : TickLoop
        Runs the callbacks as its events, each with the monotonic time.
    """

    def __init__(self, loop: TickLoop[TickCallback], pool: ThreadPoolExecutor) -> None:
        self._loop = loop
        self._pool = pool

    def submit(
        self, function: Callable[..., T], *args: Any, callback: Callback[T]
    ) -> None:
        """Call ``function`` on the pool, then ``callback`` in a tick."""
        self.add_callback(self._pool.submit(function, *args), callback=callback)

    def add_callback(self, future: Future[T], *, callback: Callback[T]) -> None:
        """Call ``callback`` in a tick once the future is done."""
        future.add_done_callback(
            lambda done: self._loop.post(lambda now: callback(done, now))
        )
