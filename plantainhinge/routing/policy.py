"""The set of policies that a gateway routes requests by, looked up by name."""

from dataclasses import dataclass

from .admission import ADMISSIONS, BULKHEADS, Admission, Bulkhead
from .budgets import RETRY_POLICIES, RetryPolicy
from .choice import CHOICES, Choice
from .ejection import EJECTIONS, Ejection
from .limits import (
    BATCH_PERMIT_COUNTS,
    BATCH_PERMIT_SPLITS,
    PERMIT_SPLITS,
    BatchPermitCount,
    BatchPermitSplit,
    PermitSplit,
)


@dataclass(frozen=True)
class Policy:
    """The policy for each decision on the path of a request."""

    choose: Choice
    split: PermitSplit
    count_batch_permits: BatchPermitCount
    split_batch_permits: BatchPermitSplit
    admit: Admission
    allows_thread: Bulkhead
    spend: RetryPolicy
    eject: Ejection


def build_policy(
    *,
    choice: str = "local-two-choices",
    split: str = "load-weighted",
    batch_size: str = "follow-load",
    batch_split: str = "rendezvous",
    admission: str = "deadline",
    bulkhead: str = "per-kind",
    retries: str = "share",
    ejection: str = "consecutive",
) -> Policy:
    """Return the policies registered under these names.

    Raises
    ------
    BadInputError
        If a name is unknown.
    """
    return Policy(
        choose=CHOICES.find(choice),
        split=PERMIT_SPLITS.find(split),
        count_batch_permits=BATCH_PERMIT_COUNTS.find(batch_size),
        split_batch_permits=BATCH_PERMIT_SPLITS.find(batch_split),
        admit=ADMISSIONS.find(admission),
        allows_thread=BULKHEADS.find(bulkhead),
        spend=RETRY_POLICIES.find(retries),
        eject=EJECTIONS.find(ejection),
    )
