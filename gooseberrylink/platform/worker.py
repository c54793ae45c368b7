"""Speaks the protocol for running tasks on a worker; see LeasedWorker."""

from typing import Any

import msgspec

from gooseberrylink.backends.leased import (
    EndKind,
    LeaseRenewal,
    OrderReply,
    RunEnd,
    RunKey,
    StartReply,
    WorkerReport,
)
from gooseberrylink.platform.calls import Caller, Response

# A worker answers within milliseconds; one that takes longer may act later.
_ORDER_TIMEOUT_S = 0.25
# The worker returns at most so many ends at once.
_ENDS_PER_ANSWER = 500

_END_KINDS = {
    "done": EndKind.DONE,
    "failed": EndKind.FAILED,
    "stopped": EndKind.STOPPED,
    "lapsed": EndKind.LAPSED,
    "broken": EndKind.STOPPED,
    "alone": EndKind.STOPPED,
}
_START_REFUSALS = {
    "fence": StartReply.FENCED,
    "old": StartReply.SUPERSEDED,
    "late": StartReply.LATE,
    "room": StartReply.FULL,
}


class TaskPayload(msgspec.Struct, array_like=True):
    """What a task of a job carries from the front to the worker.

    Attributes:
        name: Job id, occurrence, step and index, joined by dots.
        spec: The caller's text.
    """

    name: str
    spec: str


class _StartBody(msgspec.Struct, rename="camel"):
    task: str
    run: int
    spec: str
    until_ms: int
    fencing_token: int


class _StopBody(msgspec.Struct, rename="camel"):
    task: str
    run: int
    fencing_token: int


class _HoldBody(msgspec.Struct, rename="camel", omit_defaults=True):
    """`until_ms` is on the worker's clock and covers all of its runs."""

    fencing_token: int
    seen_upto: int
    until_ms: int | None = None
    wait_ms: int = 0


class _Refusal(msgspec.Struct):
    reason: str = ""


class _HoldAnswer(msgspec.Struct, rename="camel"):
    """What runs on the worker, and what ended there.

    Rows of `running` are [task, run, checkpoint, percent, ...], and rows of
    `ended` are [number, task, run, how, checkpoint]. `born` is the start of this
    life in Unix milliseconds.
    """

    clock_ms: int
    born: int = 0
    running: list[list[Any]] = []
    ended: list[list[Any]] = []


_encode = msgspec.json.Encoder().encode
_decode_refusal = msgspec.json.Decoder(_Refusal).decode
_decode_hold = msgspec.json.Decoder(_HoldAnswer).decode


class PlatformWorker:
    """See LeasedWorker.

    Args:
        address: host:port of the worker's own interface.
        instance_id: The worker's id; another one refuses the calls.
    """

    def __init__(self, address: str, instance_id: str):
        self._caller = Caller(address)
        self._headers = {"X-Expect-Instance": instance_id}

    def make_run_key(self, payload: Any, attempt: int) -> RunKey:
        """See LeasedWorker."""
        return RunKey(_payload(payload).name, attempt)

    async def start(
        self, key: RunKey, payload: Any, until_ms: int, fencing_token: int
    ) -> StartReply:
        """See LeasedWorker."""
        spec = _payload(payload).spec
        body = _StartBody(key.name, key.attempt, spec, until_ms, fencing_token)
        answer = await self._order("/run-start", _encode(body))
        if answer is None:
            return StartReply.UNANSWERED
        if answer.status == 200:
            return StartReply.STARTED
        if answer.status == 421:
            return StartReply.OTHER_INCARNATION
        if answer.status in (429, 503):
            return StartReply.UNHEALTHY
        if answer.status == 409:
            return _START_REFUSALS.get(_reason(answer), StartReply.SUPERSEDED)
        return StartReply.MALFORMED

    async def stop(self, key: RunKey, fencing_token: int) -> OrderReply:
        """See LeasedWorker."""
        body = _encode(_StopBody(key.name, key.attempt, fencing_token))
        answer = await self._order("/run-stop", body)
        if answer is not None and answer.status == 200:
            return OrderReply.DONE
        return _trouble(answer)

    async def renew(self, renewal: LeaseRenewal) -> WorkerReport | OrderReply:
        """See LeasedWorker."""
        body = _HoldBody(
            renewal.fencing_token,
            renewal.seen_up_to,
            renewal.until_ms,
            round(1000 * renewal.wait_s),
        )
        answer = await self._order("/hold", _encode(body), renewal.wait_s)
        if answer is None or answer.status != 200:
            return _trouble(answer)
        try:
            return _view(_decode_hold(answer.body))
        except (msgspec.MsgspecError, ValueError, TypeError):
            return OrderReply.UNANSWERED

    async def _order(
        self, path: str, body: bytes, wait_s: float = 0.0
    ) -> Response | None:
        timeout_s = wait_s + _ORDER_TIMEOUT_S
        return await self._caller.call("POST", path, timeout_s, body, self._headers)


def _payload(payload: Any) -> TaskPayload:
    return msgspec.convert(payload, TaskPayload)


def _view(answer: _HoldAnswer) -> WorkerReport:
    progress = {RunKey(row[0], row[1]): row[3] / 100 for row in answer.running}
    ends = [
        RunEnd(row[0], RunKey(row[1], row[2]), _END_KINDS.get(row[3], EndKind.STOPPED))
        for row in answer.ended
    ]
    is_complete = len(ends) < _ENDS_PER_ANSWER
    return WorkerReport(answer.clock_ms, progress, ends, is_complete, answer.born)


def _reason(answer: Response) -> str:
    try:
        return _decode_refusal(answer.body).reason
    except msgspec.MsgspecError:
        return ""


def _trouble(answer: Response | None) -> OrderReply:
    if answer is None:
        return OrderReply.UNANSWERED
    if answer.status == 421:
        return OrderReply.OTHER_INCARNATION
    if answer.status == 409 and _reason(answer) == "fence":
        return OrderReply.FENCED
    return OrderReply.UNANSWERED
