"""Tests backend servers that leave, and the draining of agents and entries."""

import trio

from gooseberrylink.backends.announcement_api import AnnouncementApi
from gooseberrylink.backends.client import Announcement
from gooseberrylink.codes import Code
from gooseberrylink.standins.backend import FakeBackend


async def submit_jobs(deployment, make_job, seconds: float) -> list:
    """Submits a small job every 50 ms for a while; returns the answers."""
    answers = []

    async def submit(number):
        entry = deployment.entries[number % len(deployment.entries)]
        answers.append(await entry.submit(make_job(0.3, 0.3, label=f"j{number}")))

    async with trio.open_nursery() as nursery:
        for number in range(int(seconds / 0.05)):
            nursery.start_soon(submit, number)
            await trio.sleep(0.05)
    return answers


def test_leaving_backend_server_gets_no_new_task_and_finishes(
    run_on_deployment, make_job
):
    async def test(deployment):
        await deployment.add_entry("entry-1")
        for worker in ("tank-1", "tank-2"):
            await deployment.add_agent(worker)
        await deployment.wait_connected()
        left_s = []

        async def leave():
            await trio.sleep(1)
            deployment.agents["tank-1"].detach_backend("left")
            left_s.append(trio.current_time())

        deployment.start_soon(leave)
        answers = await submit_jobs(deployment, make_job, 3)
        assert {answer.code for answer in answers} == {Code.OK}
        starts = [s for b in deployment.backends for s in b.starts]
        starts_after_leaving = [
            s for s in starts if s.worker == "tank-1" and s.started_s > left_s[0]
        ]
        assert starts_after_leaving == []

    run_on_deployment(test)


def test_draining_agent_finishes_its_tasks(run_on_deployment, make_job):
    async def test(deployment):
        await deployment.add_entry("entry-1")
        for worker in ("tank-1", "tank-2"):
            await deployment.add_agent(worker)
        await deployment.wait_connected()
        drained = []

        async def drain():
            await trio.sleep(1)
            drained.append(await deployment.agents["tank-1"].drain(10))
            deployment.kill_agent("tank-1")

        deployment.start_soon(drain)
        answers = await submit_jobs(deployment, make_job, 3)
        assert drained == [True]
        assert {answer.code for answer in answers} == {Code.OK}
        assert set(deployment.count_starts_by_task().values()) == {1}

    run_on_deployment(test)


def test_draining_entry_answers_accepted_jobs(run_on_deployment, make_job):
    async def test(deployment):
        await deployment.add_entry("entry-1")
        await deployment.add_agent("tank-1")
        await deployment.wait_connected()
        entry = deployment.entries[0]
        drained = []

        async def drain():
            await trio.sleep(1)
            drained.append(await entry.drain())

        deployment.start_soon(drain)
        answers = await submit_jobs(deployment, make_job, 2)
        assert drained == [True]
        assert not entry.is_ready
        codes = [answer.code for answer in answers]
        assert set(codes) == {Code.OK, Code.SHUTTING_DOWN}
        ran = {label.partition("/")[0] for label in deployment.count_starts_by_label()}
        assert len(ran) == codes.count(Code.OK)

    run_on_deployment(test)


def test_backend_server_that_stops_renewing_is_detached(run_on_deployment, make_job):
    async def test(deployment):
        entry = await deployment.add_entry("entry-1")
        agent = await deployment.add_agent("tank-1")
        agent.detach_backend("test")
        backend = FakeBackend("tank-1")
        announcement_api = AnnouncementApi(agent, lambda announcement: backend)
        deployment.start_soon(announcement_api.run)
        announcement = Announcement("dispatch", "fake:1", 8)
        announcement_api.accept_announcement(announcement)
        await deployment.wait_connected()
        for _ in range(5):
            await trio.sleep(1)
            announcement_api.accept_announcement(announcement)
        assert (await entry.submit(make_job(0.1))).code is Code.OK
        await trio.sleep(2 * agent.settings.announcement_valid_s)
        assert (await entry.submit(make_job(0.1))).code is Code.NO_BACKEND_SERVER
        assert len(backend.starts) == 1

    run_on_deployment(test)


def test_replaced_backend_server_is_used_at_once(run_on_deployment, make_job):
    async def test(deployment):
        entry = await deployment.add_entry("entry-1")
        agent = await deployment.add_agent("tank-1")
        await deployment.wait_connected()
        agent.detach_backend("left")
        await trio.sleep(0.1)
        assert (await entry.submit(make_job(0.1))).code is Code.NO_BACKEND_SERVER
        deployment.attach_backend(agent, FakeBackend("tank-1"))
        await trio.sleep(0.1)
        assert (await entry.submit(make_job(0.1))).code is Code.OK

    run_on_deployment(test)


def test_suspended_agent_keeps_a_backend_server_whose_renewal_waits(run_on_deployment):
    # KNOWN-RED until 2026-12-04, test_processes: an agent that resumed detached its
    # backend server, although a renewal was waiting in its socket.
    async def test(deployment):
        await deployment.add_entry("entry-1")
        agent = await deployment.add_agent("tank-1")
        agent.detach_backend("test")
        announcement_api = AnnouncementApi(agent, lambda _: FakeBackend("tank-1"))
        deployment.start_soon(announcement_api.run)
        announcement = Announcement("dispatch", "fake:1", 8)
        announcement_api.accept_announcement(announcement)
        await trio.sleep(0.1)
        trio.lowlevel.current_clock().jump(3 * agent.settings.announcement_valid_s)
        await trio.sleep(0.01)
        assert agent.allocator.slots == 8
        announcement_api.accept_announcement(announcement)
        await trio.sleep(0.9 * agent.settings.announcement_valid_s)
        assert agent.allocator.slots == 8
        await trio.sleep(agent.settings.announcement_valid_s)
        assert agent.allocator.slots == 0

    run_on_deployment(test)


def test_drain_waits_for_the_outcome_of_an_expired_job(run_on_deployment, make_job):
    async def test(deployment):
        entry = await deployment.add_entry("entry-1")
        await deployment.add_agent("tank-1")
        await deployment.wait_connected()
        answers = []

        async def submit():
            job = make_job(
                0.1, deadline_s=0.5, repeatable=False, idempotency_key="booking-1"
            )
            job.tasks[0].payload["run_s"] = 5.0
            answers.append(await entry.submit(job))

        deployment.start_soon(submit)
        await trio.sleep(0.4)
        # The agent does not answer the revocation that follows the deadline.
        deployment.network.partition("tank-1")
        await trio.sleep(0.2)
        assert entry.dispatcher.jobs == {}
        assert await entry.drain()
        assert [answer.code for answer in answers] == [Code.EXPIRED_MAY_HAVE_RUN]
        assert entry.claims.unrecorded_outcome_count == 0

    run_on_deployment(test)
