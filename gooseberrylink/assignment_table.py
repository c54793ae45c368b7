"""Decides at the agent which tasks may start, and remembers what became of them.

This is the only place where a task is allowed to start. An entry may move a
task elsewhere only after this gate said "not started", and saying so puts a
tombstone in the way of the assignment should it still arrive.
"""

import dataclasses
import enum

from gooseberrylink.backends.server import BackendServer
from gooseberrylink.peers.messages import Assign, Result, Status


class RecordState(enum.Enum):
    """What became of a task at this agent."""

    HELD = "held"
    STARTED = "started"
    FINISHED = "finished"
    REVOKED = "revoked"


@dataclasses.dataclass(slots=True, eq=False)
class AssignmentRecord:
    """What the gate knows of one assignment.

    Attributes:
        expires_s: Agent's clock after which the task may not start.
        forget_s: Agent's clock after which the record may be dropped.
        result: What is reported to the entry once it is known.
        backend: The backend server that runs it, once started.
        is_stopping: Whether the backend server was asked to stop it.
    """

    assignment_id: str
    state: RecordState
    assign: Assign | None = None
    entry: str = ""
    start_deadline_s: float = 0.0
    purge_after_s: float = 0.0
    started_s: float = 0.0
    result: Result | None = None
    backend: BackendServer | None = None
    is_stopping: bool = False


class AssignmentTable:
    """The records of one incarnation of an agent.

    All times are seconds on the agent's monotonic clock. The clock is read
    again for each decision, because the process may have been frozen since
    any timer was set.

    Attributes:
        lease_s: How long a task may be held without word from its entry.
        retention_s: How long a record outlives its task. Must exceed the
            longest deadline of a job, or an entry that asks late would hear
            "not started" of a task that ran.
    """

    def __init__(self, lease_s: float, retention_s: float, max_records: int):
        self.lease_s = lease_s
        self.retention_s = retention_s
        # An assignment older than the lease is refused for its age alone, so
        # a tombstone need only outlast the lease.
        self._tombstone_s = 4 * lease_s
        self._max_records = max_records
        self._records: dict[str, AssignmentRecord] = {}
        self._lease_ends_s: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._records)

    def renew_lease(self, entry: str, sent_s: float) -> None:
        """Extends the lease of an entry's held tasks.

        Args:
            entry: Incarnation of the entry.
            sent_s: The agent's clock at which the entry was surely alive.
        """
        end_s = sent_s + self.lease_s
        self._lease_ends_s[entry] = max(end_s, self._lease_ends_s.get(entry, end_s))

    def lease_end_s(self, entry: str) -> float:
        """Returns when the entry's lease ends; -inf if it never had one."""
        return self._lease_ends_s.get(entry, float("-inf"))

    def admit(
        self, assign: Assign, entry: str, sent_s: float, now_s: float
    ) -> AssignmentRecord | str:
        """Takes an assignment in.

        Returns:
            A new record in state HELD, or the reason for not taking it. In
            the second case the assignment has a tombstone.
        """
        existing = self._records.get(assign.assignment_id)
        if existing is not None:
            return "revoked" if existing.state is RecordState.REVOKED else "duplicate"
        start_deadline_s = sent_s + assign.remaining_s
        if len(self._records) >= self._max_records:
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
            entry,
            start_deadline_s=start_deadline_s,
        )
        record.purge_after_s = now_s + self.retention_s
        self._records[assign.assignment_id] = record
        return record

    def start(self, record: AssignmentRecord, now_s: float) -> bool:
        """Lets a held task start, unless it lapsed meanwhile.

        Returns:
            Whether it may start. If not, it has a tombstone and a result.
        """
        if record.state is not RecordState.HELD:
            return False
        if now_s >= record.start_deadline_s:
            self.drop(record, "expired", now_s)
            return False
        if now_s > self.lease_end_s(record.entry):
            self.drop(record, "lease_lapsed", now_s)
            return False
        record.state = RecordState.STARTED
        record.started_s = now_s
        return True

    def finish(self, record: AssignmentRecord, result: Result, now_s: float) -> None:
        """Keeps the result of a started task until the entry has it."""
        record.state = RecordState.FINISHED
        record.assign = None
        record.result = result
        record.purge_after_s = now_s + self.retention_s

    def undo_start(self, record: AssignmentRecord, reason: str, now_s: float) -> None:
        """Marks a started task as not started: its backend saw no byte of it."""
        record.state = RecordState.HELD
        self.drop(record, reason, now_s)

    def drop(self, record: AssignmentRecord, reason: str, now_s: float) -> None:
        """Puts a tombstone in place of a held task."""
        record.state = RecordState.REVOKED
        record.assign = None
        record.purge_after_s = now_s + self._tombstone_s
        record.result = Result(record.assignment_id, Status.NOT_STARTED, reason=reason)

    def revoke(self, assignment_id: str, now_s: float) -> Result:
        """Makes sure that a task never starts, or tells what became of it."""
        record = self._records.get(assignment_id)
        if record is None:
            self._add_tombstone(assignment_id, now_s)
            return Result(assignment_id, Status.NOT_STARTED, reason="revoked")
        if record.state is RecordState.HELD:
            self.drop(record, "revoked", now_s)
        if record.result is not None:
            return record.result
        return Result(assignment_id, Status.RUNNING)

    def result_of(self, assignment_id: str) -> Result | None:
        """Returns the result that is kept for the entry, if there is one."""
        record = self._records.get(assignment_id)
        return record.result if record else None

    def acknowledge(self, assignment_ids: list[str], now_s: float) -> None:
        """Drops results that arrived at the entry; tombstones stay a while."""
        for assignment_id in assignment_ids:
            record = self._records.get(assignment_id)
            if record is None or record.result is None:
                continue
            record.result = Result(
                assignment_id, record.result.status, reason="already_acknowledged"
            )
            record.purge_after_s = min(record.purge_after_s, now_s + self._tombstone_s)

    def purge_expired(self, now_s: float) -> None:
        """Drops records whose time is over; call it now and then."""
        terminal_states = (RecordState.FINISHED, RecordState.REVOKED)
        expired_ids = [
            assignment_id
            for assignment_id, record in self._records.items()
            if record.state in terminal_states and record.purge_after_s < now_s
        ]
        for assignment_id in expired_ids:
            del self._records[assignment_id]
        lapsed = [e for e, end in self._lease_ends_s.items() if end < now_s - 60.0]
        for entry in lapsed:
            del self._lease_ends_s[entry]

    def _add_tombstone(self, assignment_id: str, now_s: float) -> None:
        record = AssignmentRecord(assignment_id, RecordState.REVOKED)
        record.purge_after_s = now_s + self._tombstone_s
        record.result = Result(assignment_id, Status.NOT_STARTED, reason="revoked")
        self._records[assignment_id] = record
