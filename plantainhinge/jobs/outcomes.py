"""Outcomes of calls about jobs, apart from the state of a job."""

from enum import Enum


class CallOutcome(Enum):
    """The outcome of a caller's submission, cancellation or query.

    ``REFUSED`` means that the call certainly had no effect; ``UNCERTAIN`` that it may
    have had one, now or later. ``OVER_CAP`` means that the job could never run, as a
    task of it is larger than its workspace's cap; ``OVERLOADED`` that it was refused
    for lack of capacity.
    """

    DONE = "done"
    UNKNOWN_QUEUE = "unknown-queue"
    UNKNOWN_JOB = "unknown-job"
    MALFORMED = "malformed"
    UNAUTHENTICATED = "unauthenticated"
    OVER_CAP = "over-cap"
    OVERLOADED = "overloaded"
    REFUSED = "refused"
    UNCERTAIN = "uncertain"
