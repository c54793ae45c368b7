"""Pushes a newer configuration to a peer that has an older one."""

import random
import zlib

import msgspec
import trio

from gooseberrylink.operators.configuration import Configuration
from gooseberrylink.peers.messages import ConfigUpdate
from gooseberrylink.peers.outbox import Outbox

_MAX_PUSH_DELAY_S = 2.0
_MAX_CONFIG_BYTES = 16 * 1024 * 1024


class ConfigPush:
    """Pushes configurations over one link.

    A peer has several links, and could receive each version over all of them.
    To avoid that, every sender waits for a random delay and then checks again
    whether the peer is behind. Each frame from the peer reports the version that
    the peer has.

    Attributes:
        peer_version: Configuration version that the peer last reported.
    """

    def __init__(
        self, configuration: Configuration, outbox: Outbox, rng: random.Random
    ):
        self._configuration = configuration
        self._outbox = outbox
        self._random = rng
        self._sent_version = 0
        self.peer_version = 0

    async def run(self) -> None:
        """Pushes new versions until cancelled."""
        while True:
            adopted = self._configuration.adopted
            if self._is_peer_behind():
                await trio.sleep(self._random.uniform(0.0, _MAX_PUSH_DELAY_S))
                if self._is_peer_behind():
                    self._send()
            else:
                await adopted.wait()

    def _is_peer_behind(self) -> bool:
        expected_peer_version = max(self.peer_version, self._sent_version)
        return self._configuration.version > expected_peer_version

    def _send(self) -> None:
        version = self._configuration.version
        self._sent_version = version
        packed = zlib.compress(self._configuration.text.encode())
        self._outbox.put(ConfigUpdate(version, packed))


def decompress_update(update: ConfigUpdate) -> str:
    """Returns the text of the configuration that an update carries.

    Raises:
        msgspec.ValidationError: The update can't be decompressed or is too large.
    """
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(update.packed, _MAX_CONFIG_BYTES)
        text = data.decode()
    except (zlib.error, UnicodeDecodeError) as error:
        raise msgspec.ValidationError(
            f"configuration version {update.version} can't be decompressed: {error}"
        ) from None
    if not decompressor.eof:
        raise msgspec.ValidationError(
            f"configuration version {update.version} is truncated or has more than"
            f" {_MAX_CONFIG_BYTES} bytes"
        )
    return text
