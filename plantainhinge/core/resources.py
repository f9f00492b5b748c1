"""Amounts of processors, memory and accelerators."""

import msgspec


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """An amount of what a worker has and a task needs.

    Parameters
    ----------
    millicores : int
        Thousandths of a processor core.
    memory_mib : int
        Memory in MiB.
    accelerators : int
        Whole accelerators.
    """

    millicores: int = 0
    memory_mib: int = 0
    accelerators: int = 0

    def __add__(self, other: "Resources") -> "Resources":
        return Resources(
            self.millicores + other.millicores,
            self.memory_mib + other.memory_mib,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        return Resources(
            self.millicores - other.millicores,
            self.memory_mib - other.memory_mib,
            self.accelerators - other.accelerators,
        )

    def fits_within(self, capacity: "Resources") -> bool:
        """Return whether each amount is at most that of ``room``."""
        return (
            self.millicores <= capacity.millicores
            and self.memory_mib <= capacity.memory_mib
            and self.accelerators <= capacity.accelerators
        )
