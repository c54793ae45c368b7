"""Tests that no run of a job is left or started once it is withdrawn.

A job is withdrawn when its caller disconnects or cancels it, or when it fails or
expires. Its caller may submit it to another entry RESUBMIT_AFTER_S later, which starts
each task again.
"""

import contextlib

import pytest
import trio
import trio.testing
from test_reruns import (
    ENTRY_SETTINGS,
    LATENCY_TARGET,
    LINK_SETTINGS,
    RESUBMIT_AFTER_S,
    make_job,
    run_deployment_with_leases,
    submit_and_discard_answer,
)

from gooseberrylink.backends.client import Announcement
from gooseberrylink.backends.runs import EndKind
from gooseberrylink.callers.disconnects import run_until_disconnect
from gooseberrylink.codes import Code
from gooseberrylink.exceptions import LinkClosedError
from gooseberrylink.peers.agent_peer import AgentPeer
from gooseberrylink.peers.link import MemoryLink, open_memory_link
from gooseberrylink.peers.messages import (
    AgentFrame,
    AgentHello,
    Assign,
    Result,
    Status,
    decode_at_agent,
    encode,
)
from gooseberrylink.standins.leased_backend import find_tasks_with_overlapping_runs
from gooseberrylink.types import Answer

__all__ = ["run_deployment_with_leases"]

WITHDRAWN_S = 0.3
LINK_LOST_AFTER_WITHDRAWAL_S = [-0.4, -0.15, -0.1, -0.05, -0.001, 0.0, 0.001, 0.05, 0.2]


def close_links(connections) -> None:
    for connection in connections:
        connection.entry_end.close()


def lose_frames(connections) -> None:
    """Loses all frames on links that stay open; new links can be opened."""
    for connection in connections:
        connection.agent_end.is_partitioned = True
        connection.entry_end.is_partitioned = True


def lose_frames_of_entry(connections) -> None:
    for connection in connections:
        connection.entry_end.is_partitioned = True


async def lose_links_at(deployment, lose_links, lost_s: float, worker: str) -> None:
    """Loses the links to the first entry, those of one worker or all if it is ""."""
    await trio.sleep(lost_s)
    connections = deployment.network.find_open_connections(
        worker, deployment.entries[0].address_for_agents
    )
    lose_links(connections)


async def submit_again(deployment, workers) -> None:
    """Submits job "a" at the second entry, and checks that no runs overlap."""
    await trio.sleep(RESUBMIT_AFTER_S)
    answer = await deployment.entries[1].submit(make_job("a", *[0.2] * 6))
    assert answer.code is Code.OK
    assert find_tasks_with_overlapping_runs(workers) == []


@pytest.mark.parametrize("worker", ["", "tank-1"])
@pytest.mark.parametrize("lost_after_s", LINK_LOST_AFTER_WITHDRAWAL_S)
@pytest.mark.parametrize("lose_links", [close_links, lose_frames, lose_frames_of_entry])
def test_job_whose_revocation_was_lost_runs_once_at_a_time(
    run_deployment_with_leases, lose_links, lost_after_s, worker
):
    async def test(deployment, workers):
        withdrawn_s = max(WITHDRAWN_S, WITHDRAWN_S - lost_after_s)
        deployment.start_soon(
            lambda: lose_links_at(
                deployment, lose_links, withdrawn_s + lost_after_s, worker
            )
        )
        with trio.move_on_after(withdrawn_s):
            await deployment.entries[0].submit(make_job("a", *[4.0] * 6))
        await submit_again(deployment, workers)

    run_deployment_with_leases(test)


def test_link_replaced_before_its_entry_notices_loses_no_revocation(
    run_deployment_with_leases,
):
    async def test(deployment, workers):
        connections = list(deployment.network.connections)
        with trio.move_on_after(WITHDRAWN_S):
            await deployment.entries[0].submit(make_job("a", *[4.0] * 6))
        lose_frames(connections)
        await trio.sleep(0.05)
        for connection in connections:
            connection.agent_end.close()
        await submit_again(deployment, workers)

    run_deployment_with_leases(test)


