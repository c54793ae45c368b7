"""Runs tasks at a backend server that stops them when the agent's lease ends.

A run is one attempt to run a task. The agent sends requests to start and to stop
a run, and renews one lease for all of its runs.

The backend server continues when its agent ends. It may also execute a request
without a reply, even seconds later. Therefore a run counts as ended only

- if the backend server reports its end,
- if the backend server no longer lists the run after it confirmed the start or
  the stop of the run,
- if another incarnation of the backend server has replaced the one that received
  the start request, or
- if the run has started and the last lease has certainly ended.

The lease of a request that is executed late may count from its execution, and extends
that of all runs. Therefore the fencing token is increased when a request with a lease
got no reply: once the backend server has replied to a request with the higher token,
the earlier one can have no effect any more. What remains is an assumption about the
requests with a lease that were sent shortly before a backend server falls silent: each
is executed either while the lease that it asks for, counted from its sending, has not
ended, and extends the lease no further than that; or after the last lease has ended,
when no run is left that it could extend.
"""

import math
from typing import Any

import trio

from gooseberrylink.backends.client import BackendOutcome, BackendOwner
from gooseberrylink.backends.fencing import FencingToken
from gooseberrylink.backends.lease_settings import LeaseSettings
from gooseberrylink.backends.leased_run import LeasedRun
from gooseberrylink.backends.order_limiter import LimitedRunClient
from gooseberrylink.backends.runs import (
    ControlReply,
    EndKind,
    LeaseRenewal,
    RunClient,
    RunKey,
    RunReport,
    StartReply,
)
from gooseberrylink.logs import log_event
from gooseberrylink.metrics import Metrics
from gooseberrylink.peers.messages import Status

# Load pattern: a share of the orders to sound backend servers gets no reply. This many
# starts in a row without a reply are no evidence against a backend server.
_MAX_LOST_STARTS = 2
# Bound of the requests to start one run, each with a higher token than the last.
_MAX_START_REQUESTS = 5
# Bound of the requests in flight to stop one run.
_MAX_STOPS_IN_FLIGHT = 8
# Longest wait for the end of an earlier run before another one of its task is refused.
_MAX_EARLIER_RUN_WAIT_S = 0.5
# Factor by which the pause before the next request to stop a run grows, so that a
# silent backend server gets ever fewer.
_STOP_PAUSE_GROWTH = 1.1
# A backend server that is lost within this time after it started a task may have been
# crashed by it.
_CRASH_ON_START_S = 0.1
# Reason of a stop because of missing progress. It counts as a failure of the
# backend server.
STALLED = "stalled"


