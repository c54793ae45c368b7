"""Keeps the fencing token with which an agent sends its requests."""

import dataclasses

from gooseberrylink.logs import log_event

# Fencing tokens are Unix times in milliseconds. For each refused one the increment
# doubles, so that a few suffice after the clock was set back by an hour.
_FENCING_TOKEN_INCREMENT_MS = 60_000


@dataclasses.dataclass(slots=True)
class FencingToken:
    """The fencing token of one incarnation of an agent.

    Attributes:
        value: Sent with each request; a backend server refuses a lower one than it
            has seen.
    """

    value: int
    _increment_ms: int = _FENCING_TOKEN_INCREMENT_MS

    def fence(self, sent_value: int) -> None:
        """Makes the value higher than that of a request that may be executed late.

        It increases by 1 only: the next incarnation of the agent, whose token is the
        Unix time, must have a higher one.
        """
        self.value = max(self.value, sent_value + 1)

    def increase_past(self, refused_value: int) -> None:
        """Increases the value unless that was done since the refused request."""
        if self.value == refused_value:
            self.increase()

    def increase(self) -> None:
        """Increases the value, each time by twice as much as before.

        An earlier incarnation of the agent had a higher token if the clock was set
        back in between.
        """
        self.value += self._increment_ms
        self._increment_ms *= 2
        log_event("fencing_token_raised", "WARNING", fencing_token=self.value)
