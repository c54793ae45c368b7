"""Chooses which queued task is assigned next, and where.

Load pattern: more tasks wait than workers have room for. Some fit nowhere, some would
be late at each worker that has room, and some jobs have waited too long.
"""

import dataclasses
from collections.abc import Iterator

from gooseberrylink.peers.agent_peer import AgentPeer
from gooseberrylink.resources import Resources
from gooseberrylink.routing import RoutingPolicy
from gooseberrylink.service_pool import ServicePool
from gooseberrylink.types import Job, Task, TaskState

# A task that would miss its deadline even if it ran that many times as fast as
# expected is not assigned.
_MAX_SPEEDUP = 2.0
# Tasks at the head of the queue that are tried, so that one that fits nowhere does
# not block smaller ones behind it.
_SCAN_DEPTH = 16


@dataclasses.dataclass(slots=True, frozen=True)
class Decision:
    """What to do with a queued task.

    Attributes:
        peer: Worker to assign the task to; None if its job is to be given up.
    """

    task: Task
    peer: AgentPeer | None


class TaskPicker:
    """Picks tasks of a service's queue, without taking them from it."""

    def __init__(self, policy: RoutingPolicy):
        self._policy = policy

    def pick_next(self, pool: ServicePool, now_s: float) -> Decision | None:
        """Returns what to do next; None if all tasks have to wait."""
        # What the short (False) and long (True) tasks need that no worker could take.
        # Tasks that need at least as much are not tried.
        unplaced: dict[bool, list[Resources]] = {False: [], True: []}
        # A job with a latency target may also wait for a worker where it is on time,
        # which says nothing about others: their data is elsewhere, or they have longer.
        waiting_jobs: set[Job] = set()
        for task in pool.queue.candidates(_SCAN_DEPTH, now_s):
            needs = task.spec.resources
            may_fit = task.job not in waiting_jobs and not any(
                needs.covers(other) for other in unplaced[task.is_long]
            )
            if may_fit and self._can_end_in_time(task, now_s):
                peer = self._policy.choose(task, pool.peers, now_s)
                if peer is not None:
                    return Decision(task, peer)
                if task.is_crash_suspect:
                    pass
                elif task.job.request.latency_target is not None:
                    waiting_jobs.add(task.job)
                else:
                    unplaced[task.is_long].append(needs)
            if self._is_too_late_to_start(task, now_s):
                return Decision(task, None)
        return None

    def pick_of_new_job(
        self, job: Job, pool: ServicePool, now_s: float
    ) -> Iterator[Decision]:
        """Yields where the tasks of a new job go, until the rest has to wait.

        The caller assigns each task before it asks for the next. At peak load the fast
        hosts are full, and tasks that wait for them must not keep slow hosts idle where
        the new job would be on time.
        """
        if job.request.latency_target is None:
            return
        for task in job.tasks:
            if task.state is TaskState.QUEUED:
                peer = self._policy.choose(task, pool.peers, now_s)
                if peer is not None:
                    yield Decision(task, peer)
                elif not task.is_crash_suspect:
                    return

    def _can_end_in_time(self, task: Task, now_s: float) -> bool:
        """Returns whether a task could still end before its job's deadline.

        Always True once a task of the job has been assigned.
        """
        if not self._policy.is_deadline_aware or not task.job.is_unassigned():
            return True
        return now_s + task.expected_s / _MAX_SPEEDUP < task.job.expires_s

    def _is_too_late_to_start(self, task: Task, now_s: float) -> bool:
        """Returns whether a task's job has waited too long to be started.

        Always False once a task of the job has been assigned.
        """
        if not self._policy.is_deadline_aware or not task.job.is_unassigned():
            return False
        can_wait = now_s < task.job.start_by_s
        return not (can_wait and self._can_end_in_time(task, now_s))
