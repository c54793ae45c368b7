"""Parses network addresses."""

import ipaddress
import re

from gooseberrylink.exceptions import MalformedAddressError

_ADDRESS = re.compile(r"([0-9A-Za-z_.-]+|\[[0-9A-Fa-f:.]+\]):([0-9]{1,5})")
_MAX_PORT = 65_535
_MAX_NAME_CHARS = 253
_MAX_LABEL_CHARS = 63


def split_address(address: str) -> tuple[str, int]:
    """Returns the host and the port of an address.

    Raises:
        MalformedAddressError: The address is not host:port.
    """
    match = _ADDRESS.fullmatch(address)
    if match is None or int(match[2]) > _MAX_PORT or not _is_host(match[1]):
        raise MalformedAddressError(
            f"address {address!r:.80}: expected host:port, with a port of at most"
            f" {_MAX_PORT}"
        )
    return match[1], int(match[2])


def _is_host(text: str) -> bool:
    """Returns whether a text is an IP address or can be looked up as a name.

    Resolvers and HTTP clients raise errors of many types for other texts.
    """
    if text.startswith("["):
        return _is_ip_address(text[1:-1], ipaddress.IPv6Address)
    labels = text.split(".")
    if labels[-1].isdigit():
        return _is_ip_address(text, ipaddress.IPv4Address)
    are_labels_valid = all(0 < len(label) <= _MAX_LABEL_CHARS for label in labels)
    return are_labels_valid and len(text) <= _MAX_NAME_CHARS


def _is_ip_address(
    text: str, kind: type[ipaddress.IPv4Address] | type[ipaddress.IPv6Address]
) -> bool:
    try:
        kind(text)
    except ValueError:
        return False
    return True
