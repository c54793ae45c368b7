"""Notices that an entry was cut off from all agents."""

import math

import trio

from gooseberrylink.logs import log_event

# A frame that waits in a socket is handled within a few rounds of the event loop.
_READ_ROUNDS = 10


class IsolationMonitor:
    """Tells whether an entry is cut off from all agents, and perhaps from its callers.

    Attributes:
        is_isolated: Whether the links to all agents are silent, or were closed because
            they were.
    """

    def __init__(self, max_silence_s: float):
        """Creates a monitor.

        Args:
            max_silence_s: Time without a sign of any connected agent after which the
                entry counts as isolated, in seconds.
        """
        self.is_isolated = False
        self._max_silence_s = max_silence_s
        self._last_sign_s = math.inf

    async def check_silence(self) -> None:
        """Checks for how long open links have been silent, suspensions included.

        A process that was suspended or slow must read the frames that are waiting
        before it decides that its peers are silent.
        """
        if not self._is_silent():
            return
        for _ in range(_READ_ROUNDS):
            await trio.lowlevel.checkpoint()
        if self._is_silent():
            self.record_isolation()

    def _is_silent(self) -> bool:
        return trio.current_time() - self._last_sign_s > self._max_silence_s

    def record_isolation(self) -> None:
        """Records that no link is left that isn't silent."""
        if not self.is_isolated:
            self.is_isolated = True
            log_event("entry_isolated", "WARNING")

    def record_sign(self) -> bool:
        """Records a frame of an agent, or that an agent closed its link.

        Returns:
            Whether the entry was isolated until now.
        """
        was_isolated = self.is_isolated
        self.is_isolated = False
        self._last_sign_s = trio.current_time()
        return was_isolated
