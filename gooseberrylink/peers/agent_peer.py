"""Tracks one agent at an entry and serves its links."""

import collections
import copy
import dataclasses
from typing import TYPE_CHECKING, Any

import msgspec
import trio

from gooseberrylink.crash_history import MAX_LOST_RUNS_A_FRAME
from gooseberrylink.exceptions import LinkClosedError
from gooseberrylink.logs import log_event
from gooseberrylink.metrics import Metrics
from gooseberrylink.peers.config_push import decompress_update
from gooseberrylink.peers.link import Link
from gooseberrylink.peers.messages import (
    Ack,
    AgentFrame,
    AgentHello,
    Assign,
    ClassCounts,
    ConfigUpdate,
    EntryFrame,
    Host,
    LostRun,
    Result,
    Revoke,
    UnconfirmedStart,
    decode_at_entry,
    encode,
)
from gooseberrylink.peers.outbox import Outbox
from gooseberrylink.peers.session import Session
from gooseberrylink.resources import NO_RESOURCES, Resources
from gooseberrylink.scheduling.evacuation import EvacuationLink
from gooseberrylink.scheduling.share_table import from_frame
from gooseberrylink.scheduling.worker_slowdowns import WorkerIdentity
from gooseberrylink.types import Job, Task
from gooseberrylink.unconfirmed_starts import MAX_STARTS_A_FRAME

if TYPE_CHECKING:
    from gooseberrylink.entry import Entry

_FIRST_FRAME_TIMEOUT_S = 5.0
_MAX_PENDING_ACKS = 64
_MAX_EARLIER_INCARNATIONS = 16
# Jobs that one log line names, and numbers of tasks.
_MAX_LOGGED_JOBS = 8
_MAX_LOGGED_TASKS = 16
# Time for which a worker is on trial after the assignment of a task that may crash it:
# tasks that do so crash it within some milliseconds.
_TRIAL_S = 0.25
# Time after which the agent of a worker that crashed has reported that it is silent.
_CRASH_REPORTED_AFTER_S = 0.8
# A worker that stopped serving counts as recovering for this time. Crashed ones are
# back after some seconds; those that left are not.
_RECOVERY_S = 10.0
# A slow worker gets no tasks and so reports no new speed. Once its last report is
# older than this, the worker is tried again.
_SPEED_VALID_S = 2.0


@dataclasses.dataclass(slots=True, frozen=True)
class AssignHints:
    """What an assignment tells the agent in addition to the task; see Assign."""

    is_holdable: bool
    is_customer_reliable: bool


