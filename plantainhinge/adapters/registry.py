"""Implementations of the platform's log, by the scheme of its address."""

from collections.abc import Callable

from ..core.protocols import PlatformLog
from ..core.registry import Registry

LOGS: Registry[Callable[[str], PlatformLog]] = Registry("platform log")