@pytest.mark.parametrize("how", ["cancelled", "expired", "failed"])
@pytest.mark.parametrize("lose_links", [close_links, lose_frames])
def test_job_that_ends_while_its_links_are_down_runs_once_at_a_time(
    run_deployment_with_leases, lose_links, how
):
    async def test(deployment, workers):
        first = deployment.entries[0]
        for worker in workers:
            worker.slowdown = 40.0
        deadline_s = WITHDRAWN_S if how == "expired" else 10.0
        job = make_job("a", *[0.1] * 6, deadline_s=deadline_s)
        deployment.start_soon(lambda: submit_and_discard_answer(first, job))
        await lose_links_at(deployment, lose_links, WITHDRAWN_S - 0.01, "")
        await trio.sleep(0.01)
        if how == "cancelled":
            assert first.cancel("shops", "a")
        elif how == "failed":
            (running,) = first.dispatcher.jobs.values()
            first.dispatcher._fail(running, Answer(Code.TASK_FAILED))
        assert sum(len(worker.runs) for worker in workers) == 6
        for worker in workers:
            worker.slowdown = 1.0
        await submit_again(deployment, workers)

    run_deployment_with_leases(test)


@pytest.mark.parametrize("lose_links", [close_links, lose_frames])
def test_tasks_of_a_job_without_reruns_are_not_stopped(
    run_deployment_with_leases, lose_links
):
    async def test(deployment, workers):
        deployment.start_soon(
            lambda: lose_links_at(deployment, lose_links, WITHDRAWN_S, "tank-1")
        )
        with trio.move_on_after(WITHDRAWN_S):
            job = make_job("a", *[0.5] * 6, rerun_policy=None)
            await deployment.entries[0].submit(job)
        await trio.sleep(1.0)
        assert {r.end_kind for w in workers for r in w.runs} == {EndKind.DONE}

    run_deployment_with_leases(test)


def test_tasks_of_a_worker_that_changed_its_service_are_stopped(
    run_deployment_with_leases,
):
    async def test(deployment, workers):
        agent = deployment.agents["tank-1"]

        async def change_service():
            await trio.sleep(WITHDRAWN_S - 0.1)
            agent.update_announcement(Announcement("other", "fake:1", slots=8))

        deployment.start_soon(change_service)
        with trio.move_on_after(WITHDRAWN_S):
            await deployment.entries[0].submit(make_job("a", *[4.0] * 6))
        assert workers[0].runs
        await submit_again(deployment, workers)

    run_deployment_with_leases(test)


# An entry that is suspended, and resumes after its callers have disconnected.

SUSPENSION_S = 3.0


def make_hello(worker: str, incarnation: str) -> AgentHello:
    return AgentHello(
        worker,
        incarnation,
        "dc-1",
        "dispatch",
        slots=8,
        clock_s=trio.current_time(),
        entries=[],
    )


class ScriptedAgent:
    """Connects to an entry, and reports what a test tells it to.

    Attributes:
        assigned: Ids of the tasks that the entry assigned, in order.
        free_units: Units that it reports as free.
    """

    def __init__(self, nursery, entry, worker: str):
        self.assigned: list[str] = []
        self.free_units = 0
        self._nursery = nursery
        self._entry = entry
        self._worker = worker
        self._link: MemoryLink | None = None
        self._units_received = 0
        self._unfinished_ids: list[str] = []

    def connect(self, incarnation: str = "1") -> None:
        self.say_hello(incarnation)
        self.send()

    def say_hello(self, incarnation: str) -> None:
        self._link, entry_end = open_memory_link()
        self._units_received = 0
        self._link.send(encode(make_hello(self._worker, incarnation)))
        self._nursery.start_soon(self._entry.serve_link, entry_end)
        self._nursery.start_soon(self._read_frames, self._link)

    async def send_heartbeats(self) -> None:
        while True:
            await trio.sleep(LINK_SETTINGS["busy_heartbeat_s"])
            self.send()

    async def _read_frames(self, link: MemoryLink) -> None:
        with contextlib.suppress(LinkClosedError):
            await link.receive()
            while True:
                for item in decode_at_agent(await link.receive()).items:
                    if isinstance(item, Assign):
                        self._record_assignment(item)

    def _record_assignment(self, assign: Assign) -> None:
        self.assigned.append(assign.task_id)
        self._unfinished_ids.append(assign.assignment_id)
        self._units_received += assign.resources.units
        self.free_units -= assign.resources.units

    def end_tasks(self, status: Status, reason: str = "") -> None:
        """Reports that all assigned tasks have ended."""
        ids, self._unfinished_ids = self._unfinished_ids, []
        self.free_units += len(ids)
        self.send([Result(id_, status, reason=reason) for id_ in ids])

    def send(self, items: list | None = None) -> None:
        frame = AgentFrame(
            trio.current_time(),
            self.free_units,
            self.free_units,
            self._units_received,
            slots=8,
            service="dispatch",
            free_memory_mb=1000,
            items=items or [],
        )
        self._link.send(encode(frame))


