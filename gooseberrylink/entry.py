"""Connects the parts of an entry: dispatcher, agents, configuration and claims."""

import random
import secrets

import msgspec
import trio

from gooseberrylink.claims import Claim, Claims
from gooseberrylink.codes import Code
from gooseberrylink.dispatcher import Dispatcher
from gooseberrylink.exceptions import LinkClosedError, RefusedError
from gooseberrylink.histogram import ValueHistogram
from gooseberrylink.logs import log_event
from gooseberrylink.metrics import Metrics
from gooseberrylink.operators.configuration import Configuration
from gooseberrylink.operators.configuration_source import (
    ConfigurationSource,
    PollingSource,
)
from gooseberrylink.peers.agent_peer import AgentPeer
from gooseberrylink.peers.link import Link
from gooseberrylink.peers.messages import AgentHello, EntryHello, decode_at_entry
from gooseberrylink.platform.table_service import TableServiceClient
from gooseberrylink.rendezvous import choose_by_rendezvous_hash
from gooseberrylink.scheduling.evacuation import OPERATOR, Evacuations
from gooseberrylink.scheduling.share_table import to_frame
from gooseberrylink.scheduling.trial import Trial
from gooseberrylink.service_pool import ServicePool
from gooseberrylink.settings import EntrySettings
from gooseberrylink.types import Answer, Job, JobRequest

_HELLO_TIMEOUT_S = 5.0
_DRAIN_POLL_S = 0.05
_DEMAND_REPORT_INTERVAL_S = 0.5
_DEMAND_AGENTS_PER_CUSTOMER = 3
# If one of them is killed, the other has all counts.
_SHARE_AGENTS_PER_SERVICE = 2


