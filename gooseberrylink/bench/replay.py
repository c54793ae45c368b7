"""Replays a trace through real entries and agents, with fake backend servers."""

import collections
import dataclasses
import pathlib
import random

import trio

from gooseberrylink.bench.trace import Trace, TraceJob
from gooseberrylink.codes import Code, ExecutionStatus
from gooseberrylink.settings import PolicyName
from gooseberrylink.standins.backend import FakeBackend
from gooseberrylink.standins.deployment import Deployment, Network
from gooseberrylink.types import Answer, JobRequest, TaskSpec

_WARM_UP_SHARE = 0.1
_PEAK_WINDOW_S = 0.5
_PEAK_RATIO = 1.3


@dataclasses.dataclass(slots=True, frozen=True)
class Scenario:
    """How a trace is replayed.

    Attributes:
        load: Mean demand as a share of the capacity of all workers.
        entry_weights: Share of the jobs that each entry gets.
        with_black_hole: Whether the trace's black hole, a worker that fails every
            task immediately, is enabled.
        with_poison: Whether the tasks of the trace's poison jobs fail everywhere.
    """

    name: str
    load: float
    entry_weights: tuple[float, ...] = (0.34, 0.33, 0.33)
    with_black_hole: bool = False
    with_poison: bool = False


@dataclasses.dataclass(slots=True)
class JobRecord:
    """Outcome of one job of the trace.

    Attributes:
        response_time_s: Time from submission to the answer.
        ideal_s: Run time of its longest task on the fastest worker.
        work_s: Total run time of its tasks on a worker of speed 1.
        submit_delay_s: How late the load generator submitted it.
        has_wrong_results: Whether the answer was OK, but its results were not
            those of this job.
        last_start_delay_s: Time from submission to the start of its last task.
    """

    job: TraceJob
    label: str
    submitted_s: float
    response_time_s: float
    ideal_s: float
    work_s: float
    submit_delay_s: float
    answer: Answer
    has_wrong_results: bool
    last_start_delay_s: float = 0.0

    @property
    def is_complete(self) -> bool:
        """Whether the caller got the complete answer."""
        return self.answer.code is Code.OK


@dataclasses.dataclass(slots=True)
class ReplayResult:
    """Measurements of one replay.

    Attributes:
        violations: Contradictions between the answers and the backend servers'
            logs of starts; empty if all guarantees held.
        frames_sent: Number of frames that entries and agents sent.
        wasted_messages: Number of frames other than data frames, plus the number of
            refused assignments.
        message_counts: Number of frames by role and kind, and the numbers of refused
            assignments and of grants. A grant is a credit that an agent gives to a
            more urgent entry than the one whose task ended.
        retries: Number of the entries' retries by reason.
        refusals: Number of refused jobs by result code.
        quarantines: Number of times that an agent quarantined its backend server.
        black_hole_starts: Number of tasks that the black hole started and failed.
    """

    scenario: Scenario
    policy: str
    records: list[JobRecord]
    violations: list[str]
    tasks_started: int
    frames_sent: int
    wasted_messages: int
    message_counts: dict[str, int]
    retries: dict[str, int]
    refusals: dict[str, int]
    quarantines: int
    black_hole_starts: int
    duration_s: float


