"""Chooses the entries that an agent connects to.

Load pattern: hosts of entries are replaced again and again, each by one at another
address, so that after some time most of the known addresses belong to hosts that are
gone. An agent whose chosen entries don't answer tries ever more of the others.
"""

import math

from gooseberrylink.addresses import split_address
from gooseberrylink.exceptions import MalformedAddressError
from gooseberrylink.logs import log_event
from gooseberrylink.metrics import Metrics
from gooseberrylink.rendezvous import choose_by_rendezvous_hash

# Time without any link, and with fewer links than wanted, after which more entries are
# dialled. It is longer than hosts take to come back after a loss of power, because a
# link to another entry would remain, and divide the worker's capacity further.
_WIDEN_UNLINKED_AFTER_S = 4.0
_WIDEN_AFTER_S = 6.0
# Then their number doubles this often.
_WIDEN_EVERY_S = 0.3
_MAX_DOUBLINGS = 12
# Hellos take some milliseconds; a process that is suspended sends none.
_MAX_OPENING_S = 1.0
# An entry that was dialled for this time without an answer counts as gone if another
# one is connected all the while. It is not dialled for the same time, even if others
# that have not noticed yet name it.
GONE_AFTER_S = 120.0


class EntryChoice:
    """The known entries, and those that an agent dials and connects to.

    The first max_entries by rendezvous hash are chosen. While they don't answer, the
    next ones by hash are dialled as well, and connected to until there are
    max_entries. The first ones are connected to whenever they answer. No link is ever
    closed because of the choice: tasks and leases depend on it.

    Args:
        worker: Name of the agent's worker, the key of the hash.
        seeds: Addresses that are always known.
        max_entries: How many entries to connect to.
        metrics: Counters of the agent.
    """

    def __init__(
        self, worker: str, seeds: list[str], max_entries: int, metrics: Metrics
    ):
        self._worker = worker
        self._seeds = frozenset(seeds)
        self._max_entries = max_entries
        self._metrics = metrics
        self._order: list[str] = []
        self._connected: set[str] = set()
        self._opening_since_s: dict[str, float] = {}
        self._silent_since_s: dict[str, float] = {}
        self._gone_since_s: dict[str, float] = {}
        self._short_since_s = math.inf
        self._linked_since_s = math.inf
        self._set_known(self._seeds)

    def __contains__(self, address: str) -> bool:
        return address in self._order

    def known(self) -> list[str]:
        """Returns the addresses of all known entries, for other processes."""
        return sorted(self._order)

    def add(self, addresses: list[str], now_s: float) -> bool:
        """Adds the well-formed addresses; returns whether one of them is new."""
        known = set(self._order)
        new_addresses = {
            address
            for address in addresses
            if address not in known
            and now_s >= self._gone_since_s.get(address, -math.inf) + GONE_AFTER_S
            and self._is_well_formed(address)
        }
        if new_addresses:
            self._set_known(known | new_addresses)
        return bool(new_addresses)

    def choose(self, now_s: float) -> list[str]:
        """Returns the addresses to dial, and those that are connected."""
        width = self._max_entries
        is_short = len(self._connected) < width
        self._short_since_s = min(self._short_since_s, now_s) if is_short else math.inf
        after_s = _WIDEN_AFTER_S if self._connected else _WIDEN_UNLINKED_AFTER_S
        if (late_s := now_s - self._short_since_s - after_s) >= 0:
            doublings = min(_MAX_DOUBLINGS, 1 + int(late_s / _WIDEN_EVERY_S))
            width *= 2**doublings
        chosen = self._order[:width]
        # Those that are not dialled may be alive.
        self._silent_since_s = {
            address: self._silent_since_s.get(address, now_s)
            for address in chosen
            if address not in self._connected and self.wants(address, now_s)
        }
        return chosen

    def wants(self, address: str, now_s: float) -> bool:
        """Returns whether to connect to an entry that answers."""
        if address not in self._order:
            # It was forgotten while it was dialled.
            return False
        opening_count = sum(
            other != address and now_s - opened_s < _MAX_OPENING_S
            for other, opened_s in self._opening_since_s.items()
        )
        return (
            len(self._connected) + opening_count < self._max_entries
            or address in self._order[: self._max_entries]
        )

    def record_opening(self, address: str, now_s: float) -> None:
        """Records that a link is open, over which no hello has come yet."""
        self._opening_since_s[address] = now_s

    def record_connected(self, address: str, now_s: float) -> None:
        """Records that an entry has sent its hello."""
        self._opening_since_s.pop(address, None)
        self._linked_since_s = min(self._linked_since_s, now_s)
        self._connected.add(address)
        self._silent_since_s.pop(address, None)

    def record_disconnected(self, address: str, now_s: float) -> None:
        """Records that the link to an entry has closed, also before its hello."""
        self._opening_since_s.pop(address, None)
        if address not in self._connected:
            return
        self._connected.discard(address)
        self._silent_since_s[address] = now_s
        if not self._connected:
            self._linked_since_s = math.inf

    def is_gone(self, address: str) -> bool:
        """Returns whether the address was forgotten, and not learned again since."""
        return address in self._gone_since_s and address not in self._order

    def forget_gone(self, now_s: float) -> list[str]:
        """Forgets the entries that are gone, and returns their addresses.

        While an agent has no link it may be cut off itself, and forgets none.
        """
        before_s = now_s - GONE_AFTER_S
        if self._linked_since_s > before_s:
            return []
        gone = [
            address
            for address, silent_since_s in self._silent_since_s.items()
            if max(silent_since_s, self._linked_since_s) <= before_s
            and address not in self._seeds
        ]
        for address in gone:
            del self._silent_since_s[address]
            self._gone_since_s[address] = now_s
            self._metrics.add("entries_forgotten")
            log_event("entry_forgotten", address=address)
        if gone:
            self._set_known(set(self._order) - set(gone))
        return gone

    def _set_known(self, addresses: set[str] | frozenset[str]) -> None:
        self._order = choose_by_rendezvous_hash(self._worker, addresses, len(addresses))

    def _is_well_formed(self, address: str) -> bool:
        try:
            split_address(address)
        except MalformedAddressError as error:
            self._metrics.add("entry_addresses_malformed")
            log_event("entry_address_malformed", "WARNING", error=error)
            return False
        return True
