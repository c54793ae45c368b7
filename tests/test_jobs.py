"""Tests jobs from submission to answer."""

from gooseberrylink.codes import Code


def test_unknown_service_gets_no_pool(run_on_deployment, make_job):
    # A pool was created, and never removed, for each invented service name.
    async def test(deployment):
        entry = await deployment.add_entry("entry-1")
        await deployment.add_agent("tank-1")
        await deployment.wait_connected()
        answer = await entry.submit(make_job(0.1, service="made-up"))
        assert answer.code is Code.UNKNOWN_SERVICE
        assert [pool.service for pool in entry.dispatcher.pools()] == ["dispatch"]

    run_on_deployment(test)


def test_results_are_in_task_order(run_on_deployment, make_job):
    async def test(deployment):
        entry = await deployment.add_entry("entry-1")
        await deployment.add_agent("tank-1")
        await deployment.wait_connected()
        answer = await entry.submit(make_job(0.3, 0.1, 0.2))
        assert answer.code is Code.OK
        assert answer.results == [0, 1, 2]
        assert set(deployment.count_starts_by_task().values()) == {1}

    run_on_deployment(test)
