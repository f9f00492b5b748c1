"""Exceptions of the package.

Each carries a stable code, the step that failed and the peer involved.
"""


class PlantainhingeError(Exception):
    """An operation failed for a reason that no other code describes, such as a bug.

    Base class of all exceptions that the package raises deliberately; only its
    subclasses are raised. Python also exits with code 1 on an unhandled exception.
    The command line's help prints the first line of each class as the meaning of its
    exit code.

    Parameters
    ----------
    message : str
        What went wrong, with the invalid value and the valid ones.
    step : str
        The operation that failed, such as ``"log.append"``.
    peer : str
        The process or file that the operation involved; empty if there is none.
    """

    code = "internal"
    exit_code = 1

    def __init__(self, message: str, *, step: str, peer: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        where = f"{self.step} with {self.peer}" if self.peer else self.step
        return f"[{self.code}] {where}: {self.message}"


class BadInputError(PlantainhingeError):
    """An argument, file or message failed validation."""

    code = "bad-input"
    exit_code = 2


class ConflictError(PlantainhingeError):
    """A concurrent writer changed the same data first."""

    code = "race-lost"
    exit_code = 3


class UnavailableError(PlantainhingeError):
    """The peer could not be reached or refused the call, which had no effect.

    Parameters
    ----------
    retry_after : float
        Seconds to wait before a retry.
    """

    code = "unavailable"
    exit_code = 4

    def __init__(
        self, message: str, *, step: str, peer: str = "", retry_after: float = 1.0
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.retry_after = retry_after


class RateLimitedError(UnavailableError):
    """The peer refused the call because of its rate limit."""

    code = "rate-limited"


class UncertainError(PlantainhingeError):
    """The response was lost, so the call may or may not have taken effect."""

    code = "uncertain"
    exit_code = 5


class TrimmedError(PlantainhingeError):
    """The requested offset has been trimmed from the log.

    Parameters
    ----------
    first : int
        The oldest offset that the log still holds.
    """

    code = "trimmed"
    exit_code = 6

    def __init__(self, message: str, *, step: str, peer: str = "", first: int) -> None:
        super().__init__(message, step=step, peer=peer)
        self.first = first


class UnknownVersionError(PlantainhingeError):
    """A record or file has a version that this release cannot read."""

    code = "unknown-version"
    exit_code = 7


class NotOwnerError(PlantainhingeError):
    """The peer does not own the stream that the call addresses."""

    code = "not-owner"
    exit_code = 8


class CorruptRecordError(PlantainhingeError):
    """A log entry fails its checksum or cannot be decoded."""

    code = "corrupt-record"
    exit_code = 9


class TooLargeError(PlantainhingeError):
    """The payload exceeds the peer's size limit; the call had no effect."""

    code = "too-large"
    exit_code = 10