class Caller:
    """Submits a job over a connection that a test can break.

    Attributes:
        answer: The answer; None before.
    """

    def __init__(self, entry):
        self.answer: Answer | None = None
        self._entry = entry
        self._send, self._receive = trio.open_memory_channel(1)

    async def submit(self, job) -> None:
        receive = self._receive.receive
        self.answer = await run_until_disconnect(self._entry, job, receive)

    def disconnect(self) -> None:
        self._send.send_nowait({"type": "http.disconnect"})


def suspend() -> None:
    """Advances the clock as if this process had been suspended."""
    trio.lowlevel.current_clock().jump(SUSPENSION_S)


@pytest.fixture
def run_entry_with_scripted_agents(run_on_deployment):
    """Returns a function that runs a test on an entry with two scripted agents.

    The second agent has no free units.
    """

    def run(test, seed: int = 0):
        async def main(deployment):
            async with trio.open_nursery() as nursery:
                entry = await deployment.add_entry(
                    "entry-0", **ENTRY_SETTINGS, **LINK_SETTINGS
                )
                agents = [
                    ScriptedAgent(nursery, entry, f"tank-{number}") for number in (1, 2)
                ]
                agents[0].free_units = 8
                for agent in agents:
                    agent.connect()
                    nursery.start_soon(agent.send_heartbeats)
                while not entry.is_ready:
                    await trio.sleep(0.01)
                await test(nursery, entry, agents)
                nursery.cancel_scope.cancel()

        run_on_deployment(main, seed)

    return run


async def wait_for_assignments(agent: ScriptedAgent, count: int) -> None:
    with trio.fail_after(1.0):
        while len(agent.assigned) < count:
            await trio.sleep(0.01)


def report_lapsed_leases(agents) -> None:
    agents[0].end_tasks(Status.STOPPED, "lease_lapsed")


def report_free_units(agents) -> None:
    agents[1].free_units = 8
    agents[1].send()


async def disconnect_after_rounds(caller: Caller, rounds: int) -> None:
    """Disconnects a caller after rounds of the event loop, in which no time passes."""
    for _ in range(rounds):
        await trio.lowlevel.checkpoint()
    caller.disconnect()


@pytest.mark.parametrize("report", [report_lapsed_leases, report_free_units])
@pytest.mark.parametrize("rounds", [0, 1, 10])
def test_resumed_entry_assigns_no_task_whose_caller_disconnected(
    run_entry_with_scripted_agents, report, rounds
):
    async def test(nursery, entry, agents):
        caller = Caller(entry)
        # Eight tasks run at the first agent; the others are queued.
        nursery.start_soon(caller.submit, make_job("a", *[4.0] * 12))
        await wait_for_assignments(agents[0], 8)
        suspend()
        report(agents)
        await disconnect_after_rounds(caller, rounds)
        await trio.sleep(1.0)
        assert (len(agents[0].assigned), agents[1].assigned) == (8, [])

    run_entry_with_scripted_agents(test)


