"""Queues the jobs of an entry, assigns their tasks to agents, and answers them."""

import itertools
import math
import random
from collections.abc import Iterator

import trio

from gooseberrylink.admission import Admission
from gooseberrylink.codes import CANCELLED_CODES, EXPIRED_CODES, Code
from gooseberrylink.crash_history import MAX_LOST_RUNS_AT_ENTRY, CrashHistory
from gooseberrylink.exceptions import RefusedError
from gooseberrylink.input_watermark import InputWatermark
from gooseberrylink.isolation import IsolationMonitor
from gooseberrylink.logs import log_event
from gooseberrylink.metrics import Metrics
from gooseberrylink.operators.configuration import Configuration
from gooseberrylink.peers.agent_peer import AgentPeer, AssignHints
from gooseberrylink.peers.messages import (
    AgentHello,
    LostRun,
    Result,
    Status,
    UnconfirmedStart,
)
from gooseberrylink.quotas import Quotas
from gooseberrylink.retry_budget import RetryBudget
from gooseberrylink.routing import make_policy, remote_factor
from gooseberrylink.run_times import RunTimeModel
from gooseberrylink.scheduling.evacuation import refusal_for_lack_of_room
from gooseberrylink.scheduling.task_picker import TaskPicker
from gooseberrylink.scheduling.trial import Trial, try_out
from gooseberrylink.service_pool import ServicePool
from gooseberrylink.settings import EntrySettings
from gooseberrylink.success_rates import CustomerSuccessRates
from gooseberrylink.suspension import SuspensionMonitor
from gooseberrylink.types import Answer, Job, JobRequest, Task, TaskState
from gooseberrylink.unconfirmed_starts import (
    AnnouncedStarts,
    UnconfirmedStarts,
    earlier_start_pending,
)

_MAX_RETRY_BUDGET = 50.0
_RETRY_BACKOFF_S = 0.05
# How long a task waits for proof that its losses were crashes. Crashed backend servers
# are back after some three seconds, and announce themselves at once.
_CRASH_REPORT_WAIT_S = 5.0
# Demand of a queue whose first task is due within this time is advertised even if the
# queue is not stalled.
_DUE_SOON_S = 0.3
# A queue that is not empty for longer is stalled: most tasks are shorter than this, so
# their results would have freed slots by then.
_QUEUE_STALLED_S = 1.0
# Lag of the event loop that does not shorten the leases of an entry.
_TOLERATED_LAG_S = 0.1
# Tasks whose numbers one log line lists.
_MAX_LOGGED_TASKS = 16


