"""Enforces the customers' quotas, which are divided among all entries."""

import dataclasses
import math

from gooseberrylink.operators.declarations import Customer

_DEMAND_HALF_LIFE_S = 1.0
_TOTAL_VALID_S = 3.0
_MIN_FRACTION_OF_EVEN_SHARE = 0.1
_NEAR_QUOTA_SHARE = 0.5
_MIN_RETRY_AFTER_S = 0.05


@dataclasses.dataclass(slots=True)
class _Usage:
    """Demand and token bucket of one customer at this entry.

    Attributes:
        customer: The customer, with its quota.
        entries: Number of known entries, this one included.
        tokens: Task starts that may be admitted at once.
        updated_s: Time of the last update.
        recent_tasks: Requested tasks, decayed exponentially.
        total_demands: Demand over all entries in tasks per second, by the agent
            that reported it, with the time of the report.
    """

    customer: Customer
    entries: int
    tokens: float
    updated_s: float
    recent_tasks: float = 0.0
    total_demands: dict[str, tuple[float, float]] = dataclasses.field(
        default_factory=dict
    )

    def demand_per_s(self) -> float:
        """Returns the recent demand at this entry, in tasks per second."""
        return self.recent_tasks * math.log(2) / _DEMAND_HALF_LIFE_S

    def total_demand_per_s(self, now_s: float) -> float:
        """Returns the demand over all entries in tasks per second; 0 if unknown."""
        fresh = [
            t
            for t, at_s in self.total_demands.values()
            if now_s - at_s < _TOTAL_VALID_S
        ]
        return max(fresh, default=0.0)

    def share(self, now_s: float) -> float:
        """Returns this entry's share of the demand; an even share while unknown."""
        total_demand_per_s = self.total_demand_per_s(now_s)
        if total_demand_per_s <= 0:
            return 1.0 / self.entries
        min_share = _MIN_FRACTION_OF_EVEN_SHARE / self.entries
        return min(1.0, max(min_share, self.demand_per_s() / total_demand_per_s))

    def rate_per_s(self, now_s: float) -> float:
        """Returns the task starts per second that this entry may admit."""
        return self.customer.quota_starts_per_s * self.share(now_s)


class Quotas:
    """Token buckets of one entry, each filled at this entry's share of the quota.

    The share follows the requested tasks, admitted or not. If it followed the
    admitted ones, the share of an entry whose demand rises could never grow.
    """

    def __init__(self):
        self._usages: dict[str, _Usage] = {}

    def try_admit(
        self, customer: Customer, tasks: int, entries: int, now_s: float
    ) -> float | None:
        """Takes the tokens for a job if it is within quota.

        Args:
            customer: The customer, with its quota.
            tasks: Number of tasks of the job.
            entries: Number of known entries, this one included.
            now_s: Time on the entry's clock.

        Returns:
            None if the job is within quota, else the seconds until it may be.
        """
        if customer.quota_starts_per_s is None:
            return None
        usage = self._usage(customer, entries, now_s)
        self._advance(usage, now_s)
        usage.recent_tasks += tasks
        rate_per_s = usage.rate_per_s(now_s)
        burst = rate_per_s * customer.burst_s
        # A job larger than a whole burst is admitted when the bucket is full.
        needed = min(tasks, burst)
        if usage.tokens < needed:
            return max(_MIN_RETRY_AFTER_S, (needed - usage.tokens) / rate_per_s)
        usage.tokens -= tasks
        return None

    def demands_near_quota(self, now_s: float) -> dict[str, float]:
        """Returns the demand of customers near their quota, in tasks per second."""
        demands = {}
        for name, usage in self._usages.items():
            self._advance(usage, now_s)
            demand_per_s = usage.demand_per_s()
            if demand_per_s > _NEAR_QUOTA_SHARE * usage.rate_per_s(now_s):
                demands[name] = demand_per_s
        return demands

    def record_total_demand(
        self, customer: str, worker: str, total_demand_per_s: float, now_s: float
    ) -> None:
        """Records the demand over all entries that an agent reported."""
        usage = self._usages.get(customer)
        if usage is not None:
            usage.total_demands[worker] = (total_demand_per_s, now_s)

    def _usage(self, customer: Customer, entries: int, now_s: float) -> _Usage:
        usage = self._usages.get(customer.name)
        if usage is None:
            tokens = customer.quota_starts_per_s * customer.burst_s / entries
            usage = _Usage(customer, entries, tokens, now_s)
            self._usages[customer.name] = usage
        usage.customer = customer
        usage.entries = max(1, entries)
        return usage

    def _advance(self, usage: _Usage, now_s: float) -> None:
        """Decays the demand and refills the tokens up to now."""
        elapsed_s = now_s - usage.updated_s
        usage.updated_s = now_s
        usage.recent_tasks *= 0.5 ** (elapsed_s / _DEMAND_HALF_LIFE_S)
        rate_per_s = usage.rate_per_s(now_s)
        burst = rate_per_s * usage.customer.burst_s
        usage.tokens = min(burst, usage.tokens + elapsed_s * rate_per_s)