@pytest.mark.parametrize("rounds", [1, 10])
def test_resumed_entry_reruns_no_task_of_a_restarted_agent_too_early(
    run_entry_with_scripted_agents, rounds
):
    async def test(nursery, entry, agents):
        caller = Caller(entry)
        nursery.start_soon(caller.submit, make_job("a", *[4.0] * 8))
        await wait_for_assignments(agents[0], 8)
        suspend()
        agents[0].connect(incarnation="2")
        report_free_units(agents)
        await disconnect_after_rounds(caller, rounds)
        await trio.sleep(1.0)
        assert (len(agents[0].assigned), agents[1].assigned) == (8, [])

    run_entry_with_scripted_agents(test)


def test_resumed_entry_sends_no_assignment_from_before(
    run_entry_with_scripted_agents, monkeypatch
):
    async def test(nursery, entry, agents):
        caller = Caller(entry)
        assign = AgentPeer.assign

        def assign_and_suspend(peer, task, hints):
            assign(peer, task, hints)
            monkeypatch.undo()
            suspend()
            caller.disconnect()

        monkeypatch.setattr(AgentPeer, "assign", assign_and_suspend)
        nursery.start_soon(caller.submit, make_job("a", 4.0))
        await trio.sleep(SUSPENSION_S + 1.0)
        assert agents[0].assigned == []
        # The units of the assignment that was taken back are free again.
        nursery.start_soon(Caller(entry).submit, make_job("b", *[4.0] * 8))
        await wait_for_assignments(agents[0], 8)

    run_entry_with_scripted_agents(test)


def test_resumed_entry_starts_no_job_whose_caller_has_left(
    run_entry_with_scripted_agents,
):
    async def test(nursery, entry, agents):
        suspend()
        caller = Caller(entry)
        nursery.start_soon(caller.submit, make_job("a", 4.0, **LATENCY_TARGET))
        caller.disconnect()
        await trio.sleep(1.0)
        assert agents[0].assigned == []

    run_entry_with_scripted_agents(test)


async def wait_for_answers(*callers: Caller) -> list[tuple[Code, float | None]]:
    """Returns codes and hints when to come back."""
    with trio.fail_after(1.0):
        while not all(caller.answer for caller in callers):
            await trio.sleep(0.01)
    return [(c.answer.code, c.answer.retry_after_s) for c in callers]


def test_resumed_entry_answers_callers_that_waited(run_entry_with_scripted_agents):
    # Guards against runs of jobs whose callers have left unnoticed. The job that ran
    # may have run, and the others certainly have not.
    async def test(nursery, entry, agents):
        ran, queued, unread, new = [Caller(entry) for _ in range(4)]
        nursery.start_soon(ran.submit, make_job("a", *[1.0] * 8))
        await wait_for_assignments(agents[0], 8)
        nursery.start_soon(queued.submit, make_job("b", *[1.0] * 2))
        await trio.sleep(0.05)
        suspend()
        report_lapsed_leases(agents)
        report_free_units(agents)
        nursery.start_soon(unread.submit, make_job("c", *[1.0] * 2))
        assert await wait_for_answers(ran, queued, unread) == [
            (Code.AGENT_LOST, None),
            (Code.NO_BACKEND_SERVER, 0.0),
            (Code.NOT_READY, 0.0),
        ]
        assert (len(agents[0].assigned), agents[1].assigned) == (8, [])
        assert entry.metrics.get("jobs_given_up_after_suspension") == 2
        nursery.start_soon(new.submit, make_job("d", *[1.0] * 2))
        await trio.sleep(0.05)
        for agent in agents:
            agent.end_tasks(Status.DONE)
        assert await wait_for_answers(new) == [(Code.OK, None)]

    run_entry_with_scripted_agents(test)


def test_resumed_entry_answers_with_results_that_waited(run_entry_with_scripted_agents):
    # Guards against jobs that are failed although all of their runs have ended well.
    async def test(nursery, entry, agents):
        caller = Caller(entry)
        nursery.start_soon(caller.submit, make_job("a", *[1.0] * 8))
        await wait_for_assignments(agents[0], 8)
        suspend()
        agents[0].end_tasks(Status.DONE)
        assert await wait_for_answers(caller) == [(Code.OK, None)]

    run_entry_with_scripted_agents(test)


