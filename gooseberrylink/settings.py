"""Defines the settings files of the daemons."""

from typing import Annotated, Literal, Self

from pydantic import AfterValidator, Field, model_validator

from gooseberrylink.addresses import split_address
from gooseberrylink.backend_health import QuarantinePolicy
from gooseberrylink.yaml_file import StrictModel


def _validate_address(value: str) -> str:
    split_address(value)
    return value


Address = Annotated[str, AfterValidator(_validate_address)]
Seconds = Annotated[float, Field(gt=0, allow_inf_nan=False)]
NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9_.-]{0,63}$"
Name = Annotated[str, Field(pattern=NAME_PATTERN)]
PolicyName = Literal["late-binding", "completion-time", "least-in-flight", "random"]


class PeerSettings(StrictModel):
    """Settings that entries and agents have in common.

    Attributes:
        lease_s: Duration of an entry's lease at an agent, counted from the sending
            time of the entry's last frame. Once it has expired, the entry's held
            tasks do not start, and its running tasks are stopped if the backend
            server can stop tasks.
        busy_heartbeat_s: Heartbeat interval of a link while tasks are in progress.
        idle_heartbeat_s: Heartbeat interval of an idle link.
        max_misses: Heartbeat intervals without a frame after which a link is closed.
        demand_valid_s: How long an agent relies on the demand that an entry reported.
        drain_s: How long a shutdown waits for work in progress.
        max_late_start_s: How late a backend server may execute a start, and the lease
            that the run then gets. Tasks that are not known to have started are kept
            from a rerun for this time. 0 for backend servers that execute none late.
    """

    data_centre: Name
    lease_s: Seconds = 5.0
    busy_heartbeat_s: Seconds = 2.0
    idle_heartbeat_s: Seconds = 10.0
    max_misses: int = Field(default=3, ge=2)
    demand_valid_s: Seconds = 2.0
    drain_s: Seconds = 30.0
    max_late_start_s: float = Field(default=0.0, ge=0)
    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"

    @model_validator(mode="after")
    def _check_lease(self) -> Self:
        if self.lease_s < 2 * self.busy_heartbeat_s:
            raise ValueError(
                f"lease_s ({self.lease_s:g} s) must be at least twice"
                f" busy_heartbeat_s ({self.busy_heartbeat_s:g} s)"
            )
        return self


class AgentSettings(PeerSettings):
    """Settings of an agent.

    Attributes:
        worker: Name of the worker that the agent runs on, as in the inventory.
        listen: host:port at which its backend server announces itself.
        entries: Addresses of some entries. The agent learns the others from them,
            or all entries from another source such as a table.
        max_entries: Maximum number of entries that it connects to.
        dial_after_s: Time after the agent's start at which it connects to entries.
            By then entries must have rerun the tasks of the earlier incarnation,
            because it is silent (rerun_after_silence_s, max_late_start_s). The agent
            connects earlier once a backend server has listed its runs and none is
            from an earlier incarnation.
        earlier_runs_end_s: Time after the agent's start by which runs of its earlier
            incarnations have ended at all backend servers, also at those that were
            replaced; 0 if an earlier incarnation leaves no runs.
        max_run_after_lease_s: How long tasks may run after the lease of their entry if
            the agent can't stop them, at a backend server with leases.
        retention_s: How long results are kept for their entry; must exceed the
            longest deadline of a job (max_deadline_s of a service).
        max_records: Maximum number of assignments whose records are kept; further
            assignments are refused.
        max_held: Maximum number of tasks that are held until resources are free.
        announcement_valid_s: How long an announcement is valid without renewal.
        run_timeout_s: How long a task may run before its outcome is reported as
            unknown.
        grant_margin_s: When a task ends, its entry keeps the credit while it has
            queued tasks, unless another entry's first task is due earlier by more
            than this time or has a higher precedence.
        quarantine_jobs: Consecutive failed jobs that begin a quarantine of the
            backend server.
        quarantine_customers: How many customers these jobs must come from, unless
            all of the customers are reliable.
        probation_s: Time without tasks before the first probe of a quarantined
            backend server; doubles with each failed probe.
        slow_start_tasks: Maximum number of concurrent tasks at a new backend server
            during its slow start.
        cautious_jobs: Consecutive failed jobs after which the backend server runs
            one task at a time.
        max_quarantined_share: Share of a service's workers in quarantine at which
            no further worker is quarantined.
    """

    worker: Name
    listen: Address = "127.0.0.1:0"
    entries: list[Address] = []
    max_entries: int = Field(default=8, ge=1)
    dial_after_s: float = Field(default=0.0, ge=0)
    earlier_runs_end_s: float = Field(default=0.0, ge=0)
    max_run_after_lease_s: Seconds = 0.35
    retention_s: Seconds = 600.0
    max_records: int = Field(default=20_000, ge=1)
    max_held: int = Field(default=1_000, ge=0)
    announcement_valid_s: Seconds = 3.0
    run_timeout_s: Seconds = 300.0
    grant_margin_s: float = Field(default=0.5, ge=0)
    quarantine_jobs: int = Field(default=3, ge=1)
    quarantine_customers: int = Field(default=2, ge=1)
    probation_s: Seconds = 5.0
    slow_start_tasks: int = Field(default=2, ge=1)
    cautious_jobs: int = Field(default=1, ge=1)
    max_quarantined_share: float = Field(default=0.34, ge=0, le=1)

    def quarantine_policy(self) -> QuarantinePolicy:
        """Returns the settings that govern quarantine and slow start."""
        return QuarantinePolicy(
            consecutive_failed_jobs=self.quarantine_jobs,
            min_customers=self.quarantine_customers,
            probe_delay_s=self.probation_s,
            slow_start_tasks=self.slow_start_tasks,
            cautious_jobs=self.cautious_jobs,
            max_quarantined_share=self.max_quarantined_share,
        )


