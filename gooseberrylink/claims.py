"""Claims the idempotency keys of requests that must not run twice.

A key is claimed by a conditional insert into the platform's table before the
first task starts. Claims that one entry makes within a short time are written in
one transaction.
"""

import dataclasses
import math
from typing import Any

import trio
from returns.result import Failure, Success

from gooseberrylink.codes import Code, ExecutionStatus
from gooseberrylink.logs import log_event
from gooseberrylink.metrics import Metrics
from gooseberrylink.platform.table_service import TableServiceClient
from gooseberrylink.platform.table_service_types import (
    PlatformError,
    PlatformErrorKind,
    Put,
    Row,
)
from gooseberrylink.types import Answer

CLAIMS_TABLE = "claims"
_MAX_GROUP_WRITES = 64
_MIN_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 0.5
# Time after which recording or releasing a claim is given up.
_BACKGROUND_TIMEOUT_S = 60.0

_RUNNING = "running"
_ANSWERED = "answered"
_RELEASED = "released"


@dataclasses.dataclass(slots=True, frozen=True)
class Claim:
    """A key that a submission has claimed.

    Attributes:
        key: Key of the row in the table.
        submission: Id of the submission.
        version: Version of the row, which the next write must match; 0 before the
            row is written.
    """

    key: str
    submission: str
    version: int


@dataclasses.dataclass(slots=True, eq=False)
class _PendingWrite:
    """A write that waits for its transaction."""

    put: Put
    result: Any = None
    done: trio.Event = dataclasses.field(default_factory=trio.Event)


