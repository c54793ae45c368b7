"""Decides about a job on a copy of an entry's state, to explain the decision.

Load pattern: any at which an operator asks why a job is refused, waits, or goes where
it goes. The copies are made for each question, so that an entry under load pays for
them only then.
"""

import dataclasses

from gooseberrylink.admission import Admission
from gooseberrylink.peers.agent_peer import AgentPeer
from gooseberrylink.routing import RoutingPolicy
from gooseberrylink.service_pool import ServicePool
from gooseberrylink.types import Job, JobRequest, Task


@dataclasses.dataclass(slots=True, frozen=True)
class ConsideredWorker:
    """A worker as it is when the decision about a task is made.

    Attributes:
        state: "free", or why it can't take the task now: "disconnected", "evacuated",
            "no_backend", "too_large", "quarantined" or "full".
        free_units: Units (see Resources) that this entry may use there.
    """

    peer: AgentPeer
    state: str
    free_units: int


@dataclasses.dataclass(slots=True, frozen=True)
class Placement:
    """What would happen to a task.

    Attributes:
        worker: Worker that it would be assigned to; "" if it would wait.
    """

    task: Task
    worker: str
    considered: list[ConsideredWorker]


@dataclasses.dataclass(slots=True, frozen=True)
class Trial:
    """What would happen to an admitted job, in the order in which tasks are placed.

    Attributes:
        expected_wait_s: Wait that is expected for a task that would wait.
        wait_limit_s: Wait after which the job would be given up.
    """

    job: Job
    placements: list[Placement]
    expected_wait_s: float
    wait_limit_s: float


def try_out(
    request: JobRequest,
    pool: ServicePool,
    admission: Admission,
    policy: RoutingPolicy,
    now_s: float,
) -> Trial:
    """Creates and places the tasks of a job that passed the check of admission.

    Args:
        request: The job.
        pool: A copy of the pool of its service, which is changed.
        admission: The admission control of the entry.
        policy: Chooses the workers. One that draws lots draws them from its own
            numbers.
        now_s: Time on the entry's clock.
    """
    job = Job("", request, now_s, now_s + request.deadline_s)
    admission.create_tasks(job, pool)
    sort_key = job.tasks[0].sort_key
    expected_wait_s = pool.min_slowdown * pool.expected_wait_s(sort_key)
    placements = []
    # The dispatcher places the longest tasks first, too.
    for task in sorted(job.tasks, key=lambda task: -task.expected_s):
        considered = [
            ConsideredWorker(peer, _state(peer, task), max(0, peer.free_units))
            for peer in pool.peers
        ]
        chosen = policy.choose(task, pool.peers, now_s)
        placements.append(Placement(task, chosen.worker if chosen else "", considered))
        if chosen is not None:
            chosen.reserve(task)
    wait_limit_s = min(job.start_by_s, job.expires_s) - now_s
    return Trial(job, placements, expected_wait_s, wait_limit_s)


def _state(peer: AgentPeer, task: Task) -> str:
    if not peer.is_connected:
        return "disconnected"
    if peer.is_evacuated:
        return "evacuated"
    if not peer.slots:
        return "no_backend"
    if not peer.capacity.covers(task.spec.resources):
        return "too_large"
    if peer.has_free_resources_for(task):
        return "free"
    return "quarantined" if peer.is_quarantined else "full"
