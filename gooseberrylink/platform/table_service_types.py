"""Defines the rows, writes and errors of TableServiceClient."""

import dataclasses
import enum
from typing import Any


class PlatformErrorKind(enum.Enum):
    """Why a call to the platform failed.

    UNAVAILABLE: the call certainly had no effect; the table store's counterpart is
        StoreErrorKind.NO_EFFECT.
    UNKNOWN_OUTCOME: a write may or may not have taken effect.
    CONFLICT: a row did not have the expected version; nothing was written.
    NOT_FOUND: the row or object does not exist.
    """

    UNAVAILABLE = "unavailable"
    UNKNOWN_OUTCOME = "unknown outcome"
    CONFLICT = "conflict"
    NOT_FOUND = "not found"


@dataclasses.dataclass(slots=True, frozen=True)
class PlatformError:
    """A failed call to the platform.

    Attributes:
        kind: Why it failed.
        detail: Name of the exception or the HTTP status, for logs.
        conflicts: Indexes of the puts whose row did not have the expected version.
    """

    kind: PlatformErrorKind
    detail: str = ""
    conflicts: tuple[int, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class Row:
    """A row of a table; its version starts at 1 and rises with each write."""

    key: str
    version: int
    value: Any


@dataclasses.dataclass(slots=True, frozen=True)
class Put:
    """A conditional write of one row, part of a transaction.

    Attributes:
        if_version: Version that the row must have; 0 if the row must not exist.
    """

    table: str
    key: str
    value: Any
    if_version: int