class Claims:
    """Claims keys and records outcomes for one entry.

    Attributes:
        unrecorded_outcome_count: Number of outcomes not yet written to the table.
    """

    def __init__(self, platform: TableServiceClient, group_s: float, metrics: Metrics):
        """Creates the claims of one entry.

        Args:
            platform: Client of the platform, which stores the claims.
            group_s: How long writes are collected into one transaction, in seconds.
            metrics: Counts claims and retries.
        """
        self._platform = platform
        self._group_s = group_s
        self._metrics = metrics
        self._send, self._receive = trio.open_memory_channel[_PendingWrite](math.inf)
        self._nursery: trio.Nursery | None = None
        self.unrecorded_outcome_count = 0

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Writes claims in groups until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            try:
                await self._write_forever()
            finally:
                self._nursery = None

    async def _write_forever(self) -> None:
        deferred: list[_PendingWrite] = []
        while True:
            group = await self._collect(deferred)
            deferred = await self._write_group(group)

    async def acquire(
        self, customer: str, key: str, submission: str, expires_s: float
    ) -> Claim | Answer:
        """Claims a key, or returns the outcome of the request that claimed it.

        Args:
            customer: Owner of the key.
            key: The caller's idempotency key.
            submission: Id of this submission. When the row is read back, it shows
                whether a write of unknown outcome took effect.
            expires_s: Time on the entry's clock at which to stop trying.

        Returns:
            The claim if this submission may run. Otherwise the answer of the
            earlier submission, or an answer whose code says whether that one ran.
        """
        row_key = f"{customer}/{key}"
        claim = Claim(row_key, submission, 0)
        with trio.move_on_at(expires_s):
            return await self._acquire(claim)
        self._metrics.add("claims", "timed_out")
        self._nursery.start_soon(self._release_own_claim, claim)
        return await self._answer_after_timeout(claim)

    def record_outcome(self, claim: Claim, answer: Answer) -> None:
        """Starts to record the outcome of a claimed request in the background."""
        state = _ANSWERED
        if answer.execution_status is ExecutionStatus.NOT_RUN:
            # Nothing was started, so a new submission may claim the key.
            state = _RELEASED
        value = _row_value(claim.submission, state, answer)
        if self._nursery is None:
            # The entry has stopped; the claim remains without an outcome.
            return
        self.unrecorded_outcome_count += 1
        self._nursery.start_soon(self._record_in_background, claim, value)

    async def _acquire(self, claim: Claim) -> Claim | Answer:
        if_version = 0
        backoff_s = _MIN_BACKOFF_S
        may_have_been_written = False
        while True:
            value = _row_value(claim.submission, _RUNNING, None)
            written = await self._write(Put(CLAIMS_TABLE, claim.key, value, if_version))
            if isinstance(written, Success):
                self._metrics.add("claims", "granted")
                return dataclasses.replace(claim, version=written.unwrap())
            kind = written.failure().kind
            if kind is PlatformErrorKind.UNAVAILABLE:
                if may_have_been_written:
                    self._nursery.start_soon(self._release_own_claim, claim)
                return self._refuse(
                    f"idempotency key {claim.key!r} could not be claimed: the"
                    " platform's table is unavailable"
                )
            may_have_been_written = (
                may_have_been_written or kind is PlatformErrorKind.UNKNOWN_OUTCOME
            )
            if_version = 0
            match await self._platform.read(CLAIMS_TABLE, claim.key):
                case Success(row):
                    resolution = self._resolve_conflict(claim, row)
                    if isinstance(resolution, int):
                        if_version = resolution
                        continue
                    if resolution is not None:
                        return resolution
                case Failure(PlatformError(kind=kind)):
                    self._metrics.add("retries", f"claim_{kind.name.lower()}")
            await trio.sleep(backoff_s)
            backoff_s = min(2 * backoff_s, _MAX_BACKOFF_S)

    def _resolve_conflict(self, claim: Claim, row: Row) -> Claim | Answer | int | None:
        """Decides what to do about an existing row for the key.

        Returns:
            The claim if the row was written by this submission; the recorded
            answer; the version of a released row, which may be overwritten; or
            None if an earlier submission is running and the row must be read again.
        """
        state = row.value["state"]
        if row.value["submission"] == claim.submission and state == _RUNNING:
            # The write took effect; only its response was lost.
            self._metrics.add("claims", "granted_on_read_back")
            return dataclasses.replace(claim, version=row.version)
        if state == _RELEASED:
            return row.version
        if state == _ANSWERED:
            self._metrics.add("claims", "answered_before")
            return _recorded_answer(row.value)
        return None

    async def _answer_after_timeout(self, claim: Claim) -> Answer:
        match await self._platform.read(CLAIMS_TABLE, claim.key):
            case Success(Row(value=value)) if value["submission"] != claim.submission:
                if value["state"] == _ANSWERED:
                    return _recorded_answer(value)
                detail = (
                    f"an earlier submission with idempotency key {claim.key!r} has no"
                    " answer yet"
                )
                return Answer(Code.CLAIMED_ELSEWHERE, detail)
            case Success(_) | Failure(PlatformError(kind=PlatformErrorKind.NOT_FOUND)):
                return self._refuse(
                    f"idempotency key {claim.key!r} was not claimed before the deadline"
                )
        # It is unknown whether an earlier submission has claimed the key.
        detail = (
            f"the claim of idempotency key {claim.key!r} could not be read from the"
            " platform's table"
        )
        return Answer(Code.CLAIM_IN_DOUBT, detail)

    def _refuse(self, detail: str) -> Answer:
        self._metrics.add("claims", "refused")
        return Answer(Code.CLAIM_UNAVAILABLE, detail, retry_after_s=1.0)

    async def _record_in_background(self, claim: Claim, value: dict) -> None:
        try:
            await self._record(claim, value)
        finally:
            self.unrecorded_outcome_count -= 1

    async def _record(self, claim: Claim, value: dict) -> None:
        with trio.move_on_after(_BACKGROUND_TIMEOUT_S):
            while True:
                put = Put(CLAIMS_TABLE, claim.key, value, claim.version)
                written = await self._write(put)
                if isinstance(written, Success):
                    return
                if written.failure().kind is PlatformErrorKind.CONFLICT:
                    # An earlier attempt took effect although its response was lost.
                    return
                self._metrics.add("retries", "claim_record")
                await trio.sleep(_MAX_BACKOFF_S)
        log_event("claim_not_recorded", "WARNING", key=claim.key)

    async def _release_own_claim(self, claim: Claim) -> None:
        """Releases a key if this submission has claimed it; its job does not run."""
        with trio.move_on_after(_BACKGROUND_TIMEOUT_S):
            while True:
                match await self._platform.read(CLAIMS_TABLE, claim.key):
                    case Success(Row(value=value, version=version)):
                        is_own = value["submission"] == claim.submission
                        if not is_own or value["state"] != _RUNNING:
                            return
                        own_claim = dataclasses.replace(claim, version=version)
                        answer = Answer(Code.CLAIM_UNAVAILABLE)
                        released = _row_value(claim.submission, _RELEASED, answer)
                        await self._record(own_claim, released)
                        return
                await trio.sleep(_MAX_BACKOFF_S)

    # Writes in groups.

    async def _write(self, put: Put):
        pending = _PendingWrite(put)
        self._send.send_nowait(pending)
        await pending.done.wait()
        return pending.result

    async def _collect(self, deferred: list[_PendingWrite]) -> list[_PendingWrite]:
        """Returns the writes of the next transaction, deferred ones first.

        Without deferred writes it waits for one, and group_s for others to join it.
        """
        group = list(deferred)
        if not group:
            group.append(await self._receive.receive())
            await trio.sleep(self._group_s)
        while len(group) < _MAX_GROUP_WRITES:
            try:
                group.append(self._receive.receive_nowait())
            except trio.WouldBlock:
                break
        return group

    async def _write_group(self, group: list[_PendingWrite]) -> list[_PendingWrite]:
        """Writes a group in a transaction; returns the writes left for the next one."""
        current, deferred = _split_by_key(group)
        result = await self._platform.write([pending.put for pending in current])
        self._metrics.add("claim_transactions")
        match result:
            case Success(versions):
                for pending, version in zip(current, versions, strict=True):
                    _finish(pending, Success(version))
            case Failure(PlatformError(kind=PlatformErrorKind.CONFLICT) as error):
                for index, pending in enumerate(current):
                    if index in error.conflicts:
                        _finish(pending, Failure(error))
                    else:
                        deferred.append(pending)
            case Failure(error):
                for pending in current:
                    _finish(pending, Failure(error))
        return deferred


def _split_by_key(
    group: list[_PendingWrite],
) -> tuple[list[_PendingWrite], list[_PendingWrite]]:
    """Splits off further writes of the same row for a later transaction."""
    current: dict[str, _PendingWrite] = {}
    deferred: list[_PendingWrite] = []
    for pending in group:
        if pending.put.key in current:
            deferred.append(pending)
        else:
            current[pending.put.key] = pending
    return list(current.values()), deferred


def _finish(pending: _PendingWrite, result) -> None:
    pending.result = result
    pending.done.set()


def _row_value(submission: str, state: str, answer: Answer | None) -> dict:
    value: dict[str, Any] = {"submission": submission, "state": state}
    if answer is not None:
        value["code"] = int(answer.code)
        value["detail"] = answer.detail
        value["results"] = answer.results
    return value


def _recorded_answer(value: dict) -> Answer:
    return Answer(Code(value["code"]), value["detail"], value["results"])