class Entry:
    """The state and background work of an entry process, without its listeners.

    Attributes:
        incarnation: Random id of this run of the process.
        peers: Agents by worker name, including disconnected ones.
        random: Random number generator; reproducible if a seed is given.
        evacuations: The evacuated data centres, from the configuration, its source and
            agents.
        address_for_agents: Address at which agents reach this entry.
        answer_time: Histogram of the times from submission to answer, in seconds.
        reports_not_ready: Whether the readiness probe fails because a shutdown
            has started, so that the load balancer sends no more callers. Jobs are
            still accepted.
    """

    def __init__(
        self,
        settings: EntrySettings,
        platform: TableServiceClient,
        metrics: Metrics | None = None,
        seed: int | None = None,
        source: ConfigurationSource | None = None,
    ):
        self.settings = settings
        self.metrics = metrics or Metrics("entry", settings.entry)
        self.incarnation = secrets.token_hex(8)
        self.random = random.Random(seed)
        self.address_for_agents = settings.listen_agents
        self.configuration = Configuration()
        self.evacuations = Evacuations(self._handle_evacuation_change)
        self.dispatcher = Dispatcher(
            settings, self.configuration, self.metrics, self.incarnation, seed
        )
        self.claims = Claims(platform, settings.claim_group_s, self.metrics)
        self.answer_time = ValueHistogram()
        self.reports_not_ready = False
        self.peers: dict[str, AgentPeer] = {}
        self._source = source or PollingSource(platform, settings.config_poll_s)
        self._known_entries: set[str] = set(settings.entries)
        self._entries_by_worker: dict[str, list[str]] = {}
        self._jobs_by_caller_job_id: dict[tuple[str, str], Job] = {}
        self._is_configuration_confirmed = False
        self._unanswered_job_count = 0

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Runs the background work until cancelled."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self.dispatcher.run)
            await nursery.start(self.claims.run)
            nursery.start_soon(self._source.run, self)
            nursery.start_soon(self._report_customer_demands)
            task_status.started()

    # Requests from callers.

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send callers here."""
        if self.reports_not_ready or self.dispatcher.is_draining:
            return False
        has_agent = any(peer.can_serve for peer in self.peers.values())
        return self.has_current_configuration and has_agent

    @property
    def has_current_configuration(self) -> bool:
        """Whether the configuration in force counts as current.

        It does if the platform confirmed it, or if at least ready_peers connected
        agents reported a version that is not newer; a single agent may be out of date.
        """
        if self.configuration.declarations is None or not self._knows_evacuations():
            return False
        if self._is_configuration_confirmed:
            return True
        reporting_peers = sum(
            peer.is_connected and 0 < peer.config_version <= self.configuration.version
            for peer in self.peers.values()
        )
        return reporting_peers >= self.settings.ready_peers

    def _knows_evacuations(self) -> bool:
        """Returns whether it is known which data centres the operator evacuates.

        An entry that has heard of none since its start may not have heard at all.
        """
        if not self.settings.awaits_evacuations:
            return True
        return self.evacuations.version(OPERATOR) > 0

    def describe_missing_state(self) -> str:
        """Returns what the entry has to learn before it accepts jobs."""
        if (
            self.configuration.declarations is not None
            and not self._knows_evacuations()
        ):
            return (
                f"entry {self.settings.entry} has not heard yet which data centres are"
                " evacuated"
            )
        return (
            f"entry {self.settings.entry} has no configuration that is known to be"
            f" current (its version is {self.configuration.version})"
        )

    async def submit(self, request: JobRequest) -> Answer:
        """Runs a job; returns all its results, or a code for why there are none."""
        started_s = trio.current_time()
        try:
            answer = await self._admit_and_run(request)
        except RefusedError as error:
            answer = Answer(error.code, error.detail, retry_after_s=error.retry_after_s)
            _log_answer("job_refused", request, "", answer, started_s)
        self.answer_time.record(trio.current_time() - started_s)
        answer_s = trio.current_time() - started_s
        self.metrics.observe(f"answer_{answer.code.name.lower()}", answer_s)
        self.metrics.add("answers", answer.code.name.lower())
        if answer.code.name != "OK":
            self.metrics.add("refusals", answer.code.name.lower())
        return answer

    def cancel(self, customer: str, job_id: str) -> bool:
        """Cancels a job by the id its caller gave it; returns False if unknown."""
        job = self._jobs_by_caller_job_id.get((customer, job_id))
        if job is None:
            return False
        self.dispatcher.cancel(job)
        return True

    def is_in_progress(self, customer: str, job_id: str) -> bool:
        """Returns whether a job with this id is in progress here."""
        return (customer, job_id) in self._jobs_by_caller_job_id

    def count_waiting_jobs(self, customer: str) -> int:
        """Returns the number of a customer's jobs without an assigned task."""
        return sum(
            job.request.customer == customer and job.is_unassigned()
            for job in self.dispatcher.jobs.values()
        )

    def try_out(self, request: JobRequest) -> Trial:
        """Returns what would happen to a job that is submitted now.

        Raises:
            RefusedError: It would be refused.
        """
        self._check(request)
        return self.dispatcher.try_out(request, 1 + len(self.other_entries()))

    def _check(self, request: JobRequest) -> None:
        """Refuses a job if the entry is not ready or has one of the same name."""
        if not self.has_current_configuration:
            raise RefusedError(Code.NOT_READY, self.describe_missing_state(), 1.0)
        if request.job_id and self.is_in_progress(request.customer, request.job_id):
            raise RefusedError(
                Code.DUPLICATE_JOB_ID,
                f"job {request.job_id!r} of customer {request.customer} is already in"
                f" progress at entry {self.settings.entry}",
            )

    async def _admit_and_run(self, request: JobRequest) -> Answer:
        self._check(request)
        job_key = (request.customer, request.job_id)
        job = self.dispatcher.admit(request, 1 + len(self.other_entries()))
        log_event(
            "job_admitted",
            "DEBUG" if request.latency_target is None else "INFO",
            job=request.job_id or job.job_id,
            customer=request.customer,
            tasks=len(job.tasks),
            expected_s=max(task.expected_s for task in job.tasks),
            queued=len(self.dispatcher.pool(request.service).queue),
            config=self.configuration.version,
        )
        if request.job_id:
            self._jobs_by_caller_job_id[job_key] = job
        self._unanswered_job_count += 1
        try:
            answer = await self._run_with_claim_if_needed(job)
        finally:
            self._unanswered_job_count -= 1
            self.dispatcher.discard(job)
            self._jobs_by_caller_job_id.pop(job_key, None)
        _log_answer("job_answered", request, job.job_id, answer, job.submitted_s)
        return answer

    async def _run_with_claim_if_needed(self, job: Job) -> Answer:
        request = job.request
        service = self.configuration.service(request.service)
        if request.repeatable and not service.never_repeat:
            return await self.dispatcher.run_job(job)
        claim = await self.claims.acquire(
            request.customer, request.idempotency_key, job.job_id, job.expires_s
        )
        if not isinstance(claim, Claim):
            return claim
        answer = Answer(Code.CANCELLED_MAY_HAVE_RUN, "the caller disconnected")
        try:
            answer = await self.dispatcher.run_job(job)
        finally:
            self.claims.record_outcome(claim, answer)
        return answer

    # Agents' links.

    def make_hello(self) -> EntryHello:
        """Returns the entry's first frame on a new link."""
        return EntryHello(
            entry=self.settings.entry,
            incarnation=self.incarnation,
            address=self.address_for_agents,
            entries=sorted(self._known_entries),
            config_version=self.configuration.version,
        )

    def other_entries(self) -> set[str]:
        """Returns the addresses of the other entries that are known."""
        return self._known_entries - {self.address_for_agents}

    async def serve_link(self, link: Link) -> None:
        """Serves one link of an agent until it closes."""
        try:
            with trio.fail_after(_HELLO_TIMEOUT_S):
                hello = decode_at_entry(await link.receive())
        except (LinkClosedError, msgspec.MsgspecError, trio.TooSlowError):
            link.close()
            return
        if not isinstance(hello, AgentHello):
            link.close()
            return
        peer = self.peers.get(hello.worker)
        if peer is None:
            peer = self.peers[hello.worker] = AgentPeer(self, hello.worker)
        try:
            await peer.serve(link, hello)
        except LinkClosedError:
            link.close()

    def handle_agent_connected(self, peer: AgentPeer, hello: AgentHello) -> None:
        """Updates entries, pool and speed from an agent's hello; assigns tasks."""
        self._entries_by_worker[peer.worker] = hello.entries
        # What no connected agent knows any more is forgotten.
        self._known_entries = set(self.settings.entries).union(
            *(
                entries
                for worker, entries in self._entries_by_worker.items()
                if worker == peer.worker or self.peers[worker].is_connected
            )
        )
        self.dispatcher.move_peer(peer, hello.service)
        self.dispatcher.run_times.set_initial_speed(peer.worker, hello.speed_hint)
        self.dispatcher.assign_queued_tasks(hello.service)

    async def _report_customer_demands(self) -> None:
        while True:
            await trio.sleep(_DEMAND_REPORT_INTERVAL_S)
            demands = self.dispatcher.quotas.demands_near_quota(trio.current_time())
            for customer, demand_per_s in demands.items():
                self._report_customer_demand(customer, demand_per_s)
            for pool in self.dispatcher.pools():
                self._report_class_counts(pool)

    def _report_customer_demand(self, customer: str, demand_per_s: float) -> None:
        """Sends this entry's demand to the agents that sum up the customer's demand."""
        workers = [p.worker for p in self.peers.values() if p.is_connected]
        for worker in choose_by_rendezvous_hash(
            customer, workers, _DEMAND_AGENTS_PER_CUSTOMER
        ):
            peer = self.peers[worker]
            peer.customer_demands_per_s[customer] = demand_per_s
            peer.outbox.wake_sender()

    def _report_class_counts(self, pool: ServicePool) -> None:
        """Reports what callers had to the agents that sum it up."""
        pressure = pool.sharing.pressure()
        self.metrics.set_gauge("sharing_pressure", pressure)
        if pressure:
            log_event(
                "room_short",
                service=pool.service,
                pressure=pressure,
                queued=len(pool.queue),
                entry_share=pool.sharing.entry_share(),
            )
        counts = to_frame(pool.sharing.counts_to_report(trio.current_time()))
        workers = [p.worker for p in pool.peers if counts and p.can_serve]
        for worker in choose_by_rendezvous_hash(
            pool.service, workers, _SHARE_AGENTS_PER_SERVICE
        ):
            self.peers[worker].class_counts = counts
            self.peers[worker].outbox.wake_sender()

    # Configuration.

    @property
    def config_version(self) -> int:
        """See ConfigurationReceiver."""
        return self.configuration.version

    def confirm_configuration(self) -> None:
        """See ConfigurationReceiver."""
        self._is_configuration_confirmed = True

    def handle_source_failure(self, reason: str) -> None:
        """See ConfigurationReceiver."""
        self.metrics.add("config_polls_failed", reason)

    def adopt(self, version: int, text: str, source: str) -> None:
        """Adopts a newer configuration and sends it to the connected agents."""
        if not self.configuration.adopt(version, text, source):
            return
        self.metrics.set_gauge("config_version", version)
        self.evacuations.adopt_rules(self.configuration)
        self._wake_all_senders()

    def _handle_evacuation_change(self, former: frozenset[str]) -> None:
        """Tells all agents; refuses jobs for which too little room is left."""
        self.metrics.set_gauge(
            "evacuated_data_centres", len(self.evacuations.data_centres)
        )
        for peer in self.peers.values():
            peer.update_evacuated()
        self._wake_all_senders()
        if self.evacuations.data_centres - former:
            self.dispatcher.refuse_jobs_without_room()

    def _wake_all_senders(self) -> None:
        for peer in self.peers.values():
            if peer.is_connected:
                peer.outbox.wake_sender()

    # Shutdown.

    async def drain(self) -> bool:
        """Stops accepting jobs and waits until those in progress are answered.

        New jobs are refused once no job has been in progress for drain_quiet_s. It
        also waits until the outcomes of claimed requests are recorded, because a
        resubmission could not get the answer otherwise.

        Returns:
            Whether all were answered and recorded within drain_s.
        """
        with trio.move_on_after(self.settings.drain_s) as scope:
            await self._wait_until_idle()
            self.dispatcher.is_draining = True
            # The dispatcher forgets an expired job before its outcome is recorded.
            while self._unanswered_job_count or self.claims.unrecorded_outcome_count:
                await trio.sleep(_DRAIN_POLL_S)
        return not scope.cancelled_caught

    async def _wait_until_idle(self) -> None:
        """Accepts jobs until none has been in progress for drain_quiet_s.

        Callers may still send jobs over open connections. Only jobs that can be
        answered before the shutdown deadline are accepted.
        """
        quiet_s = self.settings.drain_quiet_s
        if not quiet_s:
            return
        dispatcher = self.dispatcher
        dispatcher.shutdown_deadline_s = trio.current_time() + self.settings.drain_s
        while trio.current_time() < dispatcher.idle_since_s() + quiet_s:
            await trio.sleep(_DRAIN_POLL_S)


def _log_answer(
    event: str, request: JobRequest, job_id: str, answer: Answer, since_s: float
) -> None:
    log_event(
        event,
        "DEBUG" if request.latency_target is None else "INFO",
        job=request.job_id or job_id,
        customer=request.customer,
        code=int(answer.code),
        took_s=trio.current_time() - since_s,
        detail=answer.detail,
    )
