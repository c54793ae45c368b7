"""Holds what an entry knows of one service: its queue and its agents."""

import math

from gooseberrylink.operators.declarations import Customer
from gooseberrylink.peers.agent_peer import AgentPeer
from gooseberrylink.resources import Resources
from gooseberrylink.task_queue import TaskQueue
from gooseberrylink.types import Job
from gooseberrylink.wait_limits import wait_limit_s

_MAX_DEMAND_TASKS_PER_AGENT = 2
_MAX_DEMAND_TASKS = 16
_UNITS_LEARNING_RATE = 0.05
_DUE_STRETCH = 4.0


class ServicePool:
    """The queue of one service and the agents that serve it.

    Attributes:
        service: Name of the service.
        in_flight: Tasks of this entry that are at agents.
        queueing_since_s: When its queue was first seen to stand; None while it
            is empty.
        task_units: Units of room (see Room) of a usual task.
        pace: How many times as long as expected a task takes at the fastest agents.
    """

    def __init__(self, service: str):
        self.service = service
        self.queue = TaskQueue()
        self.peers: list[AgentPeer] = []
        self.in_flight = 0
        self.queue_nonempty_since_s: float | None = None
        self.task_units = 0.0
        self.slowdown = 1.0
        self._virtual_finish_s: dict[str, float] = {}
        self._weights: dict[str, float] = {}

    def slots(self) -> int:
        """Returns the units of room of all agents that can serve."""
        return sum(peer.slots for peer in self.peers if peer.can_serve)

    def can_serve(self) -> bool:
        """Says whether any agent with a backend server is connected."""
        return any(peer.can_serve for peer in self.peers)

    def can_ever_fit(self, resources: Resources) -> bool:
        """Says whether an empty backend server would have room for a task."""
        return any(
            peer.can_serve and peer.capacity.covers(resources) for peer in self.peers
        )

    def record_task_units(self, units: int) -> None:
        """Learns how much room a usual task takes up."""
        rate = _UNITS_LEARNING_RATE if self.task_units else 1.0
        self.task_units += rate * (units - self.task_units)

    def parallelism(self) -> float:
        """Returns how many tasks of this entry probably run at once under load.

        Other entries use the same slots. What this entry has in flight while
        its queue is not empty is its share, or more is free just now: after an
        outage, or when agents have just come, little is in flight yet.
        """
        all_tasks = self.slots() / max(1.0, self.task_units)
        if len(self.queue):
            return max(
                1.0,
                float(self.in_flight),
                self._usable_units() / max(1.0, self.task_units),
            )
        return max(1.0, all_tasks)

    def _usable_units(self) -> float:
        """Returns the units in use and free that this entry has at its agents."""
        free_units = sum(max(0, peer.free_units) for peer in self.peers)
        return free_units + self.in_flight * self.task_units

    def expected_wait_s(self, sort_key: tuple[int, float]) -> float:
        """Estimates how long a task with this order key would wait."""
        total_s = self.queue.work_s / self.parallelism()
        if total_s < 0.1:
            return total_s
        return self.queue.work_before_s(sort_key) / self.parallelism()

    def sort_key(
        self, job: Job, customer: Customer, work_s: float, longest_task_s: float
    ) -> tuple[int, float]:
        """Returns the place in the queue for all tasks of a job.

        Small jobs go first, as each is due at a multiple of its own length;
        so a long one is overtaken for a bounded time only. A customer that
        asks for more than its weighted share is moved back by what it took.
        A job whose answer is to be prompt is due when its patience ends.
        """
        if job.request.latency_target is not None:
            due_s = job.submitted_s + wait_limit_s(
                job.request, longest_task_s, self.slowdown
            )
            return -customer.precedence, due_s
        length_s = longest_task_s + work_s / self.parallelism()
        virtual_start_s = self._virtual_start_s(customer, job.submitted_s)
        return -customer.precedence, virtual_start_s + _DUE_STRETCH * length_s

    def charge(self, customer: Customer, work_s: float, now_s: float) -> None:
        """Counts admitted work against a customer's weighted share."""
        if not len(self.queue):
            self._virtual_finish_s.clear()
        virtual_start_s = self._virtual_start_s(customer, now_s)
        rate = self.parallelism() * self._weight_share(customer, now_s)
        self._virtual_finish_s[customer.name] = virtual_start_s + work_s / rate
        self._weights[customer.name] = customer.weight

    def quarantined_share(self) -> float:
        """Returns the share of the service's agents that are in quarantine."""
        connected = [peer for peer in self.peers if peer.is_connected]
        if not connected:
            return 0.0
        return sum(peer.is_quarantined for peer in connected) / len(connected)

    def demand_for(self, peer: AgentPeer, now_s: float) -> tuple[int, int]:
        """Returns the units that short and long tasks want, to state to an agent.

        The demand stated to all agents together is no more than the queue, or
        slots would be reserved here that others need.
        """
        demand_elsewhere_units = sum(
            p.unexpired_demand(now_s) for p in self.peers if p is not peer
        )
        if not len(self.queue):
            return 0, 0
        task_units = self.queue.units / len(self.queue)
        unadvertised_tasks = len(self.queue) - math.ceil(
            demand_elsewhere_units / task_units
        )
        unadvertised_tasks = max(
            0, min(_MAX_DEMAND_TASKS_PER_AGENT, unadvertised_tasks)
        )
        short = min(unadvertised_tasks, self.queue.short_count)
        return math.ceil(short * task_units), math.ceil(
            (unadvertised_tasks - short) * task_units
        )

    def peers_to_notify(self, now_s: float) -> list[AgentPeer]:
        """Returns agents that must hear of the queue in a frame of its own.

        Most hear of it on the way. But an entry whose tasks run long exchanges
        few frames, and would wait at full agents while others have slots that
        it has not heard of. The agents with the oldest news are asked first.
        """
        advertised_units = sum(peer.unexpired_demand(now_s) for peer in self.peers)
        advertised_tasks = advertised_units / max(1.0, self.task_units)
        wanted_peers = min(len(self.queue), _MAX_DEMAND_TASKS) - advertised_tasks
        if wanted_peers <= 0:
            return []
        eligible = [
            p for p in self.peers if p.can_serve and not p.unexpired_demand(now_s)
        ]
        eligible.sort(key=lambda peer: (peer.is_quarantined, peer.last_frame_s))
        return eligible[: math.ceil(wanted_peers)]

    def _virtual_start_s(self, customer: Customer, now_s: float) -> float:
        if not len(self.queue):
            return now_s
        return max(now_s, self._virtual_finish_s.get(customer.name, now_s))

    def _weight_share(self, customer: Customer, now_s: float) -> float:
        others = sum(
            self._weights[name]
            for name, end_s in self._virtual_finish_s.items()
            if end_s > now_s and name != customer.name
        )
        return customer.weight / (customer.weight + others)
