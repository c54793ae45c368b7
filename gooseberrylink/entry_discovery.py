"""Lets agents find the entries through a table in the platform's store."""

import trio

from gooseberrylink.agent import Agent
from gooseberrylink.metrics import Metrics
from gooseberrylink.store import Rows, RowStore, put_with_retry, watch_table

_TABLE = "gooseberrylink-entries"
# A dead connection to the store may be noticed this late, because connected entries
# also send the addresses of other entries.
_CHANGES_WAIT_S = 5.0


async def register_entry(
    store: RowStore, name: str, address: str, metrics: Metrics
) -> None:
    """Writes an entry's address to the table, retrying until this succeeds."""
    await put_with_retry(store, _TABLE, name, address.encode(), metrics)


async def watch_entries(store: RowStore, agent: Agent) -> None:
    """Passes the entries in the table to an agent, until cancelled."""

    def add_entries(rows: Rows) -> None:
        for row in rows.rows:
            if row.value is not None:
                agent.add_known_entries([row.value.decode(errors="replace")])

    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            watch_table, store, _TABLE, _CHANGES_WAIT_S, agent.metrics, add_entries
        )
