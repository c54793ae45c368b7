"""Tells customers whose jobs mostly end well from those whose jobs fail."""

_LEARNING_RATE = 0.1
_INITIAL_RATE = 0.5


class CustomerSuccessRates:
    """Recent share of good jobs by customer."""

    def __init__(self):
        self._rates: dict[str, float] = {}

    def learn(self, customer: str, has_succeeded: bool) -> None:
        """Notes how a job ended that was run."""
        rate = self._rates.get(customer, _INITIAL_RATE)
        self._rates[customer] = rate + _LEARNING_RATE * (has_succeeded - rate)

    def is_reliable(self, customer: str) -> bool:
        """Says whether most of the customer's recent jobs ended well."""
        return self._rates.get(customer, _INITIAL_RATE) > _INITIAL_RATE
