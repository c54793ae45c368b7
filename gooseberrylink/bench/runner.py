"""Runs replays over loopback in real time, or in memory on a mock clock."""

import contextlib
import dataclasses
import pathlib
import random

import trio
import trio.testing

from gooseberrylink.bench.replay import (
    Replay,
    ReplayResult,
    Scenario,
    read_declarations,
)
from gooseberrylink.bench.report import Figures, compute_figures
from gooseberrylink.bench.trace import Trace, read_trace
from gooseberrylink.operators.declarations import Declarations
from gooseberrylink.peers.grpc_link import GrpcThread
from gooseberrylink.settings import PolicyName
from gooseberrylink.standins.deployment import GrpcNetwork
from gooseberrylink.standins.network import MemoryNetwork
from gooseberrylink.yaml_file import parse_model

REPOSITORY_ROOT = pathlib.Path(__file__).parent.parent.parent

SCENARIOS = {
    scenario.name: scenario
    for scenario in (
        Scenario("half-load", 0.5),
        Scenario("busy", 0.85),
        Scenario("capacity", 1.0),
        Scenario("overload", 1.5),
        Scenario("uneven-entries", 0.85, entry_weights=(0.8, 0.15, 0.05)),
        Scenario("one-entry", 0.85, entry_weights=(1.0,)),
        Scenario("black-hole", 0.85, with_black_hole=True),
        Scenario("poison", 0.85, with_poison=True),
    )
}


@dataclasses.dataclass(slots=True)
class BenchRun:
    """The result of one replay, and its figures."""

    result: ReplayResult
    figures: Figures


def load_trace(name: str) -> Trace:
    """Returns the trace of that name from the folder traces/."""
    return read_trace(REPOSITORY_ROOT / "traces" / f"{name}.jsonl")


def run_on_loopback(
    trace: Trace, scenario: Scenario, policy: PolicyName, seed: int = 1
) -> BenchRun:
    """Replays over gRPC on loopback, in real time."""

    async def main() -> ReplayResult:
        thread = GrpcThread()
        try:
            async with trio.open_nursery() as nursery:
                network = GrpcNetwork(nursery, thread)
                result = await _replay(trace, scenario, policy, seed, nursery, network)
                await network.close_all()
                nursery.cancel_scope.cancel()
        finally:
            thread.stop()
        return result

    return evaluate_replay(trace, trio.run(main))


def run_simulated(
    trace: Trace, scenario: Scenario, policy: PolicyName, seed: int = 1
) -> BenchRun:
    """Replays over in-memory links on a mock clock; deterministic for a seed."""

    async def main() -> ReplayResult:
        async with trio.open_nursery() as nursery:
            network = MemoryNetwork(nursery)
            result = await _replay(trace, scenario, policy, seed, nursery, network)
            nursery.cancel_scope.cancel()
        return result

    clock = trio.testing.MockClock(autojump_threshold=0)
    with seeded_scheduler(seed):
        return evaluate_replay(trace, trio.run(main, clock=clock))


@contextlib.contextmanager
def seeded_scheduler(seed: int):
    """Makes the order in which trio runs its tasks depend only on the seed."""
    # Sets private attributes, as trio has no public way to do this.
    trio_run = trio._core._run
    previous = trio_run._r, trio_run._ALLOW_DETERMINISTIC_SCHEDULING
    trio_run._r = random.Random(seed)
    trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True
    try:
        yield
    finally:
        trio_run._r, trio_run._ALLOW_DETERMINISTIC_SCHEDULING = previous


async def _replay(
    trace: Trace, scenario: Scenario, policy: PolicyName, seed: int, nursery, network
) -> ReplayResult:
    declarations_text = read_declarations(trace, REPOSITORY_ROOT / "examples")
    return await Replay(trace, scenario, policy, declarations_text, seed).run(
        nursery, network
    )


def evaluate_replay(trace: Trace, result: ReplayResult) -> BenchRun:
    """Returns the result of a replay together with its figures."""
    declarations_text = read_declarations(trace, REPOSITORY_ROOT / "examples")
    declarations = parse_model(
        declarations_text, trace.header.declarations, Declarations
    )
    long_after_s = trace.header.long_after_s
    return BenchRun(result, compute_figures(result, long_after_s, declarations))
