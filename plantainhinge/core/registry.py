"""Registries of interchangeable implementations, filled by a decorator."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from .errors import BadInputError

T = TypeVar("T")


class Registry(Generic[T]):
    """Named implementations of one behaviour.

    Parameters
    ----------
    behaviour : str
        What varies, for error messages.
    """

    def __init__(self, behaviour: str) -> None:
        self.behaviour = behaviour
        self._entries: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that adds its argument under ``name``."""

        def add(entry: T) -> T:
            if name in self._entries:
                raise ValueError(f"{self.behaviour} {name!r} is registered twice")
            self._entries[name] = entry
            return entry

        return add

    def find(self, name: str) -> T:
        """Return the implementation called ``name``.

        Raises
        ------
        BadInputError
            If there is none; the message lists the valid names.
        """
        if name not in self._entries:
            raise BadInputError(
                f"{self.behaviour} {name!r} is unknown; valid: {sorted(self)}",
                step="registry.find",
            )
        return self._entries[name]

    def __iter__(self) -> Iterator[str]:
        return iter(self._entries)
