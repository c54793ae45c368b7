"""Keeps a link from falling silent, and notices a peer that has."""

import trio

from gooseberrylink.config import PeerSettings
from gooseberrylink.peers.link import Link
from gooseberrylink.peers.outbox import Outbox


class Heartbeat:
    """The heartbeats of one link, in both directions.

    While tasks are under way a frame is due in every busy interval, else in
    every idle one. Frames that flow anyway count. It counts its own ticks
    instead of comparing times: a process that was frozen has frames waiting,
    and must read them before it judges its peer.
    """

    def __init__(self, settings: PeerSettings, outbox: Outbox, is_busy):
        self._tick_s = settings.busy_heartbeat_s
        self._idle_tick_intervals = (
            settings.busy_heartbeat_s / settings.idle_heartbeat_s
        )
        self._max_misses = settings.max_misses
        self._outbox = outbox
        self._is_busy = is_busy
        self._has_received = False

    def record_frame(self) -> None:
        """Notes that a frame arrived."""
        self._has_received = True

    async def wait_until_due(self) -> bool:
        """Waits until the outbox has something to send or a heartbeat is due.

        Returns:
            Whether it is a heartbeat.
        """
        elapsed_intervals = 0.0
        while not await self._outbox.wait(self._tick_s):
            elapsed_intervals += 1.0 if self._is_busy() else self._idle_tick_intervals
            if elapsed_intervals >= 1.0:
                return True
        return False

    async def close_when_silent(self, link: Link) -> None:
        """Watches until the peer is silent for too long, then closes the link."""
        misses = 0.0
        while misses < self._max_misses:
            self._has_received = False
            await trio.sleep(self._tick_s)
            if self._has_received:
                misses = 0.0
            else:
                misses += 1.0 if self._is_busy() else self._idle_tick_intervals
        link.close()
