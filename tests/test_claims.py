"""Tests that requests that must not repeat run at most once across submissions."""

import pytest
import trio

from gooseberrylink.claims import Claim, Claims
from gooseberrylink.codes import Code, ExecutionStatus
from gooseberrylink.metrics import Metrics
from gooseberrylink.standins.platform import FakePlatform, PlatformMode

NOT_REPEATABLE = {"repeatable": False, "idempotency_key": "booking-7"}


async def start_two_entries(deployment):
    for name in ("entry-1", "entry-2"):
        await deployment.add_entry(name)
    for worker in ("tank-1", "tank-2"):
        await deployment.add_agent(worker)
    await deployment.wait_connected()
    return deployment.entries


def count_runs(deployment) -> int:
    return deployment.count_starts_by_label()["job/0"]


def test_missing_idempotency_key_is_refused(run_on_deployment, make_job):
    async def test(deployment):
        first, _ = await start_two_entries(deployment)
        answer = await first.submit(make_job(0.1, repeatable=False))
        assert answer.code is Code.IDEMPOTENCY_KEY_MISSING

    run_on_deployment(test)


@pytest.mark.parametrize("pause_s", [0.0, 0.2, 3.0])
def test_resubmission_elsewhere_gets_the_same_answer(
    run_on_deployment, make_job, pause_s
):
    # Resubmits at the same time, while the first runs, and after it has finished.
    async def test(deployment):
        first, second = await start_two_entries(deployment)
        answers = []

        async def submit(entry):
            answers.append(await entry.submit(make_job(0.5, **NOT_REPEATABLE)))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(submit, first)
            await trio.sleep(pause_s)
            nursery.start_soon(submit, second)
        assert [(a.code, a.results) for a in answers] == [(Code.OK, [0])] * 2
        assert count_runs(deployment) == 1

    run_on_deployment(test)


def test_resubmission_after_the_entry_died_does_not_run_again(
    run_on_deployment, make_job
):
    async def test(deployment):
        first, second = await start_two_entries(deployment)
        deployment.start_soon(lambda: first.submit(make_job(0.5, **NOT_REPEATABLE)))
        await trio.sleep(0.2)
        await deployment.kill_entry(first)
        answer = await second.submit(make_job(0.5, deadline_s=3, **NOT_REPEATABLE))
        assert answer.code is Code.CLAIMED_ELSEWHERE
        assert answer.execution_status is ExecutionStatus.MAY_HAVE_RUN
        assert count_runs(deployment) == 1

    run_on_deployment(test)


def test_unreachable_table_refuses_only_requests_that_must_not_repeat(
    run_on_deployment, make_job
):
    async def test(deployment):
        first, second = await start_two_entries(deployment)
        deployment.platform.mode = PlatformMode.DOWN
        answer = await first.submit(make_job(0.1, **NOT_REPEATABLE))
        assert answer.code is Code.CLAIM_UNAVAILABLE
        assert count_runs(deployment) == 0
        answer = await first.submit(make_job(0.1, label="other"))
        assert answer.code is Code.OK
        deployment.platform.mode = PlatformMode.UP
        answer = await second.submit(make_job(0.1, **NOT_REPEATABLE))
        assert answer.code is Code.OK
        assert count_runs(deployment) == 1

    run_on_deployment(test)


def test_lost_response_to_the_claim_is_read_back(run_on_deployment, make_job):
    async def test(deployment):
        first, second = await start_two_entries(deployment)
        deployment.platform.mode = PlatformMode.LOSES_RESPONSES
        answer = await first.submit(make_job(0.1, **NOT_REPEATABLE))
        assert answer.code is Code.OK
        answer = await second.submit(make_job(0.1, **NOT_REPEATABLE))
        assert (answer.code, answer.results) == (Code.OK, [0])
        assert count_runs(deployment) == 1

    run_on_deployment(test)


def test_claim_of_unknown_outcome_runs_nothing_and_is_released_later(
    run_on_deployment, make_job
):
    async def test(deployment):
        first, second = await start_two_entries(deployment)
        deployment.platform.mode = PlatformMode.LOSES_REQUESTS
        answer = await first.submit(make_job(0.1, deadline_s=2, **NOT_REPEATABLE))
        assert answer.execution_status is ExecutionStatus.NOT_RUN
        assert count_runs(deployment) == 0
        deployment.platform.mode = PlatformMode.UP
        await trio.sleep(2)
        answer = await second.submit(make_job(0.1, **NOT_REPEATABLE))
        assert answer.code is Code.OK
        assert count_runs(deployment) == 1

    run_on_deployment(test)


