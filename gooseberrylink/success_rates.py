"""Tracks which customers' jobs mostly succeed."""

_LEARNING_RATE = 0.1
_INITIAL_RATE = 0.5


class CustomerSuccessRates:
    """Moving average of each customer's share of successful jobs.

    A failed task of a customer whose jobs usually succeed points to a fault of the
    backend server.
    """

    def __init__(self):
        self._rates: dict[str, float] = {}

    def record_outcome(self, customer: str, has_succeeded: bool) -> None:
        """Adds the outcome of a job that completed or failed."""
        rate = self._rates.get(customer, _INITIAL_RATE)
        self._rates[customer] = rate + _LEARNING_RATE * (has_succeeded - rate)

    def is_reliable(self, customer: str) -> bool:
        """Returns whether most of the customer's recent jobs succeeded.

        False for a customer without any jobs yet.
        """
        return self._rates.get(customer, _INITIAL_RATE) > _INITIAL_RATE
