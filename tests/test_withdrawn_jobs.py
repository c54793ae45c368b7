"""Tests that no run of a job is left once it is withdrawn, whatever its links do.

A job is withdrawn when its caller disconnects or cancels it, or when it fails or
expires. Its caller may submit it to another entry RESUBMIT_AFTER_S later, which starts
each task again.
"""

import pytest
import trio
from test_reruns import (
    RESUBMIT_AFTER_S,
    make_job,
    run_deployment_with_leases,
    submit_and_discard_answer,
)

from gooseberrylink.backends.leased import EndKind
from gooseberrylink.codes import Code
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
