"""Builds and runs an entry from the platform's settings file."""

import pathlib

import trio

from gooseberrylink.asgi import App, PlainRequest, PlainResponse, make_plain_app
from gooseberrylink.entry import Entry
from gooseberrylink.entry_daemon import EntryComponents, EntryDaemon
from gooseberrylink.entry_discovery import register_entry
from gooseberrylink.http_server import serve_http
from gooseberrylink.metrics import Metrics
from gooseberrylink.peers.tcp_link import TcpListener
from gooseberrylink.platform.common import (
    MAX_IGNORED_BODY_BYTES,
    MAX_LATE_START_S,
    RERUN_AFTER_SILENCE_S,
    RESPONSE_FLUSH_S,
    link_settings,
    log_settings_changes,
    serve_metrics,
    wait_forever,
)
from gooseberrylink.platform.desired_state import ChangeFeedSource
from gooseberrylink.platform.job_api import JobApi
from gooseberrylink.platform.settings import Settings
from gooseberrylink.platform.store import PlatformStore
from gooseberrylink.settings import EntrySettings

# How long the load balancer may take to notice that an entry is not ready.
_BALANCER_NOTICE_S = 2.3
# How long after its start an entry accepts jobs although no agent is connected. Agents
# wait for a heartbeat of their backend server before they take tasks, and heartbeats
# come every 1.5 s.
_STARTUP_GRACE_S = 1.5
# Time without a job in progress after which an entry that shuts down refuses new jobs.
# It is long enough for a caller to send its next job over a connection that it kept
# open.
_DRAIN_QUIET_S = 0.4
# Calls to the store are priced: half a call a second for all entries, and a row is
# seldom older than half a minute.
_LEARNED_INTERVAL_S = 4.0


class EntryProgram:
    """The entry on an entry host; see Daemon."""

    def __init__(self, settings: Settings, path: pathlib.Path):
        self._settings = settings
        self._path = path
        metrics = Metrics("entry", settings.node)
        self._store = PlatformStore(settings.platform.address, metrics)
        source = ChangeFeedSource(self._store, settings.zones, metrics)
        components = EntryComponents(
            lambda entry: JobApi(entry).app,
            source,
            self._run_background_tasks,
            self._store,
        )
        self._daemon = EntryDaemon(
            _entry_settings(settings), TcpListener(), components, metrics
        )

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """See Daemon."""
        await self._daemon.run(task_status=task_status)

    async def shut_down(self) -> None:
        """See Daemon."""
        await self._daemon.shut_down()

    async def _run_background_tasks(self, entry: Entry) -> None:
        settings = self._settings
        async with trio.open_nursery() as nursery:
            readiness = _readiness_app(entry)
            nursery.start_soon(
                serve_http, readiness, settings.bind_addresses.readiness, wait_forever
            )
            nursery.start_soon(serve_metrics, settings, entry.metrics)
            nursery.start_soon(
                register_entry,
                self._store,
                settings.node,
                entry.address_for_agents,
                entry.metrics,
            )
            nursery.start_soon(log_settings_changes, self._path, settings)


def _readiness_app(entry: Entry) -> App:
    def ready(request: PlainRequest) -> PlainResponse:
        if request.path != "/ready":
            return PlainResponse(404)
        return PlainResponse(200 if entry.is_ready else 503)

    return make_plain_app(ready, MAX_IGNORED_BODY_BYTES)


def _entry_settings(settings: Settings) -> EntrySettings:
    grace_s = settings.bounds.grace_s
    return EntrySettings(
        entry=settings.node,
        data_centre=settings.zone,
        listen=settings.bind_addresses.front,
        listen_agents=f"{settings.ip}:{settings.link_port}",
        entries=settings.seed_link_addresses,
        # Required, but no request is sent to it: jobs of JobApi need no claims, and the
        # configuration is read from the table store.
        platform=settings.platform.address,
        drain_notice_s=_BALANCER_NOTICE_S,
        drain_s=grace_s - _BALANCER_NOTICE_S - RESPONSE_FLUSH_S,
        drain_quiet_s=_DRAIN_QUIET_S,
        agents_back_s=_STARTUP_GRACE_S,
        policy="completion-time",
        remote_factor=settings.bounds.remote_factor,
        rerun_after_silence_s=RERUN_AFTER_SILENCE_S,
        max_late_start_s=MAX_LATE_START_S,
        learned_interval_s=_LEARNED_INTERVAL_S,
        awaits_evacuations=True,
        **link_settings(),
    )
