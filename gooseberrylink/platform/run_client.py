"""Starts and stops runs at a backend server and renews leases; see RunClient."""

from typing import Any

import msgspec

from gooseberrylink.backends.runs import (
    ControlReply,
    EndKind,
    LeaseRenewal,
    RunEnd,
    RunKey,
    RunReport,
    StartReply,
)
from gooseberrylink.logs import log_event
from gooseberrylink.metrics import Metrics
from gooseberrylink.platform.http_client import HttpClient, Response

# A backend server responds within milliseconds; one that takes longer may still carry
# out the request later.
_REQUEST_TIMEOUT_S = 0.25
# A backend server lists at most this many ended runs in one response.
_MAX_ENDS_PER_RESPONSE = 500

# The ends "broken" and "alone" are not distinguished from a stop.
_END_KIND_BY_NAME = {
    "done": EndKind.DONE,
    "failed": EndKind.FAILED,
    "stopped": EndKind.STOPPED,
    "lapsed": EndKind.LAPSED,
    "broken": EndKind.STOPPED,
    "alone": EndKind.STOPPED,
}
# Reasons with which a backend server refuses a start, in a response with status 409.
_START_REPLY_BY_REASON = {
    "fence": StartReply.FENCED,
    "old": StartReply.SUPERSEDED,
    "late": StartReply.LATE,
    "room": StartReply.FULL,
}


class TaskPayload(msgspec.Struct, array_like=True):
    """The payload of a task, passed from the job API to the backend server.

    Attributes:
        name: Job id, number of the job's repetition, step and index of the task,
            joined by dots.
        spec: The caller's text, passed on unchanged.
    """

    name: str
    spec: str


class _StartRequest(msgspec.Struct, rename="camel"):
    task: str
    run: int
    spec: str
    until_ms: int
    fencing_token: int


class _StopRequest(msgspec.Struct, rename="camel"):
    task: str
    run: int
    fencing_token: int


class _HoldRequest(msgspec.Struct, rename="camel", omit_defaults=True):
    """Renews the lease of all runs until `until_ms` on the backend server's clock.

    Without `until_ms` it only asks for the state. `seen_upto` is the number of the
    last end of a run that the agent has processed. `wait_ms` is how long the response
    may be delayed until a run ends.
    """

    fencing_token: int
    seen_upto: int
    until_ms: int | None = None
    wait_ms: int = 0


class _RefusalResponse(msgspec.Struct):
    reason: str = ""


class _RunningRow(msgspec.Struct, array_like=True):
    """A run in progress. Further elements are ignored."""

    task: str
    run: int
    checkpoint: Any
    percent: float


class _EndedRow(msgspec.Struct, array_like=True):
    """The end of a run; `how` is a key of _END_KIND_BY_NAME."""

    number: int
    task: str
    run: int
    how: str


class _HoldResponse(msgspec.Struct, rename="camel"):
    """The runs in progress at the backend server and those that ended.

    `born` is the start of this incarnation, as Unix time in milliseconds.
    """

    clock_ms: int
    born: int = 0
    running: list[_RunningRow] = []
    ended: list[_EndedRow] = []


_encode = msgspec.json.Encoder().encode
_decode_refusal = msgspec.json.Decoder(_RefusalResponse).decode
_decode_hold_response = msgspec.json.Decoder(_HoldResponse).decode


class PlatformRunClient:
    """A RunClient over HTTP.

    Args:
        address: host:port at which the backend server accepts runs.
        instance_id: Id of the backend server's incarnation; another incarnation
            refuses the requests.
        metrics: Counters of the agent.
    """

    def __init__(self, address: str, instance_id: str, metrics: Metrics | None = None):
        self._client = HttpClient(address, metrics)
        self._headers = {"X-Expect-Instance": instance_id}

    def make_run_key(self, payload: Any, attempt: int) -> RunKey:
        """See RunClient."""
        return RunKey(_to_task_payload(payload).name, attempt)

    async def start(
        self, key: RunKey, payload: Any, lease_end_ms: int, fencing_token: int
    ) -> StartReply:
        """See RunClient."""
        spec = _to_task_payload(payload).spec
        body = _StartRequest(key.name, key.attempt, spec, lease_end_ms, fencing_token)
        response = await self._post_request("/run-start", _encode(body))
        if response is None:
            return StartReply.UNANSWERED
        if response.status == 200:
            return StartReply.STARTED
        if response.status == 421:
            return StartReply.OTHER_INCARNATION
        if response.status in (429, 503):
            return StartReply.UNHEALTHY
        if response.status == 409:
            return _START_REPLY_BY_REASON.get(
                _refusal_reason(response), StartReply.SUPERSEDED
            )
        if 400 <= response.status < 500:
            return StartReply.MALFORMED
        # The protocol has no such reply, so the request may have been executed.
        return StartReply.UNANSWERED

    async def stop(self, key: RunKey, fencing_token: int) -> ControlReply:
        """See RunClient."""
        body = _encode(_StopRequest(key.name, key.attempt, fencing_token))
        response = await self._post_request("/run-stop", body)
        if response is not None and response.status == 200:
            return ControlReply.DONE
        return _to_control_reply(response)

    async def renew(self, renewal: LeaseRenewal) -> RunReport | ControlReply:
        """See RunClient."""
        body = _HoldRequest(
            renewal.fencing_token,
            renewal.last_end_number,
            renewal.lease_end_ms,
            round(1000 * renewal.wait_s),
        )
        response = await self._post_request("/hold", _encode(body), renewal.wait_s)
        if response is None or response.status != 200:
            return _to_control_reply(response)
        try:
            return _to_run_report(_decode_hold_response(response.body))
        except msgspec.MsgspecError as error:
            log_event("renewal_response_malformed", "ERROR", error=error)
            return ControlReply.UNANSWERED

    async def _post_request(
        self, path: str, body: bytes, wait_s: float = 0.0
    ) -> Response | None:
        timeout_s = wait_s + _REQUEST_TIMEOUT_S
        return await self._client.call("POST", path, timeout_s, body, self._headers)


def _to_task_payload(payload: Any) -> TaskPayload:
    return msgspec.convert(payload, TaskPayload)


def _to_run_report(response: _HoldResponse) -> RunReport:
    progress = {
        RunKey(row.task, row.run): row.percent / 100 for row in response.running
    }
    ends = [
        RunEnd(
            row.number,
            RunKey(row.task, row.run),
            _END_KIND_BY_NAME.get(row.how, EndKind.STOPPED),
        )
        for row in response.ended
    ]
    is_complete = len(ends) < _MAX_ENDS_PER_RESPONSE
    return RunReport(response.clock_ms, progress, ends, is_complete, response.born)


def _refusal_reason(response: Response) -> str:
    try:
        return _decode_refusal(response.body).reason
    except msgspec.MsgspecError:
        return ""


def _to_control_reply(response: Response | None) -> ControlReply:
    if response is None:
        return ControlReply.UNANSWERED
    if response.status == 421:
        return ControlReply.OTHER_INCARNATION
    if response.status == 409 and _refusal_reason(response) == "fence":
        return ControlReply.FENCED
    return ControlReply.UNANSWERED
