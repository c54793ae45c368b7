"""Defines the link between two processes, and an in-memory implementation."""

import collections
import math
from typing import Protocol

import trio

from gooseberrylink.exceptions import LinkClosedError


class Link(Protocol):
    """An ordered, reliable stream of frames to one peer."""

    def send(self, data: bytes) -> None:
        """Passes a frame to the transport without waiting.

        Raises:
            LinkClosedError: The link is closed; the frame was not sent.
        """

    async def receive(self) -> bytes:
        """Waits for the next frame.

        Raises:
            LinkClosedError: The link is closed and no frame is left.
        """

    def close(self) -> None:
        """Closes the link at once; frames in transit may be lost."""


class Dialer(Protocol):
    """Opens links to entries."""

    async def dial(self, address: str) -> Link:
        """Opens a link; raises LinkClosedError if the peer can't be reached."""


class Listener(Protocol):
    """Accepts the links that agents open to an entry.

    Attributes:
        address: host:port that it listens on; "" before start.
    """

    address: str

    async def start(self, address: str) -> None:
        """Listens on host:port; with port 0, on any free port."""

    async def accept(self) -> Link:
        """Waits for the next link that an agent opens."""

    async def stop(self) -> None:
        """Closes the port."""


class MemoryLink:
    """One end of a link between two objects in the same process.

    Attributes:
        peer: The other end.
        is_partitioned: While true, frames sent from this end are lost, as in a
            network partition.
        recent_frames: The last frames delivered to this end, so that tests can
            deliver them again.
    """

    def __init__(self):
        self._inbox_send, self._inbox = trio.open_memory_channel[bytes](math.inf)
        self.peer: MemoryLink | None = None
        self.is_partitioned = False
        self.is_closed = False
        self.recent_frames: collections.deque[bytes] = collections.deque(maxlen=16)
        self._paused_frames: list[bytes] | None = None
        self._is_close_paused = False

    def send(self, data: bytes) -> None:
        """See Link."""
        if self.is_closed:
            raise LinkClosedError("the link is closed")
        if not self.is_partitioned:
            self.peer.deliver(data)

    def deliver(self, data: bytes) -> None:
        """Puts a frame into this end's inbox, or holds it back while paused."""
        if self._paused_frames is not None:
            self._paused_frames.append(data)
        elif not self.is_closed:
            self.recent_frames.append(data)
            self._inbox_send.send_nowait(data)

    def pause_delivery(self) -> None:
        """Holds back frames and the close, as if this end's process were frozen."""
        if self._paused_frames is None:
            self._paused_frames = []

    def resume_delivery(self) -> None:
        """Delivers all frames that were held back."""
        paused_frames, self._paused_frames = self._paused_frames or [], None
        for data in paused_frames:
            self.deliver(data)
        if self._is_close_paused:
            self.close()

    async def receive(self) -> bytes:
        """See Link."""
        try:
            return await self._inbox.receive()
        except (trio.EndOfChannel, trio.ClosedResourceError):
            raise LinkClosedError("the link is closed") from None

    def close(self) -> None:
        """See Link; also closes the other end, except in a partition."""
        if self.is_closed:
            return
        self.is_closed = True
        self._inbox_send.close()
        if self.is_partitioned:
            return
        if self.peer._paused_frames is None:
            self.peer.close()
        else:
            self.peer._is_close_paused = True


def open_memory_link() -> tuple[MemoryLink, MemoryLink]:
    """Returns the two ends of a new link."""
    first_end, second_end = MemoryLink(), MemoryLink()
    first_end.peer, second_end.peer = second_end, first_end
    return first_end, second_end
