"""Defines the result codes of jobs and what each says about execution."""

import enum


class ExecutionStatus(enum.StrEnum):
    """Whether any task of a job was started at a backend server."""

    NOT_RUN = "not run"
    RAN = "ran"
    MAY_HAVE_RUN = "may have run"


class Code(enum.IntEnum):
    """Result codes; docs/ERRORS.md explains each one to callers.

    The hundreds give the execution status: 1xx not run, 2xx ran, 3xx may have run.
    """

    OK = 0
    MALFORMED_JOB = 101
    UNKNOWN_CUSTOMER = 102
    UNKNOWN_SERVICE = 103
    TOO_MANY_TASKS = 104
    IDEMPOTENCY_KEY_MISSING = 105
    DEADLINE_INVALID = 106
    BODY_TOO_LARGE = 107
    BODY_TOO_SLOW = 108
    DUPLICATE_JOB_ID = 109
    OVER_QUOTA = 111
    OVERLOADED = 112
    SHUTTING_DOWN = 113
    NOT_READY = 114
    EXPIRED_NOT_RUN = 115
    CLAIM_UNAVAILABLE = 116
    CANCELLED_NOT_RUN = 117
    NO_BACKEND_SERVER = 118
    UNKNOWN_QUEUE = 119
    UNSUPPORTED_JOB = 120
    TASK_TOO_LARGE = 121
    EARLIER_START_PENDING = 122
    EVACUATED = 123
    TASK_FAILED = 201
    EXPIRED_RAN = 202
    CANCELLED_RAN = 203
    WORKERS_CRASHED = 204
    AGENT_LOST = 301
    BACKEND_BROKE = 302
    EXPIRED_MAY_HAVE_RUN = 303
    CANCELLED_MAY_HAVE_RUN = 304
    CLAIMED_ELSEWHERE = 305
    CLAIM_IN_DOUBT = 306
    INTERNAL_ERROR = 399

    @property
    def execution_status(self) -> ExecutionStatus:
        """Whether the job ran, from the hundreds of the code; OK counts as ran."""
        hundreds = self // 100
        if hundreds == 1:
            return ExecutionStatus.NOT_RUN
        if hundreds == 3:
            return ExecutionStatus.MAY_HAVE_RUN
        return ExecutionStatus.RAN


EXPIRED_CODES = {
    ExecutionStatus.NOT_RUN: Code.EXPIRED_NOT_RUN,
    ExecutionStatus.RAN: Code.EXPIRED_RAN,
    ExecutionStatus.MAY_HAVE_RUN: Code.EXPIRED_MAY_HAVE_RUN,
}
CANCELLED_CODES = {
    ExecutionStatus.NOT_RUN: Code.CANCELLED_NOT_RUN,
    ExecutionStatus.RAN: Code.CANCELLED_RAN,
    ExecutionStatus.MAY_HAVE_RUN: Code.CANCELLED_MAY_HAVE_RUN,
}
