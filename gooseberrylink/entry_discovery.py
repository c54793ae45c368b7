"""Lets agents find the entries through a table of the platform's store."""

import trio

from gooseberrylink.agent import Agent
from gooseberrylink.counters import Counters
from gooseberrylink.store import RowStore, StoredRow, put_with_retry, watch_table

_TABLE = "gooseberrylink-entries"
# An agent also hears of entries from other entries, so this may be slow.
_WAIT_S = 5.0


async def register_entry(
    store: RowStore, name: str, address: str, counters: Counters
) -> None:
    """Writes where an entry takes links, once the store is there."""
    await put_with_retry(store, _TABLE, name, address.encode(), counters)


async def watch_entries(store: RowStore, agent: Agent) -> None:
    """Tells an agent of the entries in the table until cancelled."""

    def learn_rows(rows: list[StoredRow]) -> None:
        for row in rows:
            if row.value is not None:
                agent.add_known_entries([row.value.decode(errors="replace")])

    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            watch_table, store, _TABLE, _WAIT_S, agent.counters, learn_rows
        )
