"""Amounts of CPU, memory and accelerators."""

import msgspec


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """Capacity of a worker or requirements of a task.

    Parameters
    ----------
    millicores : int
        CPU, in thousandths of a core.
    memory_mib : int
        Memory in MiB.
    accelerators : int
        Number of accelerators; they are not shared.
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

    def __mul__(self, count: int) -> "Resources":
        return Resources(
            self.millicores * count,
            self.memory_mib * count,
            self.accelerators * count,
        )

    def fits_within(self, capacity: "Resources") -> bool:
        """Return whether no amount exceeds that of ``capacity``."""
        return (
            self.millicores <= capacity.millicores
            and self.memory_mib <= capacity.memory_mib
            and self.accelerators <= capacity.accelerators
        )
