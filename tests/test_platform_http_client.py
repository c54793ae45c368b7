"""Tests the platform's HTTP client and its reuse of connections."""

import httpcore
import pytest
import trio

from gooseberrylink.asgi import PlainRequest, PlainResponse, make_plain_app
from gooseberrylink.http_server import serve_http
from gooseberrylink.platform.http_client import HttpClient


class EchoServer:
    """Responds with the path and body of each request.

    Attributes:
        delay_s: Delay before each response.
    """

    def __init__(self):
        self.delay_s = 0.0
        self._app = make_plain_app(self._echo, limit_bytes=1000)

    async def app(self, scope, receive, send):
        if scope["type"] == "http":
            await trio.sleep(self.delay_s)
        await self._app(scope, receive, send)

    def _echo(self, request: PlainRequest) -> PlainResponse:
        return PlainResponse(200, request.path.encode() + request.body)


@pytest.fixture
def run_with_server():
    """Returns a function that runs a test with a server and a client of it."""

    def run(test):
        async def main():
            server = EchoServer()
            async with trio.open_nursery() as nursery:
                address = await nursery.start(
                    serve_http, server.app, "127.0.0.1:0", trio.sleep_forever
                )
                with trio.fail_after(20):
                    await test(server, HttpClient(address))
                nursery.cancel_scope.cancel()

        trio.run(main)

    return run


async def call(client: HttpClient, path: str, timeout_s: float = 5.0) -> bytes | None:
    response = await client.call("POST", path, timeout_s, b"!")
    return response.body if response else None


def test_call_checks_only_one_idle_connection(run_with_server, monkeypatch):
    # In the workload bennani-eau, an agent with 10 idle connections made 10 system
    # calls for each request, to check which of them were still open.
    checked_connections = []
    has_expired = httpcore.AsyncHTTPConnection.has_expired

    def count_check(self):
        checked_connections.append(self)
        return has_expired(self)

    monkeypatch.setattr(httpcore.AsyncHTTPConnection, "has_expired", count_check)

    async def test(server, client):
        server.delay_s = 0.1
        async with trio.open_nursery() as nursery:
            for number in range(10):
                nursery.start_soon(call, client, f"/{number}")
        server.delay_s = 0.0
        checked_connections.clear()
        assert await call(client, "/a") == b"/a!"
        assert len(checked_connections) == 1

    run_with_server(test)


def test_late_response_is_not_taken_for_the_next_one(run_with_server):
    async def test(server, client):
        assert await call(client, "/a") == b"/a!"
        server.delay_s = 0.2
        assert await call(client, "/late", timeout_s=0.05) is None
        server.delay_s = 0.0
        assert await call(client, "/b") == b"/b!"

    run_with_server(test)


def test_connection_closed_by_the_server_is_not_reused(run_with_server):
    async def test(server, client):
        assert await call(client, "/a") == b"/a!"
        (idle_connection,) = client._idle
        # Has the same effect on the client as a close by the server.
        stream = idle_connection._connection._network_stream
        stream._stream.socket.shutdown(0)
        assert await call(client, "/b") == b"/b!"
        assert idle_connection not in client._idle

    run_with_server(test)


def test_call_to_an_address_without_a_server_returns_none():
    async def main():
        assert await call(HttpClient("127.0.0.1:1"), "/a") is None

    trio.run(main)
