"""Reloads the settings file when it changes or when a signal requests it."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

import msgspec

from ..core.errors import PlantainhingeError
from ..core.ids import Seconds
from ..core.log_events import write_event
from .process_events import SettingsReread, SettingsUnreadable

logger = logging.getLogger(__name__)

POLL_INTERVAL_SECONDS = Seconds(2.0)

S = TypeVar("S", bound=msgspec.Struct)


@dataclass
class SettingsWatch(Generic[S]):
    """The settings in force and the loop that reloads them.

    Parameters
    ----------
    current : Struct
        The settings in force.
    read : callable
        Reads and validates the file; raises a PlantainhingeError if it is invalid.
    apply : callable
        Applies new settings, at least those in ``reloadable``.
    reloadable : frozenset of str
        Settings that take effect without a restart.
    """

    current: S
    read: Callable[[], S]
    apply: Callable[[S], None]
    reloadable: frozenset[str]
    _signalled: asyncio.Event = field(default_factory=asyncio.Event)
    _last_error: str = ""

    def request_reload(self) -> None:
        """Make ``run`` reload the file without waiting for the next poll."""
        self._signalled.set()

    async def run(self) -> None:
        """Poll the file until cancelled."""
        while True:
            try:
                async with asyncio.timeout(POLL_INTERVAL_SECONDS):
                    await self._signalled.wait()
            except TimeoutError:
                pass
            signalled = self._signalled.is_set()
            self._signalled.clear()
            self.reload(signalled=signalled)

    def reload(self, *, signalled: bool) -> None:
        """Read the file and apply changes; an invalid file is logged and ignored.

        Parameters
        ----------
        signalled : bool
            Whether a signal requested it, so that the result is logged in any case.
        """
        try:
            settings = self.read()
        except PlantainhingeError as error:
            if signalled or str(error) != self._last_error:
                write_event(logger, SettingsUnreadable(cause=str(error)))
            self._last_error = str(error)
            return
        self._last_error = ""
        changed = tuple(
            name
            for name in settings.__struct_fields__
            if getattr(settings, name) != getattr(self.current, name)
        )
        if changed:
            self.current = settings
            self.apply(settings)
        if changed or signalled:
            restart = tuple(name for name in changed if name not in self.reloadable)
            write_event(
                logger,
                SettingsReread(
                    signalled=signalled, changed=changed, restart_needed=restart
                ),
            )
