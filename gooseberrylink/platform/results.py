"""Defines what the platform's answers mean."""

import dataclasses
import enum
from typing import Any


class PlatformErrorKind(enum.Enum):
    """Why a call to the platform gave no plain answer.

    UNAVAILABLE: it certainly had no effect.
    UNKNOWN_OUTCOME: a write may or may not have taken effect.
    CONFLICT: a condition did not hold; nothing was written.
    NOT_FOUND: there is no such row or object.
    """

    UNAVAILABLE = "unavailable"
    UNKNOWN_OUTCOME = "unknown outcome"
    CONFLICT = "conflict"
    NOT_FOUND = "not found"


@dataclasses.dataclass(slots=True, frozen=True)
class PlatformError:
    """A failed call.

    Attributes:
        conflicts: Indexes of the puts whose condition did not hold.
    """

    kind: PlatformErrorKind
    detail: str = ""
    conflicts: tuple[int, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class Row:
    """A row of a table; version rises with each write, from 1."""

    key: str
    version: int
    value: Any


@dataclasses.dataclass(slots=True, frozen=True)
class Put:
    """One write of a transaction.

    Attributes:
        if_version: Version that the row must have; 0 if it must not exist.
    """

    table: str
    key: str
    value: Any
    if_version: int