class Dispatcher:
    """Runs the jobs of one entry.

    Attributes:
        jobs: Jobs in progress, by job id. An expired or cancelled job is removed
            when its tasks are revoked, before its answer is given.
        is_draining: Whether new jobs are refused.
        shutdown_deadline_s: Time by which all answers must be given; infinite
            while no shutdown is in progress.
        crash_history: Runs that were lost with their backend servers, as all agents
            report them.
    """

    def __init__(
        self,
        settings: EntrySettings,
        configuration: Configuration,
        metrics: Metrics,
        incarnation: str,
        seed: int | None = None,
    ):
        self.settings = settings
        self.jobs: dict[str, Job] = {}
        self.is_draining = False
        self.shutdown_deadline_s = math.inf
        self._last_job_ended_s = -math.inf
        self.run_times = RunTimeModel()
        self.quotas = Quotas()
        self.crash_history = CrashHistory(MAX_LOST_RUNS_AT_ENTRY)
        self._success_rates = CustomerSuccessRates()
        self._configuration = configuration
        self._metrics = metrics
        self._incarnation = incarnation
        self._sequence = itertools.count(1)
        self._pools: dict[str, ServicePool] = {}
        self._retry_budget = RetryBudget(settings.retry_share, _MAX_RETRY_BUDGET)
        self._policy = make_policy(settings, random.Random(seed), self.run_times)
        self._admission = Admission(
            configuration, self.quotas, self.run_times, self._policy, settings
        )
        self._picker = TaskPicker(self._policy)
        # For each agent whose link closed while it had tasks of this entry: the time
        # from which none that has started can be running, as all leases have expired.
        self._leases_end_s: dict[AgentPeer, float] = {}
        # The same for their starts without a known confirmation, which may be late.
        self._late_starts_end_s: dict[AgentPeer, float] = {}
        # Starts that may still take effect, as all processes report them; and those of
        # this entry whose agents are away.
        self._unconfirmed_starts = UnconfirmedStarts()
        self._announced_starts = AnnouncedStarts()
        # An entry that was suspended for longer than its leases may have jobs that
        # their callers have submitted to other entries.
        self._suspension = SuspensionMonitor(settings.lease_s)
        # So may an entry that was cut off from all agents for that time.
        self._isolation = IsolationMonitor(settings.lease_s)
        self._watermark = InputWatermark()
        self._nursery: trio.Nursery | None = None

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Runs the periodic work and the delayed retries until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            agents_back_s = self.settings.agents_back_s
            self._admission.startup_grace_ends_s = trio.current_time() + agents_back_s
            task_status.started()
            while True:
                if await self._suspension.wait_for_tick():
                    self._fail_jobs_of_suspension()
                nursery.start_soon(self._advance_watermark)
                if self._is_any_agent_connected():
                    await self._isolation.check_silence()
                self._reclaim_tasks_with_expired_leases()
                self._check_queues()

    async def _advance_watermark(self) -> None:
        was_lagging = self._is_lagging()
        await self._watermark.advance()
        if was_lagging and not self._is_lagging():
            self._check_queues()

    # Requests from callers.

    def admit(self, request: JobRequest, entry_count: int = 1) -> Job:
        """Checks a job and creates its tasks, without starting any.

        Args:
            request: The job.
            entry_count: Number of known entries, among which quotas are divided.

        Raises:
            RefusedError: The job is refused; nothing was started.
        """
        now_s = trio.current_time()
        # The check refuses unknown services, which must not leave a pool behind.
        pool = self._pools.get(request.service) or ServicePool(request.service)
        self._check(request, pool, self._admission, entry_count, now_s)
        pool = self.pool(request.service)
        number = next(self._sequence)
        job = Job(
            job_id=f"{self._incarnation}-{number}",
            request=request,
            submitted_s=now_s,
            expires_s=now_s + request.deadline_s,
        )
        self._admission.create_tasks(job, pool)
        job.start_by_s = max(job.start_by_s, self._admission.startup_grace_ends_s)
        self.jobs[job.job_id] = job
        for spec in request.tasks:
            pool.record_task_units(spec.resources.units)
        return job

    def try_out(self, request: JobRequest, entry_count: int) -> Trial:
        """Returns what would happen to a job now, and changes nothing; see admit()."""
        now_s = trio.current_time()
        pool = self._pools.get(request.service) or ServicePool(request.service)
        pool = pool.copy_for_trial()
        admission = self._admission.copy_for_trial()
        self._check(request, pool, admission, entry_count, now_s)
        return try_out(request, pool, admission, self._policy, now_s)

    def _check(
        self,
        request: JobRequest,
        pool: ServicePool,
        admission: Admission,
        entry_count: int,
        now_s: float,
    ) -> None:
        pool.min_slowdown = self._policy.min_slowdown(pool.peers)
        time_left_s = self.shutdown_deadline_s - now_s
        self._check_age(request)
        self._check_unconfirmed_starts(request, now_s)
        admission.check(
            request, pool, entry_count, now_s, self.is_draining, time_left_s
        )

    def _check_age(self, request: JobRequest) -> None:
        """Refuses a job that may have waited in a socket during a suspension.

        Its caller may have left unnoticed since; see _fail_jobs_of_suspension().
        """
        if request.rerun_policy is not None and self._suspension.is_settling():
            raise RefusedError(
                Code.NOT_READY,
                f"entry {self.settings.entry} has just resumed from a suspension",
                0.0,
            )

    def _check_unconfirmed_starts(self, request: JobRequest, now_s: float) -> None:
        """Refuses a job of which an earlier submission may still start a task."""
        names = [task.name for task in request.tasks]
        left_s = self._unconfirmed_starts.left_s(names, now_s)
        if left_s > 0:
            raise earlier_start_pending(left_s)

    async def run_job(self, job: Job) -> Answer:
        """Runs an admitted job; returns all its results, or one code."""
        pool = self.pool(job.request.service)
        for task in job.tasks:
            if self.crash_history.is_to_be_given_up(task.spec.name):
                return self._crash_answer(task)
        try:
            # A job completes with its last task, so the longest tasks are placed first
            # and get the fastest slots.
            for task in sorted(job.tasks, key=lambda task: -task.expected_s):
                self._push_or_await_crash_reports(task)
            self.assign_queued_tasks(pool.service)
            self._assign_new_job(pool, job)
            return await self._await_answer(job)
        finally:
            self._withdraw_tasks(job)

    def discard(self, job: Job) -> None:
        """Removes a job, whether it ran or not."""
        self.jobs.pop(job.job_id, None)
        self._last_job_ended_s = trio.current_time()

    def idle_since_s(self) -> float:
        """Returns the time since which there is no job; now if there is one."""
        return trio.current_time() if self.jobs else self._last_job_ended_s

    def cancel(self, job: Job) -> None:
        """Cancels a job; tasks that have not started never will."""
        job.is_cancelled = True
        self._notify(job)

    async def _await_answer(self, job: Job) -> Answer:
        with trio.move_on_at(job.expires_s):
            while not (job.failure or job.is_cancelled or not job.unfinished_count):
                await job.changed.wait()
        if job.failure is None and job.unfinished_count:
            await self._wait_for_revokes(job)
        if job.failure is not None or not job.unfinished_count:
            self._success_rates.record_outcome(
                job.request.customer, job.failure is None
            )
        if job.failure is not None:
            return job.failure
        if not job.unfinished_count:
            return Answer(Code.OK, results=job.results)
        code_by_execution = CANCELLED_CODES if job.is_cancelled else EXPIRED_CODES
        return Answer(
            code_by_execution[job.execution_status()], detail=job.describe_progress()
        )

    async def _wait_for_revokes(self, job: Job) -> None:
        """Revokes the tasks of an ended job; waits to learn which had started.

        Waits for revoke_wait_s at most.
        """
        self._withdraw_tasks(job)
        with trio.move_on_after(self.settings.revoke_wait_s):
            while any(task.state is TaskState.ASSIGNED for task in job.tasks):
                await job.changed.wait()

    def _withdraw_tasks(self, job: Job) -> None:
        """Removes a job from jobs, drops its queued tasks and revokes those in flight.

        Does nothing if the job was removed before.
        """
        if self.jobs.pop(job.job_id, None) is None:
            return
        pool = self.pool(job.request.service)
        by_worker: dict[str, list[Task]] = {}
        for task in job.tasks:
            if task.state is TaskState.QUEUED:
                pool.queue.drop(task)
                self._metrics.add("tasks_dropped", "job_ended")
            elif task.state is TaskState.ASSIGNED:
                by_worker.setdefault(task.worker, []).append(task)
        if not by_worker:
            return
        # A worker may have changed its service since the assignment.
        for peer in self._all_peers():
            tasks = by_worker.get(peer.worker)
            if tasks:
                peer.withdraw(job, tasks)

    def is_to_be_stopped(self, task: Task) -> bool:
        """Returns whether a task is to be stopped if it is running."""
        job = task.job
        return job.job_id not in self.jobs and job.request.rerun_policy is not None

    # Events from agents.

    def pool(self, service: str) -> ServicePool:
        """Returns the pool of a service and creates it if needed."""
        pool = self._pools.get(service)
        if pool is None:
            pool = self._pools[service] = ServicePool(service)
        return pool

    def pools(self) -> list[ServicePool]:
        """Returns the pools of all services."""
        return list(self._pools.values())

    def _all_peers(self) -> Iterator[AgentPeer]:
        """Returns the agents of all services, connected or not."""
        return itertools.chain.from_iterable(pool.peers for pool in self.pools())

    def move_peer(self, peer: AgentPeer, service: str) -> None:
        """Moves an agent to the pool of the service that it now offers."""
        for pool in self._pools.values():
            if peer in pool.peers:
                pool.peers.remove(peer)
        peer.service = service
        self.pool(service).peers.append(peer)

    def handle_result(self, peer: AgentPeer, result: Result) -> None:
        """Handles a result, or the report that a task is running."""
        task = peer.tasks_in_flight.get(result.assignment_id)
        if task is None:
            # A late or duplicate result; the task is no longer in flight.
            self._metrics.add("results_ignored", result.status.name.lower())
            if result.status is not Status.RUNNING:
                peer.acknowledge(result.assignment_id)
            return
        if result.status is Status.RUNNING:
            if task.job.job_id not in self.jobs:
                task.state = TaskState.RAN
                self._notify(task.job)
            return
        self._remove_in_flight(peer, task)
        peer.acknowledge(result.assignment_id)
        if result.status is Status.NOT_STARTED:
            self.handle_not_started(task, result.reason)
        else:
            self._handle_finished_run(peer, task, result)

    def handle_not_started(self, task: Task, reason: str) -> None:
        """Retries a task that was certainly not started.

        If the retry budget is used up, the retry is delayed.
        """
        if task.job.job_id not in self.jobs:
            task.state = TaskState.NOT_STARTED
            self._notify(task.job)
            return
        self._metrics.add("retries", reason)
        if task.job.request.rerun_policy is not None:
            log_event(
                "task_not_started",
                job=task.job.request.job_id,
                task=task.index,
                attempt=task.attempts,
                worker=task.worker,
                reason=reason,
            )
        if self._retry_budget.try_withdraw():
            self._requeue(task)
        else:
            task.state = TaskState.BACKING_OFF
            self._metrics.add("retries_delayed", reason)
            self._nursery.start_soon(self._requeue_later, task)

    def handle_unsent(self, peer: AgentPeer, assignment_id: str) -> None:
        """Retries a task whose assignment never reached the transport."""
        task = peer.tasks_in_flight.get(assignment_id)
        if task is not None:
            self._remove_in_flight(peer, task)
            self.handle_not_started(task, "unsent")

    def handle_agent_restart(self, peer: AgentPeer, earlier_runs_left_s: float) -> None:
        """Reruns the tasks in flight at a restarted agent, or fails their jobs.

        Args:
            peer: The agent.
            earlier_runs_left_s: See AgentHello.
        """
        delay_s = min(earlier_runs_left_s, self.settings.rerun_after_silence_s)
        for task in list(peer.tasks_in_flight.values()):
            if not self._reclaim_task(peer, task, "agent_lost", delay_s):
                detail = (
                    f"the agent of worker {peer.worker} was restarted during task"
                    f" {task.index}"
                )
                self._fail(task.job, Answer(Code.AGENT_LOST, detail))

    def _reclaim_task(
        self, peer: AgentPeer, task: Task, reason: str, delay_s: float = 0.0
    ) -> bool:
        """Ends the assignment of a task whose agent has lost it.

        Args:
            peer: The agent.
            task: A task in flight there.
            reason: Reason of the rerun.
            delay_s: Time after which the task can't be running any more.

        Returns:
            Whether the job allows reruns.
        """
        self._remove_in_flight(peer, task, delay_s)
        task.state = TaskState.UNKNOWN
        self._metrics.add("tasks_in_doubt", reason)
        self._record_loss_in_silence(task)
        if delay_s > 0 and task.job.request.rerun_policy is not None:
            self._nursery.start_soon(self._rerun_later, task, reason, delay_s)
            return True
        return self._rerun(task, reason)

    def _record_loss_in_silence(self, task: Task) -> None:
        """Records that a task's worker may have crashed with its agent.

        The agent has not reported it.
        """
        lost_run = LostRun(task.spec.name, task.assignment_id, is_suspect=False)
        self.record_lost_run(lost_run)

    async def _rerun_later(self, task: Task, reason: str, delay_s: float) -> None:
        await trio.sleep(delay_s)
        if task.job.job_id in self.jobs:
            self._rerun(task, reason)

    def record_lost_run(
        self, lost_run: LostRun, reporter: AgentPeer | None = None
    ) -> None:
        """Records a lost run; sends it to the agents if it concerns all entries.

        An agent reports it to its other entries, to which the job may be submitted
        again. Each process passes on only what is new to it, so that this ends.

        Args:
            lost_run: The run.
            reporter: The agent that reported it; None if none did.
        """
        if not self.crash_history.record(lost_run, trio.current_time()):
            return
        self._reconsider_queued_tasks(lost_run.task_name)
        to_share = self.crash_history.to_share(lost_run)
        if not to_share:
            return
        for peer in self._all_peers():
            if peer is not reporter or len(to_share) > 1:
                peer.share_lost_runs(to_share)

    def _reconsider_queued_tasks(self, task_name: str) -> None:
        """Queues a waiting task anew after a loss, as a suspect or after a wait."""
        for pool in self._pools.values():
            for task in pool.queue.find(task_name):
                pool.queue.drop(task)
                self._push_or_await_crash_reports(task)

    def handle_sign_of_agent(self) -> None:
        """Handles that the entry can be reached; fails stale jobs if it could not."""
        if self._isolation.record_sign():
            self._fail_jobs_of_isolation()

    def handle_link_closed(self, has_timed_out: bool) -> None:
        """Handles that a link to an agent was closed.

        Args:
            has_timed_out: Whether this entry closed it because the agent was silent.
        """
        if self._is_any_agent_connected():
            # Not a sign of the agent: a network that cuts this entry off may reset it.
            return
        if has_timed_out:
            self._isolation.record_isolation()
        else:
            self.handle_sign_of_agent()

    def _is_any_agent_connected(self) -> bool:
        return any(peer.is_connected for peer in self._all_peers())

    def _fail_jobs_of_isolation(self) -> None:
        """Fails the jobs that may have been submitted to another entry meanwhile.

        Their callers may have disconnected while this entry could not be reached, and
        the disconnects may arrive much later than the first frames of agents. All of
        their runs have ended with the leases.
        """
        stale_before_s = trio.current_time() - self.settings.lease_s
        stale = self._find_rerunnable_jobs(stale_before_s)
        log_event("entry_reachable", "WARNING", failed_jobs=len(stale))
        self._metrics.add("jobs_given_up_after_isolation", amount=len(stale))
        self._fail_stale_jobs(stale, "the entry was cut off from all agents")

    def _fail_jobs_of_suspension(self) -> None:
        """Fails the jobs that may have been submitted to another entry meanwhile.

        A suspended entry notices no cut, and frames that agents sent before or after
        one look as after a suspension alone. All results that arrived in time have been
        handled, and all runs without one have ended with the leases.
        """
        stale = self._find_rerunnable_jobs(trio.current_time())
        log_event("entry_settled", failed_jobs=len(stale))
        self._metrics.add("jobs_given_up_after_suspension", amount=len(stale))
        self._fail_stale_jobs(stale, "the entry was suspended")

    def _find_rerunnable_jobs(self, submitted_before_s: float) -> list[Job]:
        """Returns the jobs that their callers may submit again without an answer."""
        return [
            job
            for job in self.jobs.values()
            if job.request.rerun_policy is not None
            and job.submitted_s < submitted_before_s
        ]

    def _fail_stale_jobs(self, jobs: list[Job], detail: str) -> None:
        for job in jobs:
            is_unassigned = job.is_unassigned()
            self._withdraw_tasks(job)
            answer = Answer(Code.AGENT_LOST, detail)
            if is_unassigned:
                answer = Answer(Code.NO_BACKEND_SERVER, detail, retry_after_s=0.0)
            self._fail(job, answer)

    def handle_agent_disconnected(self, peer: AgentPeer) -> None:
        """Records when the leases of a disconnected agent's tasks will expire.

        The last disconnection counts: until then the agent had a lease.
        """
        self._late_starts_end_s.pop(peer, None)
        if peer.tasks_in_flight:
            self._leases_end_s[peer] = (
                trio.current_time() + self.settings.rerun_after_silence_s
            )
            self._announce_unconfirmed_starts(peer)

    def _reclaim_tasks_with_expired_leases(self) -> None:
        """Reruns tasks of disconnected agents whose leases have expired.

        A task that is not known to have started may still start, with a new lease, so
        it waits until no late start can be left.
        """
        max_late_start_s = self.settings.max_late_start_s
        for peer, leases_end_s in _pop_ended(self._leases_end_s):
            self._late_starts_end_s[peer] = leases_end_s + max_late_start_s
            for task in list(peer.tasks_in_flight.values()):
                if task.job.request.rerun_policy is None:
                    continue
                if task.is_start_confirmed:
                    self._reclaim_task(peer, task, "leases_over")
                elif max_late_start_s > 0:
                    self._record_loss_in_silence(task)
        for peer, _ in _pop_ended(self._late_starts_end_s):
            for task in list(peer.tasks_in_flight.values()):
                if task.job.request.rerun_policy is not None:
                    self._reclaim_task(peer, task, "leases_over")

    def _announce_unconfirmed_starts(self, peer: AgentPeer) -> None:
        """Tells all entries which starts may take effect while an agent is away.

        Each of these jobs may be submitted to another entry before.
        """
        if not self.settings.max_late_start_s:
            return
        left_s = self.settings.rerun_after_silence_s + self.settings.max_late_start_s
        starts = [
            UnconfirmedStart(
                task.spec.name,
                task.assignment_id,
                peer.worker,
                peer.incarnation,
                left_s,
            )
            for task in peer.tasks_in_flight.values()
            if task.spec.name
            and task.job.request.rerun_policy is not None
            and not task.is_start_confirmed
        ]
        if starts:
            log_event(
                "starts_unconfirmed",
                worker=peer.worker,
                tasks=",".join(s.task_name for s in starts[:_MAX_LOGGED_TASKS]),
            )
            self._share_unconfirmed_starts(starts)

    def withdraw_announced_start(self, assignment_id: str, left_s: float = 0.0) -> None:
        """Tells all entries that a start was confirmed or can no longer take effect.

        Args:
            assignment_id: The assignment; others than announced ones are ignored.
            left_s: Time after which it can take no effect.
        """
        withdrawal = self._announced_starts.withdraw(assignment_id, left_s)
        if withdrawal is not None:
            self._share_unconfirmed_starts([withdrawal])

    def _share_unconfirmed_starts(self, starts: list[UnconfirmedStart]) -> None:
        now_s = trio.current_time()
        for start in starts:
            self._unconfirmed_starts.record(start, now_s)
            if start.left_s > 0:
                self._announced_starts.add(start, now_s)
        for peer in self._all_peers():
            peer.share_unconfirmed_starts(starts)

    def announced_starts(self) -> list[UnconfirmedStart]:
        """Returns this entry's starts that may take effect while agents are away."""
        return self._announced_starts.pending(trio.current_time())

    def shorten_waits_for_starts(self, hello: AgentHello) -> None:
        """Waits no longer for earlier starts of a restarted agent than it says."""
        self._unconfirmed_starts.handle_agent_restart(
            hello.worker,
            hello.incarnation,
            hello.earlier_runs_left_s,
            trio.current_time(),
        )

    def record_unconfirmed_start(
        self, start: UnconfirmedStart, reporter: AgentPeer
    ) -> None:
        """Records a start that an agent reported, or that it passed on.

        Only those of its own are shared, as the others come from an entry that shares
        them itself.
        """
        is_new = self._unconfirmed_starts.record(start, trio.current_time())
        if not is_new:
            return
        if start.left_s > 0:
            self._refuse_queued_jobs(start)
        if (start.worker, start.incarnation) == (reporter.worker, reporter.incarnation):
            for peer in self._all_peers():
                if peer is not reporter:
                    peer.share_unconfirmed_starts([start])

    def _refuse_queued_jobs(self, start: UnconfirmedStart) -> None:
        """Refuses jobs that were admitted before an earlier start became known."""
        for pool in self.pools():
            for task in pool.queue.find(start.task_name):
                is_own_start = start.assignment_id.startswith(f"{task.task_id}.")
                if task.job.is_unassigned() and not is_own_start:
                    self._refuse(task.job, earlier_start_pending(start.left_s))

    def refuse_jobs_without_room(self) -> None:
        """Refuses the queued jobs for which an evacuation leaves too little room."""
        if trio.current_time() < self._admission.startup_grace_ends_s:
            return
        for pool in self.pools():
            evacuated = {peer.data_centre for peer in pool.evacuated_peers()}
            for job, wait_s in pool.find_jobs_without_room(trio.current_time()):
                self._metrics.add("jobs_given_up_for_evacuation")
                error = refusal_for_lack_of_room(pool.service, evacuated, wait_s)
                self._refuse(job, error)

    def _refuse(self, job: Job, error: RefusedError) -> None:
        """Refuses a job that was admitted, and of which no task was assigned."""
        self._withdraw_tasks(job)
        self._fail(job, Answer(error.code, error.detail, None, error.retry_after_s))

    def _rerun(self, task: Task, reason: str) -> bool:
        """Queues a task again whose last run has certainly ended.

        A task that crashes workers is given up instead.

        Returns:
            Whether the job allows reruns.
        """
        job = task.job
        if job.request.rerun_policy is None:
            return False
        if self.crash_history.is_to_be_given_up(task.spec.name):
            self._fail(job, self._crash_answer(task))
            return True
        job.has_rerun_tasks = True
        task.avoided_workers.add(task.worker)
        self._metrics.add("reruns", reason)
        log_event(
            "task_rerun",
            job=job.request.job_id or job.job_id,
            task=task.index,
            worker=task.worker,
            attempt=task.attempts,
            reason=reason,
        )
        if job.job_id not in self.jobs:
            self._notify(job)
        else:
            self._requeue(task)
        return True

    def _remove_in_flight(
        self, peer: AgentPeer, task: Task, delay_s: float = 0.0
    ) -> None:
        """Removes a task that has ended, or will have ended after a delay."""
        peer.remove_in_flight(task)
        self.withdraw_announced_start(task.assignment_id, delay_s)
        self.pool(task.job.request.service).in_flight_count -= 1

    def _handle_finished_run(self, peer: AgentPeer, task: Task, result: Result) -> None:
        job = task.job
        if result.status is Status.DONE:
            self._record_run_time(peer, task, result.run_s)
            task.state = TaskState.DONE
            job.results[task.index] = result.value
            job.unfinished_count -= 1
            self._notify(job)
            return
        if result.status is Status.STOPPED:
            task.state = TaskState.RAN
            if self._rerun(task, result.reason):
                return
            code = Code.BACKEND_BROKE
        elif result.status is Status.FAILED:
            task.state = TaskState.RAN
            task.failures += 1
            policy = job.request.rerun_policy
            if policy is not None and task.failures < policy.max_failures:
                self._rerun(task, result.reason)
                return
            code = Code.TASK_FAILED
        else:
            task.state = TaskState.UNKNOWN
            code = Code.BACKEND_BROKE
        self._metrics.add("task_failures", result.reason)
        detail = (
            f"task {task.index} gave no result on worker {peer.worker}, reason:"
            f" {result.reason}"
        )
        self._fail(job, Answer(code, detail))

    def _crash_answer(self, task: Task) -> Answer:
        """Returns the answer to the job of a task that must not be started again."""
        self._metrics.add("tasks_given_up", "workers_crashed")
        losses = self.crash_history.count_losses(task.spec.name)
        detail = (
            f"{losses} workers crashed or fell silent after task {task.index} was sent"
            " there"
        )
        return Answer(Code.WORKERS_CRASHED, detail)

    def _record_run_time(self, peer: AgentPeer, task: Task, run_s: float) -> None:
        request = task.job.request
        self.run_times.record_run(
            request.customer,
            request.service,
            task.spec.declared_s,
            peer.worker_identity,
            run_s / remote_factor(task.spec, peer.host, self.settings),
            self._configuration.long_threshold_s(request.service),
            trio.current_time(),
        )

    def _fail(self, job: Job, answer: Answer) -> None:
        if job.failure is None:
            job.failure = answer
        self._notify(job)

    def _notify(self, job: Job) -> None:
        job.changed.set()
        job.changed = trio.Event()

    # Assignment.

    def is_settling(self) -> bool:
        """Returns whether nothing may be assigned, as callers may have disconnected.

        The entry has just resumed, is cut off, or lags.
        """
        return (
            self._isolation.is_isolated
            or self._suspension.is_settling()
            or self._is_lagging()
        )

    def _is_lagging(self) -> bool:
        """Returns whether leases are so short that tasks would be stopped soon."""
        return self._watermark.lag_s() > self.settings.lease_s / 2

    def lease_reduction_s(self) -> float:
        """Returns by how much leases are shortened, because the event loop lags.

        An entry renews its leases for jobs whose callers are connected, as far as it
        knows. This holds for the time until which it has handled all disconnects.
        """
        return max(0.0, self._watermark.lag_s() - _TOLERATED_LAG_S)

    def assign_queued_tasks(self, service: str) -> None:
        """Assigns queued tasks of a service as long as workers have free slots."""
        if self.is_settling():
            return
        pool = self.pool(service)
        while len(pool.queue) and self._assign_or_give_up_next(pool):
            pass
        if not pool.in_flight_count:
            # Without tasks in flight no result will report a free slot.
            self._advertise_demand(pool)

    def _check_queues(self) -> None:
        """Advertises demand of queues that are due soon or stalled; gives up late jobs.

        Other queues wait for the free slots that agents report with results.
        """
        now_s = trio.current_time()
        for pool in self._pools.values():
            if not len(pool.queue):
                pool.queue_nonempty_since_s = None
                continue
            is_due_soon = pool.queue.head_priority()[1] < now_s + _DUE_SOON_S
            since_s = pool.queue_nonempty_since_s
            if since_s is None:
                pool.queue_nonempty_since_s = now_s
            elif is_due_soon or now_s - since_s > _QUEUE_STALLED_S:
                self._advertise_demand(pool)
            if not pool.can_serve():
                self.refuse_jobs_without_room()
            # This also gives up jobs that have waited too long.
            self.assign_queued_tasks(pool.service)

    def _advertise_demand(self, pool: ServicePool) -> None:
        """Sends a frame to agents that do not know the demand of a queue.

        The frame states the demand at the time of sending. Until then the demand of
        one task counts as advertised to the agent.
        """
        if self._policy.holds_tasks_at_agents:
            return
        now_s = trio.current_time()
        for peer in pool.peers_to_notify(now_s):
            peer.set_advertised_demand(math.ceil(pool.mean_task_units), now_s)
            peer.outbox.wake_sender()

    def _assign_or_give_up_next(self, pool: ServicePool) -> bool:
        """Assigns one queued task or gives up one late job.

        Returns:
            Whether it did either.
        """
        decision = self._picker.pick_next(pool, trio.current_time())
        if decision is None:
            return False
        if decision.peer is None:
            self._give_up(decision.task.job)
        else:
            pool.queue.take(decision.task)
            self._assign(pool, decision.peer, decision.task)
        return True

    def _assign_new_job(self, pool: ServicePool, job: Job) -> None:
        """Assigns tasks of a new job ahead of tasks that wait in the queue."""
        if self.is_settling():
            return
        now_s = trio.current_time()
        for decision in self._picker.pick_of_new_job(job, pool, now_s):
            pool.queue.take(decision.task)
            self._assign(pool, decision.peer, decision.task)

    def _assign(self, pool: ServicePool, peer: AgentPeer, task: Task) -> None:
        task.state = TaskState.ASSIGNED
        task.worker = peer.worker
        task.attempts += 1
        task.assigned_s = trio.current_time()
        task.is_start_confirmed = False
        if task.attempts == 1:
            waited_s = task.assigned_s - task.job.submitted_s
            self._metrics.observe("task_wait", waited_s)
        pool.in_flight_count += 1
        if task.attempts == 1:
            self._retry_budget.deposit()
        self._metrics.add("assigns")
        if not peer.has_free_resources_for(task):
            self._metrics.add("assigns_without_credits")
        customer = task.job.request.customer
        if task.job.request.rerun_policy is not None:
            log_event(
                "task_assigned",
                job=task.job.request.job_id,
                task=task.index,
                attempt=task.attempts,
                worker=peer.worker,
                free_units=peer.free_units,
                idle_units=peer.idle_units,
                last_frame_age_s=task.assigned_s - peer.last_frame_s,
                waited_s=task.assigned_s - task.job.submitted_s,
                hardware=peer.host.hardware,
                slowdown=self.run_times.slowdown(peer.worker_identity),
            )
        hints = AssignHints(
            self._policy.holds_tasks_at_agents,
            self._success_rates.is_reliable(customer),
        )
        peer.assign(task, hints)

    def _give_up(self, job: Job) -> None:
        retry_after_s = self.pool(job.request.service).retry_after_s()
        self._withdraw_tasks(job)
        self._metrics.add("jobs_given_up")
        detail = (
            f"no worker of service {job.request.service} had free capacity soon enough;"
            f" the deadline of the job was {job.request.deadline_s:g} s"
        )
        self._fail(job, Answer(Code.EXPIRED_NOT_RUN, detail, None, retry_after_s))

    def _requeue(self, task: Task) -> None:
        self._push_or_await_crash_reports(task)
        self.assign_queued_tasks(task.job.request.service)

    def _push_or_await_crash_reports(self, task: Task) -> None:
        """Queues a task, at once unless its losses may prove to be crashes.

        A backend server that crashed is back after some seconds, and only its next
        incarnation shows that it did not just fall silent.
        """
        if self.crash_history.may_be_given_up_soon(task.spec.name):
            task.state = TaskState.BACKING_OFF
            self._nursery.start_soon(self._await_crash_reports, task)
        else:
            self._push(task)

    def _push(self, task: Task) -> None:
        task.is_crash_suspect = self.crash_history.is_suspect(task.spec.name)
        task.state = TaskState.QUEUED
        self.pool(task.job.request.service).queue.push(task)

    async def _await_crash_reports(self, task: Task) -> None:
        """Queues a task after a wait, or fails its job once it is to be given up."""
        job = task.job
        wait_ends_s = trio.current_time() + _CRASH_REPORT_WAIT_S
        while job.job_id in self.jobs:
            if self.crash_history.is_to_be_given_up(task.spec.name):
                self._fail(job, self._crash_answer(task))
                return
            if trio.current_time() >= wait_ends_s:
                self._push(task)
                self.assign_queued_tasks(job.request.service)
                return
            await trio.sleep(_RETRY_BACKOFF_S)

    async def _requeue_later(self, task: Task) -> None:
        await trio.sleep(_RETRY_BACKOFF_S)
        if task.job.job_id in self.jobs:
            self._requeue(task)


def _pop_ended(ends_s: dict[AgentPeer, float]) -> list[tuple[AgentPeer, float]]:
    """Removes agents whose time has come or that are connected; returns the former."""
    now_s = trio.current_time()
    ended = []
    for peer, end_s in list(ends_s.items()):
        if peer.is_connected or end_s <= now_s:
            del ends_s[peer]
            if not peer.is_connected:
                ended.append((peer, end_s))
    return ended
