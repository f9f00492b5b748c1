"""Structured logging to standard error, one JSON object per line."""

import logging

from ..core.settings import Settings
from ..core.states import DaemonRole
from .log_format import FORMAT, ErrorFormatter


def configure_logging(settings: Settings, role: DaemonRole) -> None:
    """Configure the root logger; lines carry instance, daemon and failure domain."""
    identity = {
        "instance": settings.instance,
        "daemon": role.value,
        "domain": settings.domain,
    }
    handler = logging.StreamHandler()
    handler.setFormatter(ErrorFormatter(FORMAT, style="{", static_fields=identity))
    logging.basicConfig(level=settings.log_level, handlers=[handler], force=True)
    # a warning for each request that waits for a thread: thousands a second in a crowd
    logging.getLogger("waitress.queue").setLevel(logging.ERROR)
