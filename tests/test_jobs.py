"""Jobs from submission to answer."""

from gooseberrylink.codes import Code


def test_job_gets_its_whole_answer_in_order(run_deployment):
    async def test(deployment):
        entry = await deployment.add_entry("entry-1")
        await deployment.add_agent("tank-1")
        answer = await deployment.submit(entry, 0.3, 0.1, 0.2)
        assert answer.code is Code.OK
        assert answer.results == [0, 1, 2]
        deployment.assert_no_task_started_twice()

    run_deployment(test)
