"""The HTTP client of a backend server, over real sockets."""

import pytest
import trio
import trio.testing

from gooseberrylink.backends.client import Announcement
from gooseberrylink.backends.http_client import HttpBackendClient
from gooseberrylink.peers.messages import Status

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n" + b'{"result":7}'
REFUSAL = b"HTTP/1.1 503 X\r\nX-Not-Started: 1\r\nContent-Length: 0\r\n\r\n"
FAILURE = b"HTTP/1.1 500 X\r\nContent-Length: 4\r\n\r\noops"


@pytest.fixture
def run_backend():
    """Returns a function that runs tasks at a scripted backend server.

    The script lists the responses of each connection, one for each request. A
    connection is closed after its last response.
    """

    def run(script: list[list[bytes]], tasks: int) -> list:
        outcomes, connections = [], iter(script)

        async def serve(stream):
            for response in next(connections):
                request = b""
                while not request.endswith(b"null}"):
                    request += await stream.receive_some() or b"null}"
                await stream.send_all(response)
            await stream.aclose()

        async def main():
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
                port = listeners[0].socket.getsockname()[1]
                nursery.start_soon(trio.serve_listeners, serve, listeners)
                address = f"127.0.0.1:{port}"
                backend = HttpBackendClient(Announcement("s", address, 1), 5.0)
                for _ in range(tasks):
                    outcomes.append(await backend.run("t", "j", "c", None))
                    # Gives the server time to close the connection.
                    await trio.testing.wait_all_tasks_blocked(0.05)
                backend.close()
                await backend.run_background()
                nursery.cancel_scope.cancel()

        trio.run(main)
        return outcomes

    return run


def test_connection_is_reused(run_backend):
    outcomes = run_backend([[RESPONSE, RESPONSE]], tasks=2)
    assert [(o.status, o.value) for o in outcomes] == [(Status.DONE, 7)] * 2


def test_closed_connection_is_not_reused(run_backend):
    outcomes = run_backend([[RESPONSE], [RESPONSE]], tasks=2)
    assert [o.status for o in outcomes] == [Status.DONE] * 2


@pytest.mark.parametrize(
    ("response", "status"),
    [
        (b"", Status.MAY_HAVE_RUN),
        (RESPONSE[:50], Status.MAY_HAVE_RUN),
        (REFUSAL, Status.NOT_STARTED),
        (FAILURE, Status.FAILED),
        (RESPONSE.replace(b"result", b"rezult"), Status.FAILED),
    ],
)
def test_response_determines_the_status(run_backend, response, status):
    assert run_backend([[response]], tasks=1)[0].status is status


def test_unreachable_server_started_nothing():
    async def main():
        backend = HttpBackendClient(Announcement("s", "127.0.0.1:1", 1), 5.0)
        return await backend.run("t", "j", "c", None)

    assert trio.run(main).status is Status.NOT_STARTED
