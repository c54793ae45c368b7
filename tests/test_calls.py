"""Calls to the platform over kept connections."""

import httpcore
import pytest
import trio

from gooseberrylink.asgi import PlainRequest, PlainResponse, make_plain_app
from gooseberrylink.http_server import serve_http
from gooseberrylink.platform.calls import Caller


class Answerer:
    """Answers with the path, and counts the requests.

    Attributes:
        delay_s: How long it waits before an answer.
    """

    def __init__(self):
        self.delay_s = 0.0
        self._app = make_plain_app(self._answer, limit_bytes=1000)

    async def app(self, scope, receive, send):
        if scope["type"] == "http":
            await trio.sleep(self.delay_s)
        await self._app(scope, receive, send)

    def _answer(self, request: PlainRequest) -> PlainResponse:
        return PlainResponse(200, request.path.encode() + request.body)


@pytest.fixture
def run_with_answerer():
    """Returns a function that runs a test with a server and its client."""

    def run(test):
        async def main():
            answerer = Answerer()
            async with trio.open_nursery() as nursery:
                address = await nursery.start(
                    serve_http, answerer.app, "127.0.0.1:0", trio.sleep_forever
                )
                with trio.fail_after(20):
                    await test(answerer, Caller(address))
                nursery.cancel_scope.cancel()

        trio.run(main)

    return run


async def call(caller: Caller, path: str, timeout_s: float = 5.0) -> bytes | None:
    answer = await caller.call("POST", path, timeout_s, b"!")
    return answer.body if answer else None


def test_call_looks_at_one_connection_only(run_with_answerer, monkeypatch):
    # bennani-eau: with 10 connections kept, each call of an agent took 10 system
    # calls to see which of them were still good.
    looks = []
    has_expired = httpcore.AsyncHTTPConnection.has_expired

    def count(self):
        looks.append(self)
        return has_expired(self)

    monkeypatch.setattr(httpcore.AsyncHTTPConnection, "has_expired", count)

    async def test(answerer, caller):
        answerer.delay_s = 0.1
        async with trio.open_nursery() as nursery:
            for number in range(10):
                nursery.start_soon(call, caller, f"/{number}")
        answerer.delay_s = 0.0
        looks.clear()
        assert await call(caller, "/a") == b"/a!"
        assert len(looks) == 1

    run_with_answerer(test)


def test_answer_that_came_too_late_is_not_taken_for_the_next(run_with_answerer):
    async def test(answerer, caller):
        assert await call(caller, "/a") == b"/a!"
        answerer.delay_s = 0.2
        assert await call(caller, "/late", timeout_s=0.05) is None
        answerer.delay_s = 0.0
        assert await call(caller, "/b") == b"/b!"

    run_with_answerer(test)


def test_connection_that_the_server_closed_is_not_used(run_with_answerer):
    async def test(answerer, caller):
        assert await call(caller, "/a") == b"/a!"
        (kept,) = caller._idle
        # What the server's close looks like from here.
        stream = kept._connection._network_stream
        stream._stream.socket.shutdown(0)
        assert await call(caller, "/b") == b"/b!"
        assert kept not in caller._idle

    run_with_answerer(test)


def test_address_without_a_server_gives_no_answer():
    async def main():
        assert await call(Caller("127.0.0.1:1"), "/a") is None

    trio.run(main)
