"""Sums up, at an agent, the demand of customers over all entries."""

# Age after which the report of an entry is dropped.
_VALID_S = 3.0


class CustomerDemandTable:
    """Demand by customer and entry, as last reported by the entries.

    For a customer that is close to its quota, every entry reports its demand to
    the same few agents, chosen by rendezvous hashing, and receives the sum from
    them. So each entry learns its share of the demand without a
    coordinator.
    """

    def __init__(self):
        self._rates: dict[str, dict[str, tuple[float, float]]] = {}

    def record(self, customer: str, entry: str, demand_per_s: float, now_s: float):
        """Records the demand at one entry, in requested tasks per second."""
        self._rates.setdefault(customer, {})[entry] = (demand_per_s, now_s)

    def record_all(
        self, entry: str, demands_per_s: dict[str, float], now_s: float
    ) -> dict[str, float]:
        """Records the demands at one entry by customer; returns those at all."""
        for customer, demand_per_s in demands_per_s.items():
            self.record(customer, entry, demand_per_s, now_s)
        return {c: self.total_demand_per_s(c, now_s) for c in demands_per_s}

    def total_demand_per_s(self, customer: str, now_s: float) -> float:
        """Returns the sum of the unexpired demand over all entries."""
        rates = self._rates.get(customer, {})
        for entry in [e for e, (_, at_s) in rates.items() if now_s - at_s > _VALID_S]:
            del rates[entry]
        return sum(rate for rate, _ in rates.values())
