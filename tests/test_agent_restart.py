"""Tests an agent that is restarted beside a worker that continues."""

import pytest
import trio
import yaml
from test_reruns import RESUBMIT_AFTER_S, make_job
from test_startup import PLATFORM_SETTINGS
from test_withdrawn_jobs import Caller

from gooseberrylink.backends.client import Announcement
from gooseberrylink.codes import Code
from gooseberrylink.platform import agent_program, entry_program
from gooseberrylink.platform.common import RERUN_AFTER_SILENCE_S, link_settings
from gooseberrylink.platform.settings import read_settings
from gooseberrylink.standins.leased_backend import (
    FakeLeasedBackend,
    find_tasks_with_overlapping_runs,
)
from gooseberrylink.types import Answer, JobRequest

# A task's only start request is executed this late. With the lease that it carries, its
# run ends 2.4 s after the request, before entries rerun tasks of a silent agent.
EXECUTION_DELAY_S = 1.5
LEASE_MS = 900
# Time after which an entry closes a silent link and has checked which leases are over.
MAX_SILENCE_S = 1.25
# A start that gets no reply, and whose stop is confirmed, is executed this late.
LATE_START_S = 3.0
UNIX_TIME_NS = 1_700_000_000 * 10**9
HOUR_NS = 3600 * 10**9
# Longest Retry-After, and the time until the runs of an agent's predecessor have ended.
MAX_REFUSED_AFTER_RETURN_S = 3.0


class BackendWithLateLeases(FakeLeasedBackend):
    """Counts the lease in a start request from the execution of the request."""

    def _start(self, key, payload, lease_end_ms, fencing_token):
        lease_end_ms = max(lease_end_ms, self.clock_ms() + LEASE_MS)
        return super()._start(key, payload, lease_end_ms, fencing_token)


@pytest.fixture
def platform_settings(tmp_path):
    path = tmp_path / "local.yaml"
    changes = {"bindAddresses": {"front": "10.0.0.1:1", "readiness": "10.0.0.1:2"}}
    path.write_text(yaml.safe_dump(PLATFORM_SETTINGS | changes))
    return read_settings(path)


def test_hello_of_a_restarted_agent_reruns_no_task_earlier_than_silence(
    run_on_deployment, platform_settings
):
    # The hello was sent after the time of a lease, although the worker had not replied
    # and executed a start of the earlier incarnation afterwards.
    entry_settings = entry_program._entry_settings(platform_settings)
    agent_settings = agent_program._agent_settings(platform_settings)

    async def test(deployment):
        async with trio.open_nursery() as nursery:
            entry = await deployment.add_entry(
                "entry-1",
                rerun_after_silence_s=entry_settings.rerun_after_silence_s,
                **link_settings(),
            )
            workers = [
                BackendWithLateLeases("tank-1", nursery),
                BackendWithLateLeases("tank-2", nursery),
            ]
            for worker in workers:
                nursery.start_soon(worker.advance_runs)

            async def add_agent(worker, fencing_token):
                await deployment.add_agent_with_leases(
                    worker,
                    fencing_token,
                    dial_after_s=agent_settings.dial_after_s,
                    **link_settings(),
                )

            await add_agent(workers[0], fencing_token=1)
            await deployment.wait_connected()
            workers[0].execution_delay_s = EXECUTION_DELAY_S
            answers = []

            async def submit():
                answers.append(await entry.submit(make_job("a", 1.0)))

            async with trio.open_nursery() as submit_nursery:
                submit_nursery.start_soon(submit)
                await trio.sleep(0.1)
                deployment.kill_agent("tank-1")
                workers[0].is_unresponsive = True
                await add_agent(workers[1], fencing_token=1)
                await add_agent(workers[0], fencing_token=2)
            assert [answer.code for answer in answers] == [Code.OK]
            assert [len(worker.runs) for worker in workers] == [1, 1]
            assert find_tasks_with_overlapping_runs(workers) == []
            # A worker that is gone does not keep its agent from entries for good.
            await trio.sleep(agent_settings.dial_after_s)
            assert deployment.network.find_open_connections("tank-1")
            nursery.cancel_scope.cancel()

    run_on_deployment(test)