class LeasedBackendClient:
    """Agent's client of a backend server with leases; see BackendClient.

    Attributes:
        is_open: Whether new runs may be started.
        can_stop: See BackendClient.
    """

    can_stop = True

    def __init__(
        self,
        client: RunClient,
        fencing_token: int,
        settings: LeaseSettings,
        metrics: Metrics,
        owner: BackendOwner,
    ):
        """Creates a client that is not open yet.

        Args:
            client: Sends the requests.
            fencing_token: Fencing token of this incarnation of the agent.
            settings: Durations.
            metrics: Counters of the agent.
            owner: The agent that uses the backend server.
        """
        self.is_open = False
        self._client = LimitedRunClient(client, metrics)
        self._fencing_token = FencingToken(fencing_token)
        self._settings = settings
        self._metrics = metrics
        self._owner = owner
        self._runs: dict[RunKey, LeasedRun] = {}
        self._unconfirmed_stops: set[LeasedRun] = set()
        self._last_end_number = 0
        self._unanswered_start_count = 0
        self._backend_clock_ms = 0
        self._clock_read_s = 0.0
        self._is_responsive = False
        self._born_ms = 0
        self._confirmed_born_ms: int | None = None
        self._confirm_after_s = -math.inf
        self._renewal_scope = trio.CancelScope()
        self._last_reply_s = trio.current_time()
        self._last_sign_of_life_s = -math.inf
        self._lease_end_s = 0.0
        self._is_closed = False
        self._is_lost = False
        self._is_leaving = False
        self._has_crashed = False
        self._has_unknown_runs = False
        self._nursery: trio.Nursery | None = None

    async def run_background(self) -> None:
        """Renews the lease until closed and the last run has ended."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._set_not_open_when_silent)
            while not (self._is_closed and not self._runs):
                await self._renew_once()
            nursery.cancel_scope.cancel()

    def close(self) -> None:
        """Starts no new runs; the present ones continue under the lease."""
        self._is_closed = True
        self.is_open = False

    def expect_end(self) -> None:
        """Counts no run as lost: the backend server drains, and will end by itself."""
        self._is_leaving = True

    def mark_lost(self, reason: str) -> None:
        """Closes, and marks all runs as lost because the backend server was replaced.

        A server that restarted under the same id is not replaced: runs whose start
        was requested before the restart was noticed may be running there.
        """
        self._is_closed = self._is_lost = True
        self._set_open(False)
        log_event("backend_lost", reason=reason, runs=len(self._runs))
        self._record_crash()
        for run in list(self._runs.values()):
            self._finish(run, EndKind.LOST)

    def reconfirm_incarnation(self, born_ms: int) -> None:
        """Lets only replies to requests from now on set confirmed_born_ms.

        An incarnation that has not replied yet gets a request at once, whose fencing
        token bars late starts. One to the earlier incarnation may still be waiting.

        Args:
            born_ms: Start time of the incarnation that announced itself.
        """
        self._confirmed_born_ms = None
        self._confirm_after_s = trio.current_time()
        if born_ms != self._born_ms:
            self._renewal_scope.cancel()

    @property
    def confirmed_born_ms(self) -> int | None:
        """Start time of the incarnation that last replied; None if unknown.

        Only replies to requests after the last call of reconfirm_incarnation() count.
        Requests for the lease follow one another, so replies can't overtake others.
        """
        return self._confirmed_born_ms

    @property
    def is_closed(self) -> bool:
        """Whether it starts no new runs for good."""
        return self._is_closed

    @property
    def is_lost(self) -> bool:
        """Whether mark_lost() was called, also because its requests were refused."""
        return self._is_lost

    @property
    def has_runs(self) -> bool:
        """Whether a run has not certainly ended."""
        return bool(self._runs)

    # Tasks.

    async def run(
        self, task_id: str, job_id: str, customer: str, payload: Any, attempt: int
    ) -> BackendOutcome:
        """See BackendClient."""
        if not self.is_open:
            return _refusal("backend_not_open")
        now_s = trio.current_time()
        run = LeasedRun(self._client.make_run_key(payload, attempt), task_id, now_s)
        if await self._wait_for_earlier_run(run.key.name):
            return _refusal("run_in_progress")
        run.was_backend_alive = now_s - self._last_sign_of_life_s < _CRASH_ON_START_S
        self._runs[run.key] = run
        try:
            return await self._run(run, payload)
        finally:
            del self._runs[run.key]

    async def _wait_for_earlier_run(self, name: str) -> bool:
        """Waits for the end of a task's run that an earlier assignment started.

        A job that is sent again numbers its runs from 1 again, so the earlier run may
        have any number. The wait has a limit, and nothing is started after it, because
        the permission to start may have ended meanwhile.

        Returns:
            Whether there was such a run.
        """
        for run in self._runs.values():
            if run.key.name == name:
                with trio.move_on_after(_MAX_EARLIER_RUN_WAIT_S):
                    await run.ended.wait()
                return True
        return False

    def stop(self, task_id: str) -> None:
        """See BackendClient."""
        for run in self._runs.values():
            if run.task_id == task_id:
                self._stop_soon(run)

    async def _run(self, run: LeasedRun, payload: Any) -> BackendOutcome:
        reply = await self._start(run, payload)
        self._metrics.add("run_orders", reply.value)
        self._metrics.observe("run_order", trio.current_time() - run.requested_s)
        log_event(
            "run_ordered",
            run=run.key.name,
            attempt=run.key.attempt,
            reply=reply.value,
            last_reply_age_s=trio.current_time() - self._last_reply_s,
        )
        if reply is StartReply.MALFORMED:
            return BackendOutcome(Status.FAILED, reason="backend_refused_payload")
        if reply is StartReply.STARTED:
            now_s = trio.current_time()
            self._record_started(run, now_s)
            run.progressed_s = min(run.progressed_s, now_s)
            self._last_sign_of_life_s = now_s
            self._unanswered_start_count = 0
        elif reply is StartReply.UNANSWERED:
            self._unanswered_start_count += 1
            run.is_evidence = self._unanswered_start_count > _MAX_LOST_STARTS
            self._stop_soon(run)
            if self._nursery is not None:
                self._nursery.start_soon(self._report_if_unconfirmed, run)
        elif run.started_s is None:
            return _refusal(reply.value, reply is StartReply.UNHEALTHY)
        await run.ended.wait()
        return self._outcome(run)

    async def _start(self, run: LeasedRun, payload: Any) -> StartReply:
        """Requests the start, again with the present token if it was fenced.

        The token may have been increased while the request was in flight. Nothing is
        repeated for a run that is being stopped, or that a restart of the backend
        server is taken to have ended.
        """
        for _ in range(_MAX_START_REQUESTS):
            lease_s = self._next_lease_s()
            if lease_s <= 0:
                # A backend server that has restarted, and whose clock is behind, would
                # still grant it.
                return StartReply.LATE
            self._record_lease_end(lease_s)
            fencing_token = self._fencing_token.value
            reply = await self._client.start(
                run.key, payload, self._to_backend_clock_ms(lease_s), fencing_token
            )
            if reply is StartReply.UNANSWERED:
                self._fencing_token.fence(fencing_token)
            if reply is not StartReply.FENCED:
                return reply
            self._fencing_token.increase_past(fencing_token)
            if run.is_stopping or run.stop_effective_s is not None:
                break
        return reply

    def _outcome(self, run: LeasedRun) -> BackendOutcome:
        run_s = trio.current_time() - run.requested_s
        reason = STALLED if run.is_stalled else run.end.value
        if run.end is EndKind.DONE:
            return BackendOutcome(Status.DONE, run_s=run_s)
        if run.end is EndKind.FAILED:
            return BackendOutcome(Status.FAILED, reason="task_failed", run_s=run_s)
        if run.end is EndKind.NEVER_STARTED:
            return _refusal(reason, run.is_evidence)
        return BackendOutcome(
            Status.STOPPED,
            reason=reason,
            run_s=run_s,
            is_backend_lost=run.is_backend_lost,
            is_crash=run.is_backend_lost and run.is_crash,
            is_crash_suspect=run.is_backend_lost and _may_have_crashed_backend(run),
            is_start_unanswered=run.started_s is None,
        )

    def _record_started(self, run: LeasedRun, now_s: float) -> None:
        if run.started_s is None:
            run.started_s = now_s
            self._owner.handle_start_confirmed(run.task_id)

    def _finish(
        self, run: LeasedRun, kind: EndKind, is_backend_lost: bool = False
    ) -> None:
        if run.end is None:
            run.end = kind
            is_backend_lost = is_backend_lost or kind is EndKind.LOST
            run.is_backend_lost = is_backend_lost and not self._is_leaving
            run.is_crash = kind is EndKind.LOST and self._has_crashed
            self._metrics.add("run_ends", kind.value)
            log_event(
                "run_ended",
                run=run.key.name,
                attempt=run.key.attempt,
                how=kind.value,
                progress=run.progress,
                stop_requests=run.stop_requests,
                took_s=trio.current_time() - run.requested_s,
            )
            run.stop_settled.set()
            run.ended.set()

    def _stop_soon(self, run: LeasedRun) -> None:
        if not run.is_stopping and self._nursery is not None:
            run.stop_requested_s = trio.current_time()
            self._nursery.start_soon(self._stop, run)

    async def _report_if_unconfirmed(self, run: LeasedRun) -> None:
        """Reports a start without a reply if its stop is not confirmed soon either."""
        with trio.move_on_after(self._settings.max_unconfirmed_s):
            await run.ended.wait()
        if run.end is None:
            self._owner.handle_start_unconfirmed(run.task_id)

    async def _stop(self, run: LeasedRun) -> None:
        """Requests the stop of a run until one request is confirmed or the run ends.

        A request is normally answered within milliseconds, and it is idempotent.
        Therefore the next one is sent before it is certain that the last one gets no
        reply.
        """
        pause_s = self._settings.retry_s
        self._unconfirmed_stops.add(run)
        async with trio.open_nursery() as nursery:
            while not run.stop_settled.is_set():
                if len(nursery.child_tasks) < _MAX_STOPS_IN_FLIGHT:
                    nursery.start_soon(self._request_stop, run)
                with trio.move_on_after(pause_s):
                    await run.stop_settled.wait()
                pause_s = min(
                    pause_s * _STOP_PAUSE_GROWTH, self._settings.max_stop_pause_s
                )
            nursery.cancel_scope.cancel()
        self._unconfirmed_stops.discard(run)

    async def _request_stop(self, run: LeasedRun) -> None:
        run.stop_requests += 1
        fencing_token = self._fencing_token.value
        reply = await self._client.stop(run.key, fencing_token)
        if reply is ControlReply.DONE:
            run.stop_effective_s = trio.current_time() + self._settings.max_stop_s
            run.stop_settled.set()
        elif reply is ControlReply.FENCED:
            self._fencing_token.increase_past(fencing_token)
        elif reply is ControlReply.OTHER_INCARNATION:
            self.mark_lost("other_incarnation")

    # The lease.

    async def _renew_once(self) -> None:
        settings = self._settings
        wait_s = (
            settings.wait_while_busy_s if self._runs else settings.wait_while_idle_s
        )
        if self._has_unknown_runs or self._min_stall_s() > 0:
            wait_s = settings.wait_while_stalled_s
        # While the backend server does not reply, the lease is not renewed. A
        # renewal might be executed without a reply, and the agent could never be
        # certain that the lease has ended. Nor is it while there are runs that this
        # agent did not start: it would extend them, and their requests to stop may be
        # late.
        lease_end_ms = None
        report_requested_s = trio.current_time()
        lease_s = self._next_lease_s()
        if not self._is_responsive:
            wait_s = 0.0
        elif lease_s > 0 and not self._has_unknown_runs:
            lease_end_ms = self._to_backend_clock_ms(lease_s)
            self._record_lease_end(lease_s)
        renewal = LeaseRenewal(
            self._fencing_token.value, self._last_end_number, lease_end_ms, wait_s
        )
        report = ControlReply.UNANSWERED
        with trio.CancelScope() as self._renewal_scope:
            report = await self._client.renew(renewal)
        if isinstance(report, RunReport):
            self._last_reply_s = self._last_sign_of_life_s = trio.current_time()
            if not self._is_responsive and report.born_ms == self._born_ms:
                self._owner.handle_recovery()
            self._is_responsive = True
            self._apply_report(report, report_requested_s)
            return
        self._is_responsive = False
        self._metrics.add("renewals_failed", report.value)
        if report is ControlReply.FENCED:
            self._fencing_token.increase_past(renewal.fencing_token)
        elif report is ControlReply.UNANSWERED and lease_end_ms is not None:
            self._fencing_token.fence(renewal.fencing_token)
        elif report is ControlReply.OTHER_INCARNATION:
            self.mark_lost("other_incarnation")
        self._end_lapsed()
        if not self._renewal_scope.cancelled_caught:
            with trio.CancelScope() as self._renewal_scope:
                await trio.sleep(settings.retry_s)

    def _apply_report(self, report: RunReport, report_requested_s: float) -> None:
        self._backend_clock_ms, self._clock_read_s = (
            report.clock_ms,
            self._last_reply_s,
        )
        if report_requested_s > self._confirm_after_s:
            self._confirmed_born_ms = report.born_ms or None
        if report.born_ms != self._born_ms:
            if self._born_ms:
                self._handle_restart(report.born_ms)
            self._born_ms = report.born_ms
        for end in report.ends:
            self._last_end_number = max(self._last_end_number, end.number)
            run = self._runs.get(end.key)
            if run is not None:
                self._finish(run, end.kind)
        self._has_unknown_runs = self._update_progress(report)
        self._stop_stalled()
        if report.is_complete:
            self._end_unlisted(report, report_requested_s)
        is_healthy = not self._has_unknown_runs and not self._is_hung()
        self._set_open(is_healthy and not self._is_closed)

    def _handle_restart(self, born_ms: int) -> None:
        """Handles a restart of the backend server under the same id.

        Runs that are known to have started need no change: the new incarnation
        lists those that it runs itself, and the others end as LOST because it does
        not list them. A start request without a reply may have been executed before
        the restart, or may still be executed until the backend server has seen a
        higher fencing token. Therefore its run ends as LOST if a report requested with
        that token does not list it, and not before.
        """
        log_event("backend_restarted", born_ms=born_ms, runs=len(self._runs))
        self._record_crash()
        self._last_end_number = 0
        # A higher token fences start requests from before the restart.
        self._fencing_token.fence(self._fencing_token.value)
        for run in list(self._runs.values()):
            if run.started_s is None:
                run.may_have_run = True
                run.stop_effective_s = self._last_reply_s
            if run.is_stopping and run.stop_settled.is_set() and run.end is None:
                # The new incarnation does not know of the stop.
                run.stop_settled = trio.Event()
                self._nursery.start_soon(self._stop, run)

    def _record_crash(self) -> None:
        if not self._is_leaving:
            self._has_crashed = True
            self._owner.handle_crash()

    def _update_progress(self, report: RunReport) -> bool:
        """Updates the progress of runs, and stops runs that this agent did not start.

        Returns:
            Whether there are runs that this agent did not start.
        """
        has_unknown_runs = False
        for key, progress in report.progress.items():
            run = self._runs.get(key)
            if run is not None:
                run.last_listed_s = self._last_reply_s
                if run.started_s is None or progress > run.progress:
                    run.progressed_s = self._last_reply_s
                self._record_started(run, self._last_reply_s)
                run.progress = progress
                continue
            has_unknown_runs = True
            log_event("unknown_run_stopped", run=key.name, attempt=key.attempt)
            self._nursery.start_soon(self._client.stop, key, self._fencing_token.value)
        return has_unknown_runs

    def _stop_stalled(self) -> None:
        """Stops runs without progress, so that entries can assign them again."""
        settings = self._settings
        limit_s = settings.hung_s if self._is_hung() else settings.max_stall_s
        for run in self._runs.values():
            if self._last_reply_s - run.progressed_s > limit_s:
                if not run.is_stopping:
                    run.is_stalled = True
                    log_event("run_stalled", run=run.key.name, progress=run.progress)
                self._stop_soon(run)

    def _is_hung(self) -> bool:
        """Returns whether there are several runs and none makes progress."""
        return self._min_stall_s() > self._settings.hung_s

    def _min_stall_s(self) -> float:
        """Returns the time since the last progress of any run, in seconds.

        It is 0 for fewer than two runs, because a single run may make no progress
        because of its task.
        """
        stall_times_s = [
            self._last_reply_s - run.progressed_s
            for run in self._runs.values()
            if run.progressed_s <= self._last_reply_s
        ]
        return min(stall_times_s) if len(stall_times_s) > 1 else 0.0

    def progress_per_s(self, task_id: str) -> float | None:
        """See BackendClient."""
        for run in self._runs.values():
            if run.task_id == task_id and run.started_s is not None:
                elapsed_s = self._last_reply_s - run.started_s
                if elapsed_s < self._settings.hung_s:
                    return None
                return run.progress / elapsed_s
        return None

    def _end_unlisted(self, report: RunReport, report_requested_s: float) -> None:
        """Ends runs that the backend server would list if they were running."""
        for run in list(self._runs.values()):
            if run.key in report.progress or run.end is not None:
                continue
            if (
                run.stop_effective_s is not None
                and report_requested_s > run.stop_effective_s
            ):
                has_started = run.started_s is not None or run.may_have_run
                self._finish(
                    run, EndKind.LOST if has_started else EndKind.NEVER_STARTED
                )
            elif run.started_s is not None and report_requested_s > run.started_s:
                self._finish(run, EndKind.LOST)

    def _end_lapsed(self) -> None:
        """Ends the runs of a silent backend server once the lease has ended."""
        if trio.current_time() <= self._lease_end_s:
            return
        for run in list(self._runs.values()):
            if run.started_s is not None:
                self._finish(run, EndKind.LAPSED, is_backend_lost=True)
            elif not (run.is_in_doubt or self._is_leaving):
                # It has not certainly ended, as it may still start.
                run.is_in_doubt = True
                self._owner.handle_start_in_doubt(
                    run.task_id, _may_have_crashed_backend(run)
                )

    async def _set_not_open_when_silent(self) -> None:
        """Starts no new runs while the backend server does not reply."""
        while True:
            await trio.sleep(self._settings.max_silence_s / 4)
            if trio.current_time() - self._last_reply_s > self._settings.max_silence_s:
                self._set_open(False)

    def _set_open(self, is_open: bool) -> None:
        if is_open == self.is_open:
            return
        self.is_open = is_open
        log_event("backend_opened" if is_open else "backend_closed")
        self._owner.handle_availability_change()

    def _next_lease_s(self) -> float:
        """Returns how long the next lease may last; at most 0 if none is allowed.

        A lease holds for all runs, also for one that does not stop as requested.
        """
        limit_s = min(
            (run.lease_limit_s for run in self._unconfirmed_stops), default=math.inf
        )
        limit_s = min(limit_s, self._owner.run_lease_limit_s())
        return min(self._settings.lease_s, limit_s - trio.current_time())

    def _to_backend_clock_ms(self, from_now_s: float) -> int:
        elapsed_s = trio.current_time() - self._clock_read_s
        return self._backend_clock_ms + round(1000 * (elapsed_s + from_now_s))

    def _record_lease_end(self, lease_s: float) -> None:
        """Records when a lease has certainly ended; an earlier one may end later."""
        duration_s = self._settings.max_duration_s(lease_s)
        self._lease_end_s = max(self._lease_end_s, trio.current_time() + duration_s)


def _may_have_crashed_backend(run: LeasedRun) -> bool:
    """Returns whether the last sign of life came just before or after the start."""
    if run.started_s is None:
        return run.was_backend_alive
    listed_until_s = run.last_listed_s or run.started_s
    return listed_until_s - run.started_s < _CRASH_ON_START_S


def _refusal(reason: str, is_evidence: bool = False) -> BackendOutcome:
    return BackendOutcome(Status.NOT_STARTED, reason=reason, is_evidence=is_evidence)
