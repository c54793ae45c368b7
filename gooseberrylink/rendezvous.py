"""Chooses among names by rendezvous hashing (highest random weight)."""

import hashlib
from collections.abc import Iterable


def choose_by_rendezvous_hash(key: str, names: Iterable[str], count: int) -> list[str]:
    """Returns the names with the highest weight for this key.

    Every process computes the same choice. Adding or removing one name changes the
    choice by at most one name.

    Args:
        key: Identifies what the choice is made for.
        names: The names to choose from.
        count: How many names to choose.
    """

    def weight(name: str) -> bytes:
        return hashlib.blake2b(f"{key}|{name}".encode(), digest_size=8).digest()

    return sorted(names, key=weight, reverse=True)[:count]
