"""Stopping a waitress server from another thread.

The server's loop may close its trigger's pipe before the stopping thread has written
to it, so that the write fails with ``EBADF``.
"""

import errno
from inspect import isfunction

import pytest
from waitress.trigger import trigger

from plantainhinge.adapters.callers_server import serve_callers
from plantainhinge.core.settings import Callers
from standins.wsgi import serve


def respond_empty(environ, start_response):
    return []


def open_callers_server():
    return serve_callers(respond_empty, "127.0.0.1", 0, Callers(linger_seconds=0.01))


def open_standin_server():
    return serve(respond_empty, "127.0.0.1", 0, 1)


@pytest.mark.parametrize("open_server", [open_callers_server, open_standin_server])
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
