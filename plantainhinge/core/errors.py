"""Errors with a stable code, the step that failed and the peer it failed with."""


class PlantainhingeError(Exception):
    """Base of every error that the package raises on purpose.

    Parameters
    ----------
    message : str
        What went wrong, with the bad value and the valid ones.
    step : str
        The step that was under way, such as ``"log.append"``.
    peer : str
        The process or file on the other side; empty when there is none.
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
    """Input from outside that fails its checks."""

    code = "bad-input"
    exit_code = 2


class ConflictError(PlantainhingeError):
    """Another writer changed the same thing first."""

    code = "race-lost"
    exit_code = 3


class UnavailableError(PlantainhingeError):
    """The other side refused before the call had any effect.

    Parameters
    ----------
    retry_after : float
        Seconds after which another try is worthwhile.
    """

    code = "unavailable"
    exit_code = 4

    def __init__(
        self, message: str, *, step: str, peer: str = "", retry_after: float = 1.0
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.retry_after = retry_after


class RateLimitedError(UnavailableError):
    """The other side refused because it is called too often."""

    code = "rate-limited"


class UncertainError(PlantainhingeError):
    """The answer was lost: the call may have taken effect."""

    code = "uncertain"
    exit_code = 5


class TrimmedError(PlantainhingeError):
    """The log no longer holds the offset that was asked for.

    Parameters
    ----------
    first : int
        The oldest offset still held.
    """

    code = "trimmed"
    exit_code = 6

    def __init__(self, message: str, *, step: str, peer: str = "", first: int) -> None:
        super().__init__(message, step=step, peer=peer)
        self.first = first


class UnknownVersionError(PlantainhingeError):
    """A record or file of a version that this release cannot read."""

    code = "unknown-version"
    exit_code = 7


class NotOwnerError(PlantainhingeError):
    """The peer does not own the stream that the call is about."""

    code = "not-owner"
    exit_code = 8


class CorruptRecordError(PlantainhingeError):
    """An entry of the log that is not what any release wrote."""

    code = "corrupt-record"
    exit_code = 9


class TooLargeError(PlantainhingeError):
    """The other side takes nothing as large as this; there was no effect."""

    code = "too-large"
    exit_code = 10
