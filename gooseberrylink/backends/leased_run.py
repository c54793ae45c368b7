"""State of a run at a backend server with leases, as its agent knows it."""

import dataclasses
import math

import trio

from gooseberrylink.backends.runs import EndKind, RunKey

# Longest time for which the lease is renewed after a stop that is not confirmed. Its
# job may have been answered when the stop was requested, and may be sent again 1.3 s
# later; a lease lasts up to 0.07 s longer than requested. By the pauses between them,
# some 16 requests to stop the run are sent until then, so the other runs at the backend
# server are given up only if it executes no orders.
MAX_UNSTOPPED_S = 1.1


@dataclasses.dataclass(slots=True, eq=False)
class LeasedRun:
    """A run whose start was requested and whose end is not known.

    Attributes:
        requested_s: When the start was requested.
        started_s: When the agent learned that the run started; None before.
        stop_effective_s: Time from which on the run is certainly stopped or can no
            longer start; None while no stop is confirmed.
        may_have_run: Whether it may have run at an earlier incarnation of the backend
            server although the start has no reply.
        is_evidence: Whether a start without a reply is evidence of a fault of the
            backend server, as those before it had no reply either.
        progress: Completed fraction, 0 to 1, as last reported.
        progressed_s: When the progress last rose.
        last_listed_s: When a report last listed it; None before.
        was_backend_alive: Whether the backend server had replied to another request
            shortly before the start was requested.
        is_backend_lost: Whether it ended because the backend server was lost, and not
            as the backend server had announced.
        is_crash: Whether it ended because a newer incarnation was seen.
        is_stalled: Whether the run was stopped because of missing progress.
        end: How the run ended; None before.
        is_in_doubt: Whether its owner was told that its start is in doubt.
        stop_requested_s: When a stop was first requested; infinite before.
        stop_requests: How many requests to stop it were sent.
        stop_settled: Set when a stop is confirmed or the run has ended.
        ended: Set when the run has ended.
    """

    key: RunKey
    task_id: str
    requested_s: float
    started_s: float | None = None
    stop_effective_s: float | None = None
    may_have_run: bool = False
    is_evidence: bool = True
    progress: float = 0.0
    progressed_s: float = math.inf
    last_listed_s: float | None = None
    was_backend_alive: bool = False
    is_backend_lost: bool = False
    is_crash: bool = False
    is_stalled: bool = False
    end: EndKind | None = None
    is_in_doubt: bool = False
    stop_requested_s: float = math.inf
    stop_requests: int = 0
    stop_settled: trio.Event = dataclasses.field(default_factory=trio.Event)
    ended: trio.Event = dataclasses.field(default_factory=trio.Event)

    @property
    def is_stopping(self) -> bool:
        """Whether a stop was requested."""
        return self.stop_requested_s < math.inf

    @property
    def lease_limit_s(self) -> float:
        """Time by which the lease must end, so that the run ends unless it is stopped.

        Infinite unless it has started and a stop was requested but not confirmed.
        """
        if self.started_s is None or self.stop_settled.is_set():
            return math.inf
        return self.stop_requested_s + MAX_UNSTOPPED_S
