"""Tests the HTTP interface for callers."""

import json

import httpcore
import pytest
import trio

from gooseberrylink.bench.demo import DemoDeployment
from gooseberrylink.bench.replay import read_declarations
from gooseberrylink.bench.runner import REPOSITORY_ROOT, load_trace
from gooseberrylink.bench.trace import Trace
from gooseberrylink.codes import Code

JOB = {"customer": "shops", "service": "dispatch", "tasks": [{"payload": {"value": 1}}]}


@pytest.fixture
def run_api():
    """Returns a function that runs a test against an entry over HTTP."""

    def run(test):
        trace = load_trace("bennani")
        trace.header.workers = trace.header.workers[:1]

        async def main():
            async with trio.open_nursery() as nursery:
                deployment = DemoDeployment(nursery, "dispatch")
                text = read_declarations(trace, REPOSITORY_ROOT / "examples")
                await deployment.start(Trace(trace.header, []), text)
                async with httpcore.AsyncConnectionPool() as pool:
                    await test(deployment, Client(deployment, pool))
                deployment.stop_grpc_thread()
                nursery.cancel_scope.cancel()

        trio.run(main)

    return run


class Client:
    """Calls the entry of a deployment over HTTP."""

    def __init__(self, deployment, pool):
        self.url = f"http://{deployment.entry_daemons[0].callers_address}"
        self._pool = pool

    async def call(self, method, path, body=b"", **headers):
        content = body if isinstance(body, bytes) else json.dumps(body).encode()
        http_headers = {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        response = await self._pool.request(
            method, self.url + path, headers=http_headers, content=content
        )
        return response.status, response.content

    async def submit(self, body, **headers):
        status, data = await self.call("POST", "/v1/jobs", body, **headers)
        return status, json.loads(data)


def test_refusals_explain_the_violated_limit(run_api):
    cases = [
        (b"{", 400, Code.MALFORMED_JOB, "body"),
        (JOB | {"tasks": []}, 400, Code.MALFORMED_JOB, "tasks"),
        (JOB | {"color": 1}, 400, Code.MALFORMED_JOB, "color"),
        (JOB | {"customer": "x"}, 403, Code.UNKNOWN_CUSTOMER, "'x'"),
        (JOB | {"service": "x"}, 404, Code.UNKNOWN_SERVICE, "'x'"),
        (JOB | {"tasks": JOB["tasks"] * 141}, 422, Code.TOO_MANY_TASKS, "140"),
        (JOB | {"deadline_s": -1}, 422, Code.DEADLINE_INVALID, "passed"),
        (JOB | {"deadline_s": 1e6}, 422, Code.DEADLINE_INVALID, "120"),
        (JOB | {"repeatable": False}, 422, Code.IDEMPOTENCY_KEY_MISSING, "Idempotency"),
        (b"x" * 5_000_000, 413, Code.BODY_TOO_LARGE, "4194304"),
    ]

    async def test(deployment, client):
        for body, status, code, detail in cases:
            actual_status, answer = await client.submit(body)
            assert (actual_status, answer["code"]) == (status, code)
            assert detail in answer["detail"]
            assert answer["ran"] == "not run"
        assert (await client.submit(JOB))[1]["results"] == [1]
        keyed = JOB | {"repeatable": False}
        assert (await client.submit(keyed, Idempotency_Key="k"))[0] == 200
        assert len(deployment.backends[0].starts) == 2

    run_api(test)


def test_health_status_counters_and_cancel(run_api):
    async def test(deployment, client):
        assert (await client.call("GET", "/healthz"))[0] == 200
        assert (await client.call("GET", "/readyz"))[0] == 200
        status = json.loads((await client.call("GET", "/v1/status"))[1])
        assert status["config_version"] == 1
        assert status["agents"][0]["slots"] == 8
        long = JOB | {"tasks": [{"payload": {"run_s": 30}}] * 9, "job_id": "j"}
        answers = []

        async def submit():
            answers.append(await client.submit(long))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(submit)
            while not deployment.backends[0].running_task_count == 8:
                await trio.sleep(0.01)
            status, _ = await client.call("DELETE", "/v1/jobs/j?customer=shops")
            assert status == 202
        assert answers[0][1]["code"] == Code.CANCELLED_RAN
        assert len(deployment.backends[0].starts) == 8
        metrics = (await client.call("GET", "/metrics"))[1].decode()
        assert 'reason="cancelled_ran"' in metrics

    run_api(test)


def test_caller_disconnect_cancels_the_job(run_api):
    async def test(deployment, client):
        job = JOB | {"tasks": [{"payload": {"run_s": 30}}] * 20}
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(client.submit, job)
                while deployment.backends[0].running_task_count < 8:
                    await trio.sleep(0.01)
                scope.cancel()
        entry = deployment.entries[0]
        while entry.dispatcher.jobs:
            await trio.sleep(0.01)
        assert entry.metrics.get("callers_hung_up") == 1
        assert len(deployment.backends[0].starts) == 8

    run_api(test)


def test_body_that_does_not_end_is_refused_after_a_timeout(run_api):
    async def test(deployment, client):
        deployment.entries[0].settings = deployment.entries[0].settings.model_copy(
            update={"body_timeout_s": 0.2}
        )
        host, _, port = client.url.removeprefix("http://").rpartition(":")
        stream = await trio.open_tcp_stream(host, int(port))
        await stream.send_all(
            b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{"
        )
        response = await stream.receive_some()
        assert response.startswith(b"HTTP/1.1 408")

    run_api(test)


def test_pushed_configuration_is_checked_and_bounded(run_api):
    async def test(deployment, client):
        path = "/v1/configuration"
        for body in (b"\xff", b"[]", b"{}", b'{"version": 0, "text": ""}'):
            status, data = await client.call("POST", path, body)
            assert (status, "detail" in json.loads(data)) == (400, True)
        status, data = await client.call("POST", path, b" " * (17 * 1024 * 1024))
        assert (status, json.loads(data)["code"]) == (413, int(Code.BODY_TOO_LARGE))
        # Not a valid configuration: the version in force is kept.
        status, data = await client.call("POST", path, {"version": 9, "text": "{"})
        assert (status, json.loads(data)) == (200, {"version": 1})

    run_api(test)