def test_request_that_did_not_run_releases_its_key(run_on_deployment, make_job):
    async def test(deployment):
        first, second = await start_two_entries(deployment)
        # Waits until the agents have adopted the configuration, which would overwrite
        # the slots set below.
        await trio.sleep(3)
        for agent in deployment.agents.values():
            agent.allocator.slots = 0
        answer = await first.submit(make_job(0.1, deadline_s=1, **NOT_REPEATABLE))
        assert answer.execution_status is ExecutionStatus.NOT_RUN
        await trio.sleep(0.5)
        for agent in deployment.agents.values():
            agent.allocator.slots = 8
            agent._wake_all_senders()
        await trio.sleep(0.5)
        answer = await second.submit(make_job(0.1, **NOT_REPEATABLE))
        assert answer.code is Code.OK

    run_on_deployment(test)


def test_draining_entry_records_its_outcomes(run_on_deployment, make_job):
    # A drain used to end once all answers were sent, so the entry could stop before
    # the outcomes were in the table.
    async def test(deployment):
        first, second = await start_two_entries(deployment)
        deployment.platform.latency_s = 0.5
        assert (await first.submit(make_job(0.1, **NOT_REPEATABLE))).code is Code.OK
        assert await first.drain()
        await deployment.kill_entry(first)
        answer = await second.submit(make_job(0.1, **NOT_REPEATABLE))
        assert (answer.code, answer.results) == (Code.OK, [0])

    run_on_deployment(test)


def test_claim_without_read_back_lets_a_request_run_twice(
    run_on_deployment, make_job, monkeypatch
):
    # Shows that these tests detect a request that runs twice. The naive variant grants
    # every claim, as if a lost response could be taken for "not claimed" without
    # reading the row back. Resubmitted under a new submission id, the request runs
    # twice.
    async def acquire_without_read_back(self, customer, key, submission, expires_s):
        await self._platform.write([])
        return Claim(key, submission, 1)

    monkeypatch.setattr(Claims, "acquire", acquire_without_read_back)

    async def test(deployment):
        first, second = await start_two_entries(deployment)
        for entry in (first, second):
            await entry.submit(make_job(0.1, **NOT_REPEATABLE))
        assert count_runs(deployment) == 2

    run_on_deployment(test)


@pytest.mark.parametrize("group_s", [0.0, 0.004])
def test_concurrent_claims_share_a_transaction(run_on_mock_clock, group_s):
    async def test():
        platform = FakePlatform(latency_s=0.005)
        claims = Claims(platform, group_s, Metrics("entry", "e"))
        granted = []

        async def acquire(number):
            granted.append(await claims.acquire("shops", f"k{number}", f"s{number}", 9))

        async with trio.open_nursery() as nursery:
            await nursery.start(claims.run)
            async with trio.open_nursery() as callers:
                for number in range(200):
                    callers.start_soon(acquire, number)
                    await trio.sleep(0.001)
            nursery.cancel_scope.cancel()
        assert all(isinstance(claim, Claim) for claim in granted)
        assert platform.write_count <= 50

    run_on_mock_clock(test)


def test_one_conflict_does_not_hold_up_the_group(run_on_mock_clock):
    async def test():
        claims = Claims(FakePlatform(), 0.004, Metrics("entry", "e"))
        results = {}

        async def acquire(key, submission):
            results[submission] = await claims.acquire("shops", key, submission, 2.0)

        async with trio.open_nursery() as nursery:
            await nursery.start(claims.run)
            await acquire("taken", "s0")
            async with trio.open_nursery() as callers:
                for number, key in enumerate(("a", "taken", "b", "b"), start=1):
                    callers.start_soon(acquire, key, f"s{number}")
            nursery.cancel_scope.cancel()
        granted = [isinstance(results[f"s{n}"], Claim) for n in (1, 2)]
        assert granted == [True, False]
        assert isinstance(results["s3"], Claim) != isinstance(results["s4"], Claim)

    run_on_mock_clock(test)
