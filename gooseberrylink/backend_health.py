"""Quarantines a backend server if failures are its fault, not a customer's."""

import dataclasses
import math

_MAX_FAILURES_KEPT = 32


@dataclasses.dataclass(slots=True, frozen=True)
class QuarantinePolicy:
    """Conditions under which a backend server is quarantined and probed.

    Attributes:
        consecutive_failed_jobs: Failed jobs, without a success in between, that
            begin a quarantine.
        min_customers: How many customers these jobs must come from, unless all of
            the customers are reliable. With fewer, the failures are attributed to
            the customer and not to the backend server.
        probe_delay_s: Time without tasks before the first probe, in seconds. It
            doubles with each failed probe.
        max_probe_delay_s: Upper bound of that time.
        slow_start_tasks: How many tasks may run at the same time at a new backend
            server, until its first success or until slow_start_s after its first
            task started.
        slow_start_s: Duration of the slow start, in seconds.
        successes_to_clear: Successful probes that end the quarantine.
        max_quarantined_share: Share of a service's workers in quarantine at which
            no further worker is quarantined.
        cautious_jobs: Consecutive failed jobs after which tasks run one at a time.
    """

    consecutive_failed_jobs: int = 3
    min_customers: int = 2
    probe_delay_s: float = 5.0
    max_probe_delay_s: float = 60.0
    slow_start_tasks: int = 2
    slow_start_s: float = 0.5
    successes_to_clear: int = 2
    max_quarantined_share: float = 0.34
    cautious_jobs: int = 1


@dataclasses.dataclass(slots=True, frozen=True)
class TaskFailure:
    """A failed task.

    Attributes:
        is_customer_reliable: Whether most of the customer's jobs succeed at other
            backend servers.
    """

    customer: str
    job_id: str
    is_customer_reliable: bool = False


class BackendHealth:
    """Circuit breaker for one backend server, based on the tasks of all entries.

    The agent sees the outcomes of all entries' tasks. So a faulty backend server
    fails a few tasks in total, instead of a few tasks of each entry. After a failure,
    tasks run one at a time until one succeeds, because a backend server that fails
    fast looks idle and would attract more tasks.

    Attributes:
        is_quarantined: Whether the backend server gets only single probes.
        quarantined_share: Share of the service's workers in quarantine.
    """

    def __init__(self, policy: QuarantinePolicy):
        self._policy = policy
        self._failures: list[TaskFailure] = []
        self._probe_delay_s = policy.probe_delay_s
        self._next_probe_s = 0.0
        self._probe_successes = 0
        self._last_failure_s = -math.inf
        self._has_succeeded = False
        self._first_start_s = math.inf
        self._slow_start_tasks = policy.slow_start_tasks
        self.is_quarantined = False
        self.quarantined_share = 0.0

    def task_limit(self, slots: int, now_s: float) -> int:
        """Returns how many tasks may run at the same time now.

        Args:
            slots: Units (see Resources) of the backend server; the return value if
                no lower limit applies.
            now_s: Present time on the agent's clock.
        """
        if self.is_quarantined:
            return 1 if now_s >= self._next_probe_s else 0
        jobs = {failure.job_id for failure in self._failures}
        if len(jobs) >= self._policy.cautious_jobs:
            return 1
        if (
            self._has_succeeded
            or now_s - self._first_start_s > self._policy.slow_start_s
        ):
            return slots
        return min(slots, self._slow_start_tasks)

    def record_start(self, now_s: float) -> None:
        """Records that a task started."""
        self._first_start_s = min(self._first_start_s, now_s)

    def record_success(self, started_s: float) -> None:
        """Records that a task of any customer succeeded.

        Args:
            started_s: When the task started. A success is ignored if the task
                started before the last failure, because it does not show the
                present state of the backend server.
        """
        if started_s < self._last_failure_s:
            return
        self._failures.clear()
        self._has_succeeded = True
        if not self.is_quarantined:
            return
        self._probe_successes += 1
        if self._probe_successes >= self._policy.successes_to_clear:
            self._end_quarantine()

    def record_failure(self, failure: TaskFailure, now_s: float) -> bool:
        """Records a failure.

        Returns:
            Whether it began a quarantine.
        """
        self._last_failure_s = now_s
        if self.is_quarantined:
            self._schedule_probe(now_s)
            return False
        if len(self._failures) < _MAX_FAILURES_KEPT:
            self._failures.append(failure)
        begins_quarantine = (
            self._is_backend_at_fault()
            and self.quarantined_share < self._policy.max_quarantined_share
        )
        if begins_quarantine:
            self.is_quarantined = True
            self._schedule_probe(now_s)
        return begins_quarantine

    def _is_backend_at_fault(self) -> bool:
        # Failed jobs are counted instead of failed tasks: if a job itself is
        # faulty, all of its tasks fail, and it may have many.
        jobs = {failure.job_id for failure in self._failures}
        if len(jobs) < self._policy.consecutive_failed_jobs:
            return False
        customers = {failure.customer for failure in self._failures}
        if len(customers) >= self._policy.min_customers:
            return True
        return all(failure.is_customer_reliable for failure in self._failures)

    def reset(self) -> None:
        """Clears all recorded outcomes, as for a new backend server."""
        self.begin_slow_start(self._policy.slow_start_tasks)
        self._end_quarantine()

    def begin_slow_start(self, tasks: int) -> None:
        """Begins a slow start; a quarantine and recorded failures stay.

        Args:
            tasks: How many tasks may run at the same time during it, at most
                slow_start_tasks.
        """
        self._has_succeeded = False
        self._first_start_s = math.inf
        self._slow_start_tasks = min(tasks, self._policy.slow_start_tasks)

    def _end_quarantine(self) -> None:
        self.is_quarantined = False
        self._failures.clear()
        self._last_failure_s = -math.inf
        self._probe_delay_s = self._policy.probe_delay_s
        self._probe_successes = 0

    def _schedule_probe(self, now_s: float) -> None:
        self._probe_successes = 0
        self._next_probe_s = now_s + self._probe_delay_s
        self._probe_delay_s = min(
            self._probe_delay_s * 2, self._policy.max_probe_delay_s
        )
