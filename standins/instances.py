"""Stand-in for the platform's list of instances.

Tests and the launcher of a site replace the list with ``PUT /instances``.
"""

from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from plantainhinge.core.messages import Empty, Instance

from .wsgi import Environ, respond


class InstancesApplication:
    """Serves ``GET`` and ``PUT /instances`` from memory."""

    def __init__(self) -> None:
        self.instances: list[Instance] = []

    def __call__(
        self, environ: Environ, start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Handle one HTTP request."""
        if environ["REQUEST_METHOD"] == "PUT":
            body = environ["wsgi.input"].read()
            self.instances = msgspec.json.decode(body, type=list[Instance])
            return respond(start_response, Empty())
        return respond(start_response, self.instances)
