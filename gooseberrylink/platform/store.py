"""Speaks the protocol of the platform's table store; see RowStore."""

import base64
import binascii
import urllib.parse

import msgspec

from gooseberrylink.logs import log_event
from gooseberrylink.platform.calls import Caller, Response
from gooseberrylink.store import Rows, StoredRow, StoreErrorKind

# The store answers in 4 ms; on bad days 77 times as long.
_CALL_TIMEOUT_S = 0.8
_PAGE_ROWS = 500


class _Row(msgspec.Struct):
    key: str
    value: str = ""
    ver: int = 0
    tombstone: bool = False


class _RowsAnswer(msgspec.Struct, rename="camel"):
    rows: list[_Row]
    ver: int
    has_more: bool = False


class _PutRow(msgspec.Struct):
    table: str
    part: str
    key: str
    value: str


class _Transaction(msgspec.Struct):
    precondition: list[_PutRow]
    puts: list[_PutRow]
    remove: list[_PutRow]


_decode_rows = msgspec.json.Decoder(_RowsAnswer).decode


class PlatformStore:
    """See RowStore; all rows have an empty part."""

    def __init__(self, address: str):
        self._caller = Caller(address)

    async def read_table(self, table: str) -> Rows | StoreErrorKind:
        """See RowStore."""
        rows: list[StoredRow] = []
        start = ""
        while True:
            query = {"table": table, "part": "", "limit": _PAGE_ROWS}
            if start:
                query["from"] = start
            answer = await self._get("/rows-get", query)
            if isinstance(answer, StoreErrorKind):
                return answer
            rows += _rows(answer)
            if not answer.has_more or not answer.rows:
                return Rows(rows, answer.ver)
            start = answer.rows[-1].key + "\0"

    async def read_row(self, table: str, key: str) -> StoredRow | None | StoreErrorKind:
        """See RowStore."""
        query = {"table": table, "part": "", "from": key, "target": key + "\0"}
        answer = await self._get("/rows-get", query)
        if isinstance(answer, StoreErrorKind):
            return answer
        rows = _rows(answer)
        return rows[0] if rows else None

    async def changes(
        self, table: str, version: int, wait_s: float
    ) -> Rows | StoreErrorKind:
        """See RowStore."""
        query = {"table": table, "after": version, "waitMs": round(1000 * wait_s)}
        answer = await self._get("/rows-feed", query, wait_s)
        if isinstance(answer, StoreErrorKind):
            return answer
        return Rows(_rows(answer), max(version, answer.ver))

    async def put(self, table: str, key: str, value: bytes) -> StoreErrorKind | None:
        """See RowStore."""
        row = _PutRow(table, "", key, base64.b64encode(value).decode())
        body = msgspec.json.encode(_Transaction([], [row], []))
        answer = await self._caller.call("POST", "/rows-tx", _CALL_TIMEOUT_S, body)
        if answer is not None and answer.status == 200:
            return None
        return _trouble(answer)

    async def _get(
        self, path: str, query: dict[str, str | int], wait_s: float = 0.0
    ) -> _RowsAnswer | StoreErrorKind:
        url = f"{path}?{urllib.parse.urlencode(query)}"
        answer = await self._caller.call("GET", url, wait_s + _CALL_TIMEOUT_S)
        if answer is None or answer.status != 200:
            return _trouble(answer)
        try:
            return _decode_rows(answer.body)
        except msgspec.MsgspecError as error:
            log_event("store_answer_malformed", "ERROR", path=path, error=error)
            return StoreErrorKind.NO_EFFECT


def _rows(answer: _RowsAnswer) -> list[StoredRow]:
    rows = []
    for row in answer.rows:
        if row.tombstone:
            rows.append(StoredRow(row.key, None))
            continue
        try:
            rows.append(StoredRow(row.key, base64.b64decode(row.value)))
        except (binascii.Error, ValueError):
            log_event("store_row_malformed", "WARNING", key=row.key)
    return rows


def _trouble(answer: Response | None) -> StoreErrorKind:
    if answer is None:
        return StoreErrorKind.UNKNOWN_OUTCOME
    if answer.status == 410:
        return StoreErrorKind.HISTORY_LOST
    return StoreErrorKind.NO_EFFECT
