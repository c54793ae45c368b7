"""Tests that explanations agree with what the entry then does."""

import copy

import trio

from gooseberrylink.codes import Code
from gooseberrylink.operators.explanation import explain_job
from gooseberrylink.peers.messages import EvacuationState
from gooseberrylink.scheduling.evacuation import OPERATOR
from gooseberrylink.standins.platform import PlatformMode

DATA_CENTRES = ("ain-sebaa", "mohammedia", "nouaceur")


async def start(deployment, **settings):
    entry = await deployment.add_entry("entry-1", **settings)
    for number, data_centre in enumerate(DATA_CENTRES, 1):
        await deployment.add_agent(f"tank-{number}", data_centre=data_centre)
    await deployment.wait_connected()
    return entry


def chosen_workers(explanation):
    return {task["task"]: task["worker"] for task in explanation["tasks"]}


def test_explanation_is_what_the_entry_does_then(run_on_deployment, make_job):
    async def test(deployment):
        entry = await start(deployment)
        for _ in range(5):
            assert (await entry.submit(make_job(0.3, 0.2, 0.1))).code is Code.OK
        async with trio.open_nursery() as nursery:
            nursery.start_soon(entry.submit, make_job(*[2.0] * 3, label="others"))
            await trio.sleep(0.1)
            job = make_job(*[0.1 + 0.01 * n for n in range(12)], label="explained")
            explanation = explain_job(entry, job)
            assert explanation["code"] == Code.OK
            assert explanation["share_in_use"] == 1.0
            assert (await entry.submit(job)).code is Code.OK
        workers = {
            int(start.label.partition("/")[2]): start.worker
            for backend in deployment.backends
            for start in backend.starts
            if start.label.startswith("explained")
        }
        expected = chosen_workers(explanation)
        assert None not in expected.values()
        assert workers == expected

    run_on_deployment(test)


def test_explanation_names_what_speaks_against_each_worker(run_on_deployment, make_job):
    async def test(deployment):
        entry = await start(deployment)
        state = EvacuationState(OPERATOR, 5, frozenset({"mohammedia"}))
        entry.evacuations.adopt(state, "store")
        deployment.agents["tank-3"].detach_backend("test")
        await trio.sleep(0.1)
        explanation = explain_job(entry, make_job(*[0.2] * 12))
        states = {w["worker"]: w["state"] for w in explanation["tasks"][0]["workers"]}
        assert states == {
            "tank-1": "chosen",
            "tank-2": "evacuated",
            "tank-3": "no_backend",
        }
        waiting = [task for task in explanation["tasks"] if task["worker"] is None]
        assert waiting
        assert waiting[0]["workers"][0]["state"] == "full"

    run_on_deployment(test)


def test_explanation_changes_nothing(run_on_deployment, make_job):
    async def test(deployment):
        entry = await start(deployment)
        await entry.submit(make_job(0.1))
        peer = entry.peers["tank-1"]

        def snapshot():
            pool = entry.dispatcher.pool("dispatch")
            return (
                peer.free_units,
                peer.units_in_flight,
                dict(peer.tasks_in_flight),
                len(peer.outbox),
                dict(pool._virtual_finish_s),
                pool.mean_task_units,
                copy.deepcopy(entry.dispatcher.quotas.__dict__),
                dict(entry.dispatcher.jobs),
                [p.service for p in entry.dispatcher.pools()],
            )

        before = snapshot()
        for service in ("dispatch", "made-up"):
            explain_job(entry, make_job(*[0.1] * 20, service=service))
        assert snapshot() == before
        assert deployment.count_starts_by_label().total() == 1

    run_on_deployment(test)


def test_explained_refusal_is_that_of_a_submission(run_on_deployment, make_job):
    async def test(deployment):
        entry = await start(deployment)
        jobs = [
            make_job(0.1, service="made-up"),
            make_job(0.1, customer="nobody"),
            make_job(*[0.1] * 141),
            make_job(*[3.0] * 140, deadline_s=4.0),
            make_job(0.1, repeatable=False),
        ]
        for job in jobs:
            explanation = explain_job(entry, job)
            answer = await entry.submit(job)
            assert explanation["code"] == answer.code is not Code.OK
            assert explanation["detail"] == answer.detail
        deployment.platform.mode = PlatformMode.DOWN
        unready = await deployment.add_entry("entry-2")
        assert explain_job(unready, jobs[0])["code"] == Code.NOT_READY

    run_on_deployment(test)
