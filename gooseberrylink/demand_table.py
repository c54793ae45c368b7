"""Adds up at an agent what customers ask of all entries."""

_VALID_S = 3.0


class DemandTable:
    """Demand by customer and entry, as the entries last told it.

    For a customer that is close to its quota, every entry tells the same few
    agents, chosen by rendezvous hashing, and hears the sum from them. So each
    entry learns its share without any process in charge.
    """

    def __init__(self):
        self._rates: dict[str, dict[str, tuple[float, float]]] = {}

    def record(self, customer: str, entry: str, starts_per_s: float, now_s: float):
        """Notes the demand that one entry sees."""
        self._rates.setdefault(customer, {})[entry] = (starts_per_s, now_s)

    def total_demand_per_s(self, customer: str, now_s: float) -> float:
        """Returns the demand over all entries that told it lately."""
        rates = self._rates.get(customer, {})
        for entry in [e for e, (_, at_s) in rates.items() if now_s - at_s > _VALID_S]:
            del rates[entry]
        return sum(rate for rate, _ in rates.values())
