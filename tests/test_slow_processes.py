"""Tests entries and agents whose event loops are slow.

A job is sent again RESUBMIT_AFTER_S after its caller's connection broke, and all runs
of its first submission must have ended by then.
"""

import random

import pytest
import trio
import trio.testing
from test_overlapping_runs import (
    RESUBMIT_AFTER_S,
    SERVICE,
    Play,
    platform_settings,
)
from test_reruns import make_job

from gooseberrylink.bench.runner import seeded_scheduler
from gooseberrylink.callers.disconnects import run_until_disconnect
from gooseberrylink.standins.leased_backend import find_tasks_with_overlapping_runs
from gooseberrylink.standins.processes import (
    ProcessBackend,
    ProcessDeployment,
    TaskFreezer,
)

__all__ = ["platform_settings"]

SLOW_S = 5.0
ROUNDS_S = [0.05, 0.15, 0.25, 0.35, 0.45, 0.6, 0.78]
BREAKS_AFTER_S = [0.01, 0.5, 1.1, 2.0]
WORKERS = 3


class SocketCaller:
    """Submits a job to an entry; a break passes through the entry's event loop.

    A server needs three rounds from a break to the withdrawal: it reads the socket,
    passes the disconnect to the request, and cancels the job.
    """

    def __init__(self, play: Play, entry: int):
        self._entry = list(play.entries.values())[entry]
        self._process = play.process_of_entry(entry)
        self._break, self._socket = trio.open_memory_channel(1)
        self.answers = []

    def submit(self, job) -> None:
        send, receive = trio.open_memory_channel(1)

        async def read_socket():
            send.send_nowait(await self._socket.receive())

        async def run():
            answer = await run_until_disconnect(self._entry, job, receive.receive)
            self.answers.append(answer)

        self._process.nursery.start_soon(read_socket)
        self._process.nursery.start_soon(run)

    def disconnect(self) -> None:
        self._break.send_nowait({"type": "http.disconnect"})


@pytest.fixture
def run_play(platform_settings, declarations_text):
    """Returns a function that runs a test on a Play without load and faults."""

    def run(test, seed: int = 0):
        freezer = TaskFreezer()

        async def main():
            async with trio.open_nursery() as nursery:
                deployment = ProcessDeployment(nursery, SERVICE, freezer)
                await deployment.configure(declarations_text)
                workers = [
                    ProcessBackend(f"tank-{number + 1}", nursery, seed=seed)
                    for number in range(WORKERS)
                ]
                play = Play(nursery, deployment, workers, platform_settings, seed)
                await play.start()
                await test(play)
                nursery.cancel_scope.cancel()

        with seeded_scheduler(seed):
            trio.run(
                main,
                clock=trio.testing.MockClock(autojump_threshold=0),
                instruments=[freezer],
            )

    return run


async def submit_twice(play: Play, break_after_s: float) -> None:
    """Submits a job, and again at another entry after its connection has broken.

    Checks that no runs overlap.
    """
    caller = SocketCaller(play, 0)
    caller.submit(make_job("a", *[8.0] * 6, deadline_s=30.0))
    await trio.sleep(0.3)
    assert sum(len(worker.runs) for worker in play.workers) == 6
    play.nursery.start_soon(break_later, caller, break_after_s)
    await trio.sleep(break_after_s + RESUBMIT_AFTER_S)
    SocketCaller(play, 1).submit(make_job("a", *[1.0] * 6, deadline_s=30.0))
    await trio.sleep(3.0)
    assert find_tasks_with_overlapping_runs(play.workers) == []
    # Not all of them, as one worker may be out of reach.
    assert sum(len(worker.runs) for worker in play.workers) >= 8


async def break_later(caller: SocketCaller, after_s: float) -> None:
    await trio.sleep(after_s)
    caller.disconnect()


async def start_slow(process, round_s: float) -> None:
    await trio.sleep(0.3)
    await process.slow_down(round_s, SLOW_S)


@pytest.mark.parametrize("round_s", ROUNDS_S)
@pytest.mark.parametrize("break_after_s", BREAKS_AFTER_S)
def test_runs_of_a_slow_entry_end_before_the_job_is_sent_again(
    run_play, round_s, break_after_s
):
    async def test(play):
        play.nursery.start_soon(start_slow, play.process_of_entry(0), round_s)
        await submit_twice(play, break_after_s)

    run_play(test)


async def fail_later(play: Play, worker: int, fault: str, after_s: float) -> None:
    await trio.sleep(after_s)
    if fault == "agent_killed":
        play.deployment.kill_agent(play.workers[worker].name)
    elif fault == "agent_frozen":
        await play.process_of_agent(worker).slow_down(SLOW_S, SLOW_S)
    elif fault == "worker_silent":
        play.workers[worker].is_unresponsive = True


@pytest.mark.parametrize("seed", range(24))
@pytest.mark.parametrize("fault", ["agent_killed", "agent_frozen", "worker_silent"])
def test_runs_of_slow_processes_end_in_time_if_an_agent_or_worker_fails(
    run_play, fault, seed
):
    rng = random.Random(seed)
    break_after_s = rng.uniform(0.0, 2.5)
    fail_after_s = 0.3 + break_after_s + rng.uniform(-0.2, 1.2)
    slow_kind = rng.choice(["entry", "agent", "both"])

    async def test(play):
        if slow_kind != "agent":
            process = play.process_of_entry(0)
            play.nursery.start_soon(start_slow, process, rng.uniform(0.02, 0.79))
        if slow_kind != "entry" and fault != "agent_frozen":
            process = play.process_of_agent(0)
            play.nursery.start_soon(start_slow, process, rng.uniform(0.02, 0.79))
        play.nursery.start_soon(fail_later, play, 0, fault, fail_after_s)
        await submit_twice(play, break_after_s)

    run_play(test, seed)
