"""Closing a waitress server from another thread."""

import errno
from inspect import isfunction

import pytest
from waitress.trigger import trigger

from plantainhinge.adapters.callers_server import serve_callers
from plantainhinge.core.settings import Callers
from standins.wsgi import serve


def answer_nothing(environ, start_response):
    return []


def serve_site_door():
    return serve_callers(answer_nothing, "127.0.0.1", 0, Callers(linger_seconds=0.01))


def serve_standin():
    return serve(answer_nothing, "127.0.0.1", 0, 1)


@pytest.mark.parametrize("open_server", [serve_site_door, serve_standin])
def test_a_loop_that_closes_its_trigger_first_does_not_fail_the_stop(
    monkeypatch, open_server
):
    pull = trigger._physical_pull

    def pull_too_late(self):
        names = [t.__code__.co_names for t in self.thunks if isfunction(t)]
        pull(self)
        if any("close_all" in used for used in names):
            raise OSError(errno.EBADF, "Bad file descriptor")

    monkeypatch.setattr(trigger, "_physical_pull", pull_too_late)
    with open_server():
        pass
