"""Defines a backend server as the agent sees it."""

import dataclasses
from typing import Any, Protocol

from gooseberrylink.peers.messages import Status


@dataclasses.dataclass(slots=True)
class BackendOutcome:
    """How one task ended at the backend server.

    Attributes:
        status: DONE, FAILED, NOT_STARTED or MAY_HAVE_RUN.
        reason: Short snake_case reason unless DONE.
        run_s: Seconds from the first byte sent until the answer.
    """

    status: Status
    value: Any = None
    reason: str = ""
    run_s: float = 0.0


@dataclasses.dataclass(slots=True)
class Announcement:
    """What a backend server says of itself.

    Attributes:
        address: host:port on which it takes tasks.
        slots: Tasks that it runs at once.
        speed_hint: Its speed relative to a common worker, if known.
    """

    service: str
    address: str
    slots: int
    speed_hint: float = 1.0


class BackendServer(Protocol):
    """Runs tasks, each in a slot of its own."""

    async def run(
        self, task_id: str, job_id: str, customer: str, payload: Any
    ) -> BackendOutcome:
        """Runs one task to its end; never raises for a failed task."""
