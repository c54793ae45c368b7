"""Decides at the agent which tasks may start, and records their outcomes.

This is the only place where a task is allowed to start. An entry may assign a
task to another agent only after this table replied "not started". Such a reply
leaves a tombstone, so that the assignment is refused if it arrives later.
"""

import dataclasses
import enum

from gooseberrylink.backends.client import BackendClient
from gooseberrylink.peers.messages import Assign, Result, Status


class RecordState(enum.Enum):
    """State of an assignment at this agent.

    TOMBSTONE: The task may never start, for example because it was revoked or has
        expired.
    """

    HELD = "held"
    STARTED = "started"
    FINISHED = "finished"
    TOMBSTONE = "revoked"


@dataclasses.dataclass(slots=True, eq=False)
class AssignmentRecord:
    """One assignment of a task to this agent.

    A tombstone is a record whose task may never start.

    Attributes:
        assign: Message that assigned the task; None in a tombstone and after the
            end of the task.
        entry_incarnation: Incarnation of the entry that assigned the task.
        start_deadline_s: Time from which on the task may not start.
        purge_after_s: Time after which the record may be deleted.
        started_s: Time at which the task started; 0 before.
        result: Result to report to the entry, once there is one.
        backend: Backend server that runs the task, once started.
        is_stopping: Whether the backend server was asked to stop the task.
        is_start_confirmed: Whether the backend server has confirmed the start.
    """

    assignment_id: str
    state: RecordState
    assign: Assign | None = None
    entry_incarnation: str = ""
    start_deadline_s: float = 0.0
    purge_after_s: float = 0.0
    started_s: float = 0.0
    result: Result | None = None
    backend: BackendClient | None = None
    is_stopping: bool = False
    is_start_confirmed: bool = False

    def speed(self) -> float | None:
        """Returns how fast the task runs relative to its expected time, if known."""
        progress_per_s = self.backend.progress_per_s(self.assign.task_id)
        if progress_per_s is None or self.assign.expected_s <= 0:
            return None
        return progress_per_s * self.assign.expected_s


