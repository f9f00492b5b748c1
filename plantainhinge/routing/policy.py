"""The set of policies that a gateway routes requests by, looked up by name."""

from dataclasses import dataclass

from .admission import ADMISSIONS, BULKHEADS, Admission, Bulkhead
from .budgets import RETRY_POLICIES, RetryPolicy
from .choice import CHOICES, Choice
from .ejection import EJECTIONS, Ejection
from .limits import (
    BATCH_SIZES,
    BATCH_SPLITS,
    PERMIT_SPLITS,
    BatchSize,
    BatchSplit,
    PermitSplit,
)


@dataclass(frozen=True)
class Policy:
    """The policy for each decision on the path of a request."""

    choose: Choice
    split: PermitSplit
    size_batch: BatchSize
    split_batch: BatchSplit
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
    spending: str = "share",
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
        size_batch=BATCH_SIZES.find(batch_size),
        split_batch=BATCH_SPLITS.find(batch_split),
        admit=ADMISSIONS.find(admission),
        allows_thread=BULKHEADS.find(bulkhead),
        spend=RETRY_POLICIES.find(spending),
        eject=EJECTIONS.find(ejection),
    )
