"""Makes HTTP calls to the platform: one client for all of its interfaces."""

import dataclasses

import httpcore
import trio

_MAX_CONNECTIONS = 32
_KEEPALIVE_S = 60.0


@dataclasses.dataclass(slots=True, frozen=True)
class Response:
    """An answer with its body."""

    status: int
    body: bytes


class Caller:
    """Calls one address; connections are kept."""

    def __init__(self, address: str):
        self._base = f"http://{address}"
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=_MAX_CONNECTIONS, keepalive_expiry=_KEEPALIVE_S
        )

    async def call(
        self,
        method: str,
        path: str,
        timeout_s: float,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> Response | None:
        """Returns the answer; None if there was none in time."""
        all_headers = {"Content-Type": "application/json", **(headers or {})}
        with trio.move_on_after(timeout_s):
            try:
                found = await self._pool.request(
                    method, self._base + path, headers=all_headers, content=body
                )
                return Response(found.status, found.content)
            except (httpcore.NetworkError, httpcore.ProtocolError):
                return None
            except (httpcore.TimeoutException, httpcore.ConnectionNotAvailable):
                return None
        return None
