"""Tracks the incarnations of an agent's backend server."""

import collections
import dataclasses
from collections.abc import Callable
from typing import Protocol

from gooseberrylink.agent import Agent
from gooseberrylink.backends.client import Announcement
from gooseberrylink.backends.leased import LeasedBackendClient
from gooseberrylink.logs import log_event

_MAX_EARLIER_INCARNATIONS = 16


class AnnouncementReceiver(Protocol):
    """Receives the heartbeats of backend servers."""

    def handle_announcement(
        self, announcement: Announcement, sequence: int, is_draining: bool
    ) -> None:
        """Handles a heartbeat.

        The capacity of an incarnation may change from one heartbeat to the next.

        Args:
            announcement: The announcement in the heartbeat.
            sequence: Number of the heartbeat, which increases within an incarnation.
            is_draining: Whether the backend server accepts no new tasks.
        """

    def handle_deregistration(self, incarnation: str) -> None:
        """Handles the deregistration of a backend server that shuts down."""


@dataclasses.dataclass(slots=True)
class _CurrentIncarnation:
    """The newest incarnation.

    Attributes:
        backend: Client of this incarnation.
        sequence: Number of its last heartbeat.
        is_draining: Whether it accepts no new tasks.
        has_left: Whether it has deregistered, so that it ends.
    """

    announcement: Announcement
    backend: LeasedBackendClient
    sequence: int
    is_draining: bool = False
    has_left: bool = False


