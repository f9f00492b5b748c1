"""Entry point of an entry instance on the users' platform."""

import signal
import sys


def main() -> int:
    """Run until SIGTERM and return the exit code."""
    # an unhandled SIGHUP (reload) would end the process, and the imports are slow
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from .program import main as run  # noqa: PLC0415

    return run()


if __name__ == "__main__":
    sys.exit(main())
