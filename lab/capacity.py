"""Measures the marginal costs from which docs/CAPACITY.md is computed.

Each slope is a marginal cost, such as the memory of one more queued task: the slope of
a straight line fitted to the costs at several sizes, with its coefficient of
determination r2. Frame sizes and claim rates are measured directly.
"""

import dataclasses
import gc
import pathlib
import resource
import statistics
import time
import tracemalloc
import zlib

import trio

from gooseberrylink.assignment_table import AssignmentTable
from gooseberrylink.claims import Claim, Claims
from gooseberrylink.logs import configure_logs
from gooseberrylink.metrics import Metrics
from gooseberrylink.operators.configuration import Configuration
from gooseberrylink.operators.declarations import to_canonical
from gooseberrylink.peers.grpc_link import GrpcThread
from gooseberrylink.peers.messages import Assign, EntryFrame, encode
from gooseberrylink.standins.backend import FakeBackend
from gooseberrylink.standins.deployment import Deployment, GrpcNetwork
from gooseberrylink.standins.platform import FakePlatform
from gooseberrylink.types import JobRequest, TaskSpec

_PAGE_BYTES = resource.getpagesize()
_AGENT_COUNTS = (5, 20, 60)
# Size of the deployment that the system is designed for.
_WORKER_COUNT = 810
_CUSTOMER_COUNT = 92
_CONFIGURATION_WAIT_S = 4.0
_IDLE_WINDOW_S = 6.0
_CLAIM_LATENCY_S = 0.005


@dataclasses.dataclass(frozen=True)
class Slope:
    """A marginal cost, with the points (size, cost) to which it was fitted."""

    name: str
    per_unit: float
    unit: str
    r2: float
    points: list[tuple[float, float]]


def fit_slope(name: str, unit: str, points: list[tuple[float, float]]) -> Slope:
    """Fits a straight line through points of (size, cost)."""
    xs, ys = zip(*points, strict=True)
    line = statistics.linear_regression(xs, ys)
    constant = len(set(ys)) == 1
    r2 = 1.0 if constant else statistics.correlation(xs, ys) ** 2
    return Slope(name, line.slope, unit, r2, points)


def resident_bytes() -> int:
    """Returns the resident memory of this process in bytes."""
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * _PAGE_BYTES


def _traced_bytes() -> int:
    return tracemalloc.get_traced_memory()[0]


def make_job(task_count: int, run_s: float) -> JobRequest:
    """Returns a job of identical tasks that run for run_s seconds each."""
    specs = [TaskSpec({"run_s": run_s, "value": i}, 0.001) for i in range(task_count)]
    return JobRequest("team-0", "dispatch", specs, deadline_s=100.0)


async def run_with_agents(agent_count: int, measure):
    """Returns measure(deployment) for one entry and some agents over loopback gRPC."""
    thread = GrpcThread()
    async with trio.open_nursery() as nursery:
        network = GrpcNetwork(nursery, thread)
        deployment = Deployment(nursery, network, "dispatch")
        await deployment.configure(make_declarations(_WORKER_COUNT))
        await deployment.add_entry("entry-1")
        for number in range(agent_count):
            backend = FakeBackend(f"w-{number}")
            await deployment.add_agent(f"w-{number}", 8, backend)
        await deployment.wait_connected()
        # Every agent adopts the configuration within this time.
        await trio.sleep(_CONFIGURATION_WAIT_S)
        result = await measure(deployment)
        await network.close_all()
        nursery.cancel_scope.cancel()
    thread.stop()
    return result


async def measure_tasks(deployment) -> list[tuple[float, float]]:
    """Returns points (tasks, CPU seconds) of entry and agents together."""
    entry = deployment.entries[0]
    await entry.submit(make_job(140, 0.001))
    points = []
    for job_count in (5, 10, 20, 40):
        started_s = time.process_time()
        async with trio.open_nursery() as nursery:
            for _ in range(job_count):
                nursery.start_soon(entry.submit, make_job(140, 0.01))
        points.append((140.0 * job_count, time.process_time() - started_s))
    return points


