"""A stand-in for the platform's list of instances.

A test or launcher changes the list by ``PUT /instances``.
"""

from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from plantainhinge.core.messages import Empty, Instance

from .wsgi import Environ, respond


class InstancesApplication:
    """``GET`` and ``PUT /instances``."""

    def __init__(self) -> None:
        self.instances: list[Instance] = []

    def __call__(
        self, environ: Environ, start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Answer one HTTP request."""
        if environ["REQUEST_METHOD"] == "PUT":
            body = environ["wsgi.input"].read()
            self.instances = msgspec.json.decode(body, type=list[Instance])
            return respond(start_response, Empty())
        return respond(start_response, self.instances)
