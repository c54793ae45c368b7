"""Workers that leave a share of their orders without a reply and execute them late."""

import math

import pytest
import trio

from gooseberrylink.backends.leased import LeasedBackendClient, LeaseSettings
from gooseberrylink.backends.runs import ControlReply, EndKind
from gooseberrylink.codes import Code
from gooseberrylink.metrics import Metrics
from gooseberrylink.platform.common import (
    EARLIER_RUNS_END_S,
    MAX_LATE_START_S,
    RERUN_AFTER_AGENT_END_S,
    RERUN_AFTER_SILENCE_S,
    link_settings,
)
from gooseberrylink.resources import Resources
from gooseberrylink.standins.leased_backend import (
    FakeBackendOwner,
    FakeLeasedBackend,
    find_tasks_with_overlapping_runs,
)
from gooseberrylink.types import JobRequest, RerunPolicy, TaskSpec

# Time after which a caller resubmits a job whose connection broke.
RESUBMIT_AFTER_S = 1.3
# Age of an assignment at its arrival.
DELAY_S = 0.7
# Time after which no late request is left.
LATE_REQUESTS_S = 12.0
LATE_STOP_S = 2.0


def make_job(label: str, run_s: float, task_count: int = 6) -> JobRequest:
    tasks = [
        TaskSpec({"name": f"{label}.{index}", "run_s": run_s}, run_s, Resources(1))
        for index in range(task_count)
    ]
    return JobRequest(
        "shops", "dispatch", tasks, 10.0, job_id=label, rerun_policy=RerunPolicy(3)
    )


@pytest.fixture
def run_with_late_orders(run_on_deployment):
    """Returns a function that runs a test on two entries and three workers."""

    def run(test, seed: int):
        async def main(deployment):
            async with trio.open_nursery() as nursery:
                for number in range(2):
                    await deployment.add_entry(f"entry-{number}", **link_settings())
                workers = []
                for number in range(3):
                    worker = FakeLeasedBackend(f"tank-{number}", nursery, seed=seed)
                    nursery.start_soon(worker.advance_runs)
                    workers.append(worker)
                    await deployment.add_agent_with_leases(worker, **link_settings())
                await deployment.wait_connected()
                await test(deployment, workers)
                nursery.cancel_scope.cancel()

        run_on_deployment(main, seed)

    return run


async def submit_and_discard_answer(entry, job) -> None:
    await entry.submit(job)


@pytest.mark.parametrize("seed", range(8))
def test_lost_stop_requests_leave_no_run_when_the_job_is_sent_again(
    run_with_late_orders, seed
):
    async def test(deployment, workers):
        first, second = deployment.entries
        deployment.start_soon(
            lambda: submit_and_discard_answer(first, make_job("a", 4.0))
        )
        await trio.sleep(0.3)
        assert sum(len(worker.runs) for worker in workers) == 6
        for worker in workers:
            worker.late_share = 0.5
        await deployment.kill_entry(first)
        await trio.sleep(RESUBMIT_AFTER_S)
        deployment.start_soon(
            lambda: submit_and_discard_answer(second, make_job("a", 0.2))
        )
        await trio.sleep(LATE_REQUESTS_S)
        assert find_tasks_with_overlapping_runs(workers) == []

    run_with_late_orders(test, seed)


@pytest.mark.parametrize("idle_s", [0.0, 0.2, 0.4, 0.6, 0.8])
def test_task_whose_assignment_was_delayed_ends_with_the_lease_of_its_entry(
    run_with_late_orders, idle_s
):
    # The entry falls silent for good after it has sent the assignment.
    async def test(deployment, workers):
        first, second = deployment.entries
        await trio.sleep(2.0 + idle_s)
        connections = deployment.network.find_open_connections(
            address=first.address_for_agents
        )
        for connection in connections:
            connection.agent_end.pause_delivery()
        with trio.move_on_after(0.01):
            await first.submit(make_job("a", 4.0))
        for worker in workers:
            deployment.network.partition(worker.name, first.address_for_agents)
        await trio.sleep(DELAY_S)
        for connection in connections:
            connection.agent_end.resume_delivery()
        await trio.sleep(RESUBMIT_AFTER_S - DELAY_S)
        assert sum(len(worker.runs) for worker in workers) == 6
        answer = await second.submit(make_job("a", 0.2))
        assert answer.code is Code.OK
        assert find_tasks_with_overlapping_runs(workers) == []

    run_with_late_orders(test, seed=0)


