"""JSON format of log lines."""

import logging
from typing import Any

from pythonjsonlogger.json import JsonFormatter

from ..core.errors import PlantainhingeError

FORMAT = "{asctime}{levelname}{name}{message}"


class ErrorFormatter(JsonFormatter):
    """Adds the code, step and peer of a logged PlantainhingeError to the line."""

    def add_fields(
        self,
        log_data: dict[str, Any],
        record: logging.LogRecord,
        message_dict: dict[str, Any],
    ) -> None:
        """Set the fields of a line, with those of its error if it has one."""
        super().add_fields(log_data, record, message_dict)
        error = record.exc_info[1] if record.exc_info else None
        if isinstance(error, PlantainhingeError):
            log_data["code"] = error.code
            log_data["step"] = error.step
            log_data["peer"] = error.peer
