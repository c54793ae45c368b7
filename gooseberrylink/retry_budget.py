"""Limits retries to a share of the first attempts."""


class RetryBudget:
    """A budget of retries to which each first attempt adds.

    Attributes:
        retry_share: Retries added with each first attempt.
        max_retries: Largest number of retries that the budget can hold; it starts
            with that number.
    """

    def __init__(self, retry_share: float, max_retries: float):
        self.retry_share = retry_share
        self.max_retries = max_retries
        self._retries = max_retries

    def deposit(self) -> None:
        """Adds the share of a retry that a first attempt earns."""
        self._retries = min(self.max_retries, self._retries + self.retry_share)

    def try_withdraw(self) -> bool:
        """Takes one retry from the budget; returns False if none is left."""
        if self._retries < 1.0:
            return False
        self._retries -= 1.0
        return True
