"""Makes HTTP calls to the platform: one client for all of its interfaces."""

import dataclasses

import httpcore
import trio

_KEEPALIVE_S = 60.0


@dataclasses.dataclass(slots=True, frozen=True)
class Response:
    """An answer with its body."""

    status: int
    body: bytes


class HttpClient:
    """Calls one address; connections are kept.

    A pool of httpcore looks at each of its sockets for each request, which took
    most of an agent's processor time. Here a call takes the connection that was
    used last, and looks at that one only.
    """

    def __init__(self, address: str):
        self._base_url = f"http://{address}"
        self._origin = httpcore.URL(self._base_url).origin
        self._idle: list[httpcore.AsyncHTTPConnection] = []

    async def call(
        self,
        method: str,
        path: str,
        timeout_s: float,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> Response | None:
        """Returns the answer; None if there was none in time."""
        all_headers = {
            "Host": self._base_url.removeprefix("http://"),
            "Content-Type": "application/json",
            "Content-Length": str(len(body)),
            **(headers or {}),
        }
        request = httpcore.Request(
            method, self._base_url + path, headers=all_headers, content=body
        )
        with trio.move_on_after(timeout_s):
            connection = await self._take_connection()
            try:
                return await self._exchange(connection, request)
            except (httpcore.NetworkError, httpcore.ProtocolError):
                return None
            except (httpcore.TimeoutException, httpcore.ConnectionNotAvailable):
                return None
            finally:
                await self._return_connection(connection)
        return None

    async def _exchange(
        self, connection: httpcore.AsyncHTTPConnection, request: httpcore.Request
    ) -> Response:
        response = await connection.handle_async_request(request)
        try:
            return Response(response.status, await response.aread())
        finally:
            with trio.CancelScope(shield=True):
                await response.aclose()

    async def _take_connection(self) -> httpcore.AsyncHTTPConnection:
        while self._idle:
            connection = self._idle.pop()
            if not connection.has_expired():
                return connection
            await _close(connection)
        return httpcore.AsyncHTTPConnection(self._origin, keepalive_expiry=_KEEPALIVE_S)

    async def _return_connection(
        self, connection: httpcore.AsyncHTTPConnection
    ) -> None:
        if connection.is_idle():
            self._idle.append(connection)
        else:
            # An answer that was not read whole would be taken for the next one.
            await _close(connection)


async def _close(connection: httpcore.AsyncHTTPConnection) -> None:
    with trio.CancelScope(shield=True):
        await connection.aclose()
