"""Measures room at backend servers."""

import msgspec


class Resources(msgspec.Struct, array_like=True, frozen=True):
    """Room that a task takes up, or that a backend server has.

    Attributes:
        units: Slots of a backend server that counts slots; thousandths of a
            core of one that counts cores.
        memory_mb: Memory in megabytes; 0 where it is not counted.
        gpus: Accelerators.
    """

    units: int = 1
    memory_mb: int = 0
    gpus: int = 0

    def minus(self, other: "Resources") -> "Resources":
        """Returns what is left when another room is taken out."""
        return Resources(
            self.units - other.units,
            self.memory_mb - other.memory_mb,
            self.gpus - other.gpus,
        )

    def plus(self, other: "Resources") -> "Resources":
        """Returns both rooms together."""
        return Resources(
            self.units + other.units,
            self.memory_mb + other.memory_mb,
            self.gpus + other.gpus,
        )

    def covers(self, other: "Resources") -> bool:
        """Says whether another room fits into this one."""
        return (
            self.units >= other.units
            and self.memory_mb >= other.memory_mb
            and self.gpus >= other.gpus
        )


NO_RESOURCES = Resources(0, 0, 0)
