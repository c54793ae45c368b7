"""Keeps customers within quotas that hold over all entries."""

import dataclasses

from gooseberrylink.operators.declarations import Customer

_RATE_TIME_S = 2.0
_SHARE_LEARNING_RATE = 0.05
_MIN_SHARE_OF_EVEN = 0.25
_MAX_DEMAND_RATIO = 20.0


@dataclasses.dataclass(slots=True)
class _Usage:
    """How one customer uses this entry.

    Attributes:
        inverse_share: Demand over all entries, for each unit of ours.
        tokens: Starts that may be admitted at once.
        asked: Recent tasks asked for, fading.
        admitted: Recent tasks admitted, fading.
        updated_s: Time of the last update.
    """

    inverse_share: float
    tokens: float
    updated_s: float
    asked: float = 0.0
    admitted: float = 0.0


class Quotas:
    """Token buckets of one entry, each filled at its share of the quota.

    The share follows the entry's share of the customer's demand, which agents
    report on results. It is counted in demand and not in admitted starts, or
    an entry whose demand rises could never gain on the others.
    """

    def __init__(self):
        self._usages: dict[str, _Usage] = {}

    def try_admit(
        self, customer: Customer, tasks: int, entries: int, now_s: float
    ) -> float | None:
        """Takes the tokens for a job.

        Args:
            customer: The customer, with its quota.
            tasks: Tasks of the job.
            entries: Number of entries known, for a first guess of the share.
            now_s: Time on the entry's clock.

        Returns:
            None if the job is within quota, else the seconds until it may be.
        """
        if customer.quota_starts_per_s is None:
            return None
        usage = self._usage(customer, entries, now_s)
        rate_per_s = self._rate_per_s(customer, usage, entries)
        # A job larger than a whole burst must still get in now and then.
        burst = rate_per_s * customer.burst_s
        self._refill(usage, rate_per_s, burst, now_s)
        usage.asked += tasks
        needed = min(tasks, burst)
        if usage.tokens < needed:
            return max(0.05, (needed - usage.tokens) / rate_per_s)
        usage.tokens -= tasks
        usage.admitted += tasks
        return None

    def demand_ratio(self, customer: str) -> float:
        """Returns tasks asked for, for each task admitted; at least 1."""
        usage = self._usages.get(customer)
        if usage is None or usage.admitted <= 0:
            return 1.0
        return min(_MAX_DEMAND_RATIO, max(1.0, usage.asked / usage.admitted))

    def learn_share(self, customer: str, demand_for_each_own: float) -> None:
        """Learns from a result how this entry's share compares."""
        usage = self._usages.get(customer)
        if usage is None or demand_for_each_own < 1.0:
            return
        change = demand_for_each_own - usage.inverse_share
        usage.inverse_share += _SHARE_LEARNING_RATE * change

    def share(self, customer: str) -> float:
        """Returns this entry's share of a customer's demand; 1 if unknown."""
        usage = self._usages.get(customer)
        return 1.0 / usage.inverse_share if usage else 1.0

    def _usage(self, customer: Customer, entries: int, now_s: float) -> _Usage:
        usage = self._usages.get(customer.name)
        if usage is None:
            tokens = customer.quota_starts_per_s * customer.burst_s / max(1, entries)
            usage = _Usage(float(max(1, entries)), tokens, now_s)
            self._usages[customer.name] = usage
        return usage

    def _rate_per_s(self, customer: Customer, usage: _Usage, entries: int) -> float:
        # The floor keeps a trickle going by which a rising demand is seen.
        floor = _MIN_SHARE_OF_EVEN / max(1, entries)
        share = max(floor, 1.0 / usage.inverse_share)
        return customer.quota_starts_per_s * share

    def _refill(
        self, usage: _Usage, rate_per_s: float, burst: float, now_s: float
    ) -> None:
        elapsed_s = now_s - usage.updated_s
        usage.updated_s = now_s
        usage.tokens = min(burst, usage.tokens + elapsed_s * rate_per_s)
        fade = 0.5 ** (elapsed_s / _RATE_TIME_S)
        usage.asked *= fade
        usage.admitted *= fade
