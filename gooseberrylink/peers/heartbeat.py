"""Schedules the heartbeats of a link and closes it when its peer is silent."""

import trio

from gooseberrylink.peers.link import Link
from gooseberrylink.peers.outbox import Outbox
from gooseberrylink.settings import PeerSettings


class Heartbeat:
    """The heartbeats of one link, in both directions.

    A frame is due every busy_heartbeat_s while tasks are in progress, otherwise
    every idle_heartbeat_s; any frame counts as a heartbeat. Both directions count
    ticks instead of comparing times, because a process that resumes after a freeze
    must read the frames that are waiting before it decides that its peer is silent.

    Attributes:
        has_timed_out: Whether it closed the link because the peer was silent.
    """

    def __init__(self, settings: PeerSettings, outbox: Outbox, is_busy):
        self._tick_s = settings.busy_heartbeat_s
        self._idle_intervals_per_tick = (
            settings.busy_heartbeat_s / settings.idle_heartbeat_s
        )
        self._max_misses = settings.max_misses
        self._outbox = outbox
        self._is_busy = is_busy
        self._has_received = False
        self.has_timed_out = False

    def record_frame(self) -> None:
        """Records that a frame arrived."""
        self._has_received = True

    async def wait_until_due(self) -> bool:
        """Waits until the outbox has something to send or a heartbeat is due.

        Returns:
            Whether a heartbeat is due, rather than an item to be sent.
        """
        elapsed_intervals = 0.0
        while not await self._outbox.wait(self._tick_s):
            elapsed_intervals += (
                1.0 if self._is_busy() else self._idle_intervals_per_tick
            )
            if elapsed_intervals >= 1.0:
                return True
        return False

    async def close_when_silent(self, link: Link) -> None:
        """Closes the link once the peer has been silent for max_misses intervals."""
        misses = 0.0
        while misses < self._max_misses:
            self._has_received = False
            await trio.sleep(self._tick_s)
            if self._has_received:
                misses = 0.0
            else:
                misses += 1.0 if self._is_busy() else self._idle_intervals_per_tick
        self.has_timed_out = True
        link.close()
