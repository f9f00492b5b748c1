"""Runs an entry instance on the users' platform."""

import signal
import sys


def main() -> int:
    """Run until SIGTERM and return the exit code."""
    # unhandled, a reload signal ends the process; the imports below take a while
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from .program import main as run  # noqa: PLC0415

    return run()


if __name__ == "__main__":
    sys.exit(main())
