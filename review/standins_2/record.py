"""The record of a script: what was sent, answered and run, with the time of each."""

import json
import time
from pathlib import Path
from types import TracebackType
from typing import TextIO


class Record:
    """Writes one line for each event; times are seconds since it was opened.

    Attributes
    ----------
    events : list of tuple
        Time, name and fields of all events so far.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self.events: list[tuple[float, str, dict[str, object]]] = []
        self._started_at = time.monotonic()
        self._file: TextIO | None = None

    def __enter__(self) -> "Record":
        self._file = self._path.open("w")
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._file is not None:
            self._file.close()
            self._file = None

    @property
    def now(self) -> float:
        """Return the seconds since the record was opened."""
        return time.monotonic() - self._started_at

    def write(self, event: str, **fields: object) -> None:
        """Write an event and what belongs to it."""
        self.events.append((self.now, event, fields))
        if self._file is not None:
            line = " ".join(f"{key}={json.dumps(each)}" for key, each in fields.items())
            self._file.write(f"{self.now:9.3f} {event:<12} {line}\n")
            self._file.flush()
