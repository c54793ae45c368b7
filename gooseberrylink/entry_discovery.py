"""Lets agents find the entries through a table in the platform's store."""

import trio

from gooseberrylink.agent import Agent
from gooseberrylink.counters import Counters
from gooseberrylink.store import RowStore, StoredRow, put_with_retry, watch_table

_TABLE = "gooseberrylink-entries"
# May be long, as agents also learn of entries from other entries.
_WAIT_S = 5.0


async def register_entry(
    store: RowStore, name: str, address: str, counters: Counters
) -> None:
    """Writes an entry's address to the table, retrying until this succeeds."""
    await put_with_retry(store, _TABLE, name, address.encode(), counters)


async def watch_entries(store: RowStore, agent: Agent) -> None:
    """Passes the entries in the table to an agent, until cancelled."""

    def learn_rows(rows: list[StoredRow]) -> None:
        for row in rows:
            if row.value is not None:
                agent.add_known_entries([row.value.decode(errors="replace")])

    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            watch_table, store, _TABLE, _WAIT_S, agent.counters, learn_rows
        )