async def measure_idle(deployment) -> tuple[float, float, float]:
    """Returns CPU seconds and frames per idle second, and memory in bytes."""
    entry = deployment.entries[0]
    all_metrics = [entry.metrics, *(a.metrics for a in deployment.agents.values())]

    def count_sent_frames() -> int:
        return sum(sum(m.by_reason("frames_sent").values()) for m in all_metrics)

    await trio.sleep(1.0)
    gc.collect()
    started_s, frames_before = time.process_time(), count_sent_frames()
    await trio.sleep(_IDLE_WINDOW_S)
    cpu_s = (time.process_time() - started_s) / _IDLE_WINDOW_S
    return (
        cpu_s,
        (count_sent_frames() - frames_before) / _IDLE_WINDOW_S,
        float(resident_bytes()),
    )


def measure_agent_slopes() -> list[Slope]:
    """Returns the costs of one more idle agent, to itself and to its entry."""
    idle = {n: trio.run(run_with_agents, n, measure_idle) for n in _AGENT_COUNTS}
    names = ("idle CPU, both ends", "idle frames, both ends", "memory, both ends")
    units = ("CPU s / s / link", "frames / s / link", "bytes / link")
    return [
        fit_slope(name, unit, [(float(n), idle[n][i]) for n in _AGENT_COUNTS])
        for i, (name, unit) in enumerate(zip(names, units, strict=True))
    ]


def measure_task_slope() -> Slope:
    """Returns the CPU time of one more task, for entry and agent together.

    Tasks are batched into frames as in normal operation.
    """
    points = trio.run(run_with_agents, 20, measure_tasks)
    return fit_slope("task, entry and agent", "CPU s / task", points)


def measure_assignment_table_slopes() -> list[Slope]:
    """Returns the CPU time of one more task in an agent's assignment table."""
    table = AssignmentTable(2.0, 600.0, 1_000_000)
    points = []
    gc.disable()
    for count in (20_000, 40_000, 80_000):
        started_s = time.process_time()
        for number in range(count):
            name = f"{count}-{number}"
            assign = Assign(name, name, "job", "shops", None, 10.0)
            table.renew_lease("e", 1.0)
            table.start(table.admit(assign, "e", 1.0, 1.0), 1.0)
        points.append((float(count), time.process_time() - started_s))
    gc.enable()
    return [fit_slope("assignment table: start", "CPU s / task", points)]


def measure_queued_task_slope() -> Slope:
    """Returns the memory of one more queued task."""

    async def measure(deployment):
        entry = deployment.entries[0]
        queue = entry.dispatcher.pool("dispatch").queue
        points = []
        tracemalloc.start()
        async with trio.open_nursery() as nursery:
            for _ in range(4):
                for _ in range(25):
                    nursery.start_soon(entry.submit, make_job(140, 30.0))
                await trio.sleep(0.5)
                points.append((float(len(queue)), float(_traced_bytes())))
            nursery.cancel_scope.cancel()
        tracemalloc.stop()
        return points

    points = trio.run(run_with_agents, 20, measure)
    return fit_slope("queued task", "bytes / task", points)


def measure_configuration_slopes() -> list[Slope]:
    """Returns the CPU time and bytes of one more worker in a configuration."""
    cpu, size = [], []
    for worker_count in (100, 400, _WORKER_COUNT):
        text = make_declarations(worker_count)
        started_s = time.process_time()
        Configuration().adopt(1, text, "lab")
        cpu.append((float(worker_count), time.process_time() - started_s))
        size.append((float(worker_count), float(len(zlib.compress(text.encode())))))
    return [
        fit_slope("adopting a configuration", "CPU s / worker", cpu),
        fit_slope("configuration on the wire", "bytes / worker", size),
    ]


