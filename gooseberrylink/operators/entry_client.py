"""Sends HTTP requests to entries, for the operators' commands."""

from typing import Any

import httpcore
import msgspec
import trio

from gooseberrylink.exceptions import GooseberrylinkError


class NoResponseError(GooseberrylinkError):
    """A request to an entry got no response.

    Attributes:
        was_sent: Whether sending had begun, so that the entry may have received it.
    """

    def __init__(self, detail: str, was_sent: bool):
        super().__init__(detail)
        self.was_sent = was_sent


async def call_entry(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 5.0,
) -> tuple[int, bytes]:
    """Sends a request to an entry.

    Args:
        address: host:port of the entry.
        method: HTTP method.
        path: Path with its query.
        body: Value to send as JSON; None for an empty body.
        headers: HTTP headers.
        timeout_s: Time limit of the whole request.

    Returns:
        HTTP status and body of the response.

    Raises:
        NoResponseError: The connection failed, or there was no response within
            timeout_s.
    """
    was_sent = False

    async def trace(event: str, info: dict) -> None:
        nonlocal was_sent
        was_sent = was_sent or event == "http11.send_request_headers.started"

    try:
        with trio.fail_after(timeout_s):
            async with httpcore.AsyncConnectionPool() as pool:
                response = await pool.request(
                    method,
                    f"http://{address}{path}",
                    headers=headers or {},
                    content=msgspec.json.encode(body) if body is not None else b"",
                    extensions={"trace": trace},
                )
    except (httpcore.NetworkError, httpcore.ProtocolError) as error:
        detail = (
            f"{address}: no response to {method} {path} (request sent: {was_sent}):"
            f" {type(error).__name__}: {error}"
        )
        raise NoResponseError(detail, was_sent) from None
    except (httpcore.TimeoutException, trio.TooSlowError):
        raise NoResponseError(
            f"{address}: no response to {method} {path} within {timeout_s:g} s (request"
            f" sent: {was_sent})",
            was_sent,
        ) from None
    return response.status, response.content
