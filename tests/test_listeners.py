"""Draining a listening socket before it is closed."""

import socket

import pytest

from plantainhinge.adapters.listeners import drop_syn_segments

IP = "127.0.0.1"
CONNECT_TIMEOUT_SECONDS = 0.3


def test_new_connections_are_dropped_and_queued_ones_kept():
    with socket.create_server((IP, 0)) as listener:
        address = listener.getsockname()
        with socket.create_connection(address, timeout=5) as queued:
            queued.sendall(b"here")
            assert drop_syn_segments(listener)
            with pytest.raises(TimeoutError):
                socket.create_connection(address, timeout=CONNECT_TIMEOUT_SECONDS)
            accepted, _ = listener.accept()
            with accepted:
                assert accepted.recv(10) == b"here"
