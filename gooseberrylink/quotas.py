"""Enforces the customers' quotas, which are divided among all entries."""

import dataclasses
import math

from gooseberrylink.operators.declarations import Customer

_DEMAND_HALF_LIFE_S = 1.0
_TOTAL_DEMAND_VALID_S = 3.0
# An entry without recent demand keeps this fraction of an even share for its next jobs.
_MIN_FRACTION_OF_EVEN_SHARE = 0.1
# Demand above this share of the entry's quota is reported to agents.
_NEAR_QUOTA_SHARE = 0.5
_MIN_RETRY_AFTER_S = 0.05


@dataclasses.dataclass(slots=True)
class _QuotaState:
    """Demand and token bucket of one customer at this entry.

    Attributes:
        customer: The customer, with its quota.
        entry_count: Number of known entries, this one included.
        tokens: Task starts that may be admitted at once.
        updated_s: Time of the last update.
        recent_tasks: Requested tasks, decayed exponentially.
        total_demands: Demand over all entries, by the worker whose agent reported
            it: tasks per second and the time of the report.
    """

    customer: Customer
    entry_count: int
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
            if now_s - at_s < _TOTAL_DEMAND_VALID_S
        ]
        return max(fresh, default=0.0)

    def share(self, now_s: float) -> float:
        """Returns this entry's share of the demand; an even share while unknown."""
        total_demand_per_s = self.total_demand_per_s(now_s)
        if total_demand_per_s <= 0:
            return 1.0 / self.entry_count
        min_share = _MIN_FRACTION_OF_EVEN_SHARE / self.entry_count
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
        self._states: dict[str, _QuotaState] = {}

    def try_admit(
        self, customer: Customer, task_count: int, entry_count: int, now_s: float
    ) -> float | None:
        """Takes the tokens for a job if it is within quota.

        Args:
            customer: The customer, with its quota.
            task_count: Number of tasks of the job.
            entry_count: Number of known entries, this one included.
            now_s: Time on the entry's clock.

        Returns:
            None if the job is within quota, else the seconds until it may be.
        """
        if customer.quota_starts_per_s is None:
            return None
        state = self._state(customer, entry_count, now_s)
        self._advance(state, now_s)
        state.recent_tasks += task_count
        rate_per_s = state.rate_per_s(now_s)
        burst = rate_per_s * customer.burst_s
        # A job larger than a whole burst is admitted when the bucket is full.
        needed = min(task_count, burst)
        if state.tokens < needed:
            return max(_MIN_RETRY_AFTER_S, (needed - state.tokens) / rate_per_s)
        state.tokens -= task_count
        return None

    def demands_near_quota(self, now_s: float) -> dict[str, float]:
        """Returns the demand of customers near their quota, in tasks per second."""
        demands = {}
        for name, state in self._states.items():
            self._advance(state, now_s)
            demand_per_s = state.demand_per_s()
            if demand_per_s > _NEAR_QUOTA_SHARE * state.rate_per_s(now_s):
                demands[name] = demand_per_s
        return demands

    def record_total_demand(
        self, customer: str, worker: str, total_demand_per_s: float, now_s: float
    ) -> None:
        """Records the demand over all entries that an agent reported."""
        state = self._states.get(customer)
        if state is not None:
            state.total_demands[worker] = (total_demand_per_s, now_s)

    def _state(self, customer: Customer, entry_count: int, now_s: float) -> _QuotaState:
        state = self._states.get(customer.name)
        if state is None:
            tokens = customer.quota_starts_per_s * customer.burst_s / entry_count
            state = _QuotaState(customer, entry_count, tokens, now_s)
            self._states[customer.name] = state
        state.customer = customer
        state.entry_count = max(1, entry_count)
        return state

    def _advance(self, state: _QuotaState, now_s: float) -> None:
        """Decays the demand and refills the tokens up to now."""
        elapsed_s = now_s - state.updated_s
        state.updated_s = now_s
        state.recent_tasks *= 0.5 ** (elapsed_s / _DEMAND_HALF_LIFE_S)
        rate_per_s = state.rate_per_s(now_s)
        burst = rate_per_s * state.customer.burst_s
        state.tokens = min(burst, state.tokens + elapsed_s * rate_per_s)
