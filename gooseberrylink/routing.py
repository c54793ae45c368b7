"""Chooses the worker for a task, by one of several policies."""

import random
import statistics
from typing import Protocol

from gooseberrylink.peers.agent_peer import AgentPeer
from gooseberrylink.peers.messages import Host
from gooseberrylink.run_times import RunTimeModel
from gooseberrylink.scheduling.placement import (
    Place,
    choose_place,
    compute_idle_share,
    has_uncredited_room,
)
from gooseberrylink.settings import EntrySettings
from gooseberrylink.types import Task, TaskSpec
from gooseberrylink.wait_limits import on_time_wait_limit_s

_SAME_DATA_CENTRE_FACTOR = 1.05
_STALE_REPORT_AGE_S = 0.25
_STALE_REPORT_FACTOR = 0.9
# A worker below this share of the median speed gets no tasks. Healthy workers run at
# the speed expected of their kind of host. While that speed is not known yet, they
# differ by a factor of up to 2.4, so none is below this share.
_MIN_SPEED_SHARE = 0.35
_MIN_COMPARED_WORKERS = 3
# A worker gets the first task of a job that will be late only if its free units are at
# least this multiple of its units in flight.
_SPARE_CAPACITY_FACTOR = 2.0
# Share of the workers that may have crashed lately when another task that may crash
# one is assigned; in a small service one worker.
_MAX_CRASHED_SHARE = 0.2


def remote_factor(spec: TaskSpec, host: Host, settings: EntrySettings) -> float:
    """Returns the factor by which a task runs longer on a host away from its data.

    It is 1 on the rack of the data, and where either rack is unknown.
    """
    is_remote = spec.data_rack and host.rack and spec.data_rack != host.rack
    return settings.remote_factor if is_remote else 1.0


class RoutingPolicy(Protocol):
    """Chooses workers for tasks.

    Attributes:
        holds_tasks_at_agents: Whether tasks are assigned to workers without a free
            slot and held there. If not, they are queued at the entry.
        is_deadline_aware: Whether the entry's queue is ordered by the times at which
            jobs are due, with fair queueing among customers, rather than by arrival,
            and jobs that are expected to be late are refused or given up.
    """

    holds_tasks_at_agents: bool
    is_deadline_aware: bool

    def choose(
        self, task: Task, peers: list[AgentPeer], now_s: float
    ) -> AgentPeer | None:
        """Returns the worker for a task; None if it has to wait."""

    def min_slowdown(self, peers: list[AgentPeer]) -> float:
        """Returns the slowdown of the fastest worker that can serve."""


class _UniformSpeed:
    """Assumes that all workers are equally fast."""

    def min_slowdown(self, peers: list[AgentPeer]) -> float:
        """See RoutingPolicy."""
        return 1.0


class RandomPolicy(_UniformSpeed):
    """Assigns each task to a random worker, whatever its load; a baseline."""

    holds_tasks_at_agents = True
    is_deadline_aware = False

    def __init__(self, rng: random.Random):
        self._random = rng

    def choose(
        self, task: Task, peers: list[AgentPeer], now_s: float
    ) -> AgentPeer | None:
        """See RoutingPolicy."""
        eligible = [peer for peer in peers if peer.can_serve]
        return self._random.choice(eligible) if eligible else None


class LeastInFlightPolicy(_UniformSpeed):
    """Assigns each task to the worker with the fewest tasks of this entry per slot.

    A baseline, as RandomPolicy is.
    """

    holds_tasks_at_agents = True
    is_deadline_aware = False

    def __init__(self, rng: random.Random):
        self._random = rng

    def choose(
        self, task: Task, peers: list[AgentPeer], now_s: float
    ) -> AgentPeer | None:
        """See RoutingPolicy."""
        eligible = [peer for peer in peers if peer.can_serve]
        if not eligible:
            return None
        return min(eligible, key=self._load)

    def _load(self, peer: AgentPeer) -> tuple[float, float]:
        return len(peer.tasks_in_flight) / peer.slots, self._random.random()