@pytest.mark.parametrize("restart_s", [0.1, 0.3, 0.5, 0.7, 0.9, 1.1])
def test_hello_of_a_restarted_agent_reruns_no_task_of_a_replaced_worker_early(
    run_on_deployment, platform_settings, restart_s
):
    # The worker drains with a task in progress, and the next incarnation of the agent
    # knows only the one that replaces it.
    agent_settings = agent_program._agent_settings(platform_settings).model_dump(
        include={"dial_after_s", "earlier_runs_end_s", "max_run_after_lease_s"}
    )

    async def test(deployment):
        async with trio.open_nursery() as nursery:
            entry = await deployment.add_entry(
                "entry-1", rerun_after_silence_s=2.6, **link_settings()
            )

            async def add_agent(worker, fencing_token=1):
                await deployment.add_agent_with_leases(
                    worker, fencing_token, **agent_settings, **link_settings()
                )

            replaced, replacement, other = workers = [
                FakeLeasedBackend(name, nursery)
                for name in ("tank-1", "tank-1", "tank-2")
            ]
            for worker in workers:
                nursery.start_soon(worker.advance_runs)
            await add_agent(replaced)
            await deployment.wait_connected()
            answers = []

            async def submit():
                answers.append(await entry.submit(make_job("a", 1.5)))

            async with trio.open_nursery() as submit_nursery:
                submit_nursery.start_soon(submit)
                await trio.sleep(0.3)
                announcement = Announcement("dispatch", "fake:1", 8)
                deployment.incarnations["tank-1"].handle_announcement(
                    announcement, 1, is_draining=True
                )
                await add_agent(other)
                await trio.sleep(0.2)
                deployment.kill_agent("tank-1")
                await trio.sleep(restart_s)
                await add_agent(replacement, fencing_token=2)
            assert [answer.code for answer in answers] == [Code.OK]
            assert len(replaced.runs) == 1
            assert find_tasks_with_overlapping_runs(workers) == []
            nursery.cancel_scope.cancel()

    run_on_deployment(test)


@pytest.fixture
def run_with_platform_settings(run_on_deployment, platform_settings):
    """Returns a function that runs a test on one or more entries and two workers.

    The second worker has no agent until the test adds it.
    """
    entry_settings = entry_program._entry_settings(platform_settings).model_dump(
        exclude={"entry", "data_centre", "listen", "listen_agents", "platform"}
    )
    entry_settings |= {"entries": [], "ready_peers": 1}
    agent_settings = agent_program._agent_settings(platform_settings).model_dump(
        exclude={"worker", "data_centre", "entries"}
    )

    def run(test, entry_count: int = 1):
        async def main(deployment):
            async with trio.open_nursery() as nursery:
                for number in range(1, entry_count + 1):
                    await deployment.add_entry(f"entry-{number}", **entry_settings)
                workers = [FakeLeasedBackend(f"tank-{n}", nursery) for n in (1, 2)]
                for worker in workers:
                    worker.counts_lease_from_arrival = True
                    nursery.start_soon(worker.advance_runs)

                async def add_agent(worker, fencing_token=1):
                    await deployment.add_agent_with_leases(
                        worker, fencing_token, **agent_settings
                    )

                await add_agent(workers[0])
                await deployment.wait_connected()
                await test(deployment, workers, add_agent)
                nursery.cancel_scope.cancel()

        run_on_deployment(main)

    return run


def start_submitting(deployment, job) -> list[Code]:
    """Submits a job in the background; the code of its answer is added to the list."""
    codes = []

    async def submit():
        answer = await deployment.entries[0].submit(job)
        codes.append(answer.code)

    deployment.start_soon(submit)
    return codes


def lose_agent(deployment, fault: str) -> None:
    if fault == "agent_killed":
        deployment.kill_agent("tank-1")
    else:
        deployment.network.partition("tank-1")


