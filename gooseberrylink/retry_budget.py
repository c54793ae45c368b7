"""Keeps retries to a share of first attempts."""


class RetryBudget:
    """A store of retries that first attempts fill up.

    Attributes:
        share: Retries earned with each first attempt.
        reserve: Largest number of retries that can be saved up.
    """

    def __init__(self, retry_share: float, max_saved: float):
        self.retry_share = retry_share
        self.max_saved = max_saved
        self._saved = max_saved

    def deposit(self) -> None:
        """Notes a first attempt."""
        self._saved = min(self.max_saved, self._saved + self.retry_share)

    def try_withdraw(self) -> bool:
        """Takes one retry; returns False if there is none left."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
