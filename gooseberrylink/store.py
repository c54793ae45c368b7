"""Defines the interface to the platform's table store, and watches its tables.

The platform's table service has another protocol; see platform/client.py.
"""

import dataclasses
import enum
import random
from collections.abc import Callable
from typing import Protocol

import trio

from gooseberrylink.logs import log_event
from gooseberrylink.metrics import Metrics

_BACKOFF_MIN_S = 0.1
# Bounds the rate of calls that all processes make while the store is down.
_BACKOFF_MAX_S = 1.0


class StoreErrorKind(enum.Enum):
    """Why a call to the store failed.

    NO_EFFECT: The call had no effect. In PlatformErrorKind, which is for calls to the
        platform's table service, this is UNAVAILABLE.
    UNKNOWN_OUTCOME: The write may have been done, or may still be done.
    HISTORY_LOST: The store no longer keeps the requested changes.
    """

    NO_EFFECT = "no_effect"
    UNKNOWN_OUTCOME = "unknown_outcome"
    HISTORY_LOST = "history_lost"


@dataclasses.dataclass(slots=True, frozen=True)
class StoredRow:
    """A row of a table; value is None if the row was removed."""

    key: str
    value: bytes | None


@dataclasses.dataclass(slots=True, frozen=True)
class Rows:
    """Rows of a table, and the version of the store that they reflect.

    Attributes:
        is_full: Whether these are all rows of the table, rather than its changes.
        unreadable_keys: Keys of rows that are there but are not in `rows`, because
            their values can't be decoded.
    """

    rows: list[StoredRow]
    version: int
    is_full: bool = False
    unreadable_keys: tuple[str, ...] = ()


class RowStore(Protocol):
    """The calls of the platform's table store that this package needs."""

    async def read_table(self, table: str) -> Rows | StoreErrorKind:
        """Returns all rows of a table."""

    async def read_row(self, table: str, key: str) -> StoredRow | None | StoreErrorKind:
        """Returns one row; None if no row has that key."""

    async def wait_for_changes(
        self, table: str, version: int, wait_s: float
    ) -> Rows | StoreErrorKind:
        """Waits up to wait_s for rows that changed after a version.

        Returns:
            The changed rows, none if there was no change in time, or why it failed.
        """

    async def put(self, table: str, key: str, value: bytes) -> StoreErrorKind | None:
        """Writes a row unconditionally; returns why it failed, or None."""


async def watch_table(
    store: RowStore,
    table: str,
    wait_s: float,
    metrics: Metrics,
    on_rows: Callable[[Rows], None],
) -> None:
    """Passes a table's rows, and then every change, to a function; never returns.

    Args:
        store: The store.
        table: Name of the table.
        wait_s: How long one call waits for a change. A dead connection is noticed
            after this time.
        metrics: Receives the number of failed calls.
        on_rows: Receives the rows, possibly also rows that it received before.
    """
    version: int | None = None
    backoff_s = _BACKOFF_MIN_S
    is_unavailable = False
    while True:
        if version is None:
            result = await store.read_table(table)
        else:
            result = await store.wait_for_changes(table, version, wait_s)
        if isinstance(result, Rows):
            if is_unavailable:
                log_event("store_available", table=table, version=result.version)
            is_unavailable, backoff_s, version = False, _BACKOFF_MIN_S, result.version
            on_rows(result)
            continue
        metrics.add("store_reads_failed", result.value)
        if result is StoreErrorKind.HISTORY_LOST:
            log_event("store_history_lost", table=table, version=version)
            version = None
            continue
        if not is_unavailable:
            log_event("store_unavailable", "WARNING", table=table, reason=result.value)
            is_unavailable = True
        await trio.sleep(backoff_s * random.uniform(0.5, 1.0))
        backoff_s = min(2 * backoff_s, _BACKOFF_MAX_S)


async def put_with_retry(
    store: RowStore, table: str, key: str, value: bytes, metrics: Metrics
) -> None:
    """Writes a row, retrying with backoff until the store confirms it."""
    backoff_s = _BACKOFF_MIN_S
    while (kind := await store.put(table, key, value)) is not None:
        metrics.add("store_writes_failed", kind.value)
        await trio.sleep(backoff_s * random.uniform(0.5, 1.0))
        backoff_s = min(2 * backoff_s, _BACKOFF_MAX_S)
    log_event("store_row_written", table=table, key=key)
