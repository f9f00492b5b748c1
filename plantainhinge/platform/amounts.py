"""Ranges of the numbers that the platform's messages may contain."""

from typing import Annotated

import msgspec

# the log's records hold no larger integers
INTEGER_MAX = 2**63 - 1

Amount = Annotated[int, msgspec.Meta(ge=0, le=INTEGER_MAX)]
