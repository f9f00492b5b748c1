"""Allocation of free loopback addresses for processes that are restarted."""

import random
import socket

# below the ephemeral port range, so that no outgoing connection takes the address
# of a process that is being restarted
PORTS = range(20000, 32000)
TRIES_MAX = 100

_rng = random.SystemRandom()
_returned: set[int] = set()


def find_free_address() -> str:
    """Return a free loopback ``host:port`` that this process has not returned before.

    Raises
    ------
    OSError
        If no free port is found in ``TRIES_MAX`` tries.
    """
    for _ in range(TRIES_MAX):
        port = _rng.choice(PORTS)
        if port not in _returned and _is_free(port):
            _returned.add(port)
            return f"127.0.0.1:{port}"
    raise OSError(f"no free port in {TRIES_MAX} tries; valid: {PORTS}")


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
