"""Runs one link after the hellos until it closes, the same way at both ends."""

import random
from typing import Any, Protocol

import msgspec
import trio

from gooseberrylink.exceptions import LinkClosedError
from gooseberrylink.logs import log_event
from gooseberrylink.metrics import Metrics
from gooseberrylink.operators.configuration import Configuration
from gooseberrylink.peers.config_push import ConfigPush
from gooseberrylink.peers.heartbeat import Heartbeat
from gooseberrylink.peers.link import Link
from gooseberrylink.peers.outbox import Outbox
from gooseberrylink.settings import PeerSettings
from gooseberrylink.unexpected_errors import record_unexpected_error


class SessionOwner(Protocol):
    """The peer object that a session belongs to.

    Attributes:
        name: Name of the worker or entry at the other end, for the log.
        metrics: Metrics of this process.
    """

    name: str
    metrics: Metrics

    def is_busy(self) -> bool:
        """Whether tasks are in progress, so that heartbeats are due more often."""

    def handle_frame_data(self, data: bytes) -> int:
        """Decodes and handles a frame; returns the peer's configuration version.

        Raises:
            msgspec.MsgspecError: The frame is malformed.
        """

    def encode_next_frame(self, items: list[Any], is_heartbeat: bool) -> bytes:
        """Encodes the next frame to send."""

    def return_unsent(self, items: list[Any]) -> None:
        """Takes back items that were not passed to the transport."""


class Session:
    """Sends and receives frames and heartbeats over one link of a peer.

    Each session has an outbox of its own. If sessions shared one, the sender of an
    old link could take items that belong to the new link.

    Attributes:
        outbox: Items to be sent over the link.
    """

    def __init__(
        self,
        link: Link,
        settings: PeerSettings,
        configuration: Configuration,
        rng: random.Random,
        owner: SessionOwner,
    ):
        self.link = link
        self.outbox = Outbox()
        self._owner = owner
        self._is_replaced = False
        self._config_push = ConfigPush(configuration, self.outbox, rng)
        self._heartbeat = Heartbeat(settings, self.outbox, owner.is_busy)

    @property
    def has_timed_out(self) -> bool:
        """Whether the link was closed because the peer was silent."""
        return self._heartbeat.has_timed_out

    def record_peer_config_version(self, version: int) -> None:
        """Records which configuration version the peer has."""
        self._config_push.peer_version = version

    def close_as_replaced(self) -> None:
        """Closes the link; the peer's next frame belongs to its next session."""
        self._is_replaced = True
        self.link.close()

    async def run(self, first_frame: bytes | None = None) -> None:
        """Sends and receives until the link closes.

        Args:
            first_frame: Frame that was received before, if any; handled first.
        """
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send_frames)
                nursery.start_soon(self._heartbeat.close_when_silent, self.link)
                nursery.start_soon(self._config_push.run)
                await self._read_frames(first_frame)
                nursery.cancel_scope.cancel()
        finally:
            self.link.close()
            self._owner.return_unsent(self.outbox.take())

    async def _read_frames(self, data: bytes | None) -> None:
        while True:
            try:
                if data is None:
                    data = await self.link.receive()
                version = self._owner.handle_frame_data(data)
            except LinkClosedError:
                return
            except msgspec.MsgspecError as error:
                log_event(
                    "frame_malformed", "ERROR", peer=self._owner.name, error=error
                )
                return
            except Exception as error:
                self._record_failure("frame_received", error)
                return
            data = None
            self._heartbeat.record_frame()
            self.record_peer_config_version(version)

    async def _send_frames(self) -> None:
        while True:
            is_heartbeat = await self._heartbeat.wait_until_due()
            if self._is_replaced:
                return
            items = self.outbox.take()
            try:
                self.link.send(self._owner.encode_next_frame(items, is_heartbeat))
            except LinkClosedError:
                self._owner.return_unsent(items)
                return
            except Exception as error:
                self._record_failure("frame_sent", error)
                self._owner.return_unsent(items)
                self.link.close()
                return

    def _record_failure(self, step: str, error: Exception) -> None:
        """Records an error after which this link ends.

        The other links of this process stay open. The peers exchange the state of
        their tasks when they have reconnected.
        """
        owner = self._owner
        record_unexpected_error(owner.metrics, step, error, peer=owner.name)
