"""A stand-in for the platform's store of rows; see PROTOCOL.md."""

import asyncio
import base64
import json
import time
from typing import Any

from standins.http import HttpServer, Request, find_free_port


class Store:
    """Tables in memory, with a change feed that keeps its whole history."""

    def __init__(self, ip: str):
        self._server = HttpServer(ip, find_free_port(ip), self._handle)
        self.address = self._server.address
        self._rows: dict[tuple[str, str, str], dict[str, Any]] = {}
        self._version = 0
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Starts to serve."""
        await self._server.start()

    async def stop(self) -> None:
        """Stops to serve."""
        await self._server.stop()

    def put(self, table: str, key: str, value: Any) -> None:
        """Writes a row as the operator does; the value is encoded as JSON."""
        self._version += 1
        self._put(table, "", key, json.dumps(value).encode())
        self._announce_change()

    def _put(self, table: str, part: str, key: str, value: bytes) -> None:
        self._rows[table, part, key] = {
            "table": table,
            "part": part,
            "key": key,
            "value": base64.b64encode(value).decode(),
            "ver": self._version,
        }

    def _announce_change(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request: Request) -> tuple[int, Any]:
        if request.path == "/rows-tx":
            return self._transact(request.body)
        if request.path == "/rows-get":
            return 200, self._get(request.query)
        if request.path == "/rows-feed":
            return 200, await self._wait_for_rows(request.query)
        return 404, {}

    def _transact(self, body: dict[str, Any]) -> tuple[int, Any]:
        checked = [
            (row, self._rows.get((row["table"], row["part"], row["key"])))
            for row in body.get("precondition", [])
        ]
        if any(row["ver"] != (known["ver"] if known else 0) for row, known in checked):
            return 412, {"rows": [known for _, known in checked if known]}
        self._version += 1
        for row in body.get("puts", []):
            value = base64.b64decode(row["value"])
            self._put(row["table"], row["part"], row["key"], value)
        for row in body.get("remove", []):
            self._rows.pop((row["table"], row["part"], row["key"]), None)
        self._announce_change()
        return 200, self._state()

    def _get(self, query: dict[str, str]) -> dict[str, Any]:
        start, end = query.get("from", ""), query.get("target")
        rows = [
            row
            for row in self._table(query)
            if row["key"] >= start and (end is None or row["key"] < end)
        ]
        rows.sort(key=lambda row: row["key"].encode())
        limit = int(query.get("limit", "500"))
        return {**self._state(), "rows": rows[:limit], "hasMore": len(rows) > limit}

    async def _wait_for_rows(self, query: dict[str, str]) -> dict[str, Any]:
        after = int(query["after"])
        try:
            async with asyncio.timeout(int(query["waitMs"]) / 1000):
                while not self._rows_after(query, after):
                    await self._changed.wait()
        except TimeoutError:
            pass
        return {**self._state(), "rows": self._rows_after(query, after)}

    def _rows_after(self, query: dict[str, str], after: int) -> list[dict[str, Any]]:
        rows = [row for row in self._table(query) if row["ver"] > after]
        return sorted(rows, key=lambda row: row["ver"])

    def _table(self, query: dict[str, str]) -> list[dict[str, Any]]:
        # A feed names no part.
        return [
            row
            for (table, part, _), row in self._rows.items()
            if table == query["table"] and part == query.get("part", part)
        ]

    def _state(self) -> dict[str, Any]:
        return {"ver": self._version, "nowMs": round(1000 * time.monotonic())}
