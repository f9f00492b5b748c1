"""Runs the reads and appends of stream replicas and returns the results to them."""

import random
from collections.abc import Callable
from concurrent.futures import Future
from typing import Any

from ..core.errors import (
    PlantainhingeError,
    RateLimitedError,
    TooLargeError,
    TrimmedError,
    UnavailableError,
    UncertainError,
)
from ..core.ids import Epoch, Offset, Seconds
from ..core.messages import Page
from ..core.protocols import PlatformLog
from ..streams.budgets import LogBudget
from ..streams.replica import Append, Read, Replica
from .executor import CallExecutor

READ_BYTES = 262_144


class LogDriver:
    """Runs the commands of any number of replicas under one budget of log calls.

    Parameters
    ----------
    executor : CallExecutor
        Should have threads of its own, so that a slow log does not delay other calls.
    draw : callable
        Returns a uniform random number in [0, 1), used for jitter.
    """

    def __init__(
        self,
        log: PlatformLog,
        executor: CallExecutor,
        *,
        draw: Callable[[], float] = random.random,
    ) -> None:
        self.budget = LogBudget()
        self.failure: BaseException | None = None
        self._log = log
        self._executor = executor
        self._draw = draw

    def drive(self, replica: Replica[Any], now: Seconds, epoch: Epoch) -> None:
        """Start the replica's next command, if it has one and the budget allows."""
        if not self.budget.may_call(now):
            return
        may_append = self.budget.may_append(now, urgent=replica.has_urgent())
        command = replica.next_command(now, epoch, may_append=may_append)
        if isinstance(command, Append):
            self.budget.consume_token()
            self._start_append(replica, command)
        elif isinstance(command, Read):
            self._start_read(replica, command)

    def _start_append(self, replica: Replica[Any], command: Append) -> None:
        self.budget.calls_in_flight += 1
        self._executor.submit(
            self._log.append,
            command.stream,
            command.data,
            callback=lambda future, now: self._finish_append(replica, future, now),
        )

    def _start_read(self, replica: Replica[Any], command: Read) -> None:
        self.budget.calls_in_flight += 1
        self._executor.submit(
            self._log.read,
            command.stream,
            command.start,
            READ_BYTES,
            callback=lambda future, now: self._finish_read(replica, future, now),
        )

    def _finish_append(
        self, replica: Replica[Any], future: Future[Offset], now: Seconds
    ) -> None:
        self.budget.calls_in_flight -= 1
        self.failure = future.exception()
        try:
            replica.on_appended(future.result())
            self.budget.record_answer()
            self.budget.record_append()
        except TooLargeError:
            replica.on_append_too_large()
        except UncertainError:
            replica.on_append_uncertain(self._back_off(now))
        except RateLimitedError as error:
            self.budget.record_rate_limit(now, error.retry_after)
            replica.on_append_refused(self._back_off(now, error.retry_after))
        except UnavailableError as error:
            replica.on_append_refused(self._back_off(now, error.retry_after))
        except PlantainhingeError:
            replica.on_append_refused(self._back_off(now))

    def _finish_read(
        self, replica: Replica[Any], future: Future[Page], now: Seconds
    ) -> None:
        self.budget.calls_in_flight -= 1
        self.failure = future.exception()
        try:
            page = future.result()
        except TrimmedError as error:
            self.budget.record_answer()
            replica.on_trimmed(Offset(error.first))
        except PlantainhingeError:
            replica.on_refused(self._back_off(now))
        else:
            self.budget.record_answer()
            replica.on_page(page, now)

    def _back_off(self, now: Seconds, retry_after: float = 0.0) -> Seconds:
        return self.budget.record_failure(now, retry_after, self._draw())
