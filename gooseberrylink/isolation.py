"""Notices that an entry was cut off from all agents."""

from gooseberrylink.logs import log_event


class IsolationMonitor:
    """Tells whether an entry is cut off from all agents, and perhaps from its callers.

    Time is counted in ticks, because a process that resumes from a suspension must read
    the frames that are waiting before it decides that its peers are silent.

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
        self._silence_s = 0.0

    def count_silence(self, tick_s: float) -> None:
        """Adds a tick in which a link was open; a sign of an agent resets the sum."""
        self._silence_s += tick_s
        if self._silence_s > self._max_silence_s:
            self.record_isolation()

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
        self._silence_s = 0.0
        return was_isolated
