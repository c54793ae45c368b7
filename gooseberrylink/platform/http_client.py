"""Sends HTTP requests to the platform's table store and to backend servers."""

import dataclasses

import httpcore
import trio

from gooseberrylink.metrics import Metrics
from gooseberrylink.unexpected_errors import record_unexpected_error

_KEEPALIVE_S = 60.0


@dataclasses.dataclass(slots=True, frozen=True)
class Response:
    """An HTTP response with its whole body."""

    status: int
    body: bytes


class HttpClient:
    """Sends requests to one address over persistent connections.

    httpcore's connection pool checks every idle socket on each request, which took
    most of an agent's CPU time. This client reuses the connection that was returned
    last and checks only that one.
    """

    def __init__(self, address: str, metrics: Metrics | None = None):
        self._metrics = metrics or Metrics("http_client", address)
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
        """Sends a request.

        Returns:
            The response; None after a timeout or any error, in which case the server
            may have carried out the request.
        """
        try:
            return await self._call(method, path, timeout_s, body, headers or {})
        except Exception as error:
            # Nothing but the connection was in use, and that is closed.
            record_unexpected_error(
                self._metrics, "http_request", error, url=self._base_url + path
            )
            return None

    async def _call(
        self,
        method: str,
        path: str,
        timeout_s: float,
        body: bytes,
        headers: dict[str, str],
    ) -> Response | None:
        all_headers = {
            "Host": self._base_url.removeprefix("http://"),
            "Content-Type": "application/json",
            "Content-Length": str(len(body)),
            **headers,
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
            # Its response was not read completely, and the next request would get
            # the rest of it.
            await _close(connection)


async def _close(connection: httpcore.AsyncHTTPConnection) -> None:
    with trio.CancelScope(shield=True):
        await connection.aclose()
