"""Measures at the agent how a customer's demand is spread over the entries."""

import collections

_HALF_LIFE_S = 2.0


class CustomerUsage:
    """Demand by customer and entry, fading with time.

    Demand is the number of starts, times what the entry says was asked of it
    for each start. The ratio of all demand to one entry's travels on each result. An
    entry thereby learns its share of a customer's demand without a message of
    its own, and enforces just that share of the customer's quota.
    """

    def __init__(self):
        self._total: collections.Counter[str] = collections.Counter()
        self._own: collections.Counter[tuple[str, str]] = collections.Counter()
        self._faded_s = 0.0

    def add(self, customer: str, entry: str, demand: float, now_s: float) -> None:
        """Adds the demand that one start stands for."""
        self._fade(now_s)
        self._total[customer] += demand
        self._own[customer, entry] += demand

    def demand_for_each_own(self, customer: str, entry: str, now_s: float) -> float:
        """Returns the customer's demand for each unit of this entry's."""
        self._fade(now_s)
        own = self._own[customer, entry]
        return self._total[customer] / own if own else 0.0

    def _fade(self, now_s: float) -> None:
        elapsed_s = now_s - self._faded_s
        if elapsed_s < _HALF_LIFE_S / 4:
            return
        self._faded_s = now_s
        factor = 0.5 ** (elapsed_s / _HALF_LIFE_S)
        for counts in (self._total, self._own):
            for key in list(counts):
                counts[key] *= factor
                if counts[key] < 0.01:
                    del counts[key]
