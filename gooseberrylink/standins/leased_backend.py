"""Fakes a backend server that runs tasks under a lease, and logs every run."""

import dataclasses
import functools
import math
import random
from collections.abc import Callable
from typing import Any

import trio

from gooseberrylink.backends.runs import (
    ControlReply,
    EndKind,
    LeaseRenewal,
    RunEnd,
    RunKey,
    RunReport,
    StartReply,
)

# Time after which a request without a reply is reported as UNANSWERED.
_REPLY_TIMEOUT_S = 0.25
# Delay of the reply to a request to start or stop a run.
_REPLY_DELAY_S = 0.001
POLL_INTERVAL_S = 0.005
# Bounds of the delay after which a late request is executed.
_LATE_REQUEST_DELAY_S = (2.0, 12.0)


@dataclasses.dataclass(slots=True)
class RecordedRun:
    """One run, as the fake backend server logged it.

    Attributes:
        worker: Name of the worker on which it ran.
        units: Units of capacity that it uses.
        run_s: Run time in seconds that it needs on this worker, slowdown included.
        ended_s: When it ended, on trio's clock; infinite while it runs.
        end_kind: How it ended; None while it runs.
    """

    key: RunKey
    worker: str
    units: int
    started_s: float
    run_s: float
    ended_s: float = math.inf
    end_kind: EndKind | None = None