class EntrySettings(PeerSettings):
    """Settings of an entry.

    Attributes:
        entry: Name of the entry.
        listen: host:port at which callers and operators connect, over HTTP.
        listen_agents: host:port at which agents connect, over gRPC or plain TCP.
        entries: Addresses (listen_agents) of other entries, if known.
        platform: Address of the platform's table service and object store.
        policy: How tasks are assigned to workers. With "completion-time", a task that
            would be late where the entry has credits goes to other workers with room.
        config_poll_s: Interval at which the platform is polled for a new
            configuration.
        ready_peers: While the platform has not confirmed the entry's configuration,
            it counts as current once this many connected agents have reported a
            version that is not newer.
        drain_notice_s: How long a shutdown still accepts jobs after the entry
            reports "not ready", so that the load balancer can notice.
        drain_quiet_s: A shutdown refuses new jobs once no job has been in progress
            for this time; 0 to refuse them as soon as drain_notice_s has passed.
        revoke_wait_s: Longest time for which the answer to an expired or cancelled
            job is delayed to learn which of its tasks were started.
        claim_group_s: How long claims are collected into one transaction.
        retry_share: Retries that each first assignment of a task adds to the retry
            budget.
        body_timeout_s: How long a caller may take to send the body of a request.
        rerun_after_silence_s: Time after an agent's link closed by which all its
            tasks have ended, because the leases of the agent and then of the
            backend server have expired. The tasks may then be rerun, if they have
            started.
        agents_back_s: Time after its start during which an entry accepts jobs even
            if no agent is connected yet.
        remote_factor: Factor by which a task takes longer on another rack than on
            the rack of its data.
        learned_interval_s: Mean time between two writes of learnt estimates to the
            platform's table store, by all entries together; 0 to keep none. Only
            deployments with such a store keep them.
        awaits_evacuations: Whether an operator's table says which data centres are
            evacuated, so that no job is accepted before it, or an agent, was heard.
    """

    entry: Name
    listen: Address = "127.0.0.1:0"
    listen_agents: Address = "127.0.0.1:0"
    entries: list[Address] = []
    platform: Address
    policy: PolicyName = "late-binding"
    config_poll_s: Seconds = 1.0
    ready_peers: int = Field(default=3, ge=1)
    drain_notice_s: float = Field(default=1.0, ge=0)
    drain_quiet_s: float = Field(default=0.0, ge=0)
    revoke_wait_s: Seconds = 0.25
    claim_group_s: Seconds = 0.004
    retry_share: float = Field(default=0.5, ge=0)
    body_timeout_s: Seconds = 10.0
    rerun_after_silence_s: Seconds = 30.0
    agents_back_s: float = Field(default=0.0, ge=0)
    remote_factor: float = Field(default=1.0, ge=1)
    learned_interval_s: float = Field(default=0.0, ge=0, allow_inf_nan=False)
    awaits_evacuations: bool = False