@pytest.mark.parametrize("late_s", [2.0, 2.5, 3.0, 4.0])
@pytest.mark.parametrize("fault", ["agent_killed", "host_cut_off"])
def test_task_whose_start_has_no_reply_is_not_rerun_before_its_agent_is_back(
    run_with_platform_settings, fault, late_s
):
    # The worker executed the start while the rerun was in progress.
    async def test(deployment, workers, add_agent):
        worker, other_worker = workers
        worker.execution_delay_s = late_s
        codes = start_submitting(deployment, make_job("a", 1.5))
        await trio.sleep(0.05)
        lose_agent(deployment, fault)
        worker.execution_delay_s = 0.0
        worker.is_unresponsive = True
        await add_agent(other_worker)
        await trio.sleep(5.0)
        worker.is_unresponsive = False
        if fault == "agent_killed":
            await add_agent(worker, fencing_token=2)
        else:
            deployment.network.heal("tank-1")
        await trio.sleep(4.0)
        assert find_tasks_with_overlapping_runs(workers) == []
        assert len(worker.runs) == 1
        assert codes == [Code.OK]

    run_with_platform_settings(test)


@pytest.mark.parametrize("fault", ["agent_killed", "host_cut_off"])
def test_task_that_has_started_is_rerun_while_its_agent_is_away(
    run_with_platform_settings, fault
):
    async def test(deployment, workers, add_agent):
        worker, other_worker = workers
        codes = start_submitting(deployment, make_job("a", 4.0))
        await trio.sleep(0.5)
        lose_agent(deployment, fault)
        lost_s = trio.current_time()
        await add_agent(other_worker)
        await trio.sleep(9.0)
        assert codes == [Code.OK]
        (rerun,) = other_worker.runs
        assert rerun.started_s < lost_s + MAX_SILENCE_S + RERUN_AFTER_SILENCE_S
        assert find_tasks_with_overlapping_runs(workers) == []

    run_with_platform_settings(test)


def test_start_that_was_reported_on_a_lost_link_is_reported_on_the_next(
    run_with_platform_settings,
):
    async def test(deployment, workers, add_agent):
        worker, other_worker = workers
        codes = start_submitting(deployment, make_job("a", 6.0, deadline_s=14.0))
        await trio.sleep(0.005)
        for connection in deployment.network.find_open_connections("tank-1"):
            connection.agent_end.is_partitioned = True
        await trio.sleep(0.5)
        assert len(worker.runs) == 1
        for connection in deployment.network.find_open_connections("tank-1"):
            connection.entry_end.close()
        await trio.sleep(0.5)
        deployment.kill_agent("tank-1")
        await add_agent(other_worker)
        await trio.sleep(12.0)
        assert codes == [Code.OK]
        assert find_tasks_with_overlapping_runs(workers) == []

    run_with_platform_settings(test)


def test_hello_after_silence_does_not_rerun_a_task_whose_start_has_no_reply(
    run_with_platform_settings,
):
    # The next incarnation of the agent had no reply from the worker, either.
    async def test(deployment, workers, add_agent):
        worker, other_worker = workers
        worker.execution_delay_s = 5.0
        codes = start_submitting(deployment, make_job("a", 4.0, deadline_s=20.0))
        await trio.sleep(0.05)
        deployment.kill_agent("tank-1")
        worker.is_unresponsive = True
        await add_agent(other_worker)
        await add_agent(worker, fencing_token=2)
        await trio.sleep(7.0)
        worker.execution_delay_s = 0.0
        worker.is_unresponsive = False
        await trio.sleep(6.0)
        assert find_tasks_with_overlapping_runs(workers) == []
        assert codes == [Code.OK]

    run_with_platform_settings(test)


@pytest.mark.parametrize("late_s", [2.0, 7.0, 12.0])
def test_task_whose_start_has_no_reply_is_rerun_once_no_late_start_can_be_left(
    run_with_platform_settings, late_s
):
    async def test(deployment, workers, add_agent):
        worker, other_worker = workers
        worker.execution_delay_s = late_s
        codes = start_submitting(deployment, make_job("a", 4.0, deadline_s=30.0))
        await trio.sleep(0.05)
        deployment.kill_agent("tank-1")
        worker.is_unresponsive = True
        await add_agent(other_worker)
        await add_agent(worker, fencing_token=2)
        await trio.sleep(25.0)
        assert find_tasks_with_overlapping_runs(workers) == []
        assert [len(w.runs) for w in workers] == [1, 1]
        assert codes == [Code.OK]

    run_with_platform_settings(test)