def test_lease_of_a_late_start_ends_in_time_if_its_agent_fails(run_with_late_orders):
    # The lease at the worker was renewed before the start, when nothing ran there.
    async def test(deployment, workers):
        first, second = deployment.entries
        await trio.sleep(2.0)
        connections = deployment.network.find_open_connections(
            address=first.address_for_agents
        )
        for connection in connections:
            connection.agent_end.pause_delivery()
        with trio.move_on_after(0.01):
            await first.submit(make_job("a", 4.0))
        for worker in workers:
            deployment.network.partition(worker.name, first.address_for_agents)
        await trio.sleep(DELAY_S)
        for connection in connections:
            connection.agent_end.resume_delivery()
        await trio.sleep(0.05)
        assert len(workers[1].runs) == 3
        deployment.kill_agent(workers[1].name)
        await trio.sleep(RESUBMIT_AFTER_S - DELAY_S - 0.05)
        answer = await second.submit(make_job("a", 0.2))
        assert answer.code is Code.OK
        assert find_tasks_with_overlapping_runs(workers) == []

    run_with_late_orders(test, seed=0)


@pytest.mark.parametrize("delay_s", [0.3, 0.5, 0.75, 0.95])
@pytest.mark.parametrize("fault", ["agent_killed", "worker_silent"])
def test_runs_of_a_dead_entry_end_in_time_if_their_agent_or_worker_fails_then(
    run_with_late_orders, fault, delay_s
):
    # The lease at the worker was renewed until the second fault, and runs on after it.
    async def test(deployment, workers):
        first, second = deployment.entries
        deployment.start_soon(
            lambda: submit_and_discard_answer(first, make_job("a", 4.0))
        )
        await trio.sleep(0.3)
        await deployment.kill_entry(first)
        # The start of another task must not extend the lease of these, either.
        await trio.sleep(delay_s - 0.05)
        other_job = make_job("b", 4.0)
        deployment.start_soon(lambda: submit_and_discard_answer(second, other_job))
        await trio.sleep(0.05)
        if fault == "agent_killed":
            deployment.kill_agent(workers[0].name)
        else:
            workers[0].is_unresponsive = True
        await trio.sleep(RESUBMIT_AFTER_S - delay_s)
        answer = await second.submit(make_job("a", 0.2))
        assert answer.code is Code.OK
        assert find_tasks_with_overlapping_runs(workers) == []

    run_with_late_orders(test, seed=0)


def test_death_of_an_entry_does_not_end_the_runs_of_others(run_with_late_orders):
    async def test(deployment, workers):
        first, second = deployment.entries
        answers = []

        async def submit_to_second():
            answers.append(await second.submit(make_job("b", 4.0)))

        deployment.start_soon(
            lambda: submit_and_discard_answer(first, make_job("a", 4.0))
        )
        deployment.start_soon(submit_to_second)
        await trio.sleep(0.3)
        await deployment.kill_entry(first)
        await trio.sleep(5.0)
        assert [answer.code for answer in answers] == [Code.OK]
        runs = [run for worker in workers for run in worker.runs]
        assert sum(run.key.name.startswith("b") for run in runs) == 6

    run_with_late_orders(test, seed=0)


class BackendWithLateStops(FakeLeasedBackend):
    """Executes each request to stop a run late_stop_s after it was sent."""

    late_stop_s = LATE_STOP_S

    async def stop(self, key, fencing_token):
        self._nursery.start_soon(
            self._execute_later,
            lambda: self._stop(key, fencing_token),
            self.late_stop_s,
        )
        await trio.sleep(0.25)
        return ControlReply.UNANSWERED


@pytest.mark.parametrize("back_s", [0.05, 0.2, 0.4])
@pytest.mark.parametrize("delay_s", [0.3, 0.6])
def test_runs_of_a_dead_entry_are_not_extended_by_the_next_incarnation_of_an_agent(
    run_on_deployment, delay_s, back_s
):
    # Its renewals extended the leases of runs that it was trying to stop.
    async def test(deployment):
        async with trio.open_nursery() as nursery:
            first, second = [
                await deployment.add_entry(f"entry-{number}", **link_settings())
                for number in range(2)
            ]
            worker = BackendWithLateStops("tank-1", nursery)
            other_worker = FakeLeasedBackend("tank-2", nursery)
            workers = [worker, other_worker]
            for backend in workers:
                nursery.start_soon(backend.advance_runs)
            await deployment.add_agent_with_leases(worker, **link_settings())
            await deployment.wait_connected()
            job = make_job("a", 4.0, task_count=1)
            deployment.start_soon(lambda: submit_and_discard_answer(first, job))
            await trio.sleep(0.3)
            await deployment.add_agent_with_leases(other_worker, **link_settings())
            await deployment.kill_entry(first)
            killed_s = trio.current_time()
            await trio.sleep(delay_s)
            deployment.kill_agent(worker.name)
            await trio.sleep(back_s)
            await deployment.add_agent_with_leases(worker, 2, **link_settings())
            await trio.sleep_until(killed_s + RESUBMIT_AFTER_S)
            answer = await second.submit(make_job("a", 0.2, task_count=1))
            assert answer.code is Code.OK
            assert find_tasks_with_overlapping_runs(workers) == []
            nursery.cancel_scope.cancel()

    run_on_deployment(test)


