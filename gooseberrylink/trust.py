"""Tells customers whose jobs mostly end well from those whose jobs fail."""

_LEARNING_RATE = 0.1
_UNKNOWN = 0.5


class CustomerTrust:
    """Recent share of good jobs by customer."""

    def __init__(self):
        self._shares: dict[str, float] = {}

    def learn(self, customer: str, is_good: bool) -> None:
        """Notes how a job ended that was run."""
        share = self._shares.get(customer, _UNKNOWN)
        self._shares[customer] = share + _LEARNING_RATE * (is_good - share)

    def is_trusted(self, customer: str) -> bool:
        """Says whether most of the customer's recent jobs ended well."""
        return self._shares.get(customer, _UNKNOWN) > _UNKNOWN
