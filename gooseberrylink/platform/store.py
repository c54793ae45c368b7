"""Reads, watches and writes the platform's table store over HTTP; see RowStore."""

import base64
import binascii
import dataclasses
import urllib.parse
from typing import Annotated

import msgspec

from gooseberrylink.logs import log_event
from gooseberrylink.metrics import Metrics
from gooseberrylink.platform.http_client import HttpClient, Response
from gooseberrylink.store import Rows, StoredRow, StoreErrorKind

# The store usually responds in 4 ms, and 77 times slower when it is degraded.
_CALL_TIMEOUT_S = 0.8
_PAGE_ROWS = 500
# The store specifies for these that nothing was done.
_STATUSES_WITHOUT_EFFECT = (400, 403, 404, 412, 413, 429, 503, 507)


# Larger numbers would not fit into the frames between entries and agents.
_Version = Annotated[int, msgspec.Meta(ge=0, le=2**53)]


class _Row(msgspec.Struct):
    key: str
    value: str = ""
    ver: int = 0
    tombstone: bool = False


class _RowsResponse(msgspec.Struct, rename="camel"):
    rows: list[_Row]
    ver: _Version
    has_more: bool = False


class _PutRow(msgspec.Struct):
    table: str
    part: str
    key: str
    value: str


class _VersionOfRow(msgspec.Struct):
    table: str
    part: str
    key: str
    ver: int


class _RemovedRow(msgspec.Struct):
    table: str
    part: str
    key: str


class _Transaction(msgspec.Struct):
    precondition: list[_VersionOfRow]
    puts: list[_PutRow]
    remove: list[_RemovedRow]


_decode_rows_response = msgspec.json.Decoder(_RowsResponse).decode


class PlatformStore:
    """A RowStore over HTTP.

    All rows have an empty `part`, a field of the platform's protocol. In requests,
    `from` is the first key of a range, and `target` is the first key after it.
    """

    def __init__(self, address: str, metrics: Metrics | None = None):
        self._client = HttpClient(address, metrics)

    async def read_table(self, table: str) -> Rows | StoreErrorKind:
        """See RowStore."""
        rows: list[StoredRow] = []
        unreadable_keys: tuple[str, ...] = ()
        version: int | None = None
        from_key = ""
        while True:
            query = {"table": table, "part": "", "limit": _PAGE_ROWS}
            if from_key:
                query["from"] = from_key
            response = await self._get_rows("/rows-get", query)
            if isinstance(response, StoreErrorKind):
                return response
            page = _to_rows(response)
            rows += page.rows
            unreadable_keys += page.unreadable_keys
            # Rows of the first page may have changed before the next one was read.
            version = response.ver if version is None else version
            if not response.has_more or not response.rows:
                return Rows(rows, version, True, unreadable_keys)
            from_key = response.rows[-1].key + "\0"

    async def read_row(self, table: str, key: str) -> StoredRow | None | StoreErrorKind:
        """See RowStore."""
        query = {"table": table, "part": "", "from": key, "target": key + "\0"}
        response = await self._get_rows("/rows-get", query)
        if isinstance(response, StoreErrorKind):
            return response
        rows = _to_rows(response).rows
        return rows[0] if rows else None

    async def wait_for_changes(
        self, table: str, version: int, wait_s: float
    ) -> Rows | StoreErrorKind:
        """See RowStore."""
        query = {"table": table, "after": version, "waitMs": round(1000 * wait_s)}
        response = await self._get_rows("/rows-feed", query, wait_s)
        if isinstance(response, StoreErrorKind):
            return response
        changes = _to_rows(response)
        return dataclasses.replace(changes, version=max(version, response.ver))

    async def put(self, table: str, key: str, value: bytes) -> StoreErrorKind | None:
        """See RowStore."""
        row = _PutRow(table, "", key, base64.b64encode(value).decode())
        return await self._transact(_Transaction([], [row], []))

    async def remove(self, table: str, row: StoredRow) -> StoreErrorKind | None:
        """See RowStore."""
        version = _VersionOfRow(table, "", row.key, row.version)
        removed = _RemovedRow(table, "", row.key)
        return await self._transact(_Transaction([version], [], [removed]))

    async def _transact(self, transaction: _Transaction) -> StoreErrorKind | None:
        body = msgspec.json.encode(transaction)
        response = await self._client.call("POST", "/rows-tx", _CALL_TIMEOUT_S, body)
        if response is not None and response.status == 200:
            return None
        return _to_store_error_kind(response)

    async def _get_rows(
        self, path: str, query: dict[str, str | int], wait_s: float = 0.0
    ) -> _RowsResponse | StoreErrorKind:
        url = f"{path}?{urllib.parse.urlencode(query)}"
        response = await self._client.call("GET", url, wait_s + _CALL_TIMEOUT_S)
        if response is None or response.status != 200:
            return _to_store_error_kind(response)
        try:
            return _decode_rows_response(response.body)
        except msgspec.MsgspecError as error:
            log_event("store_response_malformed", "ERROR", path=path, error=error)
            return StoreErrorKind.NO_EFFECT


def _to_rows(response: _RowsResponse) -> Rows:
    rows, unreadable_keys = [], []
    for row in response.rows:
        if row.tombstone:
            rows.append(StoredRow(row.key, None, row.ver))
            continue
        try:
            rows.append(StoredRow(row.key, base64.b64decode(row.value), row.ver))
        except (binascii.Error, ValueError):
            log_event("store_row_malformed", "WARNING", key=row.key)
            unreadable_keys.append(row.key)
    return Rows(rows, response.ver, unreadable_keys=tuple(unreadable_keys))


def _to_store_error_kind(response: Response | None) -> StoreErrorKind:
    if response is None:
        return StoreErrorKind.UNKNOWN_OUTCOME
    if response.status == 410:
        return StoreErrorKind.HISTORY_LOST
    if response.status in _STATUSES_WITHOUT_EFFECT:
        return StoreErrorKind.NO_EFFECT
    # Such as 502 or 504 from a proxy: the store may have received the request.
    return StoreErrorKind.UNKNOWN_OUTCOME
