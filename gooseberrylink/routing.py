"""Chooses the worker for the next task."""

import random
import statistics
from typing import Protocol

from gooseberrylink.peers.agent_peer import AgentPeer
from gooseberrylink.runtimes import RuntimeModel
from gooseberrylink.types import Task

_LOCAL_BONUS = 1.05
_FRESH_S = 0.25
_STALE_FACTOR = 0.9
# Sound workers of one service differ by 2.4 times.
_SLOW_SHARE = 0.35
_FEWEST_COMPARED = 3


class RoutingPolicy(Protocol):
    """Chooses workers for tasks.

    Attributes:
        is_holding: Whether tasks are sent to wait at workers without a free
            slot. If not, they wait at the entry.
        orders_queue: Whether the entry's queue is ordered by job size and
            customer, rather than by arrival.
    """

    is_holding: bool
    orders_queue: bool

    def choose(
        self, task: Task, peers: list[AgentPeer], now_s: float
    ) -> AgentPeer | None:
        """Returns the worker for a task; None if it has to wait."""


class RandomPolicy:
    """Baseline: any worker, whatever its load."""

    is_holding = True
    orders_queue = False

    def __init__(self, rng: random.Random):
        self._random = rng

    def choose(
        self, task: Task, peers: list[AgentPeer], now_s: float
    ) -> AgentPeer | None:
        """See RoutingPolicy."""
        able = [peer for peer in peers if peer.can_serve]
        return self._random.choice(able) if able else None


class LeastInFlightPolicy:
    """Baseline: the worker with the fewest tasks of this entry for its slots."""

    is_holding = True
    orders_queue = False

    def __init__(self, rng: random.Random):
        self._random = rng

    def choose(
        self, task: Task, peers: list[AgentPeer], now_s: float
    ) -> AgentPeer | None:
        """See RoutingPolicy."""
        able = [peer for peer in peers if peer.can_serve]
        if not able:
            return None
        return min(able, key=self._load)

    def _load(self, peer: AgentPeer) -> tuple[float, float]:
        return len(peer.flights) / peer.slots, self._random.random()


class LateBindingPolicy:
    """Keeps tasks at the entry until a slot is free; fastest slot first."""

    is_holding = False
    orders_queue = True

    def __init__(self, runtimes: RuntimeModel, data_centre: str):
        self._runtimes = runtimes
        self._data_centre = data_centre

    def choose(
        self, task: Task, peers: list[AgentPeer], now_s: float
    ) -> AgentPeer | None:
        """See RoutingPolicy."""
        if task.avoided:
            # It would probably fail or stand still there again.
            others = [peer for peer in peers if peer.worker not in task.avoided]
            peers = others if any(peer.can_serve for peer in others) else peers
        best, best_score = None, 0.0
        slowest = self._slowest_of_use(peers, now_s)
        for peer in peers:
            if not peer.has_room(task):
                continue
            speed = peer.speed_now(now_s)
            if speed is not None and speed < slowest:
                continue
            score = self._score(peer, task, now_s)
            if score > best_score:
                best, best_score = peer, score
        return best

    def _slowest_of_use(self, peers: list[AgentPeer], now_s: float) -> float:
        """Returns the speed below which a worker is left alone.

        Answers workers that turn slow while others have room: whatever is
        placed there comes late.
        """
        speeds = [peer.speed_now(now_s) for peer in peers if peer.can_serve]
        known = [speed for speed in speeds if speed is not None]
        if len(known) < _FEWEST_COMPARED:
            return 0.0
        return _SLOW_SHARE * statistics.median(known)

    def _score(self, peer: AgentPeer, task: Task, now_s: float) -> float:
        score = self._runtimes.speed(peer.worker)
        if peer.data_centre == self._data_centre:
            score *= _LOCAL_BONUS
        free = peer.free_long if task.is_long else peer.free
        if now_s - peer.heard_s > _FRESH_S and free < 2 * task.spec.room.units:
            # An old word of room for a single task is probably out of date.
            score *= _STALE_FACTOR
        return score


def make_policy(
    name: str, rng: random.Random, runtimes: RuntimeModel, data_centre: str
) -> RoutingPolicy:
    """Returns the policy that the settings name."""
    if name == "random":
        return RandomPolicy(rng)
    if name == "least-in-flight":
        return LeastInFlightPolicy(rng)
    return LateBindingPolicy(runtimes, data_centre)
