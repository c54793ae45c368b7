"""Runs tasks at the backend server on the same host, on behalf of all entries."""

import collections
import math
import random
import secrets
import statistics

import msgspec
import trio

from gooseberrylink.assignment_table import (
    AssignmentRecord,
    AssignmentTable,
    RecordState,
)
from gooseberrylink.backend_health import BackendHealth, TaskFailure
from gooseberrylink.backends.client import (
    Announcement,
    BackendClient,
    BackendOutcome,
)
from gooseberrylink.backends.leased import STALLED
from gooseberrylink.crash_history import CrashHistory
from gooseberrylink.customer_demand_table import CustomerDemandTable
from gooseberrylink.entry_choice import EntryChoice
from gooseberrylink.logs import log_event
from gooseberrylink.metrics import Metrics
from gooseberrylink.operators.configuration import Configuration
from gooseberrylink.operators.declarations import Worker
from gooseberrylink.peers.config_push import decompress_update
from gooseberrylink.peers.entry_peer import EntryPeer
from gooseberrylink.peers.link import Dialer
from gooseberrylink.peers.messages import (
    Ack,
    AgentHello,
    Assign,
    ConfigUpdate,
    EntryFrame,
    Host,
    LostRun,
    Result,
    Revoke,
    Status,
    UnconfirmedStart,
)
from gooseberrylink.resources import NO_RESOURCES, Resources
from gooseberrylink.scheduling.evacuation import RETURN_SLOW_START_TASKS, Evacuations
from gooseberrylink.scheduling.share_table import ShareTable
from gooseberrylink.settings import AgentSettings
from gooseberrylink.slot_allocator import SlotAllocator
from gooseberrylink.unconfirmed_starts import AnnouncedStarts

_MAINTENANCE_INTERVAL_S = 0.2
_MIN_MAINTENANCE_INTERVAL_S = 0.02
# How much longer the interval is while there is no work.
_MAX_IDLE_WAIT_S = 0.8
_DRAIN_POLL_S = 0.05
_MAX_RUNS_LOST_IN_SILENCE = 1000
# A task that its entry did not mark as holdable is held only while fewer tasks
# than this are held.
_MAX_HELD_OVERCOMMITTED = 2


