"""Chooses among the workers at which a task would end in time.

Load pattern: workers differ in speed, tasks run longer away from the rack of their
data, and each agent divides its idle units among several entries. An entry's credits
then seldom lie where its next task would be on time, although the worker is idle:
another entry holds the credits and doesn't need them at the moment.

Agents start tasks without a credit if there is room. Placement therefore counts all
the room that an agent reported, less than that the older the report is.
"""

import dataclasses
from collections.abc import Sequence
from typing import Generic, Protocol, TypeVar

from gooseberrylink.resources import Resources
from gooseberrylink.types import Task

# Room for one more task is left for each such time since a report, because other
# entries see the same room.
_TAKEN_BY_OTHERS_S = 0.2
# Older reports show no room without a credit. Idle links have a heartbeat at least
# that often.
_MAX_REPORT_AGE_S = 0.6
# Below this share of idle units, fast workers are left to tasks that would be late on
# slow ones, and room for a single task to the entry that has the credits. Expected
# times are off by a factor of 1.45, so a task that is just on time on a slow worker
# often is not, and goes there only if the fast ones are nearly full.
_SCARCE_IDLE_SHARE = 0.15
# A start without a credit may be refused, which costs two messages.
_UNCREDITED_FACTOR = 0.9
# Results from other data centres cost more, and take longer.
_NEAR_FACTOR = 1.05


class ReportedRoom(Protocol):
    """What placement reads of a worker; see AgentPeer.

    Attributes:
        slots: Units of the backend server.
        idle_units: Estimate of the units that no task uses, of whatever entry.
        last_frame_s: Time of the agent's last frame on the entry's clock.
        free_memory_mb: Memory that no task uses, as last reported.
        free_gpus: Accelerators that no task uses, as last reported.
    """

    slots: int
    idle_units: int
    last_frame_s: float
    free_memory_mb: int
    free_gpus: int

    def has_free_resources_for(self, task: Task) -> bool:
        """Returns whether the entry has credits for a task."""


_Worker = TypeVar("_Worker", bound=ReportedRoom)


@dataclasses.dataclass(slots=True, frozen=True)
class Place(Generic[_Worker]):
    """A worker with room for a task, at which it would end in time.

    Attributes:
        has_credits: Whether the entry has credits for the task there.
        is_near: Whether the worker is in the entry's data centre.
        slowdown: Run time divided by expected run time on this worker.
        remote_factor: Factor by which the task runs longer away from its data.
    """

    worker: _Worker
    has_credits: bool
    is_near: bool
    slowdown: float
    remote_factor: float


def has_uncredited_room(
    worker: ReportedRoom, task: Task, idle_share: float, now_s: float
) -> bool:
    """Returns whether a worker probably has room for a task beyond the credits."""
    age_s = now_s - worker.last_frame_s
    if task.is_long or task.is_crash_suspect or age_s > _MAX_REPORT_AGE_S:
        return False
    needs = task.spec.resources
    wanted_tasks = 1.0 if idle_share >= _SCARCE_IDLE_SHARE else 2.0
    wanted_tasks += age_s / _TAKEN_BY_OTHERS_S
    room = Resources(worker.idle_units, worker.free_memory_mb, worker.free_gpus)
    return room.covers(needs) and room.units >= wanted_tasks * needs.units


def compute_idle_share(workers: Sequence[ReportedRoom]) -> float:
    """Returns the share of all units that is idle, as far as reported."""
    idle_units = sum(max(0, worker.idle_units) for worker in workers)
    return idle_units / max(1, sum(worker.slots for worker in workers))


def choose_place(places: Sequence[Place[_Worker]], idle_share: float) -> _Worker | None:
    """Chooses where a task starts at once; None if there is no place.

    The place at which the task ends first is chosen. If room is scarce, the slowest
    worker near the data is, because the task is on time there as well.
    """

    def score(place: Place[_Worker]) -> tuple[float, int]:
        factor = 1.0 if place.has_credits else _UNCREDITED_FACTOR
        factor *= _NEAR_FACTOR if place.is_near else 1.0
        if idle_share < _SCARCE_IDLE_SHARE:
            # A run away from the data takes more of a worker's time.
            factor *= place.slowdown / place.remote_factor**2
        else:
            factor /= place.slowdown * place.remote_factor
        return factor, place.worker.idle_units

    best = max(places, key=score, default=None)
    return best.worker if best is not None else None