class FakeLeasedBackend:
    """Runs tasks by waiting; implements RunClient.

    A payload is {"name": ..., "run_s": ..., "units": ...}. With "crash_s" as well, the
    backend server crashes that many seconds after it started the task. With 0, it
    crashes before it replies to the start.

    Attributes:
        name: Name of its worker.
        capacity_units: Its capacity. It starts every run that it is requested to
            start, even if this exceeds the capacity, as real backend servers do.
        runs: Every run, in order.
        peak_units: The most units that were in use at the same time.
        is_unresponsive: Whether requests get no reply and have no effect.
        execution_delay_s: If greater than 0, requests get no reply but are executed
            after this delay.
        late_share: Share of the requests, drawn at random, that get no reply but are
            executed seconds later.
        are_renewals_late: Whether late_share counts for renewals of leases, too.
        counts_lease_from_arrival: Whether a late request grants its lease from the
            time of its execution, instead of until the requested end.
        is_hung: Whether runs make no progress.
        slowdown: Factor by which runs take longer than the payload says.
        clock_drift: Share by which its clock runs slow; 0.02 is 2%.
        fencing_token: Highest token seen; requests with a lower one are refused.
        restart_s: How long it is down after a task crashed it.
        crashed_by: Name of the task of each crash, in order.
        born_ms: Start of its current incarnation, in milliseconds. The origin is
            arbitrary; each restart adds 1.
    """

    def __init__(
        self,
        name: str,
        nursery: trio.Nursery,
        capacity_units: int = 8,
        clock_drift: float = 0.02,
        seed: int = 0,
    ):
        self.name = name
        self.capacity_units = capacity_units
        self.clock_drift = clock_drift
        self.runs: list[RecordedRun] = []
        self.peak_units = 0
        self.is_unresponsive = False
        self.execution_delay_s = 0.0
        self.late_share = 0.0
        self.are_renewals_late = True
        self.counts_lease_from_arrival = False
        self.is_hung = False
        self.slowdown = 1.0
        self.fencing_token = 0
        self.restart_s = 3.0
        self.crashed_by: list[str] = []
        self.born_ms = 1_000_000
        self._nursery = nursery
        self._rng = random.Random(f"{name} {seed}")
        self._running: dict[RunKey, RecordedRun] = {}
        self._progress_s: dict[RunKey, float] = {}
        self._highest_attempts: dict[str, int] = {}
        self._unacknowledged_ends: list[RunEnd] = []
        self._lease_end_ms = 0
        self._last_end_number = 0

    async def advance_runs(self) -> None:
        """Advances the runs until cancelled; ends those whose lease has expired."""
        while True:
            await trio.sleep(POLL_INTERVAL_S)
            self.advance_runs_once()

    def advance_runs_once(self) -> None:
        """Advances the runs by POLL_INTERVAL_S."""
        for key, run in list(self._running.items()):
            if self.clock_ms() > self._lease_end_ms:
                self._end(key, EndKind.LAPSED)
                continue
            self._progress_s[key] += 0.0 if self.is_hung else POLL_INTERVAL_S
            if self._progress_s[key] >= run.run_s:
                self._end(key, EndKind.DONE)

    def crash(self) -> None:
        """Ends all runs as LOST and restarts as a new incarnation.

        The new incarnation knows no attempt, reported end, lease or fencing token from
        before. The list `runs` is kept.
        """
        self.born_ms += 1
        for key in list(self._running):
            self._end(key, EndKind.LOST)
        self._unacknowledged_ends.clear()
        self._highest_attempts.clear()
        self.fencing_token = self._last_end_number = self._lease_end_ms = 0

    async def _crash_later(self, key: RunKey, delay_s: float) -> None:
        """Crashes if the run is still in progress then."""
        await trio.sleep(delay_s)
        if key in self._running:
            self._crash_because_of(key)

    def _crash_because_of(self, key: RunKey) -> None:
        self.crashed_by.append(key.name)
        self.is_unresponsive = True
        self.crash()
        self._nursery.start_soon(self._become_responsive_later)

    async def _become_responsive_later(self) -> None:
        await trio.sleep(self.restart_s)
        self.is_unresponsive = False

    def make_run_key(self, payload: Any, attempt: int) -> RunKey:
        """See RunClient."""
        return RunKey(payload["name"], attempt)

    async def start(
        self, key: RunKey, payload: Any, lease_end_ms: int, fencing_token: int
    ) -> StartReply:
        """See RunClient."""
        sent_ms = self.clock_ms()

        def execute(is_late: bool) -> StartReply:
            end_ms = self._granted_lease_end_ms(lease_end_ms, sent_ms, is_late)
            return self._start(key, payload, end_ms, fencing_token)

        return await self._execute(execute, StartReply.UNANSWERED)

    async def stop(self, key: RunKey, fencing_token: int) -> ControlReply:
        """See RunClient."""
        return await self._execute(
            lambda is_late: self._stop(key, fencing_token), ControlReply.UNANSWERED
        )

    async def renew(self, renewal: LeaseRenewal) -> RunReport | ControlReply:
        """See RunClient."""
        sent_ms = self.clock_ms()

        def execute(is_late: bool) -> ControlReply:
            end_ms = renewal.lease_end_ms
            if end_ms is not None:
                end_ms = self._granted_lease_end_ms(end_ms, sent_ms, is_late)
            return self._renew(renewal, end_ms)

        reply = await self._execute(execute, ControlReply.UNANSWERED, is_renewal=True)
        if reply is not ControlReply.DONE:
            return reply
        with trio.move_on_after(renewal.wait_s):
            await self._wait_for_end()
        if self.is_unresponsive:
            await trio.sleep(_REPLY_TIMEOUT_S)
            return ControlReply.UNANSWERED
        progress = {
            key: min(1.0, self._progress_s[key] / run.run_s)
            for key, run in self._running.items()
        }
        ends = list(self._unacknowledged_ends)
        return RunReport(self.clock_ms(), progress, ends, True, self.born_ms)

    async def _wait_for_end(self) -> None:
        while not self._unacknowledged_ends:
            await trio.sleep(POLL_INTERVAL_S)

    def _granted_lease_end_ms(
        self, lease_end_ms: int, sent_ms: int, is_late: bool
    ) -> int:
        if is_late and self.counts_lease_from_arrival:
            return lease_end_ms + self.clock_ms() - sent_ms
        return lease_end_ms

    async def _execute(
        self,
        request: Callable[[bool], Any],
        timeout_reply: Any,
        is_renewal: bool = False,
    ) -> Any:
        """Executes a request at once, late or never.

        Args:
            request: Executes the request; its argument is whether it is late.
            timeout_reply: Returned if the request gets no reply.
            is_renewal: Whether it renews the lease.
        """
        execution_delay_s = self._draw_execution_delay_s(is_renewal)
        if execution_delay_s == 0.0:
            born_ms = self.born_ms
            await trio.sleep(0.0 if is_renewal else _REPLY_DELAY_S)
            if self.born_ms != born_ms:
                # A request in transit is lost with the incarnation that it was sent to.
                return timeout_reply
            reply = request(False)
            if self.born_ms == born_ms:
                return reply
        elif execution_delay_s < math.inf:
            late_request = functools.partial(request, True)
            self._nursery.start_soon(
                self._execute_later, late_request, execution_delay_s
            )
        await trio.sleep(_REPLY_TIMEOUT_S)
        return timeout_reply

    def _draw_execution_delay_s(self, is_renewal: bool) -> float:
        """Returns 0 if the request gets a reply, infinity if it has no effect."""
        if self.is_unresponsive:
            return math.inf
        if self.execution_delay_s:
            return self.execution_delay_s
        if is_renewal and not self.are_renewals_late:
            return 0.0
        if self.late_share and self._rng.random() < self.late_share:
            return self._rng.uniform(*_LATE_REQUEST_DELAY_S)
        return 0.0

    async def _execute_later(
        self, request: Callable[[], Any], execution_delay_s: float
    ) -> None:
        await trio.sleep(execution_delay_s)
        request()

    def _start(
        self, key: RunKey, payload: Any, lease_end_ms: int, fencing_token: int
    ) -> StartReply:
        if not self._accept_fencing_token(fencing_token):
            return StartReply.FENCED
        # A start extends the lease of all runs, even if its own run is refused.
        self._lease_end_ms = max(self._lease_end_ms, lease_end_ms)
        if key in self._running:
            return StartReply.STARTED
        if key.attempt <= self._highest_attempts.get(key.name, 0):
            return StartReply.SUPERSEDED
        if lease_end_ms < self.clock_ms():
            return StartReply.LATE
        run = RecordedRun(
            key,
            self.name,
            payload.get("units", 1),
            trio.current_time(),
            payload["run_s"] * self.slowdown,
        )
        self.runs.append(run)
        self._running[key] = run
        self._progress_s[key] = 0.0
        in_use = sum(other.units for other in self._running.values())
        self.peak_units = max(self.peak_units, in_use)
        crash_s = payload.get("crash_s")
        if crash_s == 0:
            self._crash_because_of(key)
        elif crash_s is not None:
            self._nursery.start_soon(self._crash_later, key, crash_s)
        return StartReply.STARTED

    def _stop(self, key: RunKey, fencing_token: int) -> ControlReply:
        if not self._accept_fencing_token(fencing_token):
            return ControlReply.FENCED
        self._highest_attempts[key.name] = max(
            key.attempt, self._highest_attempts.get(key.name, 0)
        )
        if key in self._running:
            self._end(key, EndKind.STOPPED)
        return ControlReply.DONE

    def _renew(self, renewal: LeaseRenewal, lease_end_ms: int | None) -> ControlReply:
        if not self._accept_fencing_token(renewal.fencing_token):
            return ControlReply.FENCED
        if lease_end_ms is not None:
            self._lease_end_ms = max(self._lease_end_ms, lease_end_ms)
        self._unacknowledged_ends = [
            end
            for end in self._unacknowledged_ends
            if end.number > renewal.last_end_number
        ]
        return ControlReply.DONE

    def _end(self, key: RunKey, end_kind: EndKind) -> None:
        run = self._running.pop(key)
        run.ended_s, run.end_kind = trio.current_time(), end_kind
        self._highest_attempts[key.name] = max(
            key.attempt, self._highest_attempts.get(key.name, 0)
        )
        self._last_end_number += 1
        self._unacknowledged_ends.append(RunEnd(self._last_end_number, key, end_kind))

    def _accept_fencing_token(self, fencing_token: int) -> bool:
        self.fencing_token = max(self.fencing_token, fencing_token)
        return fencing_token >= self.fencing_token

    def clock_ms(self) -> int:
        """Returns the backend server's clock in milliseconds."""
        return round(trio.current_time() * 1000 * (1 - self.clock_drift))


