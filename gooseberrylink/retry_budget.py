"""Keeps retries to a share of first attempts."""


class RetryBudget:
    """A store of retries that first attempts fill up.

    Attributes:
        share: Retries earned with each first attempt.
        reserve: Largest number of retries that can be saved up.
    """

    def __init__(self, share: float, reserve: float):
        self.share = share
        self.reserve = reserve
        self._saved = reserve

    def earn(self) -> None:
        """Notes a first attempt."""
        self._saved = min(self.reserve, self._saved + self.share)

    def spend(self) -> bool:
        """Takes one retry; returns False if there is none left."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
