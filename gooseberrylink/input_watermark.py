"""Knows until when a process has handled all of its input."""

import math

import trio

# Rounds of the event loop from the arrival of input to its effect, for example from a
# caller's disconnect to the withdrawal of its job: one before the input is noticed,
# and one for each task that it passes through.
_MAX_ROUNDS = 5


class InputWatermark:
    """Knows until when all input of this process has been handled.

    While a process gets too little processor time, its timers fire and its heartbeats
    are sent long before it has handled the input that arrived before them. A lease
    that is counted from the watermark ends in time all the same.
    """

    def __init__(self):
        self._handled_until_s = math.inf

    async def advance(self) -> None:
        """Advances the watermark to now, once input that arrived before is handled."""
        started_s = trio.current_time()
        for _ in range(_MAX_ROUNDS):
            await trio.lowlevel.checkpoint()
        if self._handled_until_s == math.inf:
            self._handled_until_s = started_s
        self._handled_until_s = max(started_s, self._handled_until_s)

    def lag_s(self) -> float:
        """Returns the time since the watermark; -inf before the first advance."""
        return trio.current_time() - self._handled_until_s
