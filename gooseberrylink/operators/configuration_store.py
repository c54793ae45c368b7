"""Stores the accepted configuration in the platform's table service.

One row names the object, in the platform's object store, that holds the text of the
configuration in force. The version of the row is the version of the configuration, so
it only increases.
"""

import dataclasses
import enum
import hashlib

import trio
from returns.result import Failure, Success

from gooseberrylink.platform.table_service import TableServiceClient
from gooseberrylink.platform.table_service_types import (
    PlatformError,
    PlatformErrorKind,
    Put,
    Row,
)

_TABLE = "configuration"
_KEY = "current"
_HISTORY_LENGTH = 50
_READ_BACK_DELAY_S = 0.2


class ApplyStatus(enum.Enum):
    """How an attempt to apply a configuration ended.

    ACCEPTED: it is in force, or was in force and has been replaced since.
    CONFLICT: another operator's change came first; nothing was applied.
    NOT_APPLIED: the platform could not be reached; nothing was applied.
    UNKNOWN: it may come into force, or be in force already; the outcome could not be
        determined within the time limit.
    """

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    NOT_APPLIED = "not applied"
    UNKNOWN = "unknown"


@dataclasses.dataclass(slots=True, frozen=True)
class ApplyResult:
    """The result of an attempt to apply a configuration.

    Attributes:
        version: The accepted version, or the current one that it conflicts with.
            Otherwise the version before the attempt; 0 if it could not be read.
        base_version: Version that the attempt was based on.
    """

    status: ApplyStatus
    version: int
    base_version: int


@dataclasses.dataclass(slots=True, frozen=True)
class StoredConfiguration:
    """A configuration as read from the platform."""

    version: int
    text: str


class ConfigurationStore:
    """Reads and writes the accepted configuration."""

    def __init__(self, platform: TableServiceClient):
        self._platform = platform

    async def read_newer(
        self, version: int
    ) -> StoredConfiguration | None | PlatformErrorKind:
        """Returns the configuration in force if it is newer than a version.

        Returns:
            The configuration; None if there is no newer one; or why the platform
            could not be read.
        """
        match await self._platform.read(_TABLE, _KEY):
            case Success(row) if row.version > version:
                return await self._read_text(row)
            case Success(_) | Failure(PlatformError(kind=PlatformErrorKind.NOT_FOUND)):
                return None
            case Failure(error):
                return error.kind

    async def apply(
        self, text: str, apply_id: str, base_version: int | None, timeout_s: float
    ) -> ApplyResult:
        """Writes declarations as the new configuration of all processes.

        Args:
            text: Validated declarations in canonical form.
            apply_id: Random id of this attempt. If the response is lost, the id in
                the stored history shows that the attempt was accepted.
            base_version: Version that this change was made from; None for the one
                that this call reads.
            timeout_s: Time limit that applies separately to the first read and to
                the write of the row with its read-back.
        """
        object_name = "configuration-" + hashlib.sha256(text.encode()).hexdigest()[:32]
        row = await self._read_current(timeout_s)
        if row is None:
            return ApplyResult(ApplyStatus.NOT_APPLIED, 0, base_version or 0)
        if base_version is not None and row.version != base_version:
            return ApplyResult(ApplyStatus.CONFLICT, row.version, base_version)
        stored = await self._platform.write_object(object_name, text.encode())
        if isinstance(stored, Failure):
            # An object that the row does not refer to has no effect.
            return ApplyResult(ApplyStatus.NOT_APPLIED, row.version, row.version)
        put = _make_put(row, object_name, apply_id)
        status, version = ApplyStatus.UNKNOWN, row.version
        with trio.move_on_after(timeout_s):
            status, version = await self._compare_and_swap(put, apply_id)
        return ApplyResult(status, version, row.version)

    async def read_declarations_text(self, version: int) -> str | None:
        """Returns the text of a recent version; None if it can't be read."""
        match await self._platform.read(_TABLE, _KEY):
            case Success(row):
                for record in row.value["history"]:
                    if record["version"] == version:
                        found = await self._platform.read_object(record["object"])
                        return found.map(bytes.decode).value_or(None)
        return None

    async def _read_current(self, timeout_s: float) -> Row | None:
        with trio.move_on_after(timeout_s):
            match await self._platform.read(_TABLE, _KEY):
                case Success(row):
                    return row
                case Failure(PlatformError(kind=PlatformErrorKind.NOT_FOUND)):
                    return Row(_KEY, 0, {"history": []})
        return None

    async def _read_text(self, row: Row) -> StoredConfiguration | PlatformErrorKind:
        match await self._platform.read_object(row.value["object"]):
            case Success(data):
                return StoredConfiguration(row.version, data.decode())
            case Failure(error):
                return error.kind

    async def _compare_and_swap(
        self, put: Put, apply_id: str
    ) -> tuple[ApplyStatus, int]:
        """Replaces the row if its version is unchanged; retries until resolved.

        Retrying is safe: the write is conditional on the row's version, and accepted
        attempts stay in the row's history.
        """
        may_have_been_written = False
        while True:
            match await self._platform.write([put]):
                case Success(versions):
                    return ApplyStatus.ACCEPTED, versions[0]
                case Failure(PlatformError(kind=PlatformErrorKind.UNAVAILABLE)):
                    if not may_have_been_written:
                        return ApplyStatus.NOT_APPLIED, put.if_version
                case Failure(PlatformError(kind=PlatformErrorKind.UNKNOWN_OUTCOME)):
                    may_have_been_written = True
            match await self._platform.read(_TABLE, _KEY):
                case Success(row) if row.version != put.if_version:
                    return _find_attempt_result(row, apply_id)
            await trio.sleep(_READ_BACK_DELAY_S)


def _make_put(row: Row, object_name: str, apply_id: str) -> Put:
    record = {"version": row.version + 1, "object": object_name, "apply_id": apply_id}
    history = [*row.value["history"], record][-_HISTORY_LENGTH:]
    value = {"object": object_name, "apply_id": apply_id, "history": history}
    return Put(_TABLE, _KEY, value, row.version)


def _find_attempt_result(row: Row, apply_id: str) -> tuple[ApplyStatus, int]:
    for record in row.value["history"]:
        if record["apply_id"] == apply_id:
            return ApplyStatus.ACCEPTED, record["version"]
    return ApplyStatus.CONFLICT, row.version
