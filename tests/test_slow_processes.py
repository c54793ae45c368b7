"""Tests entries and agents whose event loops are slow.

A job is sent again RESUBMIT_AFTER_S after its caller's connection broke, and all runs
of its first submission must have ended by then.
"""

import random
import socket

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

from gooseberrylink.asgi import read_body, serve_lifespan
from gooseberrylink.bench.runner import seeded_scheduler
from gooseberrylink.callers.disconnects import run_until_disconnect
from gooseberrylink.codes import Code
from gooseberrylink.http_server import serve_http
from gooseberrylink.metrics import Metrics
from gooseberrylink.standins.leased_backend import find_tasks_with_overlapping_runs
from gooseberrylink.standins.processes import (
    ProcessBackend,
    ProcessDeployment,
    TaskFreezer,
)
from gooseberrylink.types import Answer

__all__ = ["platform_settings"]

SLOW_S = 5.0
ROUNDS_S = [0.05, 0.15, 0.25, 0.35, 0.45, 0.6, 0.78]
BREAKS_AFTER_S = [0.01, 0.5, 1.1, 2.0]
WORKERS = 3
# From the arrival of a connection with a request to the submission of its job.
ROUNDS_TO_READ_REQUEST = 9
REQUEST = b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\na"


class SocketCaller:
    """Submits a job to an entry; a break passes through the entry's event loop.

    A server needs three rounds from a break to the withdrawal: it reads the socket,
    passes the disconnect to the request, and cancels the job.
    """

    def __init__(self, play: Play, entry: int, rounds_to_read: int = 0):
        self._rounds_to_read = rounds_to_read
        self._entry = list(play.entries.values())[entry]
        self._process = play.process_of_entry(entry)
        self._break, self._socket = trio.open_memory_channel(1)
        self.answers = []

    def submit(self, job) -> None:
        send, receive = trio.open_memory_channel(1)

        async def read_socket():
            send.send_nowait(await self._socket.receive())

        async def run():
            for _ in range(self._rounds_to_read):
                await trio.lowlevel.checkpoint()
            self._process.nursery.start_soon(read_socket)
            answer = await run_until_disconnect(self._entry, job, receive.receive)
            self.answers.append(answer)

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
    await trio.sleep(4.0)
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


@pytest.mark.parametrize("round_s", ROUNDS_S)
@pytest.mark.parametrize("break_after_s", BREAKS_AFTER_S)
def test_runs_at_slow_agents_end_before_the_job_is_sent_again(
    run_play, round_s, break_after_s
):
    async def test(play):
        for number in range(WORKERS - 1):
            process = play.process_of_agent(number)
            play.nursery.start_soon(start_slow, process, round_s)
        await submit_twice(play, break_after_s)

    run_play(test)


@pytest.mark.parametrize("round_s", [0.2, 0.3, 0.4, 0.7])
@pytest.mark.parametrize("rounds", range(2, 10))
def test_caller_that_left_before_its_request_was_read_gets_no_runs(
    run_play, round_s, rounds
):
    # The entry is slow for some of the rounds that it needs to read the request.
    async def test(play):
        play.nursery.start_soon(
            play.process_of_entry(0).slow_down, round_s, rounds * round_s
        )
        await trio.sleep(0.01)
        caller = SocketCaller(play, 0, ROUNDS_TO_READ_REQUEST)
        job = make_job("a", *[4.0] * 6, deadline_s=30.0)
        caller.submit(job)
        caller.disconnect()
        await trio.sleep(RESUBMIT_AFTER_S)
        SocketCaller(play, 1).submit(job)
        await trio.sleep(5.0)
        assert find_tasks_with_overlapping_runs(play.workers) == []
        assert sum(len(worker.runs) for worker in play.workers) >= 6

    run_play(test)


async def fail_later(play: Play, worker: int, fault: str, after_s: float) -> None:
    await trio.sleep(after_s)
    if fault == "agent_killed":
        play.deployment.kill_agent(play.workers[worker].name)
    elif fault == "agent_frozen":
        await play.process_of_agent(worker).slow_down(SLOW_S, SLOW_S)
    elif fault == "worker_silent":
        play.workers[worker].is_unresponsive = True


@pytest.mark.parametrize("seed", [*range(24), 61])
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


class RecordingEntry:
    """Records the jobs that are submitted to it; see Entry."""

    metrics = Metrics("entry", "entry-0")

    def __init__(self):
        self.submitted = []

    async def submit(self, job) -> Answer:
        self.submitted.append(job)
        return Answer(Code.OK)


@pytest.mark.parametrize("has_left", [False, True])
def test_request_whose_client_closed_its_connection_is_not_submitted(has_left):
    # Counts the rounds of the real server, on loopback.
    entry = RecordingEntry()
    handled = trio.Event()

    async def app(scope, receive, send):
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        await read_body(receive, limit_bytes=100)
        await run_until_disconnect(entry, make_job("a", 1.0), receive)
        handled.set()

    async def main():
        async with trio.open_nursery() as nursery:
            address = await nursery.start(
                serve_http, app, "127.0.0.1:0", trio.sleep_forever
            )
            host, port = address.split(":")
            with socket.create_connection((host, int(port))) as client:
                client.sendall(REQUEST)
                if has_left:
                    client.close()
                with trio.fail_after(10.0):
                    await handled.wait()
            nursery.cancel_scope.cancel()

    trio.run(main)
    assert len(entry.submitted) == (0 if has_left else 1)