class FakeBackendOwner:
    """Takes no notice of what a client reports; see BackendOwner.

    Attributes:
        lease_limit_s: Time beyond which no lease may be requested.
    """

    def __init__(self):
        self.lease_limit_s = math.inf

    def handle_availability_change(self) -> None:
        """See BackendOwner."""

    def run_lease_limit_s(self) -> float:
        """See BackendOwner."""
        return self.lease_limit_s

    def handle_start_confirmed(self, task_id: str) -> None:
        """See BackendOwner."""

    def handle_start_unconfirmed(self, task_id: str) -> None:
        """See BackendOwner."""

    def handle_start_in_doubt(self, task_id: str, is_crash_suspect: bool) -> None:
        """See BackendOwner."""

    def handle_crash(self) -> None:
        """See BackendOwner."""

    def handle_recovery(self) -> None:
        """See BackendOwner."""


def find_tasks_with_overlapping_runs(backends: list[FakeLeasedBackend]) -> list[str]:
    """Returns the names of tasks of which two runs overlapped in time."""
    by_name: dict[str, list[RecordedRun]] = {}
    for backend in backends:
        for run in backend.runs:
            by_name.setdefault(run.key.name, []).append(run)
    overlapping = []
    for name, runs in by_name.items():
        runs.sort(key=lambda run: run.started_s)
        pairs = zip(runs, runs[1:], strict=False)
        if any(later.started_s < earlier.ended_s for earlier, later in pairs):
            overlapping.append(name)
    return overlapping
