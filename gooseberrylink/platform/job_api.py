"""Serves callers' jobs over HTTP in the platform's format."""

import math
from typing import Annotated, Any

import msgspec

from gooseberrylink.asgi import (
    BodyTooLargeError,
    ClientDisconnectedError,
    Receive,
    Scope,
    Send,
    read_body,
    send_response,
    serve_lifespan,
)
from gooseberrylink.callers.disconnects import run_until_disconnect
from gooseberrylink.codes import Code, ExecutionStatus
from gooseberrylink.entry import Entry
from gooseberrylink.exceptions import RefusedError
from gooseberrylink.logs import log_event
from gooseberrylink.operators.declarations import Queue
from gooseberrylink.platform.run_client import TaskPayload
from gooseberrylink.resources import Amount, Resources
from gooseberrylink.types import (
    Answer,
    JobRequest,
    LatencyTarget,
    RerunPolicy,
    TaskSpec,
)

# For requests without an X-Deadline-Ms header.
_DEFAULT_DEADLINE_MS = 30_000
_HTTP_STATUS = {
    Code.MALFORMED_JOB: 400,
    Code.DEADLINE_INVALID: 400,
    Code.BODY_TOO_LARGE: 413,
    Code.UNKNOWN_QUEUE: 404,
    Code.OVER_QUOTA: 429,
    Code.TOO_MANY_TASKS: 400,
}


# A longer list of tasks is refused before it is built. Declarations allow fewer.
_MAX_TASKS_PER_STEP = 10_000
_MAX_ESTIMATE_MS = 86_400_000


class _Step(msgspec.Struct, rename="camel"):
    """A step of a job: `count` tasks that need the same resources.

    `cpu` is in thousandths of a core, and `affinity` is the rack that holds the
    tasks' data. `after` is ignored, because only jobs with one step are accepted. The
    fields that follow it are decoded only to refuse jobs that use them.
    """

    count: Annotated[int, msgspec.Meta(ge=1, le=_MAX_TASKS_PER_STEP)]
    cpu: Amount = 0
    mem_mb: Amount = 0
    gpu: Amount = 0
    estimate_ms: Annotated[float, msgspec.Meta(ge=0, le=_MAX_ESTIMATE_MS)] = 0.0
    affinity: str = ""
    after: list[int] = []
    gang: bool = False
    long_running: bool = False
    requirements: Any = None
    anti_affinity: Any = None
    fills: bool = False


class _Job(msgspec.Struct, rename="camel"):
    """A job as callers send it; `spec` is passed to each task.

    Only best-effort jobs without repetitions are accepted.
    """

    spec: str
    steps: list[_Step]
    best_effort: bool = False
    repeat_count: int = 0


_decode = msgspec.json.Decoder(_Job).decode
_encode = msgspec.json.Encoder().encode