@pytest.mark.parametrize("back_s", [0.3, 0.5, 0.7])
@pytest.mark.parametrize("late_stop_s", [4.0, 8.0])
def test_runs_of_a_killed_agent_end_before_its_entry_reruns_their_tasks(
    run_on_deployment, late_stop_s, back_s
):
    # Its next incarnation renewed the lease of runs that it was trying to stop.
    async def test(deployment):
        async with trio.open_nursery() as nursery:
            entry = await deployment.add_entry(
                "entry-0",
                rerun_after_silence_s=RERUN_AFTER_SILENCE_S,
                max_late_start_s=MAX_LATE_START_S,
                **link_settings(),
            )
            worker = BackendWithLateStops("tank-1", nursery)
            worker.late_stop_s = late_stop_s
            other_worker = FakeLeasedBackend("tank-2", nursery)
            workers = [worker, other_worker]
            for backend in workers:
                nursery.start_soon(backend.advance_runs)
            agent_settings = {
                "dial_after_s": RERUN_AFTER_AGENT_END_S,
                "earlier_runs_end_s": EARLIER_RUNS_END_S,
            }
            await deployment.add_agent_with_leases(
                worker, **agent_settings, **link_settings()
            )
            await deployment.wait_connected()
            answers = []

            async def submit():
                answers.append(await entry.submit(make_job("a", 4.0, task_count=1)))

            async with trio.open_nursery() as submit_nursery:
                submit_nursery.start_soon(submit)
                await trio.sleep(0.5)
                await deployment.add_agent_with_leases(other_worker, **link_settings())
                deployment.kill_agent(worker.name)
                await trio.sleep(back_s)
                await deployment.add_agent_with_leases(
                    worker, 2, **agent_settings, **link_settings()
                )
            assert [answer.code for answer in answers] == [Code.OK]
            assert [len(backend.runs) for backend in workers] == [1, 1]
            assert find_tasks_with_overlapping_runs(workers) == []
            nursery.cancel_scope.cancel()

    run_on_deployment(test)


def test_worker_is_not_asked_for_a_second_run_of_a_task_whose_first_goes_on(
    run_on_deployment,
):
    async def test(deployment):
        async with trio.open_nursery() as nursery:
            first, second = [
                await deployment.add_entry(f"entry-{number}", **link_settings())
                for number in range(2)
            ]
            worker = BackendWithLateStops("tank-1", nursery)
            nursery.start_soon(worker.advance_runs)
            await deployment.add_agent_with_leases(worker, **link_settings())
            await deployment.wait_connected()
            with trio.move_on_after(0.3):
                await first.submit(make_job("a", 4.0, task_count=1))
            await trio.sleep(RESUBMIT_AFTER_S)
            answer = await second.submit(make_job("a", 0.2, task_count=1))
            assert answer.code is Code.OK
            assert len(worker.runs) == 2
            assert find_tasks_with_overlapping_runs([worker]) == []
            nursery.cancel_scope.cancel()

    run_on_deployment(test)


@pytest.mark.parametrize("seed", range(6))
def test_late_lease_requests_do_not_extend_runs_past_their_reported_end(
    run_on_mock_clock, seed
):
    async def main():
        async with trio.open_nursery() as nursery:
            server = FakeLeasedBackend("tank-1", nursery, seed=seed)
            client = LeasedBackendClient(
                server,
                5,
                LeaseSettings(),
                Metrics("agent", "tank-1"),
                FakeBackendOwner(),
            )
            nursery.start_soon(server.advance_runs)
            nursery.start_soon(client.run_background)
            reported_ended_s = {}

            async def run(name):
                payload = {"name": name, "run_s": 20.0}
                await client.run(f"id-{name}", "job", "shops", payload, 1)
                reported_ended_s[name] = trio.current_time()

            server.counts_lease_from_arrival = True
            for phase in range(10):
                server.late_share = 0.3
                for number in range(10):
                    nursery.start_soon(run, f"{phase}.{number}")
                    await trio.sleep(0.3)
                server.is_unresponsive = True
                await trio.sleep(2.5)
                server.is_unresponsive = False
            server.late_share = 0.0
            await trio.sleep(LATE_REQUESTS_S)
            assert [
                recorded.key.name
                for recorded in server.runs
                if recorded.ended_s > reported_ended_s.get(recorded.key.name, math.inf)
            ] == []
            assert any(r.end_kind is EndKind.LAPSED for r in server.runs)
            # The next incarnation's token is higher by the elapsed milliseconds.
            assert server.fencing_token < 5 + 100 * trio.current_time()
            nursery.cancel_scope.cancel()

    run_on_mock_clock(main, seed)
