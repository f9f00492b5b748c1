"""Free addresses on loopback for processes that start and stop."""

import random
import socket

# below the ports that the system gives to outgoing connections, so that none of
# those takes the address of a process that is down for a moment
PORTS = range(20000, 32000)
TRIES_MAX = 100

_rng = random.SystemRandom()
_returned: set[int] = set()


def find_free_address() -> str:
    """Return a ``host:port`` on loopback that is free, and wasn't returned before.

    Raises
    ------
    OSError
        If none is found.
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
