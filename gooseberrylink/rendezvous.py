"""Chooses the entries of an agent by highest random weight."""

import hashlib
from collections.abc import Iterable


def choose_entries(worker: str, addresses: Iterable[str], count: int) -> list[str]:
    """Returns the addresses with the highest weight for this worker.

    Every process computes the same choice, and a change of the set of entries
    moves only the links that it must.

    Args:
        worker: Name of the worker.
        addresses: Known entries.
        count: How many to choose.
    """

    def weight(address: str) -> bytes:
        return hashlib.blake2b(f"{worker}|{address}".encode(), digest_size=8).digest()

    return sorted(addresses, key=weight, reverse=True)[:count]
