"""Builds and runs an agent from the platform's settings file."""

import pathlib
import time

import trio

from gooseberrylink.agent import Agent
from gooseberrylink.backends.announcement_store import AnnouncementStore
from gooseberrylink.backends.client import Announcement
from gooseberrylink.backends.incarnations import IncarnationTracker
from gooseberrylink.backends.lease_settings import LEASE_S, LeaseSettings
from gooseberrylink.backends.leased import LeasedBackendClient
from gooseberrylink.entry_discovery import watch_entries
from gooseberrylink.http_server import serve_http
from gooseberrylink.logs import log_event
from gooseberrylink.peers.tcp_link import TcpDialer
from gooseberrylink.platform.common import (
    EARLIER_RUNS_END_S,
    MAX_LATE_START_S,
    MAX_RUN_AFTER_LEASE_S,
    RERUN_AFTER_AGENT_END_S,
    RESPONSE_FLUSH_S,
    link_settings,
    log_settings_changes,
    serve_metrics,
)
from gooseberrylink.platform.heartbeats import HeartbeatHandler
from gooseberrylink.platform.run_client import PlatformRunClient
from gooseberrylink.platform.settings import Settings
from gooseberrylink.platform.store import PlatformStore
from gooseberrylink.settings import AgentSettings

# Each link costs heartbeats at both ends and divides the worker's capacity further:
# with links to 8 of 11 entries, a share was smaller than one large task.
_MAX_ENTRIES = 4
# New backend servers on this platform are as reliable as others, so they get many
# tasks at once.
_SLOW_START_TASKS = 64
# Consecutive failed jobs after which a backend server gets one task at a time. Two
# tasks in a thousand fail, so one failed job says little about a backend server.
_FAILED_JOBS_BEFORE_THROTTLING = 2
# Time until the first probe of a quarantined backend server. A fault that makes a
# backend server fail all its tasks lasts about six seconds.
_PROBATION_S = 1.5


class AgentProgram:
    """The agent on a worker; see Daemon."""

    def __init__(self, settings: Settings, path: pathlib.Path):
        self._settings = settings
        self._path = path
        self._agent = Agent(_agent_settings(settings), TcpDialer())
        self._store = PlatformStore(settings.platform.address, self._agent.metrics)
        self._stop = trio.Event()
        self._started_s = trio.current_time()
        self._started_unix_ms = time.time_ns() // 1_000_000

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """See Daemon."""
        settings, agent = self._settings, self._agent
        announcement_store = AnnouncementStore(
            IncarnationTracker(agent, self._make_backend_client),
            self._store,
            settings.node,
            agent.metrics,
        )
        app = HeartbeatHandler(settings.service, announcement_store, agent.metrics).app
        async with trio.open_nursery() as nursery:
            await nursery.start(agent.run)
            nursery.start_soon(
                announcement_store.restore,
                self._make_run_client,
                self._make_fencing_token(),
            )
            nursery.start_soon(announcement_store.run)
            nursery.start_soon(watch_entries, self._store, agent)
            nursery.start_soon(serve_metrics, settings, agent.metrics)
            nursery.start_soon(log_settings_changes, self._path, settings)
            await nursery.start(
                serve_http, app, settings.bind_addresses.control, self._stop.wait
            )
            log_event(
                "agent_started",
                worker=settings.node,
                data_centre=settings.zone,
                incarnation=agent.incarnation,
            )
            task_status.started()
            await self._stop.wait()
            nursery.cancel_scope.cancel()
        log_event("agent_stopped", worker=settings.node)

    async def shut_down(self) -> None:
        """See Daemon."""
        log_event("agent_draining", worker=self._settings.node)
        try:
            is_clean = await self._agent.drain(self._agent.settings.drain_s)
            log_event("agent_drained", is_clean=is_clean)
        finally:
            self._stop.set()

    def _make_backend_client(self, announcement: Announcement) -> LeasedBackendClient:
        bounds = self._settings.bounds
        lease = LeaseSettings(
            lease_s=min(LEASE_S, bounds.hold_max_ms / 1000),
            max_stop_s=bounds.stop_ms / 1000,
        )
        client = self._make_run_client(announcement)
        agent = self._agent
        return LeasedBackendClient(
            client,
            self._make_fencing_token(),
            lease,
            agent.metrics,
            agent,
        )

    def _make_run_client(self, announcement: Announcement) -> PlatformRunClient:
        return PlatformRunClient(
            announcement.address, announcement.incarnation, self._agent.metrics
        )

    def _make_fencing_token(self) -> int:
        """Returns a fencing token that is higher for each later client of the agent.

        It is the Unix time in milliseconds, so no token has to be stored on a disk for
        the next incarnation of the agent. Within one, the clock may be set back.
        """
        elapsed_s = trio.current_time() - self._started_s
        return self._started_unix_ms + round(1000 * elapsed_s)


def _agent_settings(settings: Settings) -> AgentSettings:
    return AgentSettings(
        worker=settings.node,
        data_centre=settings.zone,
        entries=settings.seed_link_addresses,
        drain_s=settings.bounds.grace_s - RESPONSE_FLUSH_S,
        slow_start_tasks=_SLOW_START_TASKS,
        cautious_jobs=_FAILED_JOBS_BEFORE_THROTTLING,
        max_entries=_MAX_ENTRIES,
        probation_s=_PROBATION_S,
        dial_after_s=RERUN_AFTER_AGENT_END_S,
        earlier_runs_end_s=EARLIER_RUNS_END_S,
        max_run_after_lease_s=MAX_RUN_AFTER_LEASE_S,
        max_late_start_s=MAX_LATE_START_S,
        **link_settings(),
    )
