"""Limits retries to a share of the first attempts."""


class RetryBudget:
    """A budget of retries to which each first attempt adds.

    Attributes:
        retry_share: Retries added with each first attempt.
        max_saved: Largest number of retries that the budget can hold; it starts
            with that number.
    """

    def __init__(self, retry_share: float, max_saved: float):
        self.retry_share = retry_share
        self.max_saved = max_saved
        self._saved = max_saved

    def deposit(self) -> None:
        """Adds the share of a retry that a first attempt earns."""
        self._saved = min(self.max_saved, self._saved + self.retry_share)

    def try_withdraw(self) -> bool:
        """Takes one retry from the budget; returns False if none is left."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