def test_entry_that_was_suspended_twice_fails_its_jobs(run_entry_with_scripted_agents):
    # Guards against a second suspension that ends the settling of the first.
    async def test(nursery, entry, agents):
        caller = Caller(entry)
        nursery.start_soon(caller.submit, make_job("a", *[1.0] * 8))
        await wait_for_assignments(agents[0], 8)
        suspend()
        report_lapsed_leases(agents)
        await trio.sleep(0.1)
        suspend()
        report_free_units(agents)
        assert await wait_for_answers(caller) == [(Code.AGENT_LOST, None)]
        assert (len(agents[0].assigned), agents[1].assigned) == (8, [])

    run_entry_with_scripted_agents(test)


def test_short_delay_of_an_entry_does_not_delay_its_jobs(
    run_entry_with_scripted_agents,
):
    async def test(nursery, entry, agents):
        trio.lowlevel.current_clock().jump(0.9 * LINK_SETTINGS["lease_s"])
        nursery.start_soon(Caller(entry).submit, make_job("a", 1.0))
        await trio.testing.wait_all_tasks_blocked()
        assert len(agents[0].assigned) == 1

    run_entry_with_scripted_agents(test)


# A hello that is late.


def test_late_hello_of_an_earlier_incarnation_reruns_no_running_task(
    run_entry_with_scripted_agents,
):
    async def test(nursery, entry, agents):
        agents[0].connect(incarnation="2")
        await trio.sleep(0.01)
        caller = Caller(entry)
        nursery.start_soon(caller.submit, make_job("a", *[4.0] * 8))
        await wait_for_assignments(agents[0], 8)
        report_free_units(agents)
        late = ScriptedAgent(nursery, entry, "tank-1")
        late.connect(incarnation="1")
        await trio.sleep(0.1)
        assert agents[1].assigned == []
        agents[0].end_tasks(Status.DONE)
        await trio.sleep(0.1)
        assert caller.answer.code is Code.OK

    run_entry_with_scripted_agents(test)


def test_late_hello_of_an_unheard_incarnation_reruns_no_running_task(
    run_entry_with_scripted_agents,
):
    # Its hello was lost at first, it was killed, and the next incarnation connected
    # before the hello was transmitted again.
    async def test(nursery, entry, agents):
        agents[0].connect(incarnation="3")
        await trio.sleep(0.01)
        caller = Caller(entry)
        nursery.start_soon(caller.submit, make_job("a", *[4.0] * 8))
        await wait_for_assignments(agents[0], 8)
        report_free_units(agents)
        late_end, entry_end = open_memory_link()
        late_end.send(encode(make_hello("tank-1", "2")))
        nursery.start_soon(entry.serve_link, entry_end)
        await trio.sleep(0.001)
        late_end.close()
        await trio.sleep(0.1)
        assert agents[1].assigned == []
        agents[0].end_tasks(Status.DONE)
        await trio.sleep(0.1)
        assert caller.answer.code is Code.OK

    run_entry_with_scripted_agents(test)


def test_late_first_frame_of_an_earlier_incarnation_reruns_no_running_task(
    run_entry_with_scripted_agents,
):
    # The entry had answered its hello before it was killed, and the next incarnation
    # connected before its first frame was transmitted again.
    async def test(nursery, entry, agents):
        late = ScriptedAgent(nursery, entry, "tank-1")
        late.say_hello(incarnation="2")
        await trio.sleep(0.01)
        agents[0].connect(incarnation="3")
        await trio.sleep(0.01)
        caller = Caller(entry)
        nursery.start_soon(caller.submit, make_job("a", *[4.0] * 8))
        await wait_for_assignments(agents[0], 8)
        report_free_units(agents)
        late.send()
        await trio.sleep(0.1)
        assert agents[1].assigned == []
        agents[0].end_tasks(Status.DONE)
        await trio.sleep(0.1)
        assert caller.answer.code is Code.OK

    run_entry_with_scripted_agents(test)