class JobApi:
    """The ASGI application that serves callers."""

    def __init__(self, entry: Entry):
        self._entry = entry

    async def app(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serves one ASGI scope; see the ASGI specification."""
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        try:
            status, body, headers = await self._handle(scope, receive)
        except RefusedError as error:
            self._entry.metrics.add("refusals", error.code.name.lower())
            answer = Answer(error.code, error.detail, None, error.retry_after_s)
            _log_refusal(scope["path"], answer)
            status, body, headers = _to_response(answer)
        if self._entry.reports_not_ready:
            # Makes the caller open a new connection for its next request, which the
            # load balancer directs to another entry.
            headers.append((b"connection", b"close"))
        await send_response(send, status, headers, body)

    async def _handle(
        self, scope: Scope, receive: Receive
    ) -> tuple[int, bytes, list[tuple[bytes, bytes]]]:
        # HTTP header values may be any bytes, which Latin-1 maps to characters.
        headers = {
            name.decode("latin-1"): value.decode("latin-1")
            for name, value in scope["headers"]
        }
        queue, job_id = self._find_queue(headers.get("host", ""), scope["path"])
        method = scope["method"]
        if method == "POST" and job_id:
            body = await self._read_body(receive)
            job = _parse_job(queue, job_id, headers, body)
            answer = await run_until_disconnect(self._entry, job, receive)
            return _to_response(answer)
        if method == "GET" and not job_id:
            return _json_response(
                200, {"pending": self._entry.count_waiting_jobs(queue.name)}
            )
        if method == "GET":
            is_running = self._entry.is_in_progress(queue.name, job_id)
            return (
                _json_response(200, {"state": "running"})
                if is_running
                else _json_response(410, {})
            )
        if method == "DELETE" and job_id:
            is_known = self._entry.cancel(queue.name, job_id)
            return _json_response(200 if is_known else 410, {})
        return _json_response(405, {})

    def _find_queue(self, host: str, path: str) -> tuple[Queue, str]:
        if not self._entry.has_current_configuration:
            detail = self._entry.describe_missing_state()
            raise RefusedError(Code.NOT_READY, detail, 1.0)
        queue = self._entry.configuration.queue(host, path)
        if queue is None:
            raise RefusedError(
                Code.UNKNOWN_QUEUE,
                f"no queue is declared for host {host!r}, path {path!r}",
            )
        return queue, path.removeprefix(queue.path_prefix)

    async def _read_body(self, receive: Receive) -> bytes:
        limit = self._entry.configuration.declarations.rules.limits.max_body_bytes
        try:
            return await read_body(receive, limit)
        except ClientDisconnectedError:
            raise RefusedError(
                Code.BODY_TOO_SLOW,
                "the caller disconnected before the body was complete",
            ) from None
        except BodyTooLargeError:
            detail = f"the body exceeds the limit of {limit} bytes"
            raise RefusedError(Code.BODY_TOO_LARGE, detail) from None


def _parse_job(
    queue: Queue, job_id: str, headers: dict[str, str], body: bytes
) -> JobRequest:
    try:
        job = _decode(body)
    except msgspec.MsgspecError as error:
        raise RefusedError(Code.MALFORMED_JOB, str(error)) from None
    deadline_ms = _parse_deadline_ms(headers)
    _refuse_unsupported(job)
    tasks = [
        TaskSpec(
            TaskPayload(f"{job_id}.0.0.{index}", job.spec),
            step.estimate_ms / 1000,
            Resources(step.cpu, step.mem_mb, step.gpu),
            step.affinity,
            f"{job_id}.0.0.{index}",
        )
        for step in job.steps
        for index in range(step.count)
    ]
    return JobRequest(
        customer=queue.name,
        service=queue.service,
        tasks=tasks,
        deadline_s=deadline_ms / 1000,
        job_id=job_id,
        rerun_policy=RerunPolicy(queue.max_failures),
        latency_target=LatencyTarget(queue.stretch, queue.target_latency_s),
    )


def _parse_deadline_ms(headers: dict[str, str]) -> float:
    text = headers.get("x-deadline-ms")
    if text is None:
        return _DEFAULT_DEADLINE_MS
    try:
        deadline_ms = float(text)
    except ValueError:
        deadline_ms = math.nan
    if not (math.isfinite(deadline_ms) and deadline_ms > 0):
        raise RefusedError(
            Code.DEADLINE_INVALID,
            f"X-Deadline-Ms is {text!r:.40}, expected a number of milliseconds above 0",
        )
    return deadline_ms


def _refuse_unsupported(job: _Job) -> None:
    """Refuses all jobs except best-effort ones with one step and no optional feature.

    Raises:
        RefusedError: With code UNSUPPORTED_JOB.
    """
    step = job.steps[0] if len(job.steps) == 1 else None
    if step is None:
        raise RefusedError(
            Code.UNSUPPORTED_JOB, f"the job has {len(job.steps)} steps, expected 1"
        )
    unsupported = {
        "bestEffort: false": not job.best_effort,
        "repeatCount": job.repeat_count > 0,
        "gang": step.gang,
        "longRunning": step.long_running,
        "requirements": bool(step.requirements),
        "antiAffinity": bool(step.anti_affinity),
        "fills": step.fills,
    }
    names = [name for name, is_set in unsupported.items() if is_set]
    if names:
        raise RefusedError(Code.UNSUPPORTED_JOB, f"not supported: {', '.join(names)}")


def _to_response(answer: Answer) -> tuple[int, bytes, list[tuple[bytes, bytes]]]:
    if answer.code is Code.OK:
        return _json_response(200, {"state": "completed"})
    if answer.code in (Code.TASK_FAILED, Code.WORKERS_CRASHED):
        return _json_response(200, {"state": "failed"})
    status = _HTTP_STATUS.get(answer.code)
    if status is None:
        status = 503 if answer.execution_status is ExecutionStatus.NOT_RUN else 504
    body = {"code": int(answer.code), "detail": answer.detail}
    response = _json_response(status, body)
    if answer.retry_after_s is not None:
        seconds = str(math.ceil(answer.retry_after_s)).encode()
        response[2].append((b"retry-after", seconds))
    return response


def _json_response(
    status: int, body: dict[str, Any]
) -> tuple[int, bytes, list[tuple[bytes, bytes]]]:
    return status, _encode(body), [(b"content-type", b"application/json")]


def _log_refusal(path: str, answer: Answer) -> None:
    log_event("request_refused", path=path, code=int(answer.code), reason=answer.detail)
