"""The form of a log line: one JSON object."""

import logging
from typing import Any

from pythonjsonlogger.json import JsonFormatter

from ..core.errors import PlantainhingeError

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