class AgentPeer:
    """One agent as an entry sees it, across links and incarnations.

    Attributes:
        slots: Units of the backend server, as last reported; 0 if there is none.
        tasks_in_flight: Tasks assigned to this agent that have no final result
            yet, by assignment id.
        advertised_demand: Units that this entry last told the agent it could use.
        customer_demands_per_s: Demand at this entry of customers close to their
            quota, in tasks per second, which the next frame reports to the agent.
        class_counts: Jobs of this entry's callers, which the next frame reports to
            the agent, if it sums them up.
        config_version: Configuration version in force at the agent, as last
            reported.
        capacity: Total resources of the backend server, as last reported.
        largest_capacity: The most that it had of each resource since the agent last
            reported that there was none.
        host: Host of the backend server, as last reported.
        worker_identity: The worker on that host, for estimates of its speed.
        units_in_flight: Units of resources that the tasks in flight use.
        is_evacuated: Whether it is in an evacuated data centre, as far as is known.
    """

    def __init__(self, entry: "Entry", worker: str):
        self._entry = entry
        self.worker = worker
        self.incarnation = ""
        self._earlier_incarnations: collections.deque[str] = collections.deque(
            maxlen=_MAX_EARLIER_INCARNATIONS
        )
        # Incarnations whose hello was answered and that have sent no frame yet.
        self._unproven_incarnations: list[str] = []
        self.data_centre = ""
        self.is_evacuated = False
        self.service = ""
        self.slots = 0
        self.is_quarantined = False
        self.tasks_in_flight: dict[str, Task] = {}
        self.outbox = Outbox()
        self.advertised_demand = 0
        self.customer_demands_per_s: dict[str, float] = {}
        self.class_counts: list[ClassCounts] = []
        self._demand_advertised_s = 0.0
        self.last_frame_s = float("-inf")
        self._session: Session | None = None
        self._agent_clock_s = 0.0
        self._free_units = 0
        self._free_long_units = 0
        self._idle_units = 0
        self._units_sent = 0
        self._units_received = 0
        self.capacity = NO_RESOURCES
        self.largest_capacity = NO_RESOURCES
        self._speed = 0.0
        self._speed_reported_s = float("-inf")
        self.free_memory_mb = 0
        self.free_gpus = 0
        self.host = Host()
        self.worker_identity = WorkerIdentity(worker)
        self.units_in_flight = 0
        self._trial_ends_s = float("-inf")
        self._stopped_serving_s = float("-inf")
        self._pending_acks: list[str] = []
        self._unsent_lost_runs: collections.deque[LostRun] = collections.deque(
            maxlen=MAX_LOST_RUNS_A_FRAME
        )
        self._unsent_starts: collections.deque[UnconfirmedStart] = collections.deque(
            maxlen=MAX_STARTS_A_FRAME
        )
        self._evacuation_link = EvacuationLink(entry.evacuations)
        self.config_version = 0

    @property
    def name(self) -> str:
        """See SessionOwner."""
        return self.worker

    @property
    def metrics(self) -> Metrics:
        """See SessionOwner."""
        return self._entry.metrics

    @property
    def is_connected(self) -> bool:
        """Whether a link to the agent is open."""
        return self._session is not None

    @property
    def can_serve(self) -> bool:
        """Whether a link is open and the agent has a backend server for new tasks."""
        return self._session is not None and self.slots > 0 and not self.is_evacuated

    @property
    def free_units(self) -> int:
        """Estimate of the units that this entry may still use.

        It is the number that the agent last reported, less the units of
        assignments that the report did not include yet.
        """
        if not self.can_serve:
            return 0
        return self._free_units - (self._units_sent - self._units_received)

    @property
    def idle_units(self) -> int:
        """Estimate of the units that no task uses, of whatever entry."""
        if not self.can_serve:
            return 0
        # Agents of earlier versions report no idle units.
        reported = max(self._idle_units, self._free_units)
        return reported - (self._units_sent - self._units_received)

    @property
    def free_long_units(self) -> int:
        """Estimate of the units that long tasks of this entry may still use."""
        if not self.can_serve:
            return 0
        return self._free_long_units - (self._units_sent - self._units_received)

    def set_advertised_demand(self, demand: int, now_s: float) -> None:
        """Counts a demand, in units, as advertised to the agent from now on.

        The next frame replaces it by the demand at the time of sending.
        """
        self.advertised_demand = demand
        self._demand_advertised_s = now_s

    def unexpired_demand(self, now_s: float) -> int:
        """Returns the advertised demand; 0 once it is older than demand_valid_s."""
        if now_s - self._demand_advertised_s > self._entry.settings.demand_valid_s:
            return 0
        return self.advertised_demand

    def assign(self, task: Task, hints: AssignHints) -> None:
        """Queues an assignment for sending; the task is in flight until its result."""
        self.tasks_in_flight[task.assignment_id] = task
        self.units_in_flight += task.spec.resources.units
        if task.is_crash_suspect:
            self._trial_ends_s = trio.current_time() + _TRIAL_S
        self._units_sent += task.spec.resources.units
        item = Assign(
            assignment_id=task.assignment_id,
            task_id=task.task_id,
            job_id=task.job.job_id,
            customer=task.job.request.customer,
            payload=task.spec.payload,
            remaining_s=task.job.expires_s - trio.current_time(),
            is_long=task.is_long,
            is_holdable=hints.is_holdable,
            is_customer_reliable=hints.is_customer_reliable,
            resources=task.spec.resources,
            attempt=task.attempts,
            expected_s=task.expected_s,
            task_name=task.spec.name,
        )
        self.outbox.put(item)

    def remove_in_flight(self, task: Task) -> None:
        """Removes a task whose assignment to this agent has ended."""
        del self.tasks_in_flight[task.assignment_id]
        self.units_in_flight -= task.spec.resources.units

    def is_on_trial(self, now_s: float) -> bool:
        """Returns whether it was just assigned a task that may crash its worker."""
        return now_s < self._trial_ends_s

    def may_have_crashed(self, now_s: float) -> bool:
        """Returns whether its worker stopped serving lately, or may be about to."""
        if not self.slots:
            return now_s - self._stopped_serving_s < _RECOVERY_S
        return any(
            task.is_crash_suspect and now_s - task.assigned_s < _CRASH_REPORTED_AFTER_S
            for task in self.tasks_in_flight.values()
        )

    def recent_speed(self, now_s: float) -> float | None:
        """Returns the speed that the agent last reported; None if it is out of date."""
        if now_s - self._speed_reported_s > _SPEED_VALID_S:
            return None
        return self._speed

    def has_free_resources_for(self, task: Task) -> bool:
        """Returns whether a task should fit, according to the agent's last report."""
        resources = task.spec.resources
        free_units = self.free_long_units if task.is_long else self.free_units
        # A task may need no units.
        if not self.can_serve or free_units < resources.units:
            return False
        return (
            self.free_memory_mb >= resources.memory_mb
            and self.free_gpus >= resources.gpus
        )

    def update_evacuated(self) -> None:
        """Applies a change of the evacuations, or of the agent's data centre."""
        self.is_evacuated = self.data_centre in self._entry.evacuations.data_centres

    def revoke(self, assignment_ids: list[str], stop_running: bool = False) -> None:
        """Revokes assignments; with stop_running, also stops running tasks."""
        if self._session is not None:
            self.outbox.put(Revoke(assignment_ids, stop_running))

    def withdraw(self, job: Job, tasks: list[Task]) -> None:
        """Revokes the tasks of a withdrawn job; stops them if they may run again."""
        stop_running = job.request.rerun_policy is not None
        log_event(
            "tasks_revoked",
            "DEBUG" if job.request.latency_target is None else "INFO",
            job=job.request.job_id or job.job_id,
            worker=self.worker,
            count=len(tasks),
            tasks=",".join(str(task.index) for task in tasks[:_MAX_LOGGED_TASKS]),
            stop_running=stop_running,
            connected=self.is_connected,
        )
        self.revoke([task.assignment_id for task in tasks], stop_running)

    def copy_for_trial(self) -> "AgentPeer":
        """Returns a copy that reserve() may change; nothing may be sent to it."""
        peer = copy.copy(self)
        peer.tasks_in_flight = dict(self.tasks_in_flight)
        return peer

    def reserve(self, task: Task) -> None:
        """Counts a task as assigned without sending it; only for copies."""
        self.tasks_in_flight[task.task_id] = task
        self.units_in_flight += task.spec.resources.units
        self._units_sent += task.spec.resources.units

    def acknowledge(self, assignment_id: str) -> None:
        """Acknowledges a result with the next frame; the agent then discards it."""
        self._pending_acks.append(assignment_id)
        if len(self._pending_acks) >= _MAX_PENDING_ACKS:
            self.outbox.wake_sender()

    def share_lost_runs(self, lost_runs: list[LostRun]) -> None:
        """Sends lost runs with the next frame, for the agent's other entries."""
        if self.is_connected:
            self._unsent_lost_runs.extend(lost_runs)
            self.outbox.wake_sender()

    def share_unconfirmed_starts(self, starts: list[UnconfirmedStart]) -> None:
        """Sends unconfirmed starts with the next frame, for the agent's other entries.

        They are repeated on each new link until they can have no effect.
        """
        if starts and self.is_connected:
            self._unsent_starts.extend(starts)
            self.outbox.wake_sender()

    async def serve(self, link: Link, hello: AgentHello) -> None:
        """Serves a new link until it closes; an earlier link is closed first.

        A hello may be late, and then does not prove that the tasks in flight have
        ended. The first frame that follows shows that its sender lives: the agent sends
        it after it has received the entry's hello. That frame may be late as well, so
        incarnations whose hello came before are earlier ones. A link of an incarnation
        that is known as earlier is closed.
        """
        first_frame = None
        if hello.incarnation not in self._earlier_incarnations:
            first_frame = await self._receive_first_frame(link, hello.incarnation)
        # Another incarnation may have connected meanwhile.
        if first_frame is None or hello.incarnation in self._earlier_incarnations:
            log_event("late_hello_ignored", "WARNING", worker=self.worker)
            link.close()
            return
        if self._session is not None:
            self._session.close_as_replaced()
        entry = self._entry
        session = Session(link, entry.settings, entry.configuration, entry.random, self)
        self._start_session(session, hello)
        try:
            await session.run(first_frame)
        finally:
            if self._session is session:
                self._end_session()
            self._entry.dispatcher.handle_link_closed(session.has_timed_out)

    async def _receive_first_frame(self, link: Link, incarnation: str) -> bytes | None:
        """Answers a hello; returns the frame that follows, or None if none does."""
        link.send(encode(self._entry.make_hello()))
        self._unproven_incarnations.append(incarnation)
        try:
            with trio.fail_after(_FIRST_FRAME_TIMEOUT_S):
                frame = await link.receive()
        except (LinkClosedError, trio.TooSlowError):
            return None
        else:
            self._record_earlier_than(incarnation)
            return frame
        finally:
            self._unproven_incarnations.remove(incarnation)

    def _record_earlier_than(self, incarnation: str) -> None:
        """Records the incarnations whose hello came before one that lived after it."""
        if incarnation in self._earlier_incarnations:
            return
        index = self._unproven_incarnations.index(incarnation)
        for earlier in self._unproven_incarnations[:index]:
            if earlier not in self._earlier_incarnations:
                self._earlier_incarnations.append(earlier)

    def _start_session(self, session: Session, hello: AgentHello) -> None:
        self._entry.dispatcher.handle_sign_of_agent()
        is_same_incarnation = hello.incarnation == self.incarnation
        if not is_same_incarnation:
            self._pending_acks.clear()
            self._earlier_incarnations.append(self.incarnation)
            dispatcher = self._entry.dispatcher
            dispatcher.shorten_waits_for_starts(hello)
            dispatcher.handle_agent_restart(self, hello.earlier_runs_left_s)
        self._session = session
        self.outbox = session.outbox
        self.incarnation = hello.incarnation
        self.data_centre = hello.data_centre
        self.update_evacuated()
        self.service = hello.service
        self.slots = hello.slots
        self._record_capacity(
            Resources(hello.slots, self.capacity.memory_mb, self.capacity.gpus)
        )
        self._record_agent_clock(hello.clock_s)
        self._free_units = self._free_long_units = self._idle_units = 0
        self._units_sent = self._units_received = 0
        self.config_version = hello.config_version
        session.record_peer_config_version(hello.config_version)
        self.advertised_demand = 0
        self._evacuation_link = EvacuationLink(self._entry.evacuations)
        self._repeat_lost_runs()
        self._unsent_starts.clear()
        self.share_unconfirmed_starts(self._entry.dispatcher.announced_starts())
        log_event(
            "agent_connected",
            worker=self.worker,
            tasks_in_flight=len(self.tasks_in_flight),
        )
        if self.tasks_in_flight:
            self._repeat_revocations()
        self._entry.handle_agent_connected(self, hello)

    def _repeat_lost_runs(self) -> None:
        """Sends the lost runs again that may not have reached the agent's entries."""
        crash_history = self._entry.dispatcher.crash_history
        self._unsent_lost_runs.clear()
        self._unsent_lost_runs.extend(crash_history.to_repeat(trio.current_time()))
        if self._unsent_lost_runs:
            self.outbox.wake_sender()

    def _repeat_revocations(self) -> None:
        """Revokes all tasks in flight, and stops those of withdrawn jobs.

        The agent may not have received the assignments and revocations that were in
        transit on the old link. It answers each revocation with the task's status, and
        never starts a revoked task that it has not started yet.
        """
        unstopped_ids: list[str] = []
        stopped_tasks: list[Task] = []
        for task in self.tasks_in_flight.values():
            if self._entry.dispatcher.is_to_be_stopped(task):
                stopped_tasks.append(task)
            else:
                unstopped_ids.append(task.assignment_id)
        if unstopped_ids:
            self.outbox.put(Revoke(unstopped_ids))
        if stopped_tasks:
            jobs = {t.job.request.job_id or t.job.job_id for t in stopped_tasks}
            log_event(
                "revocation_repeated",
                worker=self.worker,
                count=len(stopped_tasks),
                jobs=",".join(sorted(jobs)[:_MAX_LOGGED_JOBS]),
            )
            ids = [task.assignment_id for task in stopped_tasks]
            self.outbox.put(Revoke(ids, stop_running=True))

    def _end_session(self) -> None:
        self._session = None
        self.advertised_demand = 0
        log_event(
            "agent_disconnected",
            worker=self.worker,
            tasks_in_flight=len(self.tasks_in_flight),
        )
        self._entry.dispatcher.handle_agent_disconnected(self)

    def return_unsent(self, items: list[Any]) -> None:
        """See SessionOwner; puts the tasks of unsent assignments back in the queue."""
        for item in items:
            if isinstance(item, Assign):
                self._entry.dispatcher.handle_unsent(self, item.assignment_id)

    def is_busy(self) -> bool:
        """See SessionOwner."""
        # Pending acknowledgements count, because the agent expects heartbeats at the
        # busy rate until its results are acknowledged.
        return bool(self.tasks_in_flight or self._pending_acks)

    def _record_agent_clock(self, clock_s: float) -> None:
        self._agent_clock_s = clock_s
        self.last_frame_s = trio.current_time()

    def handle_frame_data(self, data: bytes) -> int:
        """See SessionOwner."""
        frame = decode_at_entry(data)
        if isinstance(frame, AgentHello):
            raise msgspec.ValidationError("received a second AgentHello on one link")
        self._handle_frame(frame)
        return frame.config_version

    def _handle_frame(self, frame: AgentFrame) -> None:
        self._entry.dispatcher.handle_sign_of_agent()
        self._evacuation_link.receive(frame.evacuations, "agent")
        if self._evacuation_link.is_peer_wrong():
            self.outbox.wake_sender()
        self._record_agent_clock(frame.clock_s)
        self._free_units = frame.free_units
        self._free_long_units = frame.free_long_units
        self._idle_units = frame.idle_units
        self._units_received = frame.units_received
        self.free_memory_mb = frame.free_memory_mb
        self.free_gpus = frame.free_gpus
        self._record_capacity(Resources(frame.slots, frame.memory_mb, frame.gpus))
        if frame.host is not None:
            self.host = frame.host
            self.worker_identity = WorkerIdentity(
                self.worker, frame.host.hardware, frame.host.born_ms
            )
        if frame.speed > 0:
            self._speed, self._speed_reported_s = frame.speed, self.last_frame_s
        self._update_backend(frame)
        for customer, total_demand_per_s in frame.total_customer_demands_per_s.items():
            self._entry.dispatcher.quotas.record_total_demand(
                customer, self.worker, total_demand_per_s, self.last_frame_s
            )
        self.config_version = frame.config_version
        if frame.class_counts:
            self._entry.dispatcher.pool(self.service).sharing.record_others(
                self.worker, from_frame(frame.class_counts), self.last_frame_s
            )
        for lost_run in frame.lost_runs:
            self._entry.dispatcher.record_lost_run(lost_run, reporter=self)
        for start in frame.unconfirmed_starts:
            self._entry.dispatcher.record_unconfirmed_start(start, reporter=self)
        for assignment_id in frame.started_ids:
            if assignment_id in self.tasks_in_flight:
                self.tasks_in_flight[assignment_id].is_start_confirmed = True
                self._entry.dispatcher.withdraw_announced_start(assignment_id)
        for item in frame.items:
            match item:
                case Result():
                    self._entry.dispatcher.handle_result(self, item)
                case ConfigUpdate():
                    self._entry.adopt(item.version, decompress_update(item), "agent")
        self._entry.dispatcher.assign_queued_tasks(self.service)

    def _record_capacity(self, capacity: Resources) -> None:
        # The next backend server may be smaller.
        largest = self.largest_capacity if capacity.units else NO_RESOURCES
        self.capacity, self.largest_capacity = capacity, largest.maximum(capacity)

    def _update_backend(self, frame: AgentFrame) -> None:
        if self.slots and not frame.slots and not self.is_evacuated:
            self._stopped_serving_s = self.last_frame_s
        self.slots = frame.slots
        self.is_quarantined = frame.is_quarantined
        if frame.service != self.service:
            self._entry.dispatcher.move_peer(self, frame.service)

    def encode_next_frame(self, items: list[Any], is_heartbeat: bool) -> bytes:
        """See SessionOwner."""
        if self._entry.dispatcher.is_settling():
            items = self._take_back_assignments(items)
        self._count_frame(items, is_heartbeat)
        return encode(self._build_frame(items))

    def _take_back_assignments(self, items: list[Any]) -> list[Any]:
        """Puts the tasks of assignments back in the queue; returns the other items."""
        assigns = [item for item in items if isinstance(item, Assign)]
        self._units_sent -= sum(assign.resources.units for assign in assigns)
        self.return_unsent(assigns)
        return [item for item in items if not isinstance(item, Assign)]

    def _count_frame(self, items: list, is_heartbeat: bool) -> None:
        kind = "heartbeat" if is_heartbeat else "control"
        if any(isinstance(item, Assign) for item in items):
            kind = "data"
        self._entry.metrics.add("frames_sent", kind)

    def _build_frame(self, items: list) -> EntryFrame:
        if self._pending_acks:
            items.append(Ack(self._pending_acks))
            self._pending_acks = []
        pool = self._entry.dispatcher.pool(self.service)
        now_s = trio.current_time()
        precedence, due_s = pool.queue.head_priority()
        demands, self.customer_demands_per_s = self.customer_demands_per_s, {}
        class_counts, self.class_counts = self.class_counts, []
        demand, demand_long = pool.demand_to_advertise(self, now_s)
        self.set_advertised_demand(demand + demand_long, now_s)
        lost_runs = list(self._unsent_lost_runs)
        self._unsent_lost_runs.clear()
        unconfirmed_starts = list(self._unsent_starts)
        self._unsent_starts.clear()
        lease_start_s = now_s - self._entry.dispatcher.lease_reduction_s()
        return EntryFrame(
            sent_s=self._agent_clock_s + lease_start_s - self.last_frame_s,
            demand=demand,
            demand_long=demand_long,
            precedence=precedence,
            due_in_s=due_s - now_s,
            quarantined_share=pool.quarantined_share(),
            config_version=self._entry.configuration.version,
            customer_demands_per_s=demands,
            items=items,
            lost_runs=lost_runs,
            unconfirmed_starts=unconfirmed_starts,
            evacuations=self._evacuation_link.take_updates(),
            class_counts=class_counts,
        )
