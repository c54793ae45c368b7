"""Chooses the worker for the next task."""

import random
import statistics
from typing import Protocol

from gooseberrylink.config import EntrySettings
from gooseberrylink.peers.agent_peer import AgentPeer
from gooseberrylink.peers.messages import Host
from gooseberrylink.runtimes import Runner, RuntimeModel
from gooseberrylink.types import Task, TaskSpec
from gooseberrylink.wait_limits import on_time_wait_limit_s

_SAME_DATA_CENTRE_FACTOR = 1.05
_FRESH_LOAD_S = 0.25
_STALE_LOAD_FACTOR = 0.9
# Sound workers run at the pace of their kind of host, or differ by 2.4 times.
_MIN_SPEED_SHARE = 0.35
_MIN_COMPARED_WORKERS = 3
# A late job begins only where this entry has so many times the room that it uses.
_SPARE_CAPACITY_FACTOR = 2.0


def remote_factor(spec: TaskSpec, host: Host, settings: EntrySettings) -> float:
    """Returns how many times as long a task takes there for being off its data."""
    is_remote = spec.data_rack and host.rack and spec.data_rack != host.rack
    return settings.remote_factor if is_remote else 1.0


class RoutingPolicy(Protocol):
    """Chooses workers for tasks.

    Attributes:
        is_holding: Whether tasks are sent to wait at workers without a free
            slot. If not, they wait at the entry.
        orders_queue: Whether the entry's queue is ordered by job size and
            customer, rather than by arrival.
    """

    holds_at_agents: bool
    orders_queue: bool

    def choose(
        self, task: Task, peers: list[AgentPeer], now_s: float
    ) -> AgentPeer | None:
        """Returns the worker for a task; None if it has to wait."""

    def min_slowdown(self, peers: list[AgentPeer]) -> float:
        """Returns how many times as long as expected tasks take at best."""


class _UniformSpeed:
    """Takes all workers for equally fast."""

    def min_slowdown(self, peers: list[AgentPeer]) -> float:
        """See RoutingPolicy."""
        return 1.0


class RandomPolicy(_UniformSpeed):
    """Baseline: any worker, whatever its load."""

    holds_at_agents = True
    orders_queue = False

    def __init__(self, rng: random.Random):
        self._random = rng

    def choose(
        self, task: Task, peers: list[AgentPeer], now_s: float
    ) -> AgentPeer | None:
        """See RoutingPolicy."""
        eligible = [peer for peer in peers if peer.can_serve]
        return self._random.choice(eligible) if eligible else None


class LeastInFlightPolicy(_UniformSpeed):
    """Baseline: the worker with the fewest tasks of this entry for its slots."""

    holds_at_agents = True
    orders_queue = False

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
    """Keeps tasks at the entry until a slot is free where their job is prompt.

    Among such workers the fastest goes first, while there is enough room. At the
    crest it is the slowest one, so that the fast ones are left to tasks that would
    be late elsewhere. A task that can be prompt nowhere any more may go to any
    worker that has room to spare.
    """

    holds_at_agents = False
    orders_queue = True

    def __init__(self, runtimes: RuntimeModel, settings: EntrySettings):
        self._runtimes = runtimes
        self._settings = settings

    def choose(
        self, task: Task, peers: list[AgentPeer], now_s: float
    ) -> AgentPeer | None:
        """See RoutingPolicy."""
        if task.avoided_workers:
            # It would probably fail or stand still there again.
            others = [peer for peer in peers if peer.worker not in task.avoided_workers]
            peers = others if any(peer.can_serve for peer in others) else peers
        peers = self._exclude_slow_workers(peers, now_s)
        eligible = [peer for peer in peers if peer.has_capacity_for(task)]
        if not eligible:
            return None
        if task.job.request.latency_target is None:
            return max(eligible, key=lambda peer: self._score(peer, task, now_s))
        on_time = [peer for peer in eligible if self._is_on_time(peer, task, now_s)]
        if on_time:
            is_saturated = self._is_saturated(peers)
            return max(
                on_time,
                key=lambda peer: self._on_time_score(peer, task, now_s, is_saturated),
            )
        if self._may_be_on_time(peers, task, now_s):
            return None
        if task.job.is_unassigned():
            eligible = [peer for peer in eligible if _has_spare_capacity(peer)]
        return max(
            eligible, key=lambda peer: self._score(peer, task, now_s), default=None
        )

    def min_slowdown(self, peers: list[AgentPeer]) -> float:
        """See RoutingPolicy."""
        slowdowns = [self._worker_slowdown(peer) for peer in peers if peer.can_serve]
        return min(slowdowns, default=1.0)

    def _worker_slowdown(self, peer: AgentPeer) -> float:
        return self._runtimes.slowdown(Runner(peer.worker, peer.host.hardware))

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
        """Says whether a task may still be prompt at a worker that is full now."""
        return any(
            peer.can_serve and self._is_on_time(peer, task, now_s) for peer in peers
        )

    def _is_saturated(self, peers: list[AgentPeer]) -> bool:
        """Says whether this entry uses more room than it believes to be free."""
        in_use = sum(peer.units_in_flight for peer in peers)
        return in_use > sum(max(0, peer.free_units) for peer in peers)

    def _on_time_score(
        self, peer: AgentPeer, task: Task, now_s: float, is_saturated: bool
    ) -> tuple[float, float]:
        score = self._score(peer, task, now_s)
        if not is_saturated:
            return 0.0, score
        # Near its data it takes the least of a worker's time.
        distance_factor = remote_factor(task.spec, peer.host, self._settings)
        return self._worker_slowdown(peer) / distance_factor**2, score

    def _exclude_slow_workers(
        self, peers: list[AgentPeer], now_s: float
    ) -> list[AgentPeer]:
        """Leaves out workers that are slower than their kind.

        Answers workers that turn slow while others have room: whatever is
        placed there comes late.
        """
        speeds = {
            peer.worker: speed * self._worker_slowdown(peer)
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
            now_s - peer.last_frame_s > _FRESH_LOAD_S
            and free_units < 2 * task.spec.resources.units
        ):
            # An old word of room for a single task is probably out of date.
            score *= _STALE_LOAD_FACTOR
        return score


def _has_spare_capacity(peer: AgentPeer) -> bool:
    return peer.free_units >= _SPARE_CAPACITY_FACTOR * peer.units_in_flight


def make_policy(
    settings: EntrySettings, rng: random.Random, runtimes: RuntimeModel
) -> RoutingPolicy:
    """Returns the policy that the settings name."""
    if settings.policy == "random":
        return RandomPolicy(rng)
    if settings.policy == "least-in-flight":
        return LeastInFlightPolicy(rng)
    return LateBindingPolicy(runtimes, settings)
