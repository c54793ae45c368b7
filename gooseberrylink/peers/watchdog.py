"""Notices that a peer has gone silent."""

import trio

from gooseberrylink.peers.link import Link


class Watchdog:
    """Closes a link after several ticks without a frame.

    It counts its own ticks instead of comparing times: a process that was
    frozen has frames waiting, and must read them before it judges its peer.
    """

    def __init__(self, busy_tick_s: float, idle_tick_s: float, max_misses: int):
        self._busy_tick_s = busy_tick_s
        self._idle_tick_s = idle_tick_s
        self._max_misses = max_misses
        self._has_heard = False

    def tick_s(self, is_busy: bool) -> float:
        """Returns the heartbeat interval of a link."""
        return self._busy_tick_s if is_busy else self._idle_tick_s

    def heard(self) -> None:
        """Notes that a frame arrived."""
        self._has_heard = True

    async def run(self, link: Link, is_busy) -> None:
        """Watches until the peer is silent for too long, then closes the link.

        Args:
            link: The link that is closed.
            is_busy: Function that says whether tasks are under way on it.
        """
        misses = 0
        while misses < self._max_misses:
            self._has_heard = False
            await trio.sleep(self.tick_s(is_busy()))
            misses = 0 if self._has_heard else misses + 1
        link.close()
