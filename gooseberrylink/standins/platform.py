"""Fakes the platform's table service and object store, in memory or over HTTP."""

import dataclasses
import enum
from typing import Any

import trio
from returns.result import Failure, Result, Success
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from gooseberrylink.platform.table_service_types import (
    PlatformError,
    PlatformErrorKind,
    Put,
    Row,
)


class PlatformMode(enum.StrEnum):
    """How the fake platform handles calls; see FakePlatform.mode."""

    UP = "up"
    DOWN = "down"
    LOSES_RESPONSES = "loses-answers"
    LOSES_REQUESTS = "loses-requests"


class FakePlatform:
    """Tables and objects in memory; implements TableServiceClient.

    Attributes:
        mode: How calls are handled. With DOWN, each call fails without effect. With
            LOSES_RESPONSES and LOSES_REQUESTS, the outcome of a transaction (see write)
            is reported as unknown; it is executed with the former only. These two
            modes do not affect other calls.
        latency_s: Duration of each call, in seconds.
        write_count: Number of calls that write, including failed ones.
        read_count: Number of calls that read, including failed ones.
    """

    def __init__(self, mode: PlatformMode = PlatformMode.UP, latency_s: float = 0.0):
        self.mode = mode
        self.latency_s = latency_s
        self.write_count = 0
        self.read_count = 0
        self._rows: dict[tuple[str, str], Row] = {}
        self._objects: dict[str, bytes] = {}

    async def read(self, table: str, key: str) -> Result[Row, PlatformError]:
        """See TableServiceClient."""
        await self._delay()
        self.read_count += 1
        if self.mode is PlatformMode.DOWN:
            return Failure(PlatformError(PlatformErrorKind.UNAVAILABLE))
        row = self._rows.get((table, key))
        if row is None:
            return Failure(PlatformError(PlatformErrorKind.NOT_FOUND))
        return Success(row)

    async def write(self, puts: list[Put]) -> Result[list[int], PlatformError]:
        """See TableServiceClient."""
        await self._delay()
        self.write_count += 1
        mode = self.mode
        if mode is PlatformMode.DOWN:
            return Failure(PlatformError(PlatformErrorKind.UNAVAILABLE))
        if mode is PlatformMode.LOSES_REQUESTS:
            return Failure(PlatformError(PlatformErrorKind.UNKNOWN_OUTCOME))
        result = self._transact(puts)
        if mode is PlatformMode.LOSES_RESPONSES:
            return Failure(PlatformError(PlatformErrorKind.UNKNOWN_OUTCOME))
        return result

    async def read_object(self, name: str) -> Result[bytes, PlatformError]:
        """See TableServiceClient."""
        await self._delay()
        self.read_count += 1
        if self.mode is PlatformMode.DOWN:
            return Failure(PlatformError(PlatformErrorKind.UNAVAILABLE))
        data = self._objects.get(name)
        if data is None:
            return Failure(PlatformError(PlatformErrorKind.NOT_FOUND))
        return Success(data)

    async def write_object(self, name: str, data: bytes) -> Result[None, PlatformError]:
        """See TableServiceClient."""
        await self._delay()
        self.write_count += 1
        if self.mode is PlatformMode.DOWN:
            return Failure(PlatformError(PlatformErrorKind.UNAVAILABLE))
        self._objects[name] = data
        return Success(None)

    async def _delay(self) -> None:
        if self.latency_s > 0:
            await trio.sleep(self.latency_s)
        else:
            await trio.lowlevel.checkpoint()

    def _transact(self, puts: list[Put]) -> Result[list[int], PlatformError]:
        def version(put: Put) -> int:
            row = self._rows.get((put.table, put.key))
            return row.version if row else 0

        conflicts = tuple(
            index for index, put in enumerate(puts) if version(put) != put.if_version
        )
        if conflicts:
            return Failure(
                PlatformError(PlatformErrorKind.CONFLICT, conflicts=conflicts)
            )
        versions = []
        for put in puts:
            row = Row(put.key, put.if_version + 1, put.value)
            self._rows[put.table, put.key] = row
            versions.append(row.version)
        return Success(versions)


class PlatformApi:
    """Serves a FakePlatform over HTTP; docs/PLATFORM.md describes the protocol."""

    def __init__(self, platform: FakePlatform):
        self._platform = platform
        self.app = Starlette(
            routes=[
                Route("/v1/tables/{table}/{key:path}", self._read),
                Route("/v1/transactions", self._write, methods=["POST"]),
                Route("/v1/objects/{name}", self._read_object),
                Route("/v1/objects/{name}", self._write_object, methods=["PUT"]),
                Route("/v1/mode", self._set_mode, methods=["PUT"]),
            ]
        )

    async def _read(self, request: Request) -> Response:
        params = request.path_params
        result = await self._platform.read(params["table"], params["key"])
        return _respond(result.map(dataclasses.asdict))

    async def _write(self, request: Request) -> Response:
        body = await request.json()
        result = await self._platform.write([Put(**put) for put in body["puts"]])
        return _respond(result.map(lambda versions: {"versions": versions}))

    async def _read_object(self, request: Request) -> Response:
        match await self._platform.read_object(request.path_params["name"]):
            case Success(data):
                return Response(data)
            case failure:
                return _respond(failure)

    async def _write_object(self, request: Request) -> Response:
        name = request.path_params["name"]
        result = await self._platform.write_object(name, await request.body())
        return _respond(result.map(lambda _: {}))

    async def _set_mode(self, request: Request) -> Response:
        body = await request.json()
        self._platform.mode = PlatformMode(body.get("mode", "up"))
        self._platform.latency_s = float(body.get("latency_s", 0.0))
        return JSONResponse({"mode": self._platform.mode.value})


def _respond(result: Result[Any, PlatformError]) -> Response:
    match result:
        case Success(body):
            return JSONResponse(body)
        case Failure(PlatformError(kind=PlatformErrorKind.NOT_FOUND)):
            return JSONResponse({}, 404)
        case Failure(PlatformError(kind=PlatformErrorKind.CONFLICT) as error):
            return JSONResponse({"conflicts": error.conflicts}, 409)
        case Failure(PlatformError(kind=PlatformErrorKind.UNAVAILABLE)):
            return JSONResponse({}, 503, {"X-No-Effect": "1"})
        case _:
            return JSONResponse({}, 500)
