"""Keeps an entry's queue for one service and the agents that serve it."""

import copy
import math

from gooseberrylink.operators.declarations import Customer
from gooseberrylink.peers.agent_peer import AgentPeer
from gooseberrylink.resources import Resources
from gooseberrylink.scheduling.evacuation import find_jobs_without_room
from gooseberrylink.scheduling.sharing import NoSharing, SharingPolicy, WaitMargin
from gooseberrylink.task_queue import TaskQueue
from gooseberrylink.types import Job, JobRequest
from gooseberrylink.wait_limits import early_wait_limit_s, wait_limit_s

_MAX_ADVERTISED_TASKS_PER_AGENT = 2
# Maximum number of agents to which frames are sent only to advertise demand. Until the
# frame to an agent is sent, the demand of one task counts as advertised to it.
_MAX_NOTIFIED_AGENTS = 16
_UNITS_LEARNING_RATE = 0.05
# Without a latency target a job is due at this multiple of its expected duration.
_DUE_STRETCH = 4.0
_MIN_RETRY_AFTER_S = 1.0
_MAX_RETRY_AFTER_S = 30.0
_GOLDEN_RATIO = 0.618034


class ServicePool:
    """The queue of one service and the agents that serve it.

    Attributes:
        service: Name of the service.
        queue: Tasks that wait to be assigned.
        peers: Agents of the service, connected or not.
        in_flight_count: Number of this entry's tasks that are assigned to agents.
        queue_nonempty_since_s: Time of the first check that found the queue not
            empty; None while it is empty.
        mean_task_units: Moving average of the units (see Resources) that a task uses.
        mean_task_s: Moving average of the expected run time of the admitted tasks, in
            seconds (slowdown 1).
        min_slowdown: Run time divided by expected run time on the fastest workers.
        sharing: Ranks the jobs when demand exceeds the room.
        wait_margin: Corrects the predicted waits where sharing is active.
    """

    def __init__(self, service: str):
        self.service = service
        self.queue = TaskQueue()
        self.peers: list[AgentPeer] = []
        self.in_flight_count = 0
        self.queue_nonempty_since_s: float | None = None
        self.mean_task_units = 0.0
        self.mean_task_s = 0.0
        self.min_slowdown = 1.0
        self._retry_spread = 0.0
        self.sharing: SharingPolicy = NoSharing()
        self.wait_margin = WaitMargin()
        self.queue.on_turned_away = self._record_given_up
        self._virtual_finish_s: dict[str, float] = {}
        self._weights: dict[str, float] = {}

    def copy_for_trial(self) -> "ServicePool":
        """Returns a copy on which decisions may be tried out; it shares the queue."""
        pool = copy.copy(self)
        pool.peers = [peer.copy_for_trial() for peer in self.peers]
        pool._virtual_finish_s = dict(self._virtual_finish_s)
        pool._weights = dict(self._weights)
        pool.sharing = copy.deepcopy(self.sharing)
        pool.wait_margin = copy.deepcopy(self.wait_margin)
        return pool

    def total_units(self) -> int:
        """Returns the units (see Resources) of all agents that can serve."""
        return sum(peer.slots for peer in self.peers if peer.can_serve)

    def can_serve(self) -> bool:
        """Returns whether any agent with a backend server is connected."""
        return any(peer.can_serve for peer in self.peers)

    def evacuated_peers(self) -> list[AgentPeer]:
        """Returns the connected agents that are in evacuated data centres."""
        return [peer for peer in self.peers if peer.is_connected and peer.is_evacuated]

    def find_jobs_without_room(self, now_s: float) -> list[tuple[Job, float]]:
        """Returns jobs that an evacuation leaves too little room for; see evacuation.

        None are returned while no agent is evacuated or known at all.
        """
        if not self.evacuated_peers():
            return []
        parallelism = self.parallelism() if self.can_serve() else 0.0
        return find_jobs_without_room(
            self.queue.in_order(), parallelism, self.min_slowdown, now_s
        )

    def can_fit(self, resources: Resources) -> bool:
        """Returns whether a task fits into some backend server when it is idle."""
        return any(
            peer.can_serve and peer.capacity.covers(resources) for peer in self.peers
        )

    def may_fit_later(self, resources: Resources) -> bool:
        """Returns whether a task would fit if each capacity grew to its former size.

        The capacity in evacuated data centres is not known, and may be enough.
        """
        if self.evacuated_peers():
            return True
        return any(
            peer.can_serve and peer.largest_capacity.covers(resources)
            for peer in self.peers
        )

    def record_task_units(self, units: int) -> None:
        """Updates the average number of units per task with one task."""
        rate = _UNITS_LEARNING_RATE if self.mean_task_units else 1.0
        self.mean_task_units += rate * (units - self.mean_task_units)

    def record_task_time(self, expected_s: float) -> None:
        """Updates the average expected run time with one task."""
        rate = _UNITS_LEARNING_RATE if self.mean_task_s else 1.0
        self.mean_task_s += rate * (expected_s - self.mean_task_s)

    def parallelism(self) -> float:
        """Estimates how many tasks of this entry run at once under load.

        Other entries use the same slots, so the number of tasks in flight while
        the queue is not empty shows this entry's share. After an outage, or when
        agents have just connected, few tasks are in flight yet; free units are
        counted as well then.
        """
        max_tasks = self.total_units() / max(1.0, self.mean_task_units)
        if len(self.queue):
            return max(
                1.0,
                float(self._serving_task_count()),
                self._usable_units() / max(1.0, self.mean_task_units),
            )
        return max(1.0, max_tasks)

    def _serving_task_count(self) -> int:
        """Returns the tasks in flight whose place is free again after their end."""
        evacuated = sum(len(peer.tasks_in_flight) for peer in self.evacuated_peers())
        return self.in_flight_count - evacuated

    def _usable_units(self) -> float:
        """Returns the units that this entry uses or could use at its agents."""
        free_units = sum(max(0, peer.free_units) for peer in self.peers)
        return free_units + self._serving_task_count() * self.mean_task_units

    def expected_wait_s(self, sort_key: tuple[int, float]) -> float:
        """Estimates how long a task with this sort key would wait, in seconds.

        The estimate is for typical workers (slowdown 1).
        """
        total_s = self.queue.work_s / self.parallelism()
        # The wait for the whole queue is close enough when it is this short, and the
        # sum below visits every queued task.
        if total_s < 0.1:
            return total_s
        return self.queue.work_before_s(sort_key) / self.parallelism()

    def predict_wait_s(
        self,
        sort_key: tuple[int, float],
        request: JobRequest,
        longest_task_s: float,
        now_s: float,
    ) -> float:
        """Predicts how long a job would wait for its first task to start, in seconds.

        Without sharing the prediction is that of expected_wait_s(). It is infinite for
        a job that must leave the room to others.
        """
        if not self.sharing.is_active:
            return self.min_slowdown * self.expected_wait_s(sort_key)
        if not len(self.queue) and self._has_room_for(request):
            return 0.0
        if self.sharing.must_yield(request.customer, longest_task_s):
            return math.inf
        # The first slot that is freed after those for the tasks before the job.
        work_s = self.queue.work_before_s(sort_key) + self.mean_task_s
        factor = self.wait_margin.factor(request.customer, now_s)
        factor **= self.sharing.pressure()
        return self.min_slowdown * factor * work_s / self._entitled_parallelism()

    def _has_room_for(self, request: JobRequest) -> bool:
        units = max(spec.resources.units for spec in request.tasks)
        return any(peer.free_units >= units for peer in self.peers)

    def _entitled_parallelism(self) -> float:
        """Estimates how many tasks of this entry run at once once slots have moved.

        Slots follow the demand of the entries. An entry that counts only the slots
        that it uses now refuses jobs, and so advertises no demand for more.
        """
        free_units = sum(max(0, peer.free_units) for peer in self.peers)
        used_units = sum(peer.units_in_flight for peer in self.peers)
        entitled_units = self.sharing.entry_share() * self.total_units()
        more_units = max(free_units, entitled_units - used_units)
        tasks = self.in_flight_count + more_units / max(1.0, self.mean_task_units)
        return max(1.0, tasks)

    def retry_after_s(self) -> float:
        """Returns when a caller that was turned away for lack of room may try again.

        By then the queue is worked off twice. Callers are spread over as long again,
        so that those who were turned away together don't return together.
        """
        if not self.sharing.is_active:
            return _MIN_RETRY_AFTER_S
        backlog_s = 2 * self.queue.work_s / self._entitled_parallelism()
        # Consecutive multiples of the golden ratio are spread evenly over the interval.
        self._retry_spread = (self._retry_spread + _GOLDEN_RATIO) % 1.0
        return min(
            _MAX_RETRY_AFTER_S,
            max(_MIN_RETRY_AFTER_S, backlog_s) * (1.0 + self._retry_spread),
        )

    def wait_limit_s(self, request: JobRequest, longest_task_s: float) -> float:
        """Returns how long a job may wait for its first task to start, in seconds."""
        limit_s = wait_limit_s(request, longest_task_s, self.min_slowdown)
        early_s = early_wait_limit_s(request, longest_task_s, self.min_slowdown)
        return limit_s - self.sharing.pressure() * (limit_s - early_s)

    def record_refused(
        self, request: JobRequest, longest_task_s: float, now_s: float
    ) -> None:
        """Counts a job that was refused on submission for its predicted wait."""
        self.sharing.record_turned_away(request.customer, longest_task_s, now_s)
        self.wait_margin.record_refused(request.customer, now_s)

    def _record_given_up(self, job: Job) -> None:
        customer, now_s = job.request.customer, job.submitted_s
        self.sharing.record_turned_away(customer, job.longest_task_s, now_s)
        self.wait_margin.record_given_up(customer, now_s)

    def sort_key(
        self, job: Job, customer: Customer, work_s: float, longest_task_s: float
    ) -> tuple[int, float]:
        """Returns the sort key in the queue for all tasks of a job.

        The key is the negated rank of the job, which is the precedence of its customer
        or follows from sharing, and the time at which the job is due. Each job is due
        at a multiple of its expected duration, so short jobs go first, and a long one
        can be overtaken for a bounded time only. As in weighted fair queueing, the
        jobs of a customer that exceeds its
        share start from its virtual finish time. A job with a latency target is
        due at the end of its wait limit.
        """
        if job.request.latency_target is not None:
            due_s = job.submitted_s + self.wait_limit_s(job.request, longest_task_s)
            rank = self.sharing.rank(customer.name, customer.precedence, longest_task_s)
            return -rank, due_s
        expected_duration_s = longest_task_s + work_s / self.parallelism()
        virtual_start_s = self._virtual_start_s(customer, job.submitted_s)
        return (
            -customer.precedence,
            virtual_start_s + _DUE_STRETCH * expected_duration_s,
        )

    def charge(self, customer: Customer, work_s: float, now_s: float) -> None:
        """Advances a customer's virtual finish time by the work of an admitted job."""
        if not len(self.queue):
            self._virtual_finish_s.clear()
        virtual_start_s = self._virtual_start_s(customer, now_s)
        rate = self.parallelism() * self._weight_share(customer, now_s)
        self._virtual_finish_s[customer.name] = virtual_start_s + work_s / rate
        self._weights[customer.name] = customer.weight

    def quarantined_share(self) -> float:
        """Returns the share of the connected agents that are in quarantine."""
        connected = [peer for peer in self.peers if peer.is_connected]
        if not connected:
            return 0.0
        return sum(peer.is_quarantined for peer in connected) / len(connected)

    def demand_to_advertise(self, peer: AgentPeer, now_s: float) -> tuple[int, int]:
        """Returns the demand to advertise to an agent, for short and long tasks.

        The demand is in units. The demand advertised to all agents together does
        not exceed the queue, because agents would otherwise reserve slots for
        this entry that other entries need.
        """
        demand_elsewhere_units = sum(
            p.unexpired_demand(now_s) for p in self.peers if p is not peer
        )
        if not len(self.queue) or peer.is_evacuated:
            return 0, 0
        # Tasks may use memory or accelerators alone. Agents grant credits for units, so
        # such a task requests one.
        mean_queued_task_units = max(1.0, self.queue.units / len(self.queue))
        unadvertised_tasks = len(self.queue) - math.ceil(
            demand_elsewhere_units / mean_queued_task_units
        )
        unadvertised_tasks = max(
            0, min(_MAX_ADVERTISED_TASKS_PER_AGENT, unadvertised_tasks)
        )
        short = min(unadvertised_tasks, self.queue.short_count)
        return math.ceil(short * mean_queued_task_units), math.ceil(
            (unadvertised_tasks - short) * mean_queued_task_units
        )

    def peers_to_notify(self, now_s: float) -> list[AgentPeer]:
        """Returns the agents to which a frame must be sent to advertise demand.

        Most agents learn the demand from frames that are sent anyway. An entry
        whose tasks run long exchanges few frames, and would wait for full agents
        while others have free slots that they have not reported. Agents whose
        last frame is oldest come first.
        """
        advertised_units = sum(peer.unexpired_demand(now_s) for peer in self.peers)
        advertised_tasks = advertised_units / max(1.0, self.mean_task_units)
        wanted_peer_count = (
            min(len(self.queue), _MAX_NOTIFIED_AGENTS) - advertised_tasks
        )
        if wanted_peer_count <= 0:
            return []
        eligible = [
            p for p in self.peers if p.can_serve and not p.unexpired_demand(now_s)
        ]
        eligible.sort(key=lambda peer: (peer.is_quarantined, peer.last_frame_s))
        return eligible[: math.ceil(wanted_peer_count)]

    def _virtual_start_s(self, customer: Customer, now_s: float) -> float:
        """Returns the later of now and the customer's virtual finish time."""
        if not len(self.queue):
            return now_s
        return max(now_s, self._virtual_finish_s.get(customer.name, now_s))

    def _weight_share(self, customer: Customer, now_s: float) -> float:
        """Returns a customer's share of the weights of all customers with work.

        Customers with work are those whose virtual finish time is in the future.
        """
        others = sum(
            self._weights[name]
            for name, end_s in self._virtual_finish_s.items()
            if end_s > now_s and name != customer.name
        )
        return customer.weight / (customer.weight + others)
