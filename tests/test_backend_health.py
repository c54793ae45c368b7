"""The agent quarantines black-hole workers, but not workers that run poison jobs."""

import pytest
import trio

from gooseberrylink.backend_health import BackendHealth, QuarantinePolicy, TaskFailure
from gooseberrylink.codes import Code
from gooseberrylink.standins.backend import FakeBackend
from gooseberrylink.types import TaskSpec


@pytest.fixture
def health() -> BackendHealth:
    health = BackendHealth(QuarantinePolicy())
    health.record_success(started_s=0.0)
    return health


def test_new_server_starts_slowly():
    health = BackendHealth(QuarantinePolicy())
    assert health.task_limit(8, 0.0) == 2
    health.record_success(started_s=0.0)
    assert health.task_limit(8, 0.0) == 8


def test_failures_of_several_customers_begin_a_quarantine(health):
    failures = [TaskFailure(*pair) for pair in (("a", "j1"), ("b", "j2"), ("a", "j3"))]
    began = [health.record_failure(failure, 1.0) for failure in failures]
    assert began == [False, False, True]
    assert health.task_limit(8, 2.0) == 0
    assert health.task_limit(8, 6.1) == 1


def test_failures_of_one_customer_begin_no_quarantine(health):
    assert not any(
        health.record_failure(TaskFailure("a", "j1"), 1.0) for _ in range(20)
    )
    assert health.task_limit(8, 1.0) == 1
    health.record_success(started_s=2.0)
    assert health.task_limit(8, 2.0) == 8


def test_success_of_a_task_started_before_the_failures_is_ignored(health):
    # Guards against clearing the failures when a task succeeds that started before
    # the server became faulty. Then 19 tasks failed instead of 3.
    for customer, job_id in (("a", "j1"), ("b", "j2")):
        health.record_failure(TaskFailure(customer, job_id), 5.0)
        health.record_success(started_s=4.0)
    assert health.record_failure(TaskFailure("a", "j3"), 5.0)


def test_probe_delay_doubles_and_quarantine_ends_after_successes(health):
    for customer, job_id in (("a", "j1"), ("b", "j2"), ("a", "j3")):
        health.record_failure(TaskFailure(customer, job_id), 0.0)
    health.record_failure(TaskFailure("a", "j1"), 5.5)
    assert health.task_limit(8, 15.0) == 0
    for started_s in (16.0, 17.0):
        health.record_success(started_s)
    assert health.task_limit(8, 18.0) == 8


def test_no_quarantine_when_many_workers_are_in_quarantine(health):
    health.quarantined_share = 0.5
    failures = [TaskFailure(name, f"job of {name}") for name in "abcabc"]
    assert not any(health.record_failure(failure, 1.0) for failure in failures)


def test_black_hole_fails_at_most_three_tasks_of_all_entries(
    run_on_deployment, make_job
):
    async def test(deployment):
        for name in ("entry-1", "entry-2", "entry-3"):
            await deployment.add_entry(name)
        black_hole = FakeBackend("tank-1")
        await deployment.add_agent("tank-1", backend=black_hole)
        for worker in ("tank-2", "tank-3", "tank-4"):
            await deployment.add_agent(worker)
        await deployment.wait_connected()
        answers = []

        async def submit(entry, customer):
            answers.append(await entry.submit(make_job(0.2, 0.2, customer=customer)))

        async with trio.open_nursery() as nursery:
            for number in range(150):
                black_hole.is_failing = number >= 50
                entry = deployment.entries[number % 3]
                customer = ("shops", "drivers", "restaurants")[number // 3 % 3]
                nursery.start_soon(submit, entry, customer)
                await trio.sleep(0.05)
        assert deployment.agents["tank-1"].health.is_quarantined
        assert 1 <= black_hole.failing_start_count <= 3
        assert [answer.code for answer in answers].count(Code.OK) >= 147

    run_on_deployment(test)


def test_server_that_fails_one_reliable_customer_is_quarantined(health):
    failures = [
        TaskFailure("a", f"j{number}", is_customer_reliable=True) for number in range(3)
    ]
    assert [health.record_failure(f, 1.0) for f in failures] == [False, False, True]


def test_job_that_fails_everywhere_quarantines_no_worker(run_on_deployment, make_job):
    async def test(deployment):
        entry = await deployment.add_entry("entry-1")
        for number in range(1, 5):
            await deployment.add_agent(f"tank-{number}")
        await deployment.wait_connected()
        for _ in range(30):
            poison = make_job(0.1)
            poison.tasks = [TaskSpec({"run_s": 0.05, "fail": True})] * 10
            assert (await entry.submit(poison)).code is Code.TASK_FAILED
            good = make_job(0.1, 0.1, customer="drivers")
            assert (await entry.submit(good)).code is Code.OK
        assert not any(a.health.is_quarantined for a in deployment.agents.values())

    run_on_deployment(test)
