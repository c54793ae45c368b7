"""Holds the data classes that the modules of an entry share."""

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
        declared_s: Run time that the caller expects, in seconds; 0 if unsaid.
        room: What it takes up at a backend server.
        data_rack: Rack where its data is; "" if it runs as fast on any.
    """

    payload: Any
    declared_s: float = 0.0
    resources: Resources = Resources()
    data_rack: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class RerunPolicy:
    """Lets tasks be started again once an earlier run has certainly ended.

    Attributes:
        max_failures: Failed runs of a task after which its job fails.
    """

    max_failures: int


@dataclasses.dataclass(slots=True, frozen=True)
class LatencyTarget:
    """When the answer to a job is prompt.

    Attributes:
        stretch: How many times its longest task's run time it may take.
        latency_s: How much longer it may take.
    """

    stretch: float
    latency_s: float


@dataclasses.dataclass(slots=True)
class JobRequest:
    """A validated job, before admission.

    Attributes:
        deadline_s: Seconds from submission within which an answer is useful.
        idempotency_key: Names the request across submissions; "" if none.
        job_id: The caller's name for this submission; "" if none.
        reruns: When tasks may be started again; None for never.
        promptness: When its answer is prompt; None if only the deadline counts.
    """

    customer: str
    service: str
    tasks: list[TaskSpec]
    deadline_s: float
    repeatable: bool = True
    idempotency_key: str = ""
    job_id: str = ""
    reruns: RerunPolicy | None = None
    latency_target: LatencyTarget | None = None


@dataclasses.dataclass(slots=True)
class Answer:
    """The answer to a job: every result in task order, or one code.

    Attributes:
        results: One value per task, in order; None unless the code is OK.
        retry_after_s: For refusals, when to try again; None if pointless.
    """

    code: Code
    detail: str = ""
    results: list[Any] | None = None
    retry_after_s: float | None = None

    @property
    def execution_status(self) -> ExecutionStatus:
        """Whether any task of the job was started."""
        return self.code.execution_status


class TaskState(enum.Enum):
    """Where a task is, as far as the entry knows."""

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
        expected_s: Predicted run time on a worker of relative speed 1.
        order: Sort key in the queue; the lowest starts first.
        is_long: Whether the task may only use slots open to long tasks.
        worker: Name of the worker that has the task; "" while queued.
        attempts: How often it was assigned, for retry accounting.
        failures: How many of its runs failed.
        assigned_s: When it was last assigned.
        avoided: Workers at which a run of it failed or was cut short.
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
    avoided_workers: set[str] = dataclasses.field(default_factory=set)

    @property
    def assignment_id(self) -> str:
        """Names the latest attempt to place the task."""
        return f"{self.task_id}.{self.attempts}"


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """An admitted job, until its answer is given.

    Attributes:
        submitted_s: Time of submission on the entry's clock.
        expires_s: Time on the entry's clock after which nothing is started.
        patience_ends_s: Time on the entry's clock after which it is refused if
            no task was assigned by then.
        longest_s: Expected run time of its longest task at a usual pace.
        settled: Set when every task has reached a final state.
        has_run: Whether a run of a task that is queued again had started.
    """

    job_id: str
    request: JobRequest
    submitted_s: float
    expires_s: float
    start_by_s: float = math.inf
    longest_task_s: float = 0.0
    tasks: list[Task] = dataclasses.field(default_factory=list)
    results: list[Any] = dataclasses.field(default_factory=list)
    unfinished_count: int = 0
    failure: Answer | None = None
    is_cancelled: bool = False
    has_run: bool = False
    changed: trio.Event = dataclasses.field(default_factory=trio.Event)

    def is_unassigned(self) -> bool:
        """Whether no task was assigned so far."""
        if self.has_run:
            return False
        return all(task.state is TaskState.QUEUED for task in self.tasks)

    def execution_status(self) -> ExecutionStatus:
        """Whether any task was started, from the states of all tasks."""
        states = {task.state for task in self.tasks}
        if self.has_run or TaskState.DONE in states or TaskState.RAN in states:
            return ExecutionStatus.RAN
        if TaskState.UNKNOWN in states or TaskState.ASSIGNED in states:
            return ExecutionStatus.MAY_HAVE_RUN
        return ExecutionStatus.NOT_RUN
