"""Defines runs at a backend server with leases, and the requests about them."""

import dataclasses
import enum
from typing import Any, Protocol


class StartReply(enum.Enum):
    """Reply to a request to start a run.

    FENCED: The fencing token was lower than one that the backend server knows.
    SUPERSEDED: The backend server has seen this attempt or a higher one before.
    LATE: The lease in the request had already ended.
    FULL: The backend server has too few free resources.
    UNHEALTHY: The backend server starts no runs at present.
    MALFORMED: The backend server rejected the request itself, such as its payload.
    OTHER_INCARNATION: Another incarnation than the addressed one received it.
    UNANSWERED: There was no reply. The request may be executed later.
    """

    STARTED = "started"
    FENCED = "fenced"
    SUPERSEDED = "superseded"
    LATE = "late"
    FULL = "full"
    UNHEALTHY = "unhealthy"
    MALFORMED = "malformed"
    OTHER_INCARNATION = "other_incarnation"
    UNANSWERED = "unanswered"


class ControlReply(enum.Enum):
    """Reply to a control request: to stop a run or to renew the lease.

    DONE: The run is being stopped, or can no longer start.
    FENCED, OTHER_INCARNATION, UNANSWERED: See StartReply.
    """

    DONE = "done"
    FENCED = "fenced"
    OTHER_INCARNATION = "other_incarnation"
    UNANSWERED = "unanswered"


class EndKind(enum.Enum):
    """How a run ended.

    LAPSED: The lease ended.
    NEVER_STARTED: The run did not start and can no longer start.
    LOST: The backend server was replaced, or no longer lists the run.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    NEVER_STARTED = "never_began"
    LOST = "vanished"


@dataclasses.dataclass(slots=True, frozen=True)
class RunKey:
    """Identifies one run of a task at a backend server.

    Attributes:
        name: Name of the task at the backend server.
        attempt: Number of the run, which increases over all runs of the task.
    """

    name: str
    attempt: int


@dataclasses.dataclass(slots=True, frozen=True)
class LeaseRenewal:
    """Request to renew the lease of all runs.

    Attributes:
        fencing_token: Fencing token of this incarnation of the agent.
        last_end_number: Number of the last end of a run that the agent processed.
        lease_end_ms: End of the lease on the backend server's clock, or None to
            request the state of the runs without a renewal.
        wait_s: How long the backend server may delay its reply until a run ends.
    """

    fencing_token: int
    last_end_number: int
    lease_end_ms: int | None
    wait_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class RunEnd:
    """The end of a run, with its number in the backend server's list of ends."""

    number: int
    key: RunKey
    kind: EndKind


@dataclasses.dataclass(slots=True, frozen=True)
class RunReport:
    """Reply of a backend server to a lease renewal.

    Attributes:
        clock_ms: Time on the backend server's clock, in milliseconds.
        progress: Completed fraction of each running task, 0 to 1.
        ends: Ends of runs that the agent has not processed yet.
        is_complete: Whether all such ends are listed.
        born_ms: When the backend server started, Unix time in milliseconds; 0 if
            unknown. After a restart it knows no earlier runs, and it numbers the
            ends from the beginning.
    """

    clock_ms: int
    progress: dict[RunKey, float]
    ends: list[RunEnd]
    is_complete: bool = True
    born_ms: int = 0


class RunClient(Protocol):
    """Sends requests to a backend server; makes no decisions."""

    def make_run_key(self, payload: Any, attempt: int) -> RunKey:
        """Returns the key of a run of the task with this payload."""

    async def start(
        self, key: RunKey, payload: Any, lease_end_ms: int, fencing_token: int
    ) -> StartReply:
        """Requests the start of a run.

        Raises no exception if the backend server can't be reached.

        Args:
            key: Key of the run.
            payload: Payload of the task.
            lease_end_ms: End of the lease on the backend server's clock.
            fencing_token: Fencing token of this incarnation of the agent.
        """

    async def stop(self, key: RunKey, fencing_token: int) -> ControlReply:
        """Requests the stop of a run.

        If the run has not started, a confirmed stop prevents its start.
        """

    async def renew(self, renewal: LeaseRenewal) -> RunReport | ControlReply:
        """Renews the lease of all runs, and requests their state."""
