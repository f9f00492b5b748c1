"""What callers are told besides a state."""

from enum import Enum


class CallOutcome(Enum):
    """The outcome of a caller's call."""

    DONE = "done"
    UNKNOWN_QUEUE = "unknown-queue"
    UNKNOWN_JOB = "unknown-job"
    MALFORMED = "malformed"
    REFUSED = "refused"
    UNCERTAIN = "uncertain"
