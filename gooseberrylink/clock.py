"""Provides a clock for trio that counts the time for which the host is suspended."""

import random
import time

import trio

# Systems other than Linux lack the first one.
_CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


class SuspensionAwareClock(trio.abc.Clock):
    """A clock for trio on which leases also end while the host is suspended.

    The clock that trio uses by default stands still during a suspension, so what was
    sent at its start would count as fresh at its end.
    """

    def __init__(self):
        # As in trio's own clock, the offset keeps times of different runs apart.
        self._offset_s = random.uniform(10_000, 200_000)

    def start_clock(self) -> None:
        """See trio.abc.Clock."""

    def current_time(self) -> float:
        """See trio.abc.Clock."""
        return self._offset_s + time.clock_gettime(_CLOCK_ID)

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """See trio.abc.Clock."""
        # The kernel's sleep excludes suspensions; the daemons' checks bound it to 1 s.
        return deadline - self.current_time()