def make_declarations(worker_count: int) -> str:
    """Returns declarations of some workers and _CUSTOMER_COUNT customers."""
    lines = ["inventory:", "  sites:"]
    for site, centres in (("north", 3), ("south", 2)):
        names = ", ".join(f"{{name: {site}-{n}}}" for n in range(centres))
        lines.append(f"    - {{name: {site}, data_centres: [{names}]}}")
    lines += ["  services:", "    - {name: dispatch}", "  workers:"]
    for number in range(worker_count):
        lines.append(
            f"    - {{name: w-{number}, data_centre: north-{number % 3},"
            f" rack: r-{number // 3}, service: dispatch, slots: 8, accelerators: 1}}"
        )
    lines += ["rules:", "  customers:"]
    for number in range(_CUSTOMER_COUNT):
        lines.append(f"    - {{name: team-{number}}}")
    text = "\n".join(lines) + "\n"
    return to_canonical(text, "lab")


def measure_frame_sizes() -> list[tuple[str, int]]:
    """Returns the encoded sizes of common frames."""
    payload = {"run_s": 0.2, "value": "x" * 40}
    assign = Assign(
        "0123456789abcdef-12345-17.1",
        "0123456789abcdef-12345-17",
        "0123456789abcdef-12345",
        "restaurants",
        payload,
        9.75,
    )
    one = EntryFrame(12345.678, items=[assign])
    ten = EntryFrame(12345.678, items=[assign] * 10)
    return [
        ("heartbeat frame", len(encode(EntryFrame(12345.678)))),
        ("frame with 1 task", len(encode(one))),
        ("frame with 10 tasks", len(encode(ten))),
    ]


def measure_claim_rates() -> list[tuple[str, float, float]]:
    """Returns claims per second and per transaction, one at a time and grouped."""

    async def claim_all(group_s: float, in_flight: int) -> tuple[float, float]:
        platform = FakePlatform(latency_s=_CLAIM_LATENCY_S)
        claims = Claims(platform, group_s, Metrics("entry", "e"))
        count = 2000
        async with trio.open_nursery() as nursery:
            await nursery.start(claims.run)
            limiter = trio.Semaphore(in_flight)

            async def acquire_one(number):
                async with limiter:
                    claim = await claims.acquire("c", f"k{number}", f"s{number}", 1e9)
                    assert isinstance(claim, Claim)

            started_s = time.perf_counter()
            async with trio.open_nursery() as callers:
                for number in range(count):
                    callers.start_soon(acquire_one, number)
            elapsed_s = time.perf_counter() - started_s
            nursery.cancel_scope.cancel()
        return count / elapsed_s, count / platform.write_count

    rows = []
    for name, in_flight in (("single (1 in flight)", 1), ("grouped (100)", 100)):
        rate, per_transaction = trio.run(claim_all, 0.004, in_flight)
        rows.append((name, rate, per_transaction))
    return rows


def main() -> None:
    """Measures and prints all figures."""
    configure_logs("ERROR")
    slopes = [
        measure_task_slope(),
        *measure_assignment_table_slopes(),
        measure_queued_task_slope(),
    ]
    slopes += [*measure_configuration_slopes(), *measure_agent_slopes()]
    print(f"{'slope':28}{'per unit':>14}  {'unit':20}{'r2':>7}  points")
    for slope in slopes:
        points = " ".join(f"{x:g}:{y:.4g}" for x, y in slope.points)
        print(
            f"{slope.name:28}{slope.per_unit:>14.4g}  {slope.unit:20}"
            f"{slope.r2:>7.3f}  {points}"
        )
    for name, size in measure_frame_sizes():
        print(f"{name:28}{size:>14}  bytes")
    for name, rate, per_transaction in measure_claim_rates():
        print(
            f"claims, {name:20}{rate:>14.0f}  claims / s, "
            f"{per_transaction:.1f} per transaction"
        )


if __name__ == "__main__":
    main()