class LateBindingPolicy:
    """Queues a task at the entry until a worker on which it is on time has capacity.

    Of several such workers the fastest is chosen while there is enough capacity,
    and the slowest at peak load: that leaves the fast ones to tasks that would be
    late elsewhere. A task that can't be on time on any worker any more may go to
    any worker with spare capacity.
    """

    holds_tasks_at_agents = False
    is_deadline_aware = True

    def __init__(self, run_times: RunTimeModel, settings: EntrySettings):
        self._run_times = run_times
        self._settings = settings

    def choose(
        self, task: Task, peers: list[AgentPeer], now_s: float
    ) -> AgentPeer | None:
        """See RoutingPolicy."""
        if task.is_crash_suspect and _is_trial_limit_reached(peers, now_s):
            return None
        if task.avoided_workers:
            # It would probably fail or hang there again.
            others = [peer for peer in peers if peer.worker not in task.avoided_workers]
            peers = others if any(peer.can_serve for peer in others) else peers
        peers = self._exclude_slow_workers(peers, now_s)
        eligible = [peer for peer in peers if peer.has_free_resources_for(task)]
        if task.is_crash_suspect:
            return _choose_for_suspect(eligible, now_s)
        # It would be lost with a worker that crashes.
        eligible = [p for p in eligible if not p.is_on_trial(now_s)] or eligible
        if task.job.request.latency_target is None:
            return max(
                eligible, key=lambda peer: self._score(peer, task, now_s), default=None
            )
        on_time_peer = self._choose_on_time(task, eligible, peers, now_s)
        if on_time_peer is not None:
            return on_time_peer
        if not eligible or self._may_be_on_time(peers, task, now_s):
            return None
        if task.job.is_unassigned():
            eligible = [peer for peer in eligible if _has_spare_capacity(peer)]
        return max(
            eligible, key=lambda peer: self._score(peer, task, now_s), default=None
        )

    def _choose_on_time(
        self,
        task: Task,
        eligible: list[AgentPeer],
        peers: list[AgentPeer],
        now_s: float,
    ) -> AgentPeer | None:
        """Returns the best worker at which a task is on time if it starts at once."""
        on_time = [peer for peer in eligible if self._is_on_time(peer, task, now_s)]
        is_saturated = self._is_saturated(peers)
        return max(
            on_time,
            key=lambda peer: self._on_time_score(peer, task, now_s, is_saturated),
            default=None,
        )

    def min_slowdown(self, peers: list[AgentPeer]) -> float:
        """See RoutingPolicy."""
        slowdowns = [self._worker_slowdown(peer) for peer in peers if peer.can_serve]
        return min(slowdowns, default=1.0)

    def _worker_slowdown(self, peer: AgentPeer) -> float:
        return self._run_times.slowdown(peer.worker_identity)

    def _task_slowdown(self, peer: AgentPeer, task: Task) -> float:
        return self._worker_slowdown(peer) * remote_factor(
            task.spec, peer.host, self._settings
        )

    def _is_on_time(self, peer: AgentPeer, task: Task, now_s: float) -> bool:
        waited_s = now_s - task.job.submitted_s
        latency_target = task.job.request.latency_target
        slowdown = self._task_slowdown(peer, task)
        return waited_s <= on_time_wait_limit_s(
            latency_target, task.job.longest_task_s, slowdown
        )

    def _may_be_on_time(self, peers: list[AgentPeer], task: Task, now_s: float) -> bool:
        """Returns whether a task could still be on time at some worker, full or not."""
        return any(
            peer.can_serve and self._is_on_time(peer, task, now_s) for peer in peers
        )

    def _is_saturated(self, peers: list[AgentPeer]) -> bool:
        """Returns whether this entry uses more units than it believes to be free."""
        in_use = sum(peer.units_in_flight for peer in peers)
        return in_use > sum(max(0, peer.free_units) for peer in peers)

    def _on_time_score(
        self, peer: AgentPeer, task: Task, now_s: float, is_saturated: bool
    ) -> tuple[float, float]:
        score = self._score(peer, task, now_s)
        if not is_saturated:
            return 0.0, score
        # Leaves fast workers free, but prefers hosts near the data, where the task uses
        # the least of a worker's time.
        task_remote_factor = remote_factor(task.spec, peer.host, self._settings)
        return self._worker_slowdown(peer) / task_remote_factor**2, score

    def _exclude_slow_workers(
        self, peers: list[AgentPeer], now_s: float
    ) -> list[AgentPeer]:
        """Returns the workers without those far slower than their kind of host.

        Tasks assigned to a worker that has become slow finish late, while other
        workers have free capacity.
        """
        # Speeds relative to what is expected of the worker's kind of host.
        speeds = {
            peer.worker: speed * self._run_times.type_slowdown(peer.worker_identity)
            for peer in peers
            if peer.can_serve and (speed := peer.recent_speed(now_s)) is not None
        }
        if len(speeds) < _MIN_COMPARED_WORKERS:
            return peers
        min_speed = _MIN_SPEED_SHARE * statistics.median(speeds.values())
        return [
            peer for peer in peers if speeds.get(peer.worker, min_speed) >= min_speed
        ]

    def _score(self, peer: AgentPeer, task: Task, now_s: float) -> float:
        score = 1.0 / self._task_slowdown(peer, task)
        if peer.data_centre == self._settings.data_centre:
            score *= _SAME_DATA_CENTRE_FACTOR
        free_units = peer.free_long_units if task.is_long else peer.free_units
        if (
            now_s - peer.last_frame_s > _STALE_REPORT_AGE_S
            and free_units < 2 * task.spec.resources.units
        ):
            # An old report of free capacity for a single task is probably out of date.
            score *= _STALE_REPORT_FACTOR
        return score


