"""Parses network addresses."""

import re

from gooseberrylink.exceptions import MalformedAddressError

_ADDRESS = re.compile(r"([0-9A-Za-z_.-]+|\[[0-9A-Fa-f:.]+\]):([0-9]{1,5})")
_MAX_PORT = 65_535


def split_address(address: str) -> tuple[str, int]:
    """Returns the host and the port of an address.

    Raises:
        MalformedAddressError: The address is not host:port.
    """
    match = _ADDRESS.fullmatch(address)
    if match is None or int(match[2]) > _MAX_PORT:
        raise MalformedAddressError(
            f"address {address!r:.80}: expected host:port, with a port of at most"
            f" {_MAX_PORT}"
        )
    return match[1], int(match[2])