class Replay:
    """One replay of a trace."""

    def __init__(
        self,
        trace: Trace,
        scenario: Scenario,
        policy: PolicyName,
        declarations_text: str,
        seed: int,
    ):
        self._trace = trace
        self._scenario = scenario
        self._policy = policy
        self._declarations_text = declarations_text
        self._random = random.Random(seed)
        self._records: list[JobRecord] = []
        self._deployment: Deployment | None = None

    async def run(self, nursery: trio.Nursery, network: Network) -> ReplayResult:
        """Replays the trace over a network; see run_on."""
        service = self._trace.header.service
        return await self.run_on(Deployment(nursery, network, service))

    async def run_on(self, deployment: Deployment) -> ReplayResult:
        """Starts a deployment, replays the trace on it and checks the guarantees."""
        self._deployment = deployment
        await self._start_deployment()
        started_s = trio.current_time()
        async with trio.open_nursery() as jobs:
            for number, job in enumerate(self._trace.jobs):
                scheduled_s = started_s + self._submit_offset_s(job)
                await trio.sleep_until(scheduled_s)
                jobs.start_soon(self._submit_job, number, job, scheduled_s)
        return self._collect_result(trio.current_time() - started_s)

    async def _start_deployment(self) -> None:
        deployment, header = self._deployment, self._trace.header
        await deployment.configure(self._declarations_text)
        for number, _ in enumerate(self._scenario.entry_weights, start=1):
            await deployment.add_entry(
                f"entry-{number}",
                policy=self._policy,
                data_centre=header.workers[0].data_centre,
            )
        for worker in header.workers:
            backend = FakeBackend(worker.name, worker.speed)
            await deployment.add_agent(
                worker.name, worker.slots, backend, data_centre=worker.data_centre
            )
        await deployment.wait_connected()
        if self._scenario.with_black_hole:
            deployment.start_soon(self._start_black_hole)

    async def _start_black_hole(self) -> None:
        await trio.sleep(self._trace.header.black_hole_from_s)
        for backend in self._deployment.backends:
            if backend.worker == self._trace.header.black_hole:
                backend.is_failing = True

    def _submit_offset_s(self, job: TraceJob) -> float:
        return job.at_s * compute_trace_load(self._trace) / self._scenario.load

    async def _submit_job(self, number: int, job: TraceJob, scheduled_s: float) -> None:
        weights = self._scenario.entry_weights
        (entry_number,) = self._random.choices(range(len(weights)), weights)
        label = f"job-{number}"
        should_fail = job.is_poison and self._scenario.with_poison
        request = make_request(job, label, should_fail, self._trace.header.service)
        submitted_s = trio.current_time()
        answer = await self._send_request(entry_number, request)
        expected = [f"{label}/{index}" for index in range(len(job.run_s))]
        has_wrong_results = answer.code is Code.OK and answer.results != expected
        self._records.append(
            JobRecord(
                job=job,
                label=label,
                submitted_s=submitted_s,
                response_time_s=trio.current_time() - submitted_s,
                ideal_s=max(job.run_s) / self._trace.max_speed(),
                work_s=sum(job.run_s),
                submit_delay_s=submitted_s - scheduled_s,
                answer=answer,
                has_wrong_results=has_wrong_results,
            )
        )

    async def _send_request(self, entry_number: int, request: JobRequest) -> Answer:
        return await self._deployment.entries[entry_number].submit(request)

    def _collect_result(self, duration_s: float) -> ReplayResult:
        deployment = self._deployment
        self._set_last_start_delays()
        entry_metrics = [entry.metrics for entry in deployment.entries]
        agent_metrics = [agent.metrics for agent in deployment.agents.values()]
        refused = sum(
            sum(m.by_reason("assigns_refused").values()) for m in agent_metrics
        )
        message_counts = {
            f"{role} {kind} frames": count
            for role, group in (("entries'", entry_metrics), ("agents'", agent_metrics))
            for kind, count in _sum_by_reason(group, "frames_sent").items()
        }
        frames = sum(message_counts.values())
        data_frames = sum(
            m.get("frames_sent", "data") for m in entry_metrics + agent_metrics
        )
        message_counts["refused assignments"] = refused
        message_counts["grants"] = sum(m.get("grants") for m in agent_metrics)
        return ReplayResult(
            scenario=self._scenario,
            policy=self._policy,
            records=self._records,
            violations=self._find_violations(),
            tasks_started=sum(len(b.starts) for b in deployment.backends),
            frames_sent=frames,
            wasted_messages=frames - data_frames + refused,
            message_counts=message_counts,
            retries=_sum_by_reason(entry_metrics, "retries"),
            refusals=_sum_by_reason(entry_metrics, "refusals"),
            quarantines=sum(m.get("quarantines") for m in agent_metrics),
            black_hole_starts=sum(b.failing_start_count for b in deployment.backends),
            duration_s=duration_s,
        )

    def _set_last_start_delays(self) -> None:
        last_start_s: dict[str, float] = {}
        for backend in self._deployment.backends:
            for start in backend.starts:
                label = start.label.partition("/")[0]
                previous_s = last_start_s.get(label, start.started_s)
                last_start_s[label] = max(previous_s, start.started_s)
        for record in self._records:
            started_s = last_start_s.get(record.label, record.submitted_s)
            record.last_start_delay_s = started_s - record.submitted_s

    def _find_violations(self) -> list[str]:
        """Compares the answers with the backend servers' logs of starts."""
        starts = self._deployment.count_starts_by_task()
        violations = [
            f"task {task} was started {n} times" for task, n in starts.items() if n > 1
        ]
        labels = {
            label.partition("/")[0]
            for label in self._deployment.count_starts_by_label()
        }
        for record in self._records:
            if record.has_wrong_results:
                violations.append(f"{record.label} was answered OK with wrong results")
            if (
                record.answer.execution_status is ExecutionStatus.NOT_RUN
                and record.label in labels
            ):
                violations.append(f"{record.label} was answered as not run, but ran")
        return violations


