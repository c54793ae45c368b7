"""Generates the traces in traces/, each modelled on one user organisation."""

import dataclasses
import pathlib
import random

from gooseberrylink.bench.trace import (
    Trace,
    TraceHeader,
    TraceJob,
    TraceWorker,
    write_trace,
)

_SPEEDS = (0.6, 0.7, 0.8, 0.9, 1.0, 1.1, 1.2, 1.3, 1.4, 1.5, 1.6)
_SLOTS = 8
_DURATION_S = 40.0
_POISON_SHARE = 0.004
# Share of all jobs whose first task runs 4 times as long. Only jobs with long tasks, a
# fifth of all jobs, are chosen, so _make_job multiplies the share by 5.
_STRAGGLER_SHARE = 0.01
# Share of tasks whose declared run time is far off.
_WRONG_DECLARED_S_SHARE = 0.4


@dataclasses.dataclass(frozen=True)
class CustomerProfile:
    """Load of one customer.

    Attributes:
        share: Share of all jobs.
        task_count: Typical number of tasks of a job.
        run_s: Typical run time of a short task.
        deadline_s: Deadline of jobs without long tasks.
        long_share: Share of its jobs that have long tasks.
        long_run_s: Typical run time of a long task.
    """

    customer: str
    share: float
    task_count: int
    run_s: float
    deadline_s: float
    long_share: float = 0.0
    long_run_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Workload:
    """Load and workers of one trace.

    Attributes:
        declarations: File name in examples/ of the declarations in force.
        long_after_s: Run time from which a task counts as long.
        peak_ratio: Demand at peak load, divided by the mean demand.
        period_s: Time from one peak to the next.
        peak_share: Share of the time at peak load.
        black_hole_index: Which worker is the black hole, counted from 0.
    """

    name: str
    service: str
    declarations: str
    long_after_s: float
    worker_prefix: str
    data_centres: tuple[str, ...]
    profiles: tuple[CustomerProfile, ...]
    peak_ratio: float
    period_s: float
    peak_share: float
    black_hole_index: int


_WORKLOADS = (
    Workload(
        "bennani",
        "dispatch",
        "bennani.yaml",
        1.0,
        "tank",
        ("ain-sebaa", "mohammedia", "nouaceur"),
        (
            CustomerProfile("drivers", 0.35, 2, 0.10, 5.0),
            CustomerProfile("restaurants", 0.25, 4, 0.20, 10.0, 0.15, 2.5),
            CustomerProfile("shops", 0.25, 6, 0.15, 10.0, 0.35, 2.5),
            CustomerProfile("hobbyists", 0.15, 10, 0.25, 20.0, 0.50, 3.0),
        ),
        peak_ratio=1.6,
        period_s=10.0,
        peak_share=0.3,
        black_hole_index=8,
    ),
    Workload(
        "chao-phraya",
        "registry",
        "chao-phraya.yaml",
        1.5,
        "plaque",
        ("ayutthaya", "nonthaburi", "pathum-thani"),
        (
            CustomerProfile("district-engineers", 0.4, 3, 0.15, 8.0),
            CustomerProfile("insurers", 0.3, 5, 0.25, 15.0, 0.1, 3.0),
            CustomerProfile("temples", 0.1, 2, 0.30, 15.0),
            CustomerProfile("surveyors", 0.2, 24, 0.40, 30.0, 0.8, 4.0),
        ),
        peak_ratio=1.6,
        period_s=20.0,
        peak_share=0.35,
        black_hole_index=5,
    ),
)


def _make_trace(workload: Workload, rng: random.Random) -> Trace:
    workers = [
        TraceWorker(
            f"{workload.worker_prefix}-{i + 1}",
            workload.data_centres[i // 4],
            speed,
            _SLOTS,
        )
        for i, speed in enumerate(rng.sample(_SPEEDS, len(_SPEEDS)))
    ]
    capacity = sum(worker.speed * worker.slots for worker in workers)
    jobs = _make_jobs(workload, capacity, rng)
    header = TraceHeader(
        workload.name,
        workload.service,
        workload.declarations,
        workload.long_after_s,
        workers,
        workers[workload.black_hole_index].name,
        _DURATION_S / 3,
    )
    return Trace(header, jobs)


def _make_jobs(
    workload: Workload, capacity: float, rng: random.Random
) -> list[TraceJob]:
    """Returns jobs whose mean demand equals the capacity of the workers."""
    jobs: list[TraceJob] = []
    weights = [profile.share for profile in workload.profiles]
    work_s, now_s = 0.0, 0.0
    while now_s < _DURATION_S:
        (profile,) = rng.choices(workload.profiles, weights)
        job = _make_job(profile, rng)
        # Demand is work over time, so the mean gap before a job is its work divided by
        # the demand at this time.
        work_s = sum(job.run_s)
        gap_s = work_s / (capacity * _demand_ratio(workload, now_s))
        now_s += rng.expovariate(1.0) * gap_s
        job.at_s = round(now_s, 4)
        jobs.append(job)
    return jobs


def _demand_ratio(workload: Workload, now_s: float) -> float:
    phase = (now_s % workload.period_s) / workload.period_s
    if phase < workload.peak_share:
        return workload.peak_ratio
    return (1 - workload.peak_ratio * workload.peak_share) / (1 - workload.peak_share)


def _make_job(profile: CustomerProfile, rng: random.Random) -> TraceJob:
    count = min(140, 1 + int(rng.expovariate(1 / profile.task_count)))
    is_long = rng.random() < profile.long_share
    run_s = [_draw_short_run_s(profile, rng) for _ in range(count)]
    if is_long:
        for index in range(max(1, count // 4)):
            run_s[index] = round(profile.long_run_s * rng.lognormvariate(0, 0.3), 3)
    if is_long and rng.random() < _STRAGGLER_SHARE * 5:
        run_s[0] = round(run_s[0] * 4, 3)
    return TraceJob(
        at_s=0.0,
        customer=profile.customer,
        deadline_s=profile.deadline_s if not is_long else 30.0,
        run_s=run_s,
        declared_s=[_draw_declared_s(seconds, rng) for seconds in run_s],
        is_poison=rng.random() < _POISON_SHARE,
    )


def _draw_short_run_s(profile: CustomerProfile, rng: random.Random) -> float:
    return round(min(0.95, max(0.05, profile.run_s * rng.lognormvariate(0, 0.5))), 3)


def _draw_declared_s(run_s: float, rng: random.Random) -> float:
    if rng.random() < _WRONG_DECLARED_S_SHARE:
        return round(run_s * rng.choice((0.1, 0.3, 3.0, 10.0)), 3)
    return round(run_s * rng.uniform(0.7, 1.4), 3)


def main() -> None:
    """Generates and writes both traces."""
    folder = pathlib.Path(__file__).parent.parent / "traces"
    folder.mkdir(exist_ok=True)
    for seed, workload in enumerate(_WORKLOADS, start=1):
        trace = _make_trace(workload, random.Random(seed))
        write_trace(folder / f"{workload.name}.jsonl", trace)
        print(f"{workload.name}: {len(trace.jobs)} jobs")


if __name__ == "__main__":
    main()
