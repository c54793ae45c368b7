"""No job is run again while a start of it may still take effect at a silent worker.

The agent is connected all the time, so its link tells the entries nothing.
"""

import pytest
import trio
from test_agent_restart import (
    MAX_REFUSED_AFTER_RETURN_S,
    make_named_job,
    platform_settings,
    run_with_platform_settings,
    submit_until_accepted,
)
from test_reruns import RESUBMIT_AFTER_S
from test_withdrawn_jobs import (
    Caller,
    run_entry_with_scripted_agents,
    wait_for_assignments,
)

from gooseberrylink.codes import Code
from gooseberrylink.peers.messages import UnconfirmedStart
from gooseberrylink.standins.leased_backend import find_tasks_with_overlapping_runs

__all__ = [
    "platform_settings",
    "run_entry_with_scripted_agents",
    "run_with_platform_settings",
]

SILENT_S = 5.5


async def submit_to_failing_worker(deployment, worker, late_s, deadline_s=20.0):
    """Submits a job whose start is executed late; returns its caller."""
    worker.execution_delay_s = late_s
    caller = Caller(deployment.entries[0])
    deployment.start_soon(
        lambda: caller.submit(make_named_job("a", 4.0, deadline_s=deadline_s))
    )
    await trio.sleep(0.05)
    worker.execution_delay_s = 0.0
    worker.is_unresponsive = True
    return caller


def make_start(left_s: float, worker: str = "tank-1") -> UnconfirmedStart:
    return UnconfirmedStart("a.0", "x-1-0.1", worker, "1", left_s)


@pytest.mark.parametrize("late_s", [2.0, 3.5])
@pytest.mark.parametrize("left_after_s", [0.05, 0.3, 1.6])
@pytest.mark.parametrize("how", ["caller_left", "entry_killed"])
def test_job_sent_again_waits_for_a_start_in_doubt_at_a_connected_agent(
    run_with_platform_settings, how, left_after_s, late_s
):
    # Guards against two runs of a task: the worker is cut off, and carries the first
    # start out while the job runs elsewhere.
    async def test(deployment, workers, add_agent):
        worker, other_worker = workers
        first, second = deployment.entries
        await add_agent(other_worker)
        await trio.sleep(1.0)
        other_worker.is_unresponsive = True
        await trio.sleep(1.0)
        requested_s = trio.current_time()
        caller = await submit_to_failing_worker(deployment, worker, late_s)
        other_worker.is_unresponsive = False
        await trio.sleep_until(requested_s + left_after_s)
        if how == "caller_left":
            caller.disconnect()
        else:
            await deployment.kill_entry(first)
        await trio.sleep(RESUBMIT_AFTER_S)
        job = make_named_job("a", 4.0, deadline_s=20.0)
        refusal = await second.submit(job)
        assert refusal.code is Code.EARLIER_START_PENDING
        assert 0 < refusal.retry_after_s <= 2.0
        answers = []

        async def submit_again():
            answers.append(await submit_until_accepted(second, job))

        deployment.start_soon(submit_again)
        await trio.sleep_until(requested_s + SILENT_S)
        worker.is_unresponsive = False
        await trio.sleep(12.0)
        assert find_tasks_with_overlapping_runs(workers) == []
        assert [answer.code for answer in answers] == [Code.OK]
        last_run = max(worker.runs + other_worker.runs, key=lambda run: run.started_s)
        silent_until_s = requested_s + SILENT_S
        assert last_run.started_s < silent_until_s + MAX_REFUSED_AFTER_RETURN_S

    run_with_platform_settings(test, entry_count=2)


def test_entry_that_reconnects_learns_of_a_start_in_doubt(run_with_platform_settings):
    # Guards against an entry that accepts the job because its link was down before.
    async def test(deployment, workers, add_agent):
        second = deployment.entries[1]
        caller = await submit_to_failing_worker(deployment, workers[0], 4.0)
        deployment.network.partition("tank-1", second.address_for_agents)
        await trio.sleep(0.8)
        caller.disconnect()
        for link in deployment.network.find_open_connections(
            address=second.address_for_agents
        ):
            link.agent_end.close()
            link.entry_end.close()
        deployment.network.heal("tank-1")
        await trio.sleep(RESUBMIT_AFTER_S)
        answer = await second.submit(make_named_job("a", 4.0, deadline_s=20.0))
        assert answer.code is Code.EARLIER_START_PENDING

    run_with_platform_settings(test, entry_count=2)


def test_start_whose_stop_is_confirmed_soon_is_not_announced(
    run_with_platform_settings,
):
    # Guards against messages for each order without a reply, of which days have many.
    async def test(deployment, workers, add_agent):
        await submit_to_failing_worker(deployment, workers[0], 0.3)
        await trio.sleep(0.3)
        workers[0].is_unresponsive = False
        await trio.sleep(1.0)
        agent = deployment.agents["tank-1"]
        assert agent.metrics.get("run_orders", "unanswered") == 1
        assert agent.metrics.get("starts_unconfirmed") == 0

    run_with_platform_settings(test)


def test_queued_job_is_refused_once_a_start_in_doubt_is_known(
    run_entry_with_scripted_agents,
):
    # Guards against a job that was admitted before the notice of the start arrived.
    async def test(nursery, entry, agents):
        nursery.start_soon(Caller(entry).submit, make_named_job("b", *[4.0] * 8))
        await wait_for_assignments(agents[0], 8)
        caller = Caller(entry)
        nursery.start_soon(caller.submit, make_named_job("a", 4.0))
        await trio.sleep(0.05)
        reporter = entry.peers["tank-1"]
        entry.dispatcher.record_unconfirmed_start(make_start(5.0), reporter)
        await trio.sleep(0.05)
        assert caller.answer.code is Code.EARLIER_START_PENDING
        assert caller.answer.retry_after_s == 2.0

    run_entry_with_scripted_agents(test)


@pytest.mark.parametrize("worker", ["tank-1", "tank-2"])
def test_entry_shares_starts_in_doubt_of_the_agent_that_reports_them(
    run_entry_with_scripted_agents, monkeypatch, worker
):
    # Guards against entries that accept the job as they have no link to the agent, and
    # against notices that are passed on without end.
    async def test(nursery, entry, agents):
        reporter, other = entry.peers["tank-1"], entry.peers["tank-2"]
        shared = []
        for peer in (reporter, other):
            monkeypatch.setattr(peer, "share_unconfirmed_starts", shared.extend)
        for left_s in (5.0, 4.0, 0.0, 0.0):
            entry.dispatcher.record_unconfirmed_start(
                make_start(left_s, worker), reporter
            )
        expected = [5.0, 0.0] if worker == "tank-1" else []
        assert [start.left_s for start in shared] == expected

    run_entry_with_scripted_agents(test)