class AssignmentTable:
    """The assignments to one incarnation of an agent.

    All times are seconds on the agent's monotonic clock. Callers read the clock
    again for each decision, because the process may have been suspended since a
    timer was set.

    Attributes:
        lease_s: Duration of an entry's lease, counted from the sending time of
            its last frame. After its end, held tasks of the entry do not start,
            and the agent stops the entry's running tasks.
        retention_s: How long a record is kept after its task has ended. It must
            exceed the longest deadline of a job; otherwise an entry that asks
            late would get "not started" for a task that ran.
    """

    def __init__(self, lease_s: float, retention_s: float, max_records: int):
        self.lease_s = lease_s
        self.retention_s = retention_s
        # An assignment older than the lease is refused even without a tombstone, so
        # a tombstone only has to outlast the lease. The factor leaves a margin.
        self._tombstone_s = 4 * lease_s
        self._max_records = max_records
        self._records: dict[str, AssignmentRecord] = {}
        self._lease_ends_s: dict[str, float] = {}
        # While the table is full, no tombstones are added. Instead all assignments
        # that were sent until this time are refused.
        self._refuse_sent_until_s = float("-inf")

    def __len__(self) -> int:
        return len(self._records)

    def renew_lease(self, entry_incarnation: str, sent_s: float) -> None:
        """Extends an entry's lease.

        Args:
            entry_incarnation: Incarnation of the entry.
            sent_s: When the entry sent its frame, on the agent's clock. The
                entry's estimate is never later than the true time.
        """
        end_s = sent_s + self.lease_s
        self._lease_ends_s[entry_incarnation] = max(
            end_s, self._lease_ends_s.get(entry_incarnation, end_s)
        )

    def lease_end_s(self, entry_incarnation: str) -> float:
        """Returns when an entry's lease ends; -inf if there is no lease."""
        return self._lease_ends_s.get(entry_incarnation, float("-inf"))

    def admit(
        self, assign: Assign, entry_incarnation: str, sent_s: float, now_s: float
    ) -> AssignmentRecord | str:
        """Adds an assignment, or refuses it.

        Returns:
            A new record in state HELD, or the reason for a refusal. A refused
            assignment is never accepted later.
        """
        existing = self._records.get(assign.assignment_id)
        if existing is not None:
            return "revoked" if existing.state is RecordState.TOMBSTONE else "duplicate"
        start_deadline_s = sent_s + assign.remaining_s
        if sent_s <= self._refuse_sent_until_s or self._is_full():
            self._add_tombstone(assign.assignment_id, now_s)
            return "records_full"
        if now_s > sent_s + self.lease_s:
            self._add_tombstone(assign.assignment_id, now_s)
            return "lease_lapsed"
        if now_s >= start_deadline_s:
            self._add_tombstone(assign.assignment_id, now_s)
            return "expired"
        record = AssignmentRecord(
            assign.assignment_id,
            RecordState.HELD,
            assign,
            entry_incarnation,
            start_deadline_s=start_deadline_s,
        )
        record.purge_after_s = now_s + self.retention_s
        self._records[assign.assignment_id] = record
        return record

    def try_mark_started(self, record: AssignmentRecord, now_s: float) -> bool:
        """Marks a held task as started.

        The task is refused instead if its start deadline has passed or the lease of
        its entry has ended.

        Returns:
            Whether the task may start. If not, its record is a tombstone with a
            result.
        """
        if record.state is not RecordState.HELD:
            return False
        reason = self.reason_not_to_start(record, now_s)
        if reason is not None:
            self.replace_with_tombstone(record, reason, now_s)
            return False
        record.state = RecordState.STARTED
        record.started_s = now_s
        return True

    def reason_not_to_start(self, record: AssignmentRecord, now_s: float) -> str | None:
        """Returns which time has passed after which a task may not start, if any."""
        if now_s >= record.start_deadline_s:
            return "expired"
        if now_s > self.lease_end_s(record.entry_incarnation):
            return "lease_lapsed"
        return None

    def finish(self, record: AssignmentRecord, result: Result, now_s: float) -> None:
        """Stores the result of a started task until the entry acknowledges it."""
        record.state = RecordState.FINISHED
        record.assign = None
        record.result = result
        record.purge_after_s = now_s + self.retention_s

    def mark_not_started(
        self, record: AssignmentRecord, reason: str, now_s: float
    ) -> None:
        """Turns the record of a task into a tombstone with a reason.

        The task was marked as started, but its backend server did not start it.
        """
        record.state = RecordState.HELD
        self.replace_with_tombstone(record, reason, now_s)

    def replace_with_tombstone(
        self, record: AssignmentRecord, reason: str, now_s: float
    ) -> None:
        """Turns the record of a held task into a tombstone with a reason."""
        record.state = RecordState.TOMBSTONE
        record.assign = None
        record.purge_after_s = now_s + self._tombstone_s
        record.result = Result(record.assignment_id, Status.NOT_STARTED, reason=reason)

    def revoke(self, assignment_id: str, now_s: float) -> Result:
        """Prevents a task from starting, or returns its outcome.

        Returns:
            NOT_STARTED if the task never starts, RUNNING if it has started
            already, or the result of a task that has ended.
        """
        record = self._records.get(assignment_id)
        if record is None:
            self._add_tombstone(assignment_id, now_s)
            return Result(assignment_id, Status.NOT_STARTED, reason="revoked")
        if record.state is RecordState.HELD:
            self.replace_with_tombstone(record, "revoked", now_s)
        if record.result is not None:
            return record.result
        return Result(assignment_id, Status.RUNNING)

    def result_of(self, assignment_id: str) -> Result | None:
        """Returns the result that is stored for the entry, if there is one."""
        record = self._records.get(assignment_id)
        return record.result if record else None

    def acknowledge(self, assignment_ids: list[str], now_s: float) -> None:
        """Drops the values of results that the entry has received.

        The records stay for as long as a tombstone does, so that a late copy of
        the assignment is not accepted as a new one.
        """
        for assignment_id in assignment_ids:
            record = self._records.get(assignment_id)
            if record is None or record.result is None:
                continue
            record.result = Result(
                assignment_id, record.result.status, reason="already_acknowledged"
            )
            record.purge_after_s = min(record.purge_after_s, now_s + self._tombstone_s)

    def purge_expired(self, now_s: float) -> None:
        """Deletes records and leases that are no longer needed.

        The caller repeats this at intervals.
        """
        terminal_states = (RecordState.FINISHED, RecordState.TOMBSTONE)
        expired_ids = [
            assignment_id
            for assignment_id, record in self._records.items()
            if record.state in terminal_states and record.purge_after_s < now_s
        ]
        for assignment_id in expired_ids:
            del self._records[assignment_id]
        # A deleted lease counts as ended, too, so this only frees memory.
        lapsed = [e for e, end in self._lease_ends_s.items() if end < now_s - 60.0]
        for entry_incarnation in lapsed:
            del self._lease_ends_s[entry_incarnation]

    def _is_full(self) -> bool:
        return len(self._records) >= self._max_records

    def _add_tombstone(self, assignment_id: str, now_s: float) -> None:
        if self._is_full():
            self._refuse_sent_until_s = now_s
            return
        record = AssignmentRecord(assignment_id, RecordState.TOMBSTONE)
        record.purge_after_s = now_s + self._tombstone_s
        record.result = Result(assignment_id, Status.NOT_STARTED, reason="revoked")
        self._records[assignment_id] = record
