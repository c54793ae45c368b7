"""Quarantines a backend server that fails the tasks of every customer."""

import dataclasses

_MAX_REMEMBERED = 32


@dataclasses.dataclass(slots=True, frozen=True)
class FailurePolicy:
    """When a run of failures is blamed on the backend server.

    Attributes:
        failures_in_row: Failures without a success in between.
        distinct_customers: Customers that these failures hit. With fewer, the
            job is blamed and not the backend server.
        probation_s: First time without any task; doubles with each failed probe.
        probation_max_s: Upper bound of that time.
        successes_to_clear: Successful probes that end the quarantine.
        max_quarantined_share: Share of a service's workers above which no
            further one goes into quarantine.
    """

    failures_in_row: int = 3
    distinct_customers: int = 2
    probation_s: float = 5.0
    probation_max_s: float = 60.0
    successes_to_clear: int = 2
    max_quarantined_share: float = 0.34


class FailureWatch:
    """Watches the outcomes of all entries' tasks at one backend server.

    The agent sees all of them, so a bad backend server costs its few tasks
    once and not once for each entry. After a first failure tasks run one at a
    time until one succeeds, because a server that fails fast looks idle.
    """

    def __init__(self, policy: FailurePolicy):
        self._policy = policy
        self._failed_customers: list[str] = []
        self._probation_s = policy.probation_s
        self._blocked_until_s = 0.0
        self._probe_successes = 0
        self.is_quarantined = False
        self.quarantined_share = 0.0

    def slot_limit(self, slots: int, now_s: float) -> int:
        """Returns how many tasks may run at once just now."""
        if self.is_quarantined:
            return 1 if now_s >= self._blocked_until_s else 0
        if self._failed_customers:
            return 1
        return slots

    def blocked_until_s(self) -> float:
        """When the next probe may start; 0 outside quarantine."""
        return self._blocked_until_s if self.is_quarantined else 0.0

    def succeeded(self, now_s: float) -> None:
        """Notes a success of any customer's task."""
        self._failed_customers.clear()
        if not self.is_quarantined:
            return
        self._probe_successes += 1
        if self._probe_successes >= self._policy.successes_to_clear:
            self.reset()

    def failed(self, customer: str, now_s: float) -> bool:
        """Notes a failure; returns whether a quarantine began with it."""
        if self.is_quarantined:
            self._block(now_s)
            return False
        if len(self._failed_customers) < _MAX_REMEMBERED:
            self._failed_customers.append(customer)
        policy = self._policy
        is_blamed = (
            len(self._failed_customers) >= policy.failures_in_row
            and len(set(self._failed_customers)) >= policy.distinct_customers
            and self.quarantined_share < policy.max_quarantined_share
        )
        if is_blamed:
            self.is_quarantined = True
            self._block(now_s)
        return is_blamed

    def reset(self) -> None:
        """Forgets all evidence, as for a new backend server."""
        self.is_quarantined = False
        self._failed_customers.clear()
        self._probation_s = self._policy.probation_s
        self._probe_successes = 0

    def _block(self, now_s: float) -> None:
        self._probe_successes = 0
        self._blocked_until_s = now_s + self._probation_s
        self._probation_s = min(self._probation_s * 2, self._policy.probation_max_s)