@pytest.mark.parametrize("late_s", [2.0, 2.5, 3.0, 3.5])
def test_late_start_of_an_agent_whose_worker_had_restarted_is_fenced_by_the_next_agent(
    run_with_platform_settings, late_s
):
    # The tokens of the earlier agent had run ahead of the clock, and the worker, which
    # restarts again, knows none of them.
    async def test(deployment, workers, add_agent):
        worker, other_worker = workers
        worker.crash()
        await trio.sleep(1.0)
        worker.execution_delay_s = late_s
        codes = start_submitting(deployment, make_job("a", 4.0))
        await trio.sleep(0.05)
        deployment.kill_agent("tank-1")
        worker.execution_delay_s = 0.0
        worker.crash()
        await add_agent(other_worker)
        await trio.sleep(0.5)
        # Fencing tokens are the time in milliseconds.
        await add_agent(worker, fencing_token=1 + round(1000 * trio.current_time()))
        await trio.sleep(8.0)
        assert find_tasks_with_overlapping_runs(workers) == []
        assert codes == [Code.OK]

    run_with_platform_settings(test)


def make_named_job(label: str, *run_s: float, **fields) -> JobRequest:
    job = make_job(label, *run_s, **fields)
    for task in job.tasks:
        task.name = task.payload["name"]
    return job


async def submit_until_accepted(entry, job) -> Answer:
    """Submits a job, again after each refusal once its Retry-After has passed."""
    while True:
        answer = await entry.submit(job)
        if answer.retry_after_s is None:
            return answer
        await trio.sleep(answer.retry_after_s)


@pytest.mark.parametrize("late_s", [2.0, 3.0, 4.5])
@pytest.mark.parametrize(
    ("how", "is_same_entry"),
    [
        ("caller_left", False),
        ("caller_left", True),
        ("expired", False),
        ("expired", True),
        ("entry_killed", False),
    ],
)
@pytest.mark.parametrize("fault", ["agent_killed", "agent_silent"])
def test_job_sent_again_waits_for_the_agent_of_a_start_without_reply(
    run_with_platform_settings, fault, how, is_same_entry, late_s
):
    # The other entry started the task at once, and the worker the first run later.
    async def test(deployment, workers, add_agent):
        worker, other_worker = workers
        first, second = deployment.entries
        worker.execution_delay_s = late_s
        deadline_s = 1.6 if how == "expired" else 20.0
        caller = Caller(first)
        deployment.start_soon(
            lambda: caller.submit(make_named_job("a", 4.0, deadline_s=deadline_s))
        )
        await trio.sleep(0.05)
        lost_s = trio.current_time()
        if fault == "agent_silent":
            deployment.network.partition("tank-1")
        deployment.kill_agent("tank-1")
        worker.execution_delay_s = 0.0
        await add_agent(other_worker)
        await trio.sleep_until(lost_s + 1.6)
        if how == "caller_left":
            caller.disconnect()
        elif how == "entry_killed":
            await deployment.kill_entry(first)
        await trio.sleep(RESUBMIT_AFTER_S)
        answers = []

        async def submit_again():
            entry = first if is_same_entry else second
            job = make_named_job("a", 4.0, deadline_s=20.0)
            answers.append(await submit_until_accepted(entry, job))

        deployment.start_soon(submit_again)
        await trio.sleep_until(lost_s + 5.5)
        deployment.network.heal("tank-1")
        token = 1 + round(1000 * trio.current_time())
        await add_agent(worker, fencing_token=token)
        back_s = trio.current_time()
        await trio.sleep(12.0)
        assert find_tasks_with_overlapping_runs(workers) == []
        assert [answer.code for answer in answers] == [Code.OK]
        last_run = max(workers[0].runs + workers[1].runs, key=lambda r: r.started_s)
        assert last_run.started_s < back_s + MAX_REFUSED_AFTER_RETURN_S

    run_with_platform_settings(test, entry_count=2)


def announce(deployment, worker, units: int, born_ms: int = 0) -> None:
    """Delivers a heartbeat of a worker; the first one had no start time."""
    announcement = Announcement("dispatch", "fake:1", units, born_ms=born_ms)
    deployment.incarnations[worker.name].handle_announcement(announcement, 1, False)


