"""Structured logs: one JSON object a line on standard error."""

import logging
from typing import Any

from pythonjsonlogger.json import JsonFormatter

from ..core.errors import PlantainhingeError
from ..core.settings import Settings
from ..core.states import DaemonRole

FORMAT = "{asctime}{levelname}{name}{message}"


class ErrorFormatter(JsonFormatter):
    """Adds code, step and peer of the error that a line is about."""

    def add_fields(
        self,
        log_data: dict[str, Any],
        record: logging.LogRecord,
        message_dict: dict[str, Any],
    ) -> None:
        """Fill in the fields of one line."""
        super().add_fields(log_data, record, message_dict)
        error = record.exc_info[1] if record.exc_info else None
        if isinstance(error, PlantainhingeError):
            log_data["code"] = error.code
            log_data["step"] = error.step
            log_data["peer"] = error.peer


def configure_logging(settings: Settings, role: DaemonRole) -> None:
    """Write log lines that name the instance, daemon and failure domain."""
    identity = {
        "instance": settings.instance,
        "daemon": role.value,
        "domain": settings.domain,
    }
    handler = logging.StreamHandler()
    handler.setFormatter(ErrorFormatter(FORMAT, style="{", static_fields=identity))
    logging.basicConfig(level=settings.log_level, handlers=[handler], force=True)
