"""Replays an overload of jobs with unlike lengths on a simulated clock.

Load pattern: demand rises above the capacity for some seconds. Three customers send
jobs of unlike length, width and priority to entries with unequal numbers of callers.
"""

import collections
import dataclasses
import math
import random
from collections.abc import Awaitable, Callable

import trio
import trio.testing

from gooseberrylink.bench.runner import seeded_scheduler
from gooseberrylink.codes import Code
from gooseberrylink.entry import Entry
from gooseberrylink.standins.backend import FakeBackend
from gooseberrylink.standins.deployment import Deployment
from gooseberrylink.standins.network import MemoryNetwork
from gooseberrylink.types import Answer, Job, JobRequest, LatencyTarget, TaskSpec

_SERVICE = "dispatch"
_LATENCY_TARGET = LatencyTarget(stretch=1.6, latency_s=0.06)
_DEADLINE_S = 1.5
# Standard deviation of the logarithm of the run times of a kind, and of declared times.
_SIZE_SIGMA = 0.35
_DECLARATION_SIGMA = 0.2


@dataclasses.dataclass(slots=True, frozen=True)
class JobKind:
    """Jobs of one customer.

    Attributes:
        jobs_share: Share of all jobs.
        run_s: Median run time of a task, in seconds.
        width: Number of tasks of a job.
        priority: See Queue.
    """

    customer: str
    jobs_share: float
    run_s: float
    width: int
    priority: int


KINDS = (
    JobKind("brief", 0.244, 0.11, 8, 0),
    JobKind("middling", 0.711, 0.37, 2, 1),
    JobKind("lengthy", 0.045, 1.65, 4, 2),
)


@dataclasses.dataclass(slots=True, frozen=True)
class OverloadScenario:
    """One replay.

    Attributes:
        with_priorities: Whether the queues declare their priorities. If not, they
            declare none, and nothing decides which customer has to wait.
        entry_weights: Share of the jobs that each entry gets.
        load_steps: Demand as a share of the capacity, and seconds that it lasts.
        speeds: Speeds of the workers in turn, relative to a typical one.
        fault: Runs beside the load, for example to kill an entry.
    """

    with_priorities: bool
    entry_weights: tuple[float, ...] = (0.4, 0.25, 0.2, 0.15)
    load_steps: tuple[tuple[float, float], ...] = ((0.7, 3.0), (1.4, 8.0), (0.7, 2.0))
    workers: int = 24
    speeds: tuple[float, ...] = (1.1, 0.9)
    seed: int = 1
    fault: Callable[[Deployment], Awaitable[None]] | None = None


@dataclasses.dataclass(slots=True)
class OverloadRecord:
    """Outcome of one job.

    Attributes:
        size: 2 for the largest tenth of its kind, 1 for the fifth below it, else 0.
        target_s: Response time within which its answer is on time.
        response_s: Time until its answer.
        predicted_wait_s: Wait that its admission expected; None if it was refused.
        wait_s: Time until its first task was assigned; None if none was.
    """

    kind: JobKind
    entry: str
    data_centre: str
    size: int
    submitted_s: float
    target_s: float
    response_s: float
    answer: Answer
    predicted_wait_s: float | None = None
    wait_s: float | None = None

    @property
    def is_on_time(self) -> bool:
        """Whether the caller got a complete answer on time."""
        return self.answer.code is Code.OK and self.response_s <= self.target_s