async def rerun_after_late_start(deployment, workers, add_agent) -> float:
    """Submits a job whose start gets no reply, and that reruns at the other worker.

    Returns:
        When the first worker executes the start, although its stop was confirmed.
    """
    worker, other_worker = workers
    worker.execution_delay_s = LATE_START_S
    job = make_job("a", 6.0, units=4)
    deployment.start_soon(lambda: submit_until_accepted(deployment.entries[0], job))
    executed_s = trio.current_time() + LATE_START_S
    await trio.sleep(0.02)
    worker.execution_delay_s = 0.0
    announce(deployment, worker, units=2)
    await add_agent(other_worker)
    await trio.sleep(1.0)
    assert [len(w.runs) for w in workers] == [0, 1]
    return executed_s


@pytest.mark.parametrize("before_s", [0.01, 0.05, 0.1, 0.15, 0.2, 0.25])
def test_heartbeat_of_a_restarted_worker_bars_late_starts_at_once(
    run_with_platform_settings, before_s
):
    # A request to the crashed worker was still waiting for its reply.
    async def test(deployment, workers, add_agent):
        worker = workers[0]
        executed_s = await rerun_after_late_start(deployment, workers, add_agent)
        worker.is_unresponsive = True
        worker.crash()
        await trio.sleep_until(executed_s - before_s)
        worker.is_unresponsive = False
        announce(deployment, worker, 8, worker.born_ms)
        await trio.sleep(7.0)
        assert find_tasks_with_overlapping_runs(workers) == []
        assert [len(w.runs) for w in workers] == [0, 1]

    run_with_platform_settings(test)


def test_task_does_not_run_beside_a_late_start_at_a_worker_that_just_restarted(
    run_with_platform_settings,
):
    # No request from the agent has reached the new incarnation.
    async def test(deployment, workers, add_agent):
        executed_s = await rerun_after_late_start(deployment, workers, add_agent)
        await trio.sleep_until(executed_s - 0.01)
        workers[0].crash()
        await trio.sleep(2.0)
        assert find_tasks_with_overlapping_runs(workers) == []

    run_with_platform_settings(test)


def test_later_client_has_a_higher_fencing_token_although_the_clock_was_set_back(
    run_on_mock_clock, platform_settings, tmp_path, monkeypatch
):
    # A worker drained and restarted under its id, so that the agent uses a new client.
    async def main():
        async with trio.open_nursery() as nursery:
            worker = FakeLeasedBackend("tank-1", nursery)
            monkeypatch.setattr(
                agent_program.AgentProgram, "_make_run_client", lambda *_: worker
            )
            monkeypatch.setattr(agent_program.time, "time_ns", lambda: UNIX_TIME_NS)
            program = agent_program.AgentProgram(platform_settings, tmp_path)
            tokens = []
            for _ in range(2):
                client = program._make_backend_client(Announcement("s", "fake:1", 8))
                nursery.start_soon(client.run_background)
                await trio.sleep(0.5)
                client.close()
                await trio.sleep(0.5)
                tokens.append(worker.fencing_token)
                worker.crash()
                monkeypatch.setattr(
                    agent_program.time, "time_ns", lambda: UNIX_TIME_NS - HOUR_NS
                )
            assert 0 < tokens[0] < tokens[1]
            nursery.cancel_scope.cancel()

    run_on_mock_clock(main)


def test_late_start_is_fenced_by_the_next_agent_although_the_clock_was_set_back(
    run_with_platform_settings,
):
    # The worker restarts in between, and so knows no token of the earlier agent.
    async def test(deployment, workers, add_agent):
        worker, other_worker = workers
        deployment.kill_agent("tank-1")
        await add_agent(worker, fencing_token=HOUR_NS // 10**6)
        await trio.sleep(1.0)
        worker.execution_delay_s = LATE_START_S
        codes = start_submitting(deployment, make_job("a", 4.0))
        await trio.sleep(0.05)
        deployment.kill_agent("tank-1")
        worker.execution_delay_s = 0.0
        worker.crash()
        await add_agent(other_worker)
        await trio.sleep(0.5)
        await add_agent(worker, fencing_token=1 + round(1000 * trio.current_time()))
        await trio.sleep(8.0)
        assert codes == [Code.OK]
        assert find_tasks_with_overlapping_runs(workers) == []

    run_with_platform_settings(test)