class CompletionTimePolicy(LateBindingPolicy):
    """Like LateBindingPolicy, but also uses room for which the entry has no credits.

    Workers at which a task would be on time are considered if their agent reported
    room, whichever entry has the credits for it.
    """

    def _choose_on_time(
        self,
        task: Task,
        eligible: list[AgentPeer],
        peers: list[AgentPeer],
        now_s: float,
    ) -> AgentPeer | None:
        others = [peer for peer in peers if not peer.is_on_trial(now_s)]
        idle_share = compute_idle_share(peers)
        places = []
        for peer in others or peers:
            has_credits = peer.has_free_resources_for(task)
            has_room = has_credits or has_uncredited_room(peer, task, idle_share, now_s)
            if has_room and self._is_on_time(peer, task, now_s):
                factor = remote_factor(task.spec, peer.host, self._settings)
                slowdown = self._worker_slowdown(peer)
                is_near = peer.data_centre == self._settings.data_centre
                places.append(Place(peer, has_credits, is_near, slowdown, factor))
        return choose_place(places, idle_share)


def _is_trial_limit_reached(peers: list[AgentPeer], now_s: float) -> bool:
    """Returns whether tasks that may crash a worker have to wait.

    Load pattern: tasks that crash workers arrive faster than the workers come back.
    Suspects then wait, so that the workers that are left serve the other tasks.
    """
    crashed_count = sum(peer.may_have_crashed(now_s) for peer in peers)
    return crashed_count > max(1.0, _MAX_CRASHED_SHARE * len(peers))


def _choose_for_suspect(eligible: list[AgentPeer], now_s: float) -> AgentPeer | None:
    """Chooses a worker for a task that may crash it.

    Only one such task is assigned to a worker at a time, so that its next crash shows
    which task causes them. Where the fewest tasks run, the fewest are lost with it.
    """
    candidates = [peer for peer in eligible if not peer.is_on_trial(now_s)]
    return min(candidates, key=lambda peer: peer.slots - peer.free_units, default=None)


def _has_spare_capacity(peer: AgentPeer) -> bool:
    return peer.free_units >= _SPARE_CAPACITY_FACTOR * peer.units_in_flight


def make_policy(
    settings: EntrySettings, rng: random.Random, run_times: RunTimeModel
) -> RoutingPolicy:
    """Returns the policy that the settings select."""
    if settings.policy == "random":
        return RandomPolicy(rng)
    if settings.policy == "least-in-flight":
        return LeastInFlightPolicy(rng)
    if settings.policy == "completion-time":
        return CompletionTimePolicy(run_times, settings)
    return LateBindingPolicy(run_times, settings)
