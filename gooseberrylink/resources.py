"""Defines the resources that tasks use at backend servers."""

from typing import Annotated

import msgspec

# Larger numbers would not fit into the frames between entries and agents.
_MAX_AMOUNT = 2**31 - 1
# An amount of a resource, as input is checked.
Amount = Annotated[int, msgspec.Meta(ge=0, le=_MAX_AMOUNT)]


class Resources(msgspec.Struct, array_like=True, frozen=True):
    """Resources that a task uses, or that a backend server has.

    Attributes:
        units: Slots, at a backend server that counts slots; thousandths of a
            core, at one that counts cores.
        memory_mb: Memory in megabytes; 0 where it is not counted.
        gpus: Number of accelerators.
    """

    units: int = 1
    memory_mb: int = 0
    gpus: int = 0

    def minus(self, other: "Resources") -> "Resources":
        """Returns what is left after subtracting other."""
        return Resources(
            self.units - other.units,
            self.memory_mb - other.memory_mb,
            self.gpus - other.gpus,
        )

    def plus(self, other: "Resources") -> "Resources":
        """Returns the sum of both."""
        return Resources(
            self.units + other.units,
            self.memory_mb + other.memory_mb,
            self.gpus + other.gpus,
        )

    def maximum(self, other: "Resources") -> "Resources":
        """Returns the larger amount of each resource."""
        return Resources(
            max(self.units, other.units),
            max(self.memory_mb, other.memory_mb),
            max(self.gpus, other.gpus),
        )

    def covers(self, other: "Resources") -> bool:
        """Returns whether other fits within these resources."""
        return (
            self.units >= other.units
            and self.memory_mb >= other.memory_mb
            and self.gpus >= other.gpus
        )


NO_RESOURCES = Resources(0, 0, 0)
