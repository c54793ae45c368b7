"""Calls the platform's table service and object store over HTTP/JSON.

The protocol is described in docs/PLATFORM.md. Claims and ConfigurationStore use it.
The programs of this package read tables from the platform's table store instead, which
has another protocol; see store.py.
"""

import dataclasses
import urllib.parse
from typing import Protocol, TypeVar

import httpcore
import msgspec
import trio
from returns.result import Failure, Result, Success

from gooseberrylink.logs import log_event
from gooseberrylink.metrics import Metrics
from gooseberrylink.platform.table_service_types import (
    PlatformError,
    PlatformErrorKind,
    Put,
    Row,
)
from gooseberrylink.retry_budget import RetryBudget

_CONNECT_TIMEOUT_S = 0.5
_CALL_TIMEOUT_S = 1.0
_RETRY_DELAY_S = 0.05
_MAX_CONNECTIONS = 8


_Body = TypeVar("_Body")


class _Versions(msgspec.Struct):
    versions: list[int]


class _Conflicts(msgspec.Struct):
    conflicts: list[int]


class TableServiceClient(Protocol):
    """Reads and writes rows of the table service and objects of the object store."""

    async def read(self, table: str, key: str) -> Result[Row, PlatformError]:
        """Returns a row with its version."""

    async def write(self, puts: list[Put]) -> Result[list[int], PlatformError]:
        """Writes all rows in one transaction; returns their new versions."""

    async def read_object(self, name: str) -> Result[bytes, PlatformError]:
        """Returns the contents of an object."""

    async def write_object(self, name: str, data: bytes) -> Result[None, PlatformError]:
        """Writes an object; idempotent."""


class HttpTableServiceClient:
    """A TableServiceClient over HTTP.

    Reads are retried within a retry budget. Writes are not retried: after an unknown
    outcome the caller must first read back whether the write took effect.
    """

    def __init__(self, address: str, metrics: Metrics):
        self._base_url = f"http://{address}/v1"
        self._metrics = metrics
        self._retry_budget = RetryBudget(retry_share=0.1, max_retries=5.0)
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=_MAX_CONNECTIONS, keepalive_expiry=10.0
        )

    async def read(self, table: str, key: str) -> Result[Row, PlatformError]:
        """See TableServiceClient."""
        quoted = urllib.parse.quote(key, safe="")
        result = await self._call_with_retry("GET", f"/tables/{table}/{quoted}")
        return result.bind(
            lambda body: _decode(body, Row, PlatformErrorKind.UNAVAILABLE)
        )

    async def write(self, puts: list[Put]) -> Result[list[int], PlatformError]:
        """See TableServiceClient."""
        body = {"puts": [dataclasses.asdict(put) for put in puts]}
        result = await self._call("POST", "/transactions", msgspec.json.encode(body))
        # Without a readable response it is not known which versions were written.
        return result.bind(
            lambda body: _decode(body, _Versions, PlatformErrorKind.UNKNOWN_OUTCOME)
        ).map(lambda decoded: decoded.versions)

    async def read_object(self, name: str) -> Result[bytes, PlatformError]:
        """See TableServiceClient."""
        return await self._call_with_retry("GET", f"/objects/{name}")

    async def write_object(self, name: str, data: bytes) -> Result[None, PlatformError]:
        """See TableServiceClient."""
        result = await self._call("PUT", f"/objects/{name}", data)
        return result.map(lambda _: None)

    async def _call_with_retry(
        self, method: str, path: str
    ) -> Result[bytes, PlatformError]:
        self._retry_budget.deposit()
        while True:
            result = await self._call(method, path)
            match result:
                case Failure(
                    PlatformError(
                        kind=PlatformErrorKind.UNAVAILABLE
                        | PlatformErrorKind.UNKNOWN_OUTCOME
                    )
                ) if self._retry_budget.try_withdraw():
                    self._metrics.add("retries", "platform_read")
                    await trio.sleep(_RETRY_DELAY_S)
                case _:
                    return result

    async def _call(
        self, method: str, path: str, body: bytes = b""
    ) -> Result[bytes, PlatformError]:
        self._metrics.add("platform_calls", method.lower())
        was_sent = False

        async def trace(event: str, info: dict) -> None:
            nonlocal was_sent
            was_sent = was_sent or event == "http11.send_request_headers.started"

        timeout = {"connect": _CONNECT_TIMEOUT_S, "pool": _CALL_TIMEOUT_S}
        try:
            with trio.fail_after(_CALL_TIMEOUT_S):
                response = await self._pool.request(
                    method,
                    self._base_url + path,
                    headers={"Content-Type": "application/json"},
                    content=body,
                    extensions={"timeout": timeout, "trace": trace},
                )
        except (httpcore.NetworkError, httpcore.TimeoutException) as error:
            return self._to_failure(was_sent, error)
        except (httpcore.ProtocolError, trio.TooSlowError) as error:
            return self._to_failure(was_sent, error)
        return self._to_result(response)

    def _to_failure(self, was_sent: bool, error: Exception) -> Failure:
        kind = (
            PlatformErrorKind.UNKNOWN_OUTCOME
            if was_sent
            else PlatformErrorKind.UNAVAILABLE
        )
        self._metrics.add("platform_troubles", kind.name.lower())
        return Failure(PlatformError(kind, type(error).__name__))

    def _to_result(self, response: httpcore.Response) -> Result[bytes, PlatformError]:
        if response.status in (200, 201):
            return Success(response.content)
        if response.status == 404:
            return Failure(PlatformError(PlatformErrorKind.NOT_FOUND))
        if response.status == 409:
            return _to_conflict(response.content)
        # The platform's front end sets this header on a 503 when the request had no
        # effect.
        headers = {name.lower(): value for name, value in response.headers}
        had_no_effect = headers.get(b"x-no-effect") == b"1"
        kind = (
            PlatformErrorKind.UNAVAILABLE
            if had_no_effect
            else PlatformErrorKind.UNKNOWN_OUTCOME
        )
        self._metrics.add("platform_troubles", kind.name.lower())
        return Failure(PlatformError(kind, f"status {response.status}"))


def _decode(
    body: bytes, body_type: type[_Body], kind: PlatformErrorKind
) -> Result[_Body, PlatformError]:
    """Decodes the body of a response; gives an error of a kind if it is malformed."""
    try:
        return Success(msgspec.json.decode(body, type=body_type))
    except msgspec.MsgspecError as error:
        log_event("platform_response_malformed", "ERROR", error=error)
        return Failure(PlatformError(kind, f"malformed response: {error}"))


def _to_conflict(body: bytes) -> Failure:
    # The status alone says that nothing was written.
    match _decode(body, _Conflicts, PlatformErrorKind.UNAVAILABLE):
        case Success(decoded):
            indexes = tuple(decoded.conflicts)
            return Failure(PlatformError(PlatformErrorKind.CONFLICT, conflicts=indexes))
        case failure:
            return failure
