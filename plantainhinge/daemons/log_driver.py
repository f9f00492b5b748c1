"""Carries the commands of stream replicas to the log and the results back."""

from concurrent.futures import Future
from typing import Any

from ..core.errors import PlantainhingeError, TrimmedError, UncertainError
from ..core.ids import Epoch, Offset, Seconds
from ..core.messages import Page
from ..core.protocols import PlatformLog
from ..streams.replica import Append, Read, Replica
from .executor import Commander

READ_BYTES = 262_144
RETRY_SECONDS = 0.5


class LogDriver:
    """Drives any number of replicas against one log."""

    def __init__(self, log: PlatformLog, commander: Commander) -> None:
        self._log = log
        self._commander = commander

    def drive(self, replica: Replica[Any], now: Seconds, epoch: Epoch) -> None:
        """Start the replica's next command, if it has one."""
        command = replica.next_command(now, epoch)
        if isinstance(command, Append):
            self._commander.run(
                self._log.append,
                command.stream,
                command.data,
                then=lambda future, at: _finish_append(replica, future, at),
            )
        elif isinstance(command, Read):
            self._commander.run(
                self._log.read,
                command.stream,
                command.start,
                READ_BYTES,
                then=lambda future, at: _finish_read(replica, future, at),
            )


def _finish_append(replica: Replica[Any], future: Future[Offset], now: Seconds) -> None:
    try:
        future.result()
        replica.on_appended()
    except UncertainError:
        replica.on_append_uncertain(Seconds(now + RETRY_SECONDS))
    except PlantainhingeError:
        replica.on_append_refused(Seconds(now + RETRY_SECONDS))


def _finish_read(replica: Replica[Any], future: Future[Page], now: Seconds) -> None:
    try:
        replica.on_page(future.result(), now)
    except TrimmedError as error:
        replica.on_trimmed(Offset(error.first))
    except PlantainhingeError:
        replica.on_refused(Seconds(now + RETRY_SECONDS))
