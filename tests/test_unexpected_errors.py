"""An error that no code expects ends one request or one link, and is counted."""

import pytest
import trio

from gooseberrylink.http_server import serve_http
from gooseberrylink.metrics import Metrics
from gooseberrylink.peers.agent_peer import AgentPeer
from gooseberrylink.peers.entry_peer import EntryPeer
from gooseberrylink.platform.http_client import HttpClient
from gooseberrylink.standins.store import FakeStore


def test_error_in_a_request_ends_this_request_alone():
    # Guards against a process that ends because one header can't be encoded.
    async def main():
        async with trio.open_nursery() as nursery:
            address = await nursery.start(
                serve_http, FakeStore().app, "127.0.0.1:0", trio.sleep_forever
            )
            metrics = Metrics("agent", "a")
            client = HttpClient(address, metrics)
            failed = await client.call("GET", "/", 1.0, headers={"X-Id": "\ufffd"})
            assert failed is None
            assert metrics.get("unexpected_errors", "http_request") == 1
            assert await client.call("GET", "/", 1.0) is not None
            assert metrics.get("unexpected_errors", "http_request") == 1
            nursery.cancel_scope.cancel()

    trio.run(main)


@pytest.mark.parametrize("peer_class", [AgentPeer, EntryPeer])
def test_error_in_a_frame_to_send_ends_this_link_alone(
    run_on_deployment, make_job, monkeypatch, peer_class
):
    # Guards against a process that ends because a frame to one peer can't be built.
    build_frame = peer_class._build_frame
    is_failing = False

    def build_or_fail(peer, items):
        nonlocal is_failing
        if is_failing:
            is_failing = False
            raise ZeroDivisionError("float division by zero")
        return build_frame(peer, items)

    monkeypatch.setattr(peer_class, "_build_frame", build_or_fail)

    async def test(deployment):
        nonlocal is_failing
        entry = await deployment.add_entry("entry-1")
        agents = [await deployment.add_agent(name) for name in ("tank-1", "tank-2")]
        await deployment.wait_connected()
        connections = deployment.network.find_open_connections()
        is_failing = True
        assert (await entry.submit(make_job(*[0.1] * 4))).code.name == "OK"
        assert sum(link.agent_end.is_closed for link in connections) == 1
        await deployment.wait_connected()
        processes = [entry, *agents]
        counts = [p.metrics.get("unexpected_errors", "frame_sent") for p in processes]
        assert sum(counts) == 1
        assert (await entry.submit(make_job(0.1))).code.name == "OK"

    run_on_deployment(test)


def test_job_that_fails_before_its_first_wait_leaves_no_task_behind(
    run_on_deployment, make_job, monkeypatch
):
    async def test(deployment):
        entry = await deployment.add_entry("entry-1")
        await deployment.add_agent("tank-1")
        await deployment.wait_connected()
        dispatcher = entry.dispatcher

        def fail(*_):
            raise ZeroDivisionError

        with monkeypatch.context() as patch:
            patch.setattr(dispatcher, "assign_queued_tasks", fail)
            with pytest.raises(ZeroDivisionError):
                await entry.submit(make_job(0.1))
        assert not any(len(pool.queue) for pool in dispatcher.pools())
        assert not dispatcher.jobs

    run_on_deployment(test)
