"""Connects entries and agents of one process with in-memory links."""

import dataclasses

import trio

from gooseberrylink.entry import Entry
from gooseberrylink.exceptions import LinkClosedError
from gooseberrylink.peers.link import MemoryLink, open_memory_link


@dataclasses.dataclass(slots=True)
class Connection:
    """The two ends of a link between an agent and an entry."""

    worker: str
    address: str
    agent_end: MemoryLink
    entry_end: MemoryLink


class MemoryNetwork:
    """Connects agents to entries in memory, with faults on demand.

    Attributes:
        connections: Every link ever opened, in order.
        partitioned_pairs: Pairs (worker, entry address) that cannot open a link
            because of a partition.
    """

    def __init__(self, nursery: trio.Nursery):
        self._nursery = nursery
        self._entries: dict[str, Entry] = {}
        self.connections: list[Connection] = []
        self.partitioned_pairs: set[tuple[str, str]] = set()

    async def listen(self, name: str, entry: Entry) -> str:
        """Makes an entry reachable and returns its address."""
        address = f"{name}:1"
        self._entries[address] = entry
        return address

    async def close(self, address: str) -> None:
        """Makes an address unreachable and closes its links."""
        self._entries.pop(address, None)
        for connection in self.find_open_connections(address=address):
            connection.entry_end.close()

    def dialer(self, worker: str) -> "MemoryDialer":
        """Returns the dialer for one agent."""
        return MemoryDialer(self, worker)

    def find_open_connections(
        self, worker: str = "", address: str = ""
    ) -> list[Connection]:
        """Returns the open links, optionally only those of a worker or an address."""
        return [
            connection
            for connection in self.connections
            if (not worker or connection.worker == worker)
            and (not address or connection.address == address)
            and not (connection.agent_end.is_closed and connection.entry_end.is_closed)
        ]

    def partition(self, worker: str, address: str = "") -> None:
        """Partitions a worker from one entry, or from all if address is "".

        Open links stay open but lose all frames; new links are refused.
        """
        for connection in self.find_open_connections(worker, address):
            connection.agent_end.is_partitioned = True
            connection.entry_end.is_partitioned = True
        for entry_address in [address] if address else list(self._entries):
            self.partitioned_pairs.add((worker, entry_address))

    def heal(self, worker: str) -> None:
        """Lets a worker open new links; those opened before still lose all frames."""
        self.partitioned_pairs = {
            pair for pair in self.partitioned_pairs if pair[0] != worker
        }

    def connect(self, worker: str, address: str) -> MemoryLink:
        """Opens a link to an entry.

        Raises:
            LinkClosedError: No entry listens at the address, or the worker is
                partitioned from it.
        """
        entry = self._entries.get(address)
        if entry is None or (worker, address) in self.partitioned_pairs:
            raise LinkClosedError(f"worker {worker} can't reach an entry at {address}")
        agent_end, entry_end = open_memory_link()
        self.connections.append(Connection(worker, address, agent_end, entry_end))
        self._serve(entry, entry_end)
        return agent_end

    def _serve(self, entry: Entry, link: MemoryLink) -> None:
        self._nursery.start_soon(entry.serve_link, link)


@dataclasses.dataclass(slots=True)
class MemoryDialer:
    """Opens links over a MemoryNetwork; see Dialer."""

    network: MemoryNetwork
    worker: str

    async def dial(self, address: str) -> MemoryLink:
        """See Dialer."""
        await trio.lowlevel.checkpoint()
        return self.network.connect(self.worker, address)
