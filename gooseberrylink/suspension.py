"""Notices that this process was suspended, and until when its input is out of date."""

import math

import trio

from gooseberrylink.logs import log_event

_TICK_S = 0.05
# A disconnect passes through several tasks before it cancels a job, one in each round
# of the event loop. At least one round passes between two ticks.
_SETTLING_TICK_S = 0.02
_SETTLING_TICKS = 15


class SuspensionMonitor:
    """Tells whether an entry has resumed from a suspension a moment ago.

    When a process resumes, frames and disconnects wait in its sockets, and the event
    loop handles them in any order. The entry settles until it has read all of them.
    """

    def __init__(self, min_suspension_s: float):
        self._min_suspension_s = min_suspension_s
        self._last_tick_s = math.inf
        self._ticks_left = 0

    def is_settling(self) -> bool:
        """Returns whether messages from before the end of a suspension may be unread.

        True even before the first tick after the suspension.
        """
        return self._ticks_left > 0 or self._silence_s() > self._min_suspension_s

    async def wait_for_tick(self) -> bool:
        """Waits for the next tick; called in a loop for as long as the entry runs.

        Returns:
            Whether the entry has settled with this tick.
        """
        self._last_tick_s = min(self._last_tick_s, trio.current_time())
        await trio.sleep(_SETTLING_TICK_S if self._ticks_left else _TICK_S)
        suspended_s = self._silence_s()
        if suspended_s > self._min_suspension_s:
            log_event("entry_resumed", "WARNING", suspended_s=suspended_s)
            self._ticks_left = _SETTLING_TICKS
            has_settled = False
        else:
            has_settled = self._ticks_left == 1
            self._ticks_left = max(0, self._ticks_left - 1)
        self._last_tick_s = trio.current_time()
        return has_settled

    def _silence_s(self) -> float:
        """Returns the time since the last tick; -inf before the first call."""
        return trio.current_time() - self._last_tick_s