class Agent:
    """Starts the tasks that entries assign to one backend server.

    Attributes:
        incarnation: Random id of this run of the agent. The assignment table is
            lost when the agent ends, so another incarnation knows none of its
            tasks.
        assignments: Decides which tasks may start.
        allocator: Divides the slots among entries.
        health: Quarantines a backend server whose tasks fail.
        speed: Relative speed at which tasks run at present; 0 if unknown.
        crash_history: Runs that were lost with this agent's backend servers, and
            those that entries passed on.
        evacuations: The evacuated data centres, as entries report them.
        entry_choice: Chooses the entries to connect to.
    """

    def __init__(
        self,
        settings: AgentSettings,
        dialer: Dialer,
        metrics: Metrics | None = None,
        seed: int | None = None,
    ):
        self.settings = settings
        self.dialer = dialer
        self.metrics = metrics or Metrics("agent", settings.worker)
        self.random = random.Random(seed)
        self.incarnation = secrets.token_hex(8)
        self.service = ""
        self.configuration = Configuration()
        self.evacuations = Evacuations(self._handle_evacuation_change)
        self.assignments = AssignmentTable(
            settings.lease_s, settings.retention_s, settings.max_records
        )
        self.allocator = SlotAllocator(settings.demand_valid_s, settings.grant_margin_s)
        self.health = BackendHealth(settings.quarantine_policy())
        self.is_draining = False
        self.speed = 0.0
        self.crash_history = CrashHistory()
        self._runs_lost_in_silence: collections.deque[LostRun] = collections.deque(
            maxlen=_MAX_RUNS_LOST_IN_SILENCE
        )
        self._announced_starts = AnnouncedStarts()
        self._customer_demands = CustomerDemandTable()
        self.shares = ShareTable()
        self._backend: BackendClient | None = None
        self._announcement: Announcement | None = None
        self._held: collections.deque[AssignmentRecord] = collections.deque()
        self._running: dict[str, AssignmentRecord] = {}
        self._long_assignment_ids: set[str] = set()
        self._peers: dict[str, EntryPeer] = {}
        self.entry_choice = EntryChoice(
            settings.worker, settings.entries, settings.max_entries, self.metrics
        )
        self._can_dial = False
        self._backend_opened = trio.Event()
        self._task_admitted = trio.Event()
        self._started_s = trio.current_time()
        self._nursery: trio.Nursery | None = None

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serves entries until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            if self._backend is not None:
                nursery.start_soon(self._backend.run_background)
            nursery.start_soon(self._dial_after_earlier_runs)
            nursery.start_soon(self._run_maintenance)
            task_status.started()

    async def drain(self, timeout_s: float) -> bool:
        """Accepts no new tasks and waits until entries have received all results.

        Args:
            timeout_s: Longest time to wait.

        Returns:
            Whether all tasks ended and all results were delivered in time.
        """
        self.is_draining = True
        self._update_slots()
        with trio.move_on_after(timeout_s) as scope:
            while self._has_unfinished_work():
                await trio.sleep(_DRAIN_POLL_S)
        return not scope.cancelled_caught

    # The backend server.

    @property
    def resources(self) -> Resources:
        """Total resources of the backend server, in use or free."""
        if self._announcement is None:
            return NO_RESOURCES
        announcement = self._announcement
        return Resources(
            self.allocator.slots, announcement.memory_mb, announcement.gpus
        )

    @property
    def host(self) -> Host:
        """Host on which the backend server runs."""
        return self._announcement.host if self._announcement else Host()

    def attach_backend(
        self, backend: BackendClient, announcement: Announcement
    ) -> None:
        """Uses a backend server that announced itself, for all new tasks."""
        self._backend = backend
        if self._nursery is not None:
            self._nursery.start_soon(backend.run_background)
        self.health.reset()
        self.update_announcement(announcement)
        log_event(
            "backend_attached", service=announcement.service, slots=announcement.slots
        )

    def update_announcement(self, announcement: Announcement) -> None:
        """Applies a newer announcement of the backend server in use."""
        previous = self._announcement
        if previous is not None and previous.born_ms != announcement.born_ms:
            # Failures of its earlier incarnation do not count against it.
            self.health.reset()
        self.service = announcement.service
        self._announcement = announcement
        self.allocator.free_memory_and_gpus = Resources(
            0, announcement.memory_mb, announcement.gpus
        )
        for record in self._running.values():
            self.allocator.free_memory_and_gpus = (
                self.allocator.free_memory_and_gpus.minus(record.assign.resources)
            )
        self._update_slots()

    def detach_backend(self, reason: str) -> None:
        """Starts no more tasks at the backend server; running ones continue."""
        if self._backend is None:
            return
        self._backend.close()
        self._backend = None
        self._update_slots()
        log_event("backend_detached", service=self.service, reason=reason)

    def handle_availability_change(self) -> None:
        """Updates the slots after the backend server opened or closed."""
        if self._backend is not None and self._backend.is_open:
            self._backend_opened.set()
        self._update_slots()

    def _update_slots(self) -> None:
        """Offers as many slots as the backend server and the inventory allow."""
        reason = self._unavailable_reason()
        task_units = self._announcement.task_units if self._announcement else 1
        self.allocator.resize(0 if reason else self._allowed_slots(), task_units)
        self._update_task_limit()
        if reason:
            self._drop_all_held(reason)
        else:
            self._drop_held_too_large()
            self._start_held(trio.current_time())
        self._wake_all_senders()

    def _allowed_slots(self) -> int:
        declared = self._declared_worker()
        if declared is None:
            return self._announcement.slots
        return min(self._announcement.slots, declared.slots)

    def _unavailable_reason(self) -> str | None:
        if self.is_draining:
            return "draining"
        if self._is_evacuated():
            return "evacuated"
        if self._backend is None:
            return "no_backend"
        if not self._backend.is_open:
            return "backend_not_open"
        return None if self._is_in_inventory() else "not_in_inventory"

    def _is_evacuated(self) -> bool:
        return self.settings.data_centre in self.evacuations.data_centres

    def _handle_evacuation_change(self, former: frozenset[str]) -> None:
        """Stops or begins to accept tasks if it concerns this agent's data centre."""
        is_evacuated = self._is_evacuated()
        if is_evacuated == (self.settings.data_centre in former):
            self._wake_all_senders()
            return
        event = "agent_evacuated" if is_evacuated else "agent_readmitted"
        log_event(event, running=len(self._running), held=len(self._held))
        if not is_evacuated:
            self.health.begin_slow_start(RETURN_SLOW_START_TASKS)
        self._update_slots()

    def _declared_worker(self) -> Worker | None:
        declarations = self.configuration.declarations
        return declarations.worker(self.settings.worker) if declarations else None

    def _is_in_inventory(self) -> bool:
        """Returns whether the inventory lists this worker for its service.

        An inventory without workers allows all of them.
        """
        declarations = self.configuration.declarations
        if declarations is None or not declarations.inventory.workers:
            return True
        declared = self._declared_worker()
        return declared is not None and declared.service == self.service

    def run_lease_limit_s(self) -> float:
        """Returns the time by which all running tasks must end unless it rises.

        A lease at the backend server holds for all of its tasks, so it may outlast the
        lease of no entry by more than max_run_after_lease_s. Otherwise the tasks of an
        entry that died would go on for too long if this agent died before it stopped
        them.
        """
        return self._first_lease_end_s() + self.settings.max_run_after_lease_s

    def _first_lease_end_s(self) -> float:
        """Returns when the first lease of an entry with running tasks ends."""
        return min(
            (
                self.assignments.lease_end_s(record.entry_incarnation)
                for record in self._running.values()
            ),
            default=math.inf,
        )

    def _update_speed(self) -> None:
        """Measures how fast tasks run in relation to their expected time.

        The speed is the median over the running tasks, and unknown for fewer than
        two of them.
        """
        speeds = [record.speed() for record in self._running.values()]
        speeds = [speed for speed in speeds if speed is not None]
        self.speed = statistics.median(speeds) if len(speeds) > 1 else 0.0

    # Frames from entries.

    def make_hello(self) -> AgentHello:
        """Returns the first frame to send on a new link."""
        now_s = trio.current_time()
        earlier_runs_end_s = self._started_s + self.settings.earlier_runs_end_s
        return AgentHello(
            worker=self.settings.worker,
            incarnation=self.incarnation,
            data_centre=self.settings.data_centre,
            service=self.service,
            slots=self.allocator.slots,
            clock_s=now_s,
            entries=self.entry_choice.known(),
            config_version=self.configuration.version,
            speed_hint=self._announcement.speed_hint if self._announcement else 1.0,
            earlier_runs_left_s=max(0.0, earlier_runs_end_s - now_s),
        )

    def add_known_entries(self, addresses: list[str]) -> None:
        """Adds addresses of entries, and connects to the chosen ones."""
        if self.entry_choice.add(addresses, trio.current_time()):
            self._connect_chosen_entries()

    def handle_frame(self, peer: EntryPeer, frame: EntryFrame) -> None:
        """Handles a frame from an entry."""
        now_s = trio.current_time()
        if now_s > self.assignments.lease_end_s(peer.incarnation):
            self._refuse_held_without_lease(peer, now_s)
        self.assignments.renew_lease(peer.incarnation, frame.sent_s)
        self.allocator.update_demand(peer.incarnation, frame, now_s)
        peer.quarantined_share = frame.quarantined_share
        self._customer_demands.aggregate(peer, frame.customer_demands_per_s, now_s)
        self.shares.record(peer.incarnation, frame.class_counts, now_s)
        self._pass_on_lost_runs(peer, frame.lost_runs, now_s)
        if frame.unconfirmed_starts:
            for other_peer in self._peers.values():
                if other_peer is not peer:
                    other_peer.send_unconfirmed_starts(frame.unconfirmed_starts)
        for item in frame.items:
            match item:
                case Assign():
                    self._handle_assign(peer, item, frame.sent_s, now_s)
                case Revoke():
                    for assignment_id in item.assignment_ids:
                        self._revoke(peer, assignment_id, item.stop_running, now_s)
                case Ack():
                    peer.unacknowledged_ids.difference_update(item.assignment_ids)
                    self.assignments.acknowledge(item.assignment_ids, now_s)
                case ConfigUpdate():
                    self._adopt_configuration(item)
        if self.allocator.grant_credits(peer.incarnation, now_s):
            peer.outbox.wake_sender()

    def resend_results(self, peer: EntryPeer) -> None:
        """Sends the results again that an entry may not have received."""
        for assignment_id in sorted(peer.unacknowledged_ids):
            result = self.assignments.result_of(assignment_id)
            if result is None:
                peer.unacknowledged_ids.discard(assignment_id)
            else:
                peer.outbox.put(result)

    def handle_entry_connected(self, peer: EntryPeer) -> None:
        """Gives a newly connected entry its share of the idle slots."""
        self.allocator.add_entry(peer.incarnation)

    def handle_entry_disconnected(self, peer: EntryPeer) -> None:
        """Releases the credits of an entry; its running tasks continue."""
        self.allocator.remove_entry(peer.incarnation)

    def _adopt_configuration(self, update: ConfigUpdate) -> None:
        if self.configuration.adopt(update.version, decompress_update(update), "entry"):
            self.evacuations.adopt_rules(self.configuration)
            # This also wakes the senders to all entries. Their next frames carry
            # the new version, and entries with an older one receive the update.
            self._update_slots()

    # Tasks.

    def _handle_assign(
        self, peer: EntryPeer, assign: Assign, sent_s: float, now_s: float
    ) -> None:
        peer.count_received_units(assign.resources.units)
        record = self.assignments.admit(assign, peer.incarnation, sent_s, now_s)
        if isinstance(record, str):
            # A duplicate gets no reply: the entry receives the result of the first
            # copy.
            if record != "duplicate":
                self._refuse(peer, assign.assignment_id, record)
            return
        self._task_admitted.set()
        self._update_task_limit()
        reason = self._refusal_reason(assign, now_s)
        if reason is None:
            self._start(peer, record, now_s)
        elif reason in ("full", "full_long") and self._can_hold(assign):
            self._held.append(record)
        else:
            self.assignments.replace_with_tombstone(record, reason, now_s)
            self._refuse(peer, assign.assignment_id, reason)

    def _refusal_reason(self, assign: Assign, now_s: float) -> str | None:
        if not self.allocator.slots:
            return self._unavailable_reason() or "too_large"
        if not self.resources.covers(assign.resources):
            return "too_large"
        has_capacity = self.allocator.fits(assign.resources)
        if assign.is_long and not assign.is_holdable:
            has_capacity = (
                has_capacity
                and self.allocator.idle_units_for_long(now_s) >= assign.resources.units
            )
        if has_capacity:
            return None
        if self.health.is_quarantined:
            return "quarantined"
        return "full_long" if assign.is_long else "full"

    def _can_hold(self, assign: Assign) -> bool:
        """Returns whether a task may wait here for the next free slot.

        When two entries assign tasks to the same slot, one of the tasks may wait
        although its entry did not allow it. Its wait is short, and costs less
        than the two messages that move it to another agent.
        """
        if assign.is_holdable:
            return len(self._held) < self.settings.max_held
        is_limited = self.allocator.task_limit < self.allocator.slots
        if assign.is_long or is_limited or not self.allocator.slots:
            return False
        return len(self._held) < _MAX_HELD_OVERCOMMITTED

    def _refuse(self, peer: EntryPeer, assignment_id: str, reason: str) -> None:
        self.metrics.add("assigns_refused", reason)
        peer.outbox.put(Result(assignment_id, Status.NOT_STARTED, reason=reason))

    def _start(self, peer: EntryPeer, record: AssignmentRecord, now_s: float) -> None:
        if not self.assignments.try_mark_started(record, now_s):
            self._refuse(peer, record.assignment_id, record.result.reason)
            return
        assign = record.assign
        self._running[record.assignment_id] = record
        if assign.is_long:
            self._long_assignment_ids.add(record.assignment_id)
        self.allocator.allocate(
            peer.incarnation, assign.is_long, now_s, assign.resources
        )
        peer.running_task_count += 1
        self.metrics.add("tasks_started")
        self.health.record_start(now_s)
        record.backend = self._backend
        self._nursery.start_soon(self._run_task, peer, record)

    async def _run_task(self, peer: EntryPeer, record: AssignmentRecord) -> None:
        assign = record.assign
        outcome = await self._run_at_backend(record)
        now_s = trio.current_time()
        self._free_slot(peer, record, now_s)
        self._record_outcome(record, assign, outcome, now_s)
        if outcome.status is not Status.MAY_HAVE_RUN:
            self._withdraw_unconfirmed_start(record.assignment_id)
        if outcome.is_backend_lost and assign.task_name:
            lost_run = outcome.to_lost_run(assign)
            self._report_lost_run(lost_run, now_s)
            if not lost_run.is_crash:
                self._runs_lost_in_silence.append(lost_run)
        self._report(peer, record, outcome, now_s)
        self._start_held(now_s)

    async def _run_at_backend(self, record: AssignmentRecord) -> BackendOutcome:
        # The process may have been suspended since the task was allowed to start.
        reason = self.assignments.reason_not_to_start(record, trio.current_time())
        if self._is_evacuated():
            reason = "evacuated"
        if record.is_stopping:
            # The client could not stop it, because it did not know the task yet.
            reason = "revoked"
        if reason is not None:
            return BackendOutcome(Status.NOT_STARTED, reason=reason, is_evidence=False)
        assign = record.assign
        try:
            return await record.backend.run(
                assign.task_id,
                assign.job_id,
                assign.customer,
                assign.payload,
                assign.attempt,
            )
        except Exception as error:
            log_event("backend_client_failed", "ERROR", error=repr(error))
            return BackendOutcome(Status.MAY_HAVE_RUN, reason="backend_broke")

    def _free_slot(
        self, peer: EntryPeer, record: AssignmentRecord, now_s: float
    ) -> None:
        del self._running[record.assignment_id]
        peer.running_task_count -= 1
        is_long = record.assignment_id in self._long_assignment_ids
        self._long_assignment_ids.discard(record.assignment_id)
        resources = record.assign.resources
        credited_entry = self.allocator.release(
            peer.incarnation, is_long, now_s, resources
        )
        for other_peer in self._peers.values():
            if credited_entry is not None and other_peer.incarnation == credited_entry:
                self.metrics.add("grants")
                other_peer.outbox.wake_sender()

    def _record_outcome(
        self,
        record: AssignmentRecord,
        assign: Assign,
        outcome: BackendOutcome,
        now_s: float,
    ) -> None:
        self.metrics.add("tasks_ended", outcome.status.name.lower())
        if outcome.status is Status.DONE:
            self.health.record_success(record.started_s)
        elif outcome.is_evidence and (
            outcome.status is not Status.STOPPED or outcome.reason == STALLED
        ):
            self._record_failure(assign, now_s)
        self._update_task_limit()

    def handle_start_unconfirmed(self, task_id: str) -> None:
        """Tells all entries that a start may still take effect.

        The job may be sent again to any of them, also if its own entry ends before it
        learns of this.
        """
        left_s = self.settings.max_late_start_s
        for record in self._find_running(task_id):
            assign = record.assign
            if not (assign.task_name and left_s):
                continue
            start = UnconfirmedStart(
                assign.task_name,
                assign.assignment_id,
                self.settings.worker,
                self.incarnation,
                left_s,
            )
            self._announced_starts.add(start, trio.current_time())
            self.metrics.add("starts_unconfirmed")
            log_event("start_unconfirmed", task=assign.task_name)
            self._send_unconfirmed_start(start)

    def _withdraw_unconfirmed_start(self, assignment_id: str) -> None:
        """Tells all entries that a start can no longer take effect, if they wait."""
        withdrawal = self._announced_starts.withdraw(assignment_id)
        if withdrawal is not None:
            self._send_unconfirmed_start(withdrawal)

    def _send_unconfirmed_start(self, start: UnconfirmedStart) -> None:
        for peer in self._peers.values():
            peer.send_unconfirmed_starts([start])

    def unconfirmed_starts(self) -> list[UnconfirmedStart]:
        """Returns this agent's starts that may still take effect."""
        return self._announced_starts.pending(trio.current_time())

    def handle_start_in_doubt(self, task_id: str, is_crash_suspect: bool) -> None:
        """Reports a run that may have been lost before its start was confirmed.

        Its end is certain only once the backend server replies. Until then another
        entry may receive the job again.
        """
        now_s = trio.current_time()
        for record in self._find_running(task_id):
            assign = record.assign
            if assign.task_name:
                lost_run = LostRun(
                    assign.task_name,
                    assign.assignment_id,
                    is_crash_suspect,
                    is_start_unanswered=True,
                )
                self._report_lost_run(lost_run, now_s)

    def handle_start_confirmed(self, task_id: str) -> None:
        """Reports to its entry that the backend server has started a task."""
        for record in self._find_running(task_id):
            if not record.is_start_confirmed:
                record.is_start_confirmed = True
                peer = self._find_peer(record)
                if peer is not None:
                    peer.report_started(record.assignment_id)

    def _find_running(self, task_id: str) -> list[AssignmentRecord]:
        return [r for r in self._running.values() if r.assign.task_id == task_id]

    def started_ids(self, entry_incarnation: str) -> list[str]:
        """Returns an entry's assignments that run after a confirmed start."""
        return [
            record.assignment_id
            for record in self._running.values()
            if record.is_start_confirmed
            and record.entry_incarnation == entry_incarnation
        ]

    def is_running(self, assignment_id: str) -> bool:
        """Returns whether the task of an assignment was started and has not ended."""
        return assignment_id in self._running

    def handle_crash(self) -> None:
        """Reports that runs were lost in a crash whose cause was unknown before."""
        now_s = trio.current_time()
        for lost_run in self._runs_lost_in_silence:
            self._report_lost_run(
                msgspec.structs.replace(lost_run, is_crash=True), now_s
            )
        self._runs_lost_in_silence.clear()

    def handle_recovery(self) -> None:
        """Forgets the runs lost in a silence that was no crash."""
        self._runs_lost_in_silence.clear()

    def _report_lost_run(self, lost_run: LostRun, now_s: float) -> None:
        """Reports a run that was lost with the backend server to all entries."""
        self.crash_history.record(lost_run, now_s)
        self.metrics.add("runs_lost", "suspect" if lost_run.is_suspect else "beside")
        log_event(
            "run_lost",
            run=lost_run.task_name,
            suspect=lost_run.is_suspect,
            crash=lost_run.is_crash,
            unanswered=lost_run.is_start_unanswered,
        )
        for peer in self._peers.values():
            peer.report_lost_run(lost_run)

    def _pass_on_lost_runs(
        self, sender: EntryPeer, lost_runs: list[LostRun], now_s: float
    ) -> None:
        """Reports lost runs that one entry knows to the others, if new here."""
        for lost_run in lost_runs:
            if self.crash_history.record(lost_run, now_s):
                self.metrics.add("lost_runs_passed_on")
                for peer in self._peers.values():
                    if peer is not sender:
                        peer.report_lost_run(lost_run)

    def _record_failure(self, assign: Assign, now_s: float) -> None:
        failure = TaskFailure(
            assign.customer, assign.job_id, assign.is_customer_reliable
        )
        if self.health.record_failure(failure, now_s):
            self.metrics.add("quarantines")
            log_event("quarantine_began", "WARNING", worker=self.settings.worker)
        # Held tasks are more likely to succeed at another agent.
        self._drop_all_held("failing")

    def _report(
        self,
        peer: EntryPeer,
        record: AssignmentRecord,
        outcome: BackendOutcome,
        now_s: float,
    ) -> None:
        if outcome.status is Status.NOT_STARTED:
            self.assignments.mark_not_started(record, outcome.reason, now_s)
            self._refuse(peer, record.assignment_id, outcome.reason)
            return
        result = Result(
            record.assignment_id,
            outcome.status,
            outcome.value,
            outcome.reason,
            outcome.run_s,
        )
        self.assignments.finish(record, result, now_s)
        # A later incarnation of the entry does not know this assignment.
        if peer.incarnation == record.entry_incarnation:
            peer.unacknowledged_ids.add(record.assignment_id)
            peer.outbox.put(result)

    def _start_held(self, now_s: float) -> None:
        while self._held:
            if self._held[0].state is not RecordState.HELD:
                self._held.popleft()
                continue
            if not self.allocator.fits(self._held[0].assign.resources):
                return
            record = self._held.popleft()
            peer = self._find_peer(record)
            if peer is None:
                self.assignments.replace_with_tombstone(record, "entry_gone", now_s)
                continue
            self._start(peer, record, now_s)

    def _revoke(
        self, peer: EntryPeer, assignment_id: str, stop_running: bool, now_s: float
    ) -> None:
        result = self.assignments.revoke(assignment_id, now_s)
        if stop_running and result.status is Status.RUNNING:
            self._stop(assignment_id, "revoked")
        self.metrics.add("revokes", result.status.name.lower())
        peer.outbox.put(result)

    def _stop(self, assignment_id: str, reason: str) -> None:
        """Stops a running task, if its backend server supports that."""
        record = self._running.get(assignment_id)
        if record is None or not record.backend.can_stop or record.is_stopping:
            return
        record.is_stopping = True
        self.metrics.add("tasks_stopped", reason)
        log_event("task_stopping", task=record.assign.task_id, reason=reason)
        record.backend.stop(record.assign.task_id)

    def _stop_tasks_without_lease(self, now_s: float) -> None:
        """Stops running tasks of entries whose lease has ended.

        Such an entry may assign these tasks to other agents.
        """
        for assignment_id, record in self._running.items():
            if now_s > self.assignments.lease_end_s(record.entry_incarnation):
                self._stop(assignment_id, "lease_lapsed")

    def _refuse_held_without_lease(self, peer: EntryPeer, now_s: float) -> None:
        """Refuses the held tasks of an entry whose lease has ended.

        The entry may have assigned them to other agents since, so they must not start
        under a later lease either.
        """
        for record in self._held:
            is_held = record.state is RecordState.HELD
            if is_held and record.entry_incarnation == peer.incarnation:
                self.assignments.replace_with_tombstone(record, "lease_lapsed", now_s)
                self._refuse(peer, record.assignment_id, "lease_lapsed")

    def _drop_all_held(self, reason: str) -> None:
        self._drop_held(list(self._held), reason)

    def _drop_held_too_large(self) -> None:
        """Refuses held tasks that no longer fit even if nothing else runs."""
        too_large = [
            record
            for record in self._held
            if record.state is RecordState.HELD
            and not self.resources.covers(record.assign.resources)
        ]
        self._drop_held(too_large, "too_large")

    def _drop_held(self, records: list[AssignmentRecord], reason: str) -> None:
        now_s = trio.current_time()
        for record in records:
            self._held.remove(record)
            if record.state is RecordState.HELD:
                self.assignments.replace_with_tombstone(record, reason, now_s)
                peer = self._find_peer(record)
                if peer is not None:
                    self._refuse(peer, record.assignment_id, reason)

    def _find_peer(self, record: AssignmentRecord) -> EntryPeer | None:
        for peer in self._peers.values():
            if peer.incarnation == record.entry_incarnation:
                return peer
        return None

    # Maintenance.

    async def _dial_after_earlier_runs(self) -> None:
        """Connects to entries once the backend server has no earlier runs.

        An entry takes the hello of this incarnation as proof that the runs of earlier
        ones have ended, or end within earlier_runs_left_s: an earlier incarnation may
        have left runs at a backend server that has been replaced since.
        The agent therefore waits until the backend server opens, which shows that
        it listed all of its runs, that none is from an earlier incarnation, and that
        the fencing token bars late requests of one. A backend server may be gone for
        good, so the wait ends after dial_after_s, by which time entries have rerun
        the tasks without a hello, and no late request can be left.
        """
        with trio.move_on_after(self.settings.dial_after_s) as scope:
            await self._backend_opened.wait()
        by = "silence" if scope.cancelled_caught else "backend"
        log_event("earlier_runs_ended", by=by, incarnation=self.incarnation)
        self._can_dial = True
        self._connect_chosen_entries()

    def _connect_chosen_entries(self) -> None:
        if not self._can_dial:
            return
        now_s = trio.current_time()
        for address in self.entry_choice.choose(now_s):
            if address not in self._peers:
                self._peers[address] = EntryPeer(self, address)
                self._nursery.start_soon(self._peers[address].run)
        for address in self.entry_choice.forget_gone(now_s):
            del self._peers[address]

    def _update_task_limit(self) -> None:
        now_s = trio.current_time()
        shares = [p.quarantined_share for p in self._peers.values() if p.is_connected]
        self.health.quarantined_share = max(shares, default=0.0)
        task_limit = self.health.task_limit(self.allocator.slots, now_s)
        has_risen = task_limit > self.allocator.task_limit
        self.allocator.task_limit = task_limit
        if has_risen:
            self._wake_all_senders()

    def _wake_all_senders(self) -> None:
        for peer in self._peers.values():
            if peer.is_connected:
                peer.outbox.wake_sender()

    def _has_unfinished_work(self) -> bool:
        if self._running:
            return True
        return any(
            peer.is_connected and peer.unacknowledged_ids
            for peer in self._peers.values()
        )

    async def _run_maintenance(self) -> None:
        while True:
            if not (self._running or self._held or self.health.is_quarantined):
                # The lease of a task may end soon after its assignment arrived.
                self._task_admitted = trio.Event()
                with trio.move_on_after(_MAX_IDLE_WAIT_S):
                    await self._task_admitted.wait()
            await trio.sleep(self._next_maintenance_interval_s())
            now_s = trio.current_time()
            self._stop_tasks_without_lease(now_s)
            self._update_speed()
            self._update_task_limit()
            self._reclassify_overruns(now_s)
            self._start_held(now_s)
            self._connect_chosen_entries()
            self.assignments.purge_expired(now_s)

    def _next_maintenance_interval_s(self) -> float:
        """Returns the time to the next check, which is due when a lease ends."""
        lease_left_s = self._first_lease_end_s() - trio.current_time()
        return min(
            _MAINTENANCE_INTERVAL_S, max(_MIN_MAINTENANCE_INTERVAL_S, lease_left_s)
        )

    def _reclassify_overruns(self, now_s: float) -> None:
        long_after_s = self.configuration.long_threshold_s(self.service)
        for assignment_id, record in self._running.items():
            ran_s = now_s - record.started_s
            if ran_s > long_after_s and assignment_id not in self._long_assignment_ids:
                self._long_assignment_ids.add(assignment_id)
                self.allocator.mark_long(now_s, record.assign.resources)
                self.metrics.add("overruns")
