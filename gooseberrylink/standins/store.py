"""Fakes the platform's table store over HTTP, as PlatformStore expects it.

Its protocol differs from that of the table service, which platform.py fakes.
"""

import base64
from typing import Any

import trio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route


class FakeStore:
    """Tables in memory, with a change feed whose history can be dropped.

    Attributes:
        app: The ASGI application.
        is_down: Whether every request gets status 503.
        loses_responses: Whether transactions are executed but get no response.
        request_paths: Paths of all requests, in order.
    """

    def __init__(self):
        self.is_down = False
        self.loses_responses = False
        self.request_paths: list[str] = []
        self._rows: dict[tuple[str, str], dict[str, Any]] = {}
        self._version = 0
        self._history_dropped_up_to = 0
        self._changed = trio.Event()
        self.app = Starlette(
            routes=[
                Route("/rows-get", self._get),
                Route("/rows-feed", self._feed),
                Route("/rows-tx", self._transact, methods=["POST"]),
            ]
        )

    def put(self, table: str, key: str, value: bytes) -> None:
        """Writes a row, as another client of the store would."""
        self._version += 1
        encoded = base64.b64encode(value).decode()
        row = {"table": table, "key": key, "value": encoded, "ver": self._version}
        self._rows[table, key] = row
        self._changed.set()
        self._changed = trio.Event()

    def remove(self, table: str, key: str) -> None:
        """Removes a row, as another client of the store would."""
        self._version += 1
        row = {"table": table, "key": key, "ver": self._version, "tombstone": True}
        self._rows[table, key] = row
        self._changed.set()
        self._changed = trio.Event()

    def drop_history(self) -> None:
        """Drops past changes; a feed request that needs them gets status 410."""
        self._history_dropped_up_to = self._version

    def get_value(self, table: str, key: str) -> bytes | None:
        """Returns a row's value, or None if there is no such row."""
        row = self._rows.get((table, key))
        return base64.b64decode(row["value"]) if row and "value" in row else None

    async def _get(self, request: Request) -> Response:
        self.request_paths.append(request.url.path)
        if self.is_down:
            return JSONResponse({}, 503)
        query = request.query_params
        start, end = query.get("from", ""), query.get("target", "\U0010ffff")
        rows = [r for r in self._rows_after(query["table"], 0) if "value" in r]
        return self._respond([row for row in rows if start <= row["key"] < end])

    async def _feed(self, request: Request) -> Response:
        self.request_paths.append(request.url.path)
        query = request.query_params
        after = int(query["after"])
        if self.is_down:
            return JSONResponse({}, 503)
        if after < self._history_dropped_up_to:
            return JSONResponse({}, 410)
        with trio.move_on_after(int(query["waitMs"]) / 1000):
            while not self._rows_after(query["table"], after):
                await self._changed.wait()
        return self._respond(self._rows_after(query["table"], after))

    async def _transact(self, request: Request) -> Response:
        self.request_paths.append(request.url.path)
        if self.is_down:
            return JSONResponse({}, 503)
        body = await request.json()
        for put in body["puts"]:
            value = base64.b64decode(put["value"])
            self.put(put["table"], put["key"], value)
        if self.loses_responses:
            await trio.sleep_forever()
        return JSONResponse({"ver": self._version, "nowMs": 0})

    def _rows_after(self, table: str, version: int) -> list[dict[str, Any]]:
        rows = [
            row
            for (name, _), row in self._rows.items()
            if name == table and row["ver"] > version
        ]
        return sorted(rows, key=lambda row: row["ver"])

    def _respond(self, rows: list[dict[str, Any]]) -> Response:
        body = {"rows": rows, "hasMore": False, "ver": self._version, "nowMs": 0}
        return JSONResponse(body)
