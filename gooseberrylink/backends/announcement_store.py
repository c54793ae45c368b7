"""Keeps the last announcement of the backend server in the platform's store.

A backend server announces itself about every 1.5 s. An agent that restarts while
its backend server continues would have no resources to offer until the next
announcement, so it restores the last one.
"""

from collections.abc import Callable

import msgspec
import trio

from gooseberrylink.backends.client import Announcement
from gooseberrylink.backends.fencing import FencingToken
from gooseberrylink.backends.incarnations import IncarnationTracker
from gooseberrylink.backends.runs import (
    ControlReply,
    LeaseRenewal,
    RunClient,
    RunReport,
)
from gooseberrylink.exceptions import MalformedAnnouncementError
from gooseberrylink.logs import log_event
from gooseberrylink.metrics import Metrics
from gooseberrylink.store import RowStore, StoredRow, StoreErrorKind, put_with_retry

_TABLE = "gooseberrylink-backends"
# Lower than the sequence number of any heartbeat.
_RESTORED_SEQUENCE = -1
# Enough for a clock that was set back by several hours.
_MAX_FENCED_REQUESTS = 10
# Requests without a reply are repeated until the next announcement is due.
_MAX_SILENCE_S = 1.5
_RETRY_PAUSE_S = 0.1


class _StoredAnnouncement(msgspec.Struct):
    """A row of the table.

    Attributes:
        announcement: The last announcement.
        is_leaving: Whether the backend server is draining. The name is a key of the
            stored row.
    """

    announcement: Announcement
    is_leaving: bool


_decode = msgspec.json.Decoder(_StoredAnnouncement).decode


class AnnouncementStore:
    """Stores and restores the announcement of the newest incarnation.

    It is an AnnouncementReceiver that passes everything on to the tracker of
    incarnations.
    """

    def __init__(
        self,
        incarnations: IncarnationTracker,
        store: RowStore,
        worker: str,
        metrics: Metrics,
    ):
        self._incarnations = incarnations
        self._store = store
        self._worker = worker
        self._metrics = metrics
        self._row_value = b""
        self._changed = trio.Event()

    def handle_announcement(
        self, announcement: Announcement, sequence: int, is_draining: bool
    ) -> None:
        """See AnnouncementReceiver."""
        self._incarnations.handle_announcement(announcement, sequence, is_draining)
        self._save_if_changed()

    def handle_deregistration(self, incarnation: str) -> None:
        """See AnnouncementReceiver."""
        self._incarnations.handle_deregistration(incarnation)
        self._save_if_changed()

    async def run(self) -> None:
        """Writes the newest announcement whenever it changes, until cancelled."""
        while True:
            await self._changed.wait()
            self._changed = trio.Event()
            await put_with_retry(
                self._store, _TABLE, self._worker, self._row_value, self._metrics
            )

    async def restore(
        self, make_run_client: Callable[[Announcement], RunClient], fencing_token: int
    ) -> None:
        """Uses the stored announcement if its incarnation is still running.

        Args:
            make_run_client: Makes the client of the backend server.
            fencing_token: Fencing token for the request to the backend server.
        """
        reason = await self._try_restore(make_run_client, fencing_token)
        if reason is not None:
            log_event("backend_not_restored", reason=reason)

    async def _try_restore(
        self, make_run_client: Callable[[Announcement], RunClient], fencing_token: int
    ) -> str | None:
        """See restore; returns the reason if nothing was restored."""
        row = await self._store.read_row(_TABLE, self._worker)
        if isinstance(row, StoreErrorKind):
            self._metrics.add("store_reads_failed", row.value)
            return row.value
        stored = _decode_row(row)
        if stored is None:
            return "not_stored"
        if stored.is_leaving:
            return "leaving"
        announcement = stored.announcement
        report = await self._request_report(
            make_run_client(announcement), fencing_token
        )
        if not isinstance(report, RunReport):
            return report.value
        if report.born_ms != announcement.born_ms:
            return "other_incarnation"
        if self._incarnations.newest_announcement is not None:
            return "announced_meanwhile"
        log_event("backend_restored", incarnation=announcement.incarnation)
        self._incarnations.handle_announcement(
            announcement, _RESTORED_SEQUENCE, is_draining=False
        )
        return None

    async def _request_report(
        self, client: RunClient, fencing_token: int
    ) -> RunReport | ControlReply:
        """Requests the state of the runs.

        The request is repeated with a higher token if it was fenced, and while it
        gets no reply.
        """
        token = FencingToken(fencing_token)
        fenced_requests = 0
        give_up_s = trio.current_time() + _MAX_SILENCE_S
        while True:
            report = await client.renew(LeaseRenewal(token.value, 0, None, 0.0))
            if report is ControlReply.FENCED:
                fenced_requests += 1
                if fenced_requests == _MAX_FENCED_REQUESTS:
                    return report
                token.increase()
            elif report is ControlReply.UNANSWERED:
                is_announced = self._incarnations.newest_announcement is not None
                if is_announced or trio.current_time() >= give_up_s:
                    return report
                await trio.sleep(_RETRY_PAUSE_S)
            else:
                return report

    def _save_if_changed(self) -> None:
        newest_announcement = self._incarnations.newest_announcement
        if newest_announcement is None:
            return
        stored = _StoredAnnouncement(
            newest_announcement, self._incarnations.is_draining
        )
        row_value = msgspec.json.encode(stored)
        if row_value != self._row_value:
            self._row_value = row_value
            self._changed.set()


def _decode_row(row: StoredRow | None) -> _StoredAnnouncement | None:
    if row is None or row.value is None:
        return None
    try:
        stored = _decode(row.value)
        stored.announcement.check()
        return stored
    except (msgspec.MsgspecError, MalformedAnnouncementError) as error:
        log_event("store_row_malformed", "WARNING", key=row.key, error=error)
        return None
