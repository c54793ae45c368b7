"""Calls the HTTP interface of entries, for the operator's commands."""

from typing import Any

import httpcore
import msgspec
import trio

from gooseberrylink.exceptions import GooseberrylinkError


class UnreachableError(GooseberrylinkError):
    """An entry does not answer.

    Attributes:
        has_sent: Whether the request may have reached it.
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
    """Calls an entry.

    Returns:
        HTTP status and body.

    Raises:
        UnreachableError: There was no answer in time.
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
        detail = f"{address}: {type(error).__name__}"
        raise UnreachableError(detail, was_sent) from None
    except (httpcore.TimeoutException, trio.TooSlowError):
        raise UnreachableError(f"{address}: no answer", was_sent) from None
    return response.status, response.content
