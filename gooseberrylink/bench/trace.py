"""Reads and writes traces; docs/BENCH.md describes the line format."""

import pathlib

import msgspec


class TraceWorker(msgspec.Struct):
    """A worker of the deployment that a trace is replayed on.

    Attributes:
        speed: Speed relative to a typical worker; run times are divided by it.
    """

    name: str
    data_centre: str
    speed: float
    slots: int


class TraceHeader(msgspec.Struct):
    """First line of a trace.

    Attributes:
        declarations: File name in examples/ of the declarations in force.
        long_after_s: Run time from which a task counts as long.
        black_hole: Worker that fails every task, in scenarios with a black hole.
        black_hole_from_s: Time in seconds from the start of a replay until it begins
            to fail them. Unlike TraceJob.at_s, it is not scaled to the load.
    """

    name: str
    service: str
    declarations: str
    long_after_s: float
    workers: list[TraceWorker]
    black_hole: str
    black_hole_from_s: float


class TraceJob(msgspec.Struct):
    """One job; times are seconds.

    Attributes:
        at_s: Time of submission from the start of the trace, at a load of 1. A replay
            scales it to the load of its scenario.
        run_s: True run time of each task on a worker of speed 1.
        declared_s: Run time that the caller declares for each task.
        is_poison: Whether its tasks fail on every worker, in scenarios with poison
            jobs.
    """

    at_s: float
    customer: str
    deadline_s: float
    run_s: list[float]
    declared_s: list[float]
    is_poison: bool = False


class Trace(msgspec.Struct):
    """The jobs of a trace, in order of submission, and its header."""

    header: TraceHeader
    jobs: list[TraceJob]

    @property
    def duration_s(self) -> float:
        """Time of the last submission, in seconds since the start of the trace."""
        return self.jobs[-1].at_s

    def max_speed(self) -> float:
        """Returns the speed of the fastest worker."""
        return max(worker.speed for worker in self.header.workers)

    def cut_after(self, end_s: float) -> "Trace":
        """Returns the trace without the jobs submitted after end_s."""
        return Trace(self.header, [job for job in self.jobs if job.at_s <= end_s])


def read_trace(path: pathlib.Path) -> Trace:
    """Reads a trace: a header line, then one line for each job."""
    header, *lines = path.read_bytes().splitlines()
    decoder = msgspec.json.Decoder(TraceJob)
    return Trace(
        msgspec.json.decode(header, type=TraceHeader),
        [decoder.decode(line) for line in lines],
    )


def write_trace(path: pathlib.Path, trace: Trace) -> None:
    """Writes a trace in the format that read_trace expects."""
    lines = [msgspec.json.encode(trace.header)]
    lines += [msgspec.json.encode(job) for job in trace.jobs]
    path.write_bytes(b"\n".join(lines) + b"\n")
