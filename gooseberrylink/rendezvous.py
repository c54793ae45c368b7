"""Chooses among names by highest random weight."""

import hashlib
from collections.abc import Iterable


def choose_by_rendezvous_hash(key: str, names: Iterable[str], count: int) -> list[str]:
    """Returns the names with the highest weight for this key.

    Every process computes the same choice, and a change of the set of names
    moves only what it must.

    Args:
        key: What the choice is made for.
        names: What is chosen from.
        count: How many to choose.
    """

    def weight(name: str) -> bytes:
        return hashlib.blake2b(f"{key}|{name}".encode(), digest_size=8).digest()

    return sorted(names, key=weight, reverse=True)[:count]
