"""Runs tasks at a backend server over HTTP, with one connection per running task."""

import contextlib
from typing import Any

import httpcore
import msgspec
import trio

from gooseberrylink.addresses import split_address
from gooseberrylink.backends.client import Announcement, BackendOutcome
from gooseberrylink.peers.messages import Status

_CONNECT_TIMEOUT_S = 1.0
_FIRST_BYTE_EVENT = "http11.send_request_headers.started"
_MAX_ERROR_CHARS = 200


class HttpBackendClient:
    """Client of a backend server that accepts tasks as POST /tasks.

    The backend server responds with status 200 and {"result": ...}, or with 503
    and the header "X-Not-Started: 1" if it did not start the task. Any other
    response is a failure.
    """

    can_stop = False
    is_open = True

    def __init__(self, announcement: Announcement, run_timeout_s: float):
        host, port = split_address(announcement.address)
        self._origin = httpcore.Origin(b"http", host.encode(), port)
        self._url = f"http://{announcement.address}/tasks"
        self._run_timeout_s = run_timeout_s
        self._idle_connections: list[httpcore.AsyncHTTPConnection] = []
        self._closed = trio.Event()

    async def run(
        self, task_id: str, job_id: str, customer: str, payload: Any, attempt: int = 1
    ) -> BackendOutcome:
        """See BackendClient."""
        body = msgspec.json.encode(
            {
                "task_id": task_id,
                "job_id": job_id,
                "customer": customer,
                "payload": payload,
            }
        )
        try:
            return await self._run(body)
        finally:
            if self._closed.is_set():
                await self._close_idle_connections()

    async def _run(self, body: bytes) -> BackendOutcome:
        first_byte_sent_s: list[float] = []

        async def trace(event: str, info: dict) -> None:
            if event == _FIRST_BYTE_EVENT:
                first_byte_sent_s.append(trio.current_time())

        connection = await self._take_connection()
        try:
            outcome = await self._exchange(connection, body, trace)
        except (httpcore.NetworkError, httpcore.TimeoutException) as error:
            outcome = _outcome_of_error(error, bool(first_byte_sent_s))
        except (httpcore.ProtocolError, httpcore.ConnectionNotAvailable) as error:
            outcome = _outcome_of_error(error, bool(first_byte_sent_s))
        await self._return_connection(connection, outcome)
        if first_byte_sent_s:
            outcome.run_s = trio.current_time() - first_byte_sent_s[0]
        return outcome

    async def run_background(self) -> None:
        """See BackendClient; closes the idle connections once closed."""
        await self._closed.wait()
        await self._close_idle_connections()

    def close(self) -> None:
        """See BackendClient."""
        self._closed.set()

    def stop(self, task_id: str) -> None:
        """See BackendClient; these backend servers can't stop a task."""

    def progress_per_s(self, task_id: str) -> float | None:
        """See BackendClient; these backend servers report no progress."""

    async def _close_idle_connections(self) -> None:
        while self._idle_connections:
            await self._idle_connections.pop().aclose()

    async def _exchange(self, connection, body: bytes, trace) -> BackendOutcome:
        timeout = {
            "connect": _CONNECT_TIMEOUT_S,
            "read": self._run_timeout_s,
            "write": self._run_timeout_s,
        }
        response = await connection.request(
            "POST",
            self._url,
            headers={"Content-Type": "application/json"},
            content=body,
            extensions={"timeout": timeout, "trace": trace},
        )
        return _read_outcome(response)

    async def _take_connection(self) -> httpcore.AsyncHTTPConnection:
        while self._idle_connections:
            connection = self._idle_connections.pop()
            # If the server has closed the connection, the request would fail
            # after its first byte was sent, and the task may have run.
            if not connection.has_expired() and connection.is_available():
                return connection
            await connection.aclose()
        return httpcore.AsyncHTTPConnection(self._origin, keepalive_expiry=30.0)

    async def _return_connection(self, connection, outcome: BackendOutcome) -> None:
        is_reusable = outcome.status in (Status.DONE, Status.FAILED)
        if is_reusable and connection.is_available():
            self._idle_connections.append(connection)
            return
        with contextlib.suppress(httpcore.NetworkError):
            await connection.aclose()


def _outcome_of_error(error: Exception, has_sent_bytes: bool) -> BackendOutcome:
    if not has_sent_bytes:
        return BackendOutcome(Status.NOT_STARTED, reason="backend_unreachable")
    reason = "backend_timeout"
    if not isinstance(error, httpcore.TimeoutException):
        reason = "backend_broke"
    return BackendOutcome(Status.MAY_HAVE_RUN, reason=reason)


def _read_outcome(response: httpcore.Response) -> BackendOutcome:
    if response.status == 503 and (b"x-not-started", b"1") in [
        (name.lower(), value) for name, value in response.headers
    ]:
        return BackendOutcome(Status.NOT_STARTED, reason="backend_refused")
    if response.status != 200:
        text = response.content[:_MAX_ERROR_CHARS].decode(errors="replace")
        return BackendOutcome(Status.FAILED, text, reason="backend_error")
    try:
        body = msgspec.json.decode(response.content)
        return BackendOutcome(Status.DONE, body["result"])
    except (msgspec.DecodeError, KeyError, TypeError):
        return BackendOutcome(Status.FAILED, reason="backend_answer_malformed")
