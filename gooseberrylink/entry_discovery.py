"""Lets agents find the entries through a table in the platform's store.

An entry writes its address when it starts, and again every few minutes. An agent that
has dialled an address in vain for two minutes, while it was connected to others,
removes its row. It may be the only one that can't reach the entry; then the entry's
next write restores the row. So neither needs a clock that others share.
"""

import random
from typing import TYPE_CHECKING

import trio

from gooseberrylink.logs import log_event
from gooseberrylink.metrics import Metrics
from gooseberrylink.store import (
    Rows,
    RowStore,
    StoredRow,
    put_with_retry,
    watch_table,
)

if TYPE_CHECKING:
    # Entries use this module as well, and start sooner without the agent's modules.
    from gooseberrylink.agent import Agent

_TABLE = "gooseberrylink-entries"
# A dead connection to the store may be noticed this late, because connected entries
# also send the addresses of other entries.
_CHANGES_WAIT_S = 5.0
# Bounds of the pause before an entry writes its row again. With ten entries this is a
# write in 30 s.
_REFRESH_S = (240.0, 360.0)
# Bounds of the pause between two looks for rows to remove. They are wide, so that one
# agent removes the rows and the others see that they are gone.
_REMOVE_S = (10.0, 90.0)


async def register_entry(
    store: RowStore, name: str, address: str, metrics: Metrics
) -> None:
    """Writes an entry's address to the table, again and again, until cancelled."""
    while True:
        await put_with_retry(store, _TABLE, name, address.encode(), metrics)
        await trio.sleep(random.uniform(*_REFRESH_S))


async def watch_entries(store: RowStore, agent: "Agent") -> None:
    """Passes the entries in the table to an agent, until cancelled.

    It also removes the rows of entries that the agent takes for gone.
    """
    rows_by_key: dict[str, StoredRow] = {}

    def add_entries(rows: Rows) -> None:
        for row in rows.rows:
            if row.value is None:
                rows_by_key.pop(row.key, None)
            else:
                rows_by_key[row.key] = row
                agent.add_known_entries([_address_in(row)])

    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            watch_table, store, _TABLE, _CHANGES_WAIT_S, agent.metrics, add_entries
        )
        while True:
            await trio.sleep(random.uniform(*_REMOVE_S))
            for row in list(rows_by_key.values()):
                is_listed = rows_by_key.get(row.key) is row
                if is_listed and agent.entry_choice.is_gone(_address_in(row)):
                    # If it failed because the row has changed, the change follows. If
                    # the store was away, another agent removes the row.
                    del rows_by_key[row.key]
                    await _remove_row(store, row, agent.metrics)


async def _remove_row(store: RowStore, row: StoredRow, metrics: Metrics) -> None:
    kind = await store.remove(_TABLE, row)
    if kind is not None:
        metrics.add("store_writes_failed", kind.value)
        return
    metrics.add("entry_rows_removed")
    log_event("entry_row_removed", key=row.key, address=_address_in(row))


def _address_in(row: StoredRow) -> str:
    return row.value.decode(errors="replace")