def replay_overload(scenario: OverloadScenario) -> list[OverloadRecord]:
    """Replays a scenario; deterministic for its seed."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    with seeded_scheduler(scenario.seed):
        return trio.run(_OverloadReplay(scenario).run, clock=clock)


def served_shares(records: list[OverloadRecord], key) -> dict[object, float]:
    """Returns the share of jobs answered on time, by the key of a record."""
    groups: dict[object, list[OverloadRecord]] = collections.defaultdict(list)
    for record in records:
        groups[key(record)].append(record)
    return {
        name: sum(record.is_on_time for record in group) / len(group)
        for name, group in sorted(groups.items())
    }


class _OverloadReplay:
    def __init__(self, scenario: OverloadScenario):
        self._scenario = scenario
        self._random = random.Random(scenario.seed)
        self._records: list[OverloadRecord] = []
        self._deployment: Deployment | None = None
        # Admitted jobs by the identity of their request.
        self._jobs: dict[int, Job] = {}

    async def run(self) -> list[OverloadRecord]:
        async with trio.open_nursery() as nursery:
            network = MemoryNetwork(nursery)
            self._deployment = Deployment(nursery, network, _SERVICE)
            await self._start()
            if self._scenario.fault is not None:
                nursery.start_soon(self._scenario.fault, self._deployment)
            async with trio.open_nursery() as jobs:
                await self._submit_all(jobs)
            nursery.cancel_scope.cancel()
        return self._records

    async def _start(self) -> None:
        await self._deployment.configure(_declarations_text(self._scenario))
        for number, _ in enumerate(self._scenario.entry_weights):
            entry = await self._deployment.add_entry(
                f"entry-{number}", data_centre=f"dc-{number % 2 + 1}"
            )
            self._record_admissions(entry)
        speeds = self._scenario.speeds
        for number in range(self._scenario.workers):
            worker = f"w-{number}"
            await self._deployment.add_agent(
                worker,
                backend=FakeBackend(worker, speeds[number % len(speeds)]),
                data_centre=f"dc-{number % 2 + 1}",
                slow_start_tasks=8,
                max_entries=len(self._scenario.entry_weights),
            )
        await self._deployment.wait_connected()

    def _record_admissions(self, entry: Entry) -> None:
        admit = entry.dispatcher.admit

        def admit_and_record(request: JobRequest, *args) -> Job:
            self._jobs[id(request)] = job = admit(request, *args)
            return job

        entry.dispatcher.admit = admit_and_record

    async def _submit_all(self, jobs: trio.Nursery) -> None:
        mean_work_s = sum(k.jobs_share * k.run_s * k.width for k in KINDS)
        # Mean of the lognormal sizes.
        mean_work_s *= 1.063
        entries = list(self._deployment.entries)
        for load, duration_s in self._scenario.load_steps:
            rate_per_s = load * 8 * self._scenario.workers / mean_work_s
            end_s = trio.current_time() + duration_s
            while True:
                await trio.sleep(self._random.expovariate(rate_per_s))
                if trio.current_time() >= end_s:
                    break
                (kind,) = self._random.choices(KINDS, [k.jobs_share for k in KINDS])
                (entry,) = self._random.choices(entries, self._scenario.entry_weights)
                jobs.start_soon(self._submit, entry, kind)

    async def _submit(self, entry: Entry, kind: JobKind) -> None:
        deviation = self._random.gauss(0, 1)
        run_s = kind.run_s * math.exp(_SIZE_SIGMA * deviation)
        declared_s = run_s * self._random.lognormvariate(0, _DECLARATION_SIGMA)
        tasks = [TaskSpec({"run_s": run_s}, declared_s) for _ in range(kind.width)]
        request = JobRequest(
            kind.customer,
            _SERVICE,
            tasks,
            _DEADLINE_S + 2 * run_s,
            latency_target=_LATENCY_TARGET,
        )
        submitted_s = trio.current_time()
        answer = await entry.submit(request)
        record = OverloadRecord(
            kind=kind,
            entry=entry.settings.entry,
            data_centre=entry.settings.data_centre,
            size=(deviation > 0.524) + (deviation > 1.282),
            submitted_s=submitted_s,
            target_s=_LATENCY_TARGET.stretch * run_s + _LATENCY_TARGET.latency_s,
            response_s=trio.current_time() - submitted_s,
            answer=answer,
        )
        job = self._jobs.pop(id(request), None)
        if job is not None:
            record.predicted_wait_s = getattr(job, "predicted_wait_s", None)
            starts_s = [task.assigned_s for task in job.tasks if task.attempts]
            record.wait_s = min(starts_s) - job.submitted_s if starts_s else None
        self._records.append(record)


def _declarations_text(scenario: OverloadScenario) -> str:
    lines = [
        "inventory:",
        "  sites: [{name: site, data_centres: [{name: dc-1}, {name: dc-2}]}]",
        f"  services: [{{name: {_SERVICE}, long_after_s: 1000}}]",
        "rules:",
        "  customers:",
        *[f"  - {{name: {kind.customer}}}" for kind in KINDS],
        "  queues:",
    ]
    for kind in KINDS:
        priority = f", priority: {kind.priority}" if scenario.with_priorities else ""
        lines.append(
            f"  - {{name: {kind.customer}, host: {kind.customer}.example,"
            f" path_prefix: /jobs/, service: {_SERVICE}{priority}}}"
        )
    return "\n".join(lines) + "\n"
