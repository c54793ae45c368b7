"""Defines the data classes that the modules of an entry share."""

import dataclasses
import enum
import math
from typing import Any

import trio

from gooseberrylink.codes import Code, ExecutionStatus
from gooseberrylink.resources import Resources


@dataclasses.dataclass(slots=True)
class TaskSpec:
    """One task as the caller described it.

    Attributes:
        payload: JSON value that is passed to the backend server.
        declared_s: Run time that the caller expects, in seconds; 0 if not given.
        resources: Resources that it uses at a backend server.
        data_rack: Rack where its data is stored; "" if its run time does not
            depend on the rack.
        name: Name that the task has in all submissions of its job; "" if none.
    """

    payload: Any
    declared_s: float = 0.0
    resources: Resources = Resources()
    data_rack: str = ""
    name: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class RerunPolicy:
    """Allows a task to be started again once its earlier run has certainly ended.

    Attributes:
        max_failures: Number of failed runs of one task at which its job fails.
    """

    max_failures: int


@dataclasses.dataclass(slots=True, frozen=True)
class LatencyTarget:
    """Response time that the answer to a job must meet to be on time.

    The target is stretch times the run time of the job's longest task, plus
    latency_s.

    Attributes:
        stretch: Factor on the run time of the longest task.
        latency_s: Constant part of the target, in seconds.
    """

    stretch: float
    latency_s: float


@dataclasses.dataclass(slots=True)
class JobRequest:
    """A validated job, before admission.

    Attributes:
        deadline_s: Seconds from submission within which an answer is useful.
        repeatable: Whether the job may run more than once. If not, its
            idempotency key is claimed before the first task starts.
        idempotency_key: Identifies the request across submissions; "" if none.
        job_id: Id that the caller gave this submission; "" if none.
        rerun_policy: When tasks may be started again; None for never.
        latency_target: When its answer is on time; None if only the deadline
            counts.
    """

    customer: str
    service: str
    tasks: list[TaskSpec]
    deadline_s: float
    repeatable: bool = True
    idempotency_key: str = ""
    job_id: str = ""
    rerun_policy: RerunPolicy | None = None
    latency_target: LatencyTarget | None = None


@dataclasses.dataclass(slots=True)
class Answer:
    """The answer to a job: a code and, if it is OK, the results of all tasks.

    Attributes:
        results: One value per task, in task order; None unless the code is OK.
        detail: Explanation for the caller; may be empty.
        retry_after_s: For refusals, seconds until a retry makes sense; None if
            none does.
    """

    code: Code
    detail: str = ""
    results: list[Any] | None = None
    retry_after_s: float | None = None

    @property
    def execution_status(self) -> ExecutionStatus:
        """Whether a task of the job ran or may have run, as the code says."""
        return self.code.execution_status


class TaskState(enum.Enum):
    """State of a task, as far as the entry knows.

    QUEUED tasks wait in the entry's queue, and BACKING_OFF tasks wait for the
    delay before a retry to pass. ASSIGNED tasks were sent to an agent, which has not
    reported how they ended. RAN means that a run was started and has not succeeded, as
    far as the entry knows, UNKNOWN that a run may have been started, and NOT_STARTED
    that none was or will be.
    """

    QUEUED = "queued"
    BACKING_OFF = "paused"
    ASSIGNED = "assigned"
    DONE = "done"
    RAN = "ran"
    NOT_STARTED = "not started"
    UNKNOWN = "unknown"


@dataclasses.dataclass(slots=True, eq=False)
class Task:
    """A task of an admitted job.

    Attributes:
        expected_s: Expected run time on a typical worker, in seconds (slowdown 1).
        sort_key: Position in the queue; the task with the lowest key starts first.
        is_long: Whether the task may only use slots open to long tasks.
        worker: Name of the worker of its latest assignment; "" before the first.
        attempts: How often it was assigned.
        failures: How many of its runs failed.
        assigned_s: Time of the last assignment on the entry's clock.
        is_start_confirmed: Whether the backend server of the latest assignment has
            confirmed the start.
        avoided_workers: Workers at which a run of it failed, was stopped, or was
            lost.
        is_crash_suspect: Whether a run of it may have crashed its backend server.
    """

    task_id: str
    job: "Job"
    index: int
    spec: TaskSpec
    expected_s: float
    sort_key: tuple[int, float]
    is_long: bool
    state: TaskState = TaskState.QUEUED
    worker: str = ""
    attempts: int = 0
    failures: int = 0
    assigned_s: float = 0.0
    is_start_confirmed: bool = False
    avoided_workers: set[str] = dataclasses.field(default_factory=set)
    is_crash_suspect: bool = False

    @property
    def assignment_id(self) -> str:
        """Id of the latest assignment of the task."""
        return f"{self.task_id}.{self.attempts}"


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """An admitted job, until its answer is given.

    Attributes:
        submitted_s: Time of submission on the entry's clock.
        expires_s: Time on the entry's clock after which nothing is started.
        start_by_s: Time on the entry's clock at which the job is given up if no
            task was assigned before.
        longest_task_s: Expected run time of its longest task on a typical worker, in
            seconds (slowdown 1).
        predicted_wait_s: Wait for its first task that its admission expected.
        unfinished_count: Number of tasks without a result.
        failure: Answer to give because the job failed; None if it has not.
        has_rerun_tasks: Whether a run of one of its tasks has ended and the task is
            to run again. The task's state then no longer shows that it ran.
        changed: Set, and replaced by a new event, when a task's state or the
            job's outcome changes.
    """

    job_id: str
    request: JobRequest
    submitted_s: float
    expires_s: float
    start_by_s: float = math.inf
    longest_task_s: float = 0.0
    predicted_wait_s: float = 0.0
    tasks: list[Task] = dataclasses.field(default_factory=list)
    results: list[Any] = dataclasses.field(default_factory=list)
    unfinished_count: int = 0
    failure: Answer | None = None
    is_cancelled: bool = False
    has_rerun_tasks: bool = False
    changed: trio.Event = dataclasses.field(default_factory=trio.Event)

    def is_unassigned(self) -> bool:
        """Returns whether every task is queued and none has run."""
        if self.has_rerun_tasks:
            return False
        return all(task.state is TaskState.QUEUED for task in self.tasks)

    def describe_progress(self) -> str:
        """Returns how many tasks were done, for the answer to an ended job."""
        done = sum(task.state is TaskState.DONE for task in self.tasks)
        return (
            f"{done} of {len(self.tasks)} tasks had results when the job ended; its"
            f" deadline was {self.request.deadline_s:g} s"
        )

    def execution_status(self) -> ExecutionStatus:
        """Returns whether a task ran or may have run, by the states of all tasks."""
        states = {task.state for task in self.tasks}
        if self.has_rerun_tasks or TaskState.DONE in states or TaskState.RAN in states:
            return ExecutionStatus.RAN
        if TaskState.UNKNOWN in states or TaskState.ASSIGNED in states:
            return ExecutionStatus.MAY_HAVE_RUN
        return ExecutionStatus.NOT_RUN