class IncarnationTracker:
    """Attaches the newest incarnation to the agent; see AnnouncementReceiver.

    A backend server that restarts after its clock was set back has a lower start time
    than before. The start time in its replies shows that it is the newest incarnation.
    """

    def __init__(
        self,
        agent: Agent,
        make_backend_client: Callable[[Announcement], LeasedBackendClient],
    ):
        self._agent = agent
        self._make_backend_client = make_backend_client
        self._current: _CurrentIncarnation | None = None
        self._earlier: collections.deque[tuple[str, int]] = collections.deque(
            maxlen=_MAX_EARLIER_INCARNATIONS
        )
        # Clients that were replaced while they had runs.
        self._replaced: dict[tuple[str, int], LeasedBackendClient] = {}

    @property
    def newest_announcement(self) -> Announcement | None:
        """Announcement of the newest incarnation; None if there is none."""
        return self._current.announcement if self._current else None

    @property
    def is_draining(self) -> bool:
        """Whether the newest incarnation accepts no new tasks."""
        return self._current is not None and self._current.is_draining

    def handle_announcement(
        self, announcement: Announcement, sequence: int, is_draining: bool
    ) -> None:
        """See AnnouncementReceiver."""
        current = self._current
        if current is None or self._is_newer(announcement, current):
            if current is not None and _is_restart(announcement, current.announcement):
                self._handle_restart(current, announcement, sequence, is_draining)
            elif not is_draining:
                self._replace(announcement, sequence)
            return
        if _identity(announcement) != _identity(current.announcement):
            self._agent.metrics.add("heartbeats_stale", "older_incarnation")
            return
        if sequence <= current.sequence:
            self._agent.metrics.add("heartbeats_stale", "older_sequence")
            return
        current.sequence = sequence
        if is_draining:
            self._detach(current, "draining")
        self._update_capacity(current, announcement)

    def handle_deregistration(self, incarnation: str) -> None:
        """See AnnouncementReceiver."""
        current = self._current
        if current is not None and current.announcement.incarnation == incarnation:
            current.has_left = True
            self._detach(current, "left")

    def _is_newer(
        self, announcement: Announcement, current: _CurrentIncarnation
    ) -> bool:
        known = current.announcement
        if _identity(announcement) == _identity(known):
            return False
        if current.backend.is_lost:
            # Another incarnation refused its requests. If this heartbeat is late, its
            # client will be refused as well, before it can start a task.
            return True
        if announcement.born_ms == current.backend.confirmed_born_ms:
            # It replied after the known one had announced itself.
            return True
        if _identity(announcement) in self._earlier:
            return False
        if current.has_left:
            return True
        # Equal or unknown start times give no order; the last to announce itself is
        # taken as the newer one.
        return announcement.born_ms >= known.born_ms

    def _handle_restart(
        self,
        current: _CurrentIncarnation,
        announcement: Announcement,
        sequence: int,
        is_draining: bool,
    ) -> None:
        """Handles a restart of the backend server under the same id and address.

        The present client's requests also reach the new incarnation, so its runs may
        be running there. The client detects the restart by itself and finds out which
        of them are. Therefore it is kept, and only replaced if it was closed and all
        of its runs have ended.
        """
        if not current.backend.is_closed:
            self._update_current(current, announcement, sequence, is_draining)
        elif current.backend.has_runs:
            # The next heartbeat finds the runs ended.
            log_event(
                "backend_restart_pending",
                incarnation=announcement.incarnation,
                born_ms=announcement.born_ms,
            )
        elif not is_draining:
            self._replace(announcement, sequence)

    def _update_current(
        self,
        current: _CurrentIncarnation,
        announcement: Announcement,
        sequence: int,
        is_draining: bool,
    ) -> None:
        self._record_earlier(current.announcement)
        current.announcement, current.sequence = announcement, sequence
        current.backend.reconfirm_incarnation(announcement.born_ms)
        log_event(
            "backend_reannounced",
            incarnation=announcement.incarnation,
            born_ms=announcement.born_ms,
            slots=announcement.slots,
        )
        if is_draining:
            self._detach(current, "draining")
        else:
            self._agent.update_announcement(announcement)

    def _update_capacity(
        self, current: _CurrentIncarnation, announcement: Announcement
    ) -> None:
        """Applies the capacity in a later heartbeat of the current incarnation."""
        known = current.announcement
        updated = dataclasses.replace(
            known,
            slots=announcement.slots,
            memory_mb=announcement.memory_mb,
            gpus=announcement.gpus,
            task_units=announcement.task_units,
        )
        if updated == known:
            return
        current.announcement = updated
        log_event(
            "backend_capacity_changed",
            incarnation=updated.incarnation,
            slots=updated.slots,
            memory_mb=updated.memory_mb,
            gpus=updated.gpus,
            previous_slots=known.slots,
            previous_memory_mb=known.memory_mb,
            previous_gpus=known.gpus,
        )
        self._agent.update_announcement(updated)

    def _replace(self, announcement: Announcement, sequence: int) -> None:
        current = self._current
        if self._has_unended_runs(_identity(announcement)):
            # A late heartbeat had replaced it. Another client would stop these runs;
            # the next heartbeat finds them ended.
            return
        if current is not None:
            self._record_earlier(current.announcement)
            self._agent.detach_backend("replaced")
            self._end_runs_if_proven(current, announcement)
        backend = self._make_backend_client(announcement)
        self._current = _CurrentIncarnation(announcement, backend, sequence)
        log_event(
            "backend_announced",
            incarnation=announcement.incarnation,
            born_ms=announcement.born_ms,
            slots=announcement.slots,
            hardware=announcement.hardware,
            rack=announcement.rack,
        )
        self._agent.attach_backend(backend, announcement)

    def _has_unended_runs(self, identity: tuple[str, int]) -> bool:
        self._replaced = {
            replaced: backend
            for replaced, backend in self._replaced.items()
            if backend.has_runs and not backend.is_lost
        }
        return identity in self._replaced

    def _end_runs_if_proven(
        self, current: _CurrentIncarnation, newer: Announcement
    ) -> None:
        """Marks the runs of a replaced incarnation as lost if they have ended.

        A heartbeat from its address under another id may be late, and older than it.
        If it is not, the process at this address refuses the next request about the
        runs.
        """
        known = current.announcement
        if newer.incarnation == known.incarnation:
            # An id is used again only by a process that was restarted.
            current.backend.mark_lost("replaced")
        elif newer.address == known.address and not current.backend.has_runs:
            current.backend.mark_lost("replaced")
        else:
            self._replaced[_identity(known)] = current.backend

    def _record_earlier(self, announcement: Announcement) -> None:
        if announcement.born_ms:
            self._earlier.append(_identity(announcement))

    def _detach(self, current: _CurrentIncarnation, reason: str) -> None:
        if not current.is_draining:
            current.is_draining = True
            current.backend.expect_end()
            self._agent.detach_backend(reason)


def _identity(announcement: Announcement) -> tuple[str, int]:
    return announcement.incarnation, announcement.born_ms


def _is_restart(announcement: Announcement, known: Announcement) -> bool:
    """Returns whether two incarnations have the same id and address."""
    return (announcement.incarnation, announcement.address) == (
        known.incarnation,
        known.address,
    )