def make_request(
    job: TraceJob, label: str, should_fail: bool, service: str
) -> JobRequest:
    """Returns the request for a job of a trace; labels its tasks "label/index"."""
    tasks = []
    for index, (run_s, declared_s) in enumerate(
        zip(job.run_s, job.declared_s, strict=True)
    ):
        name = f"{label}/{index}"
        payload = {"run_s": run_s, "value": name, "label": name, "fail": should_fail}
        tasks.append(TaskSpec(payload, declared_s))
    return JobRequest(job.customer, service, tasks, job.deadline_s)


def compute_trace_load(trace: Trace) -> float:
    """Returns the mean demand of a trace over the capacity of its workers."""
    capacity = sum(worker.speed * worker.slots for worker in trace.header.workers)
    work_s = sum(sum(job.run_s) for job in trace.jobs)
    return work_s / trace.duration_s / capacity


def jobs_at_peak(result: ReplayResult) -> list[JobRecord]:
    """Returns the jobs that were submitted at peak load.

    Peak load is any window of _PEAK_WINDOW_S whose submitted work is at least
    _PEAK_RATIO times the mean.
    """
    by_window: dict[int, list[JobRecord]] = collections.defaultdict(list)
    for record in result.records:
        by_window[int(record.submitted_s / _PEAK_WINDOW_S)].append(record)
    work_s = {
        window: sum(record.work_s for record in records)
        for window, records in by_window.items()
    }
    mean_s = sum(work_s.values()) / max(1, len(work_s))
    return [
        record
        for window, records in by_window.items()
        if work_s[window] >= _PEAK_RATIO * mean_s
        for record in records
    ]


def jobs_after_warm_up(result: ReplayResult) -> list[JobRecord]:
    """Returns the jobs submitted after the warm-up.

    During the warm-up the entries learn run times.
    """
    records = sorted(result.records, key=lambda record: record.submitted_s)
    return records[int(len(records) * _WARM_UP_SHARE) :]


def read_declarations(trace: Trace, examples: pathlib.Path) -> str:
    """Returns the declarations (YAML) that belong to a trace."""
    return (examples / trace.header.declarations).read_text(encoding="utf-8")


def _sum_by_reason(all_metrics, metric_name: str) -> dict[str, int]:
    total: collections.Counter[str] = collections.Counter()
    for metrics in all_metrics:
        total.update(metrics.by_reason(metric_name))
    return dict(sorted(total.items()))
