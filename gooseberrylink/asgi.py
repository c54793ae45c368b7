"""Serves simple HTTP requests over ASGI without a framework.

The programs on the hosts of backend servers use it, because no task can be placed
there until they have started, and importing a framework would delay that.
"""

import dataclasses
from collections.abc import Awaitable, Callable
from typing import Any

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]

# A body that is too long is read and discarded up to this multiple of the limit.
_DISCARD_FACTOR = 4


class ClientDisconnectedError(Exception):
    """The client disconnected before its request was complete."""


class BodyTooLargeError(Exception):
    """The request's body is longer than allowed."""


@dataclasses.dataclass(slots=True, frozen=True)
class PlainRequest:
    """A request with its complete body."""

    method: str
    path: str
    body: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class PlainResponse:
    """A response with its complete body."""

    status: int
    body: bytes = b""
    content_type: bytes = b"application/json"


async def read_body(receive: Receive, limit_bytes: int) -> bytes:
    """Reads a request's body.

    A body that is too long is read further before the error is raised: closing a
    connection with unread bytes resets it, and the client would not get the response.

    Raises:
        ClientDisconnectedError: The client disconnected before the end of the body.
        BodyTooLargeError: The body is longer than the limit.
    """
    chunks: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise ClientDisconnectedError
        size += len(message.get("body", b""))
        is_last = not message.get("more_body")
        if size <= limit_bytes:
            chunks.append(message.get("body", b""))
            if is_last:
                return b"".join(chunks)
        elif is_last or size > _DISCARD_FACTOR * limit_bytes:
            raise BodyTooLargeError


async def send_response(
    send: Send, status: int, headers: list[tuple[bytes, bytes]], body: bytes
) -> None:
    """Sends a complete response."""
    start = {"type": "http.response.start", "status": status, "headers": headers}
    await send(start)
    await send({"type": "http.response.body", "body": body})


async def serve_lifespan(receive: Receive, send: Send) -> None:
    """Acknowledges the lifespan events, the server's startup and shutdown."""
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return


def make_plain_app(
    handle: Callable[[PlainRequest], PlainResponse], limit_bytes: int
) -> App:
    """Builds an application from a function that handles one complete request."""

    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        try:
            body = await read_body(receive, limit_bytes)
        except ClientDisconnectedError:
            return
        except BodyTooLargeError:
            await send_response(send, 413, [], b"")
            return
        response = handle(PlainRequest(scope["method"], scope["path"], body))
        headers = [(b"content-type", response.content_type)]
        await send_response(send, response.status, headers, response.body)

    return app
