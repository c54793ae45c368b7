"""Defines the agent's interface to backend servers."""

import dataclasses
import re
from typing import Any, Protocol

from gooseberrylink.addresses import split_address
from gooseberrylink.exceptions import MalformedAddressError, MalformedAnnouncementError
from gooseberrylink.peers.messages import Assign, Host, LostRun, Status

# Requests carry the incarnation in a header.
_INCARNATION = re.compile(r"[!-~]{0,200}")
_MAX_BORN_MS = 2**53


@dataclasses.dataclass(slots=True)
class BackendOutcome:
    """How one task ended at the backend server.

    Attributes:
        status: DONE, FAILED, STOPPED, NOT_STARTED or MAY_HAVE_RUN.
        value: Result of the task if DONE; otherwise None or an error text.
        reason: Short snake_case reason unless DONE.
        is_evidence: Whether a status other than DONE is evidence of a fault of the
            backend server. A refusal because it is full is not.
        run_s: Run time in seconds: from the first byte of the request until the
            response, or from the start request until the run was reported as ended.
        is_backend_lost: Whether the run ended because the backend server crashed or
            fell silent, and had not announced that it drains.
        is_crash: Whether a newer incarnation shows that it crashed.
        is_crash_suspect: Whether that was so soon after the start that the task may
            have crashed the backend server.
        is_start_unanswered: Whether the backend server did not confirm the start, so
            that the task may not have run at all.
    """

    status: Status
    value: Any = None
    reason: str = ""
    run_s: float = 0.0
    is_evidence: bool = True
    is_backend_lost: bool = False
    is_crash: bool = False
    is_crash_suspect: bool = False
    is_start_unanswered: bool = False

    def to_lost_run(self, assign: Assign) -> LostRun:
        """Returns the report of a run that was lost with its backend server."""
        return LostRun(
            assign.task_name,
            assign.assignment_id,
            self.is_crash_suspect,
            self.is_crash,
            self.is_start_unanswered,
        )


@dataclasses.dataclass(slots=True)
class Announcement:
    """A backend server's description of itself.

    Attributes:
        service: Service whose tasks the backend server runs.
        address: host:port at which it accepts tasks.
        slots: Units (see Resources) that it has.
        speed_hint: Speed relative to a typical worker; 1.0 if unknown.
        memory_mb: Memory in megabytes; 0 if memory is not counted.
        gpus: Number of accelerators.
        task_units: Units that a typical task uses.
        incarnation: Id of this instance of the backend server; "" if unknown. A
            restarted backend server may keep its id; born_ms then differs.
        born_ms: When the backend server started, Unix time in milliseconds; 0 if
            unknown.
        hardware: Hardware type of the host; hosts of one type are equally fast. ""
            if unknown.
        rack: Rack of the host; "" if unknown.
    """

    service: str
    address: str
    slots: int
    speed_hint: float = 1.0
    memory_mb: int = 0
    gpus: int = 0
    task_units: int = 1
    incarnation: str = ""
    born_ms: int = 0
    hardware: str = ""
    rack: str = ""

    @property
    def host(self) -> Host:
        """Host on which the backend server runs."""
        return Host(self.hardware, self.rack, self.born_ms)

    def check(self) -> None:
        """Checks that requests can be sent to the backend server.

        Announcements come from other processes, or from earlier releases through the
        store, so each one is checked before it is used.

        Raises:
            MalformedAnnouncementError: The address, the incarnation or the start time
                can't be used.
        """
        try:
            split_address(self.address)
        except MalformedAddressError as error:
            raise MalformedAnnouncementError(str(error)) from None
        if not _INCARNATION.fullmatch(self.incarnation):
            raise MalformedAnnouncementError(
                f"incarnation {self.incarnation!r:.80}: expected at most 200 visible"
                " ASCII characters"
            )
        if not 0 <= self.born_ms <= _MAX_BORN_MS:
            raise MalformedAnnouncementError(
                f"born_ms {str(self.born_ms):.30}: expected 0 to {_MAX_BORN_MS}"
            )


class BackendClient(Protocol):
    """Client of a backend server, the process that executes the tasks.

    Attributes:
        can_stop: Whether a running task can be stopped.
        is_open: Whether new tasks may be started.
    """

    can_stop: bool
    is_open: bool

    async def run_background(self) -> None:
        """Does the background work, such as lease renewals, until closed."""

    def close(self) -> None:
        """Lets run_background() return once the last task has ended."""

    async def run(
        self, task_id: str, job_id: str, customer: str, payload: Any, attempt: int
    ) -> BackendOutcome:
        """Runs one task to its end; never raises for a failed task.

        Args:
            task_id: Id of the task, which is the same for all attempts.
            job_id: Id of its job.
            customer: Customer that submitted the job.
            payload: Payload that the caller submitted for the task.
            attempt: Number of the attempt, which increases with each assignment.
        """

    def stop(self, task_id: str) -> None:
        """Stops a running task, if this is supported; run() then returns."""

    def progress_per_s(self, task_id: str) -> float | None:
        """Returns the completed fraction of a task per second; None if unknown."""


class BackendOwner(Protocol):
    """The agent that uses a backend server, as a client with leases sees it."""

    def handle_availability_change(self) -> None:
        """Handles that is_open of the client has changed."""

    def run_lease_limit_s(self) -> float:
        """Returns the time beyond which no lease may be requested now."""

    def handle_start_confirmed(self, task_id: str) -> None:
        """Handles that the backend server has shown that it started a task."""

    def handle_start_unconfirmed(self, task_id: str) -> None:
        """Handles that neither a start nor its stop has a reply, a moment after them.

        Args:
            task_id: Id of the task.
        """

    def handle_start_in_doubt(self, task_id: str, is_crash_suspect: bool) -> None:
        """Handles that a start has no reply, and that the last lease has ended.

        Args:
            task_id: Id of the task.
            is_crash_suspect: Whether the task may have crashed the backend server.
        """

    def handle_crash(self) -> None:
        """Handles that a newer incarnation shows that the backend server crashed.

        Its runs may have ended before.
        """

    def handle_recovery(self) -> None:
        """Handles that the same incarnation replies again after a silence.

        The runs that ended in it were not lost in a crash.
        """
