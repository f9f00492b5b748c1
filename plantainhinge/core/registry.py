"""Registries of interchangeable implementations, filled by a decorator."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from .errors import BadInputError

T = TypeVar("T")


class Registry(Generic[T]):
    """Implementations of one behaviour, by name.

    Parameters
    ----------
    behaviour : str
        What the implementations provide, for error messages.
    """

    def __init__(self, behaviour: str) -> None:
        self.behaviour = behaviour
        self._entries: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that registers its argument under ``name``."""

        def add(entry: T) -> T:
            if name in self._entries:
                raise ValueError(f"{self.behaviour} {name!r} is registered twice")
            self._entries[name] = entry
            return entry

        return add

    def find(self, name: str) -> T:
        """Return the implementation registered under ``name``.

        Raises
        ------
        BadInputError
            If the name is unknown; the message lists the valid ones.
        """
        if name not in self._entries:
            raise BadInputError(
                f"{self.behaviour} {name!r} is unknown; valid: {sorted(self)}",
                step="registry.find",
            )
        return self._entries[name]

    def __iter__(self) -> Iterator[str]:
        return iter(self._entries)
