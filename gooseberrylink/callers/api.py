"""Serves callers' jobs and operators' requests over HTTP/1.1 with JSON."""

import math

import pydantic
import trio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, PlainTextResponse, Response
from starlette.routing import Route

from gooseberrylink.asgi import BodyTooLargeError, ClientDisconnectedError, read_body
from gooseberrylink.callers.disconnects import run_until_disconnect
from gooseberrylink.callers.models import (
    ConfigurationModel,
    answer_body,
    format_errors,
    parse_job,
)
from gooseberrylink.callers.status_codes import http_status
from gooseberrylink.codes import Code
from gooseberrylink.entry import Entry
from gooseberrylink.exceptions import RefusedError
from gooseberrylink.logs import log_event
from gooseberrylink.operators.explanation import explain_job
from gooseberrylink.operators.status import entry_status
from gooseberrylink.types import Answer

_BODY_LIMIT_BEFORE_CONFIG_BYTES = 1024 * 1024
_MAX_CONFIGURATION_BYTES = 16 * 1024 * 1024
_METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class CallersApi:
    """The HTTP interface of an entry."""

    def __init__(self, entry: Entry):
        self._entry = entry
        self.app = Starlette(
            routes=[
                Route("/v1/jobs", self._submit, methods=["POST"]),
                Route("/v1/jobs/{job_id}", self._cancel, methods=["DELETE"]),
                Route("/v1/status", self._status),
                Route("/v1/explain", self._explain, methods=["POST"]),
                Route(
                    "/v1/configuration", self._receive_configuration, methods=["POST"]
                ),
                Route("/healthz", self._health),
                Route("/readyz", self._ready),
                Route("/metrics", self._metrics),
            ]
        )

    async def _submit(self, request: Request) -> Response:
        try:
            body = await self._read_body(request, self._max_job_bytes())
            key = request.headers.get("Idempotency-Key", "")
            job = parse_job(body, key, self._entry.configuration)
        except RefusedError as error:
            self._entry.metrics.add("refusals", error.code.name.lower())
            return _to_response(Answer(error.code, error.detail))
        except ClientDisconnectedError:
            return Response(status_code=400)
        answer = await run_until_disconnect(self._entry, job, request.receive)
        return _to_response(answer)

    def _max_job_bytes(self) -> int:
        declarations = self._entry.configuration.declarations
        if declarations is None:
            return _BODY_LIMIT_BEFORE_CONFIG_BYTES
        return declarations.rules.limits.max_body_bytes

    async def _read_body(self, request: Request, limit: int) -> bytes:
        body = b""
        with trio.move_on_after(self._entry.settings.body_timeout_s) as scope:
            try:
                body = await read_body(request.receive, limit)
            except BodyTooLargeError:
                detail = f"the body exceeds the limit of {limit} bytes"
                raise RefusedError(Code.BODY_TOO_LARGE, detail) from None
        if scope.cancelled_caught:
            raise RefusedError(
                Code.BODY_TOO_SLOW,
                "the body was not received within"
                f" {self._entry.settings.body_timeout_s:g} s",
            )
        return body

    async def _cancel(self, request: Request) -> Response:
        customer = request.query_params.get("customer", "")
        job_id = request.path_params["job_id"]
        if self._entry.cancel(customer, job_id):
            return JSONResponse({"cancelled": True}, 202)
        detail = (
            f"no job {job_id!r} of customer {customer!r} is in progress at entry"
            f" {self._entry.settings.entry}"
        )
        return JSONResponse({"cancelled": False, "detail": detail}, 404)

    async def _explain(self, request: Request) -> Response:
        try:
            body = await self._read_body(request, self._max_job_bytes())
            key = request.headers.get("Idempotency-Key", "")
            job = parse_job(body, key, self._entry.configuration)
        except RefusedError as error:
            return _to_response(Answer(error.code, error.detail))
        except ClientDisconnectedError:
            return Response(status_code=400)
        return JSONResponse(explain_job(self._entry, job))

    async def _status(self, request: Request) -> Response:
        return JSONResponse(entry_status(self._entry))

    async def _receive_configuration(self, request: Request) -> Response:
        """Adopts a configuration that the platform has just accepted.

        The operator's command also sends it here, so that it comes into force even
        if the platform fails before any entry has polled it.
        """
        try:
            body = await self._read_body(request, _MAX_CONFIGURATION_BYTES)
            pushed = ConfigurationModel.model_validate_json(body)
        except RefusedError as error:
            self._entry.metrics.add("refusals", error.code.name.lower())
            return _to_response(Answer(error.code, error.detail))
        except ClientDisconnectedError:
            return Response(status_code=400)
        except pydantic.ValidationError as error:
            log_event("config_push_malformed", "ERROR", errors=error.error_count())
            return JSONResponse({"detail": format_errors(error)}, 400)
        self._entry.adopt(pushed.version, pushed.text, "operator")
        return JSONResponse({"version": self._entry.configuration.version})

    async def _health(self, request: Request) -> Response:
        return PlainTextResponse("ok\n")

    async def _ready(self, request: Request) -> Response:
        if self._entry.is_ready:
            return PlainTextResponse("ready\n")
        return PlainTextResponse("not ready\n", 503)

    async def _metrics(self, request: Request) -> Response:
        entry = self._entry
        for percent in (50.0, 99.0):
            seconds = entry.answer_time.percentile(percent)
            entry.metrics.set_gauge(f"answer_time_p{percent:.0f}_seconds", seconds)
        return Response(
            entry.metrics.render_exposition(), media_type=_METRICS_CONTENT_TYPE
        )


def _to_response(answer: Answer) -> Response:
    headers = {}
    if answer.retry_after_s is not None:
        headers["Retry-After"] = str(math.ceil(answer.retry_after_s))
    return JSONResponse(answer_body(answer), http_status(answer.code), headers)
