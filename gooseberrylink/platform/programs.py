"""Puts an entry and an agent together from the platform's settings file."""

import pathlib
import signal
import time

import trio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response
from starlette.routing import Route

from gooseberrylink.agent import Agent
from gooseberrylink.backends.incarnations import Incarnations
from gooseberrylink.backends.leased import (
    CLOCK_DRIFT,
    LEASE_S,
    LeasedBackend,
    LeaseSettings,
)
from gooseberrylink.backends.server import Announcement
from gooseberrylink.config import AgentSettings, EntrySettings
from gooseberrylink.counters import Counters
from gooseberrylink.daemon import EntryDaemon, EntryParts, run_until_signal
from gooseberrylink.directory import announce_entry, find_entries
from gooseberrylink.entry import Entry
from gooseberrylink.exceptions import ConfigError
from gooseberrylink.http_server import serve_http
from gooseberrylink.logs import configure_logs, log_event
from gooseberrylink.peers.grpc_link import GrpcDialer, GrpcThread
from gooseberrylink.platform.desired_state import FeedSource
from gooseberrylink.platform.front import Front
from gooseberrylink.platform.heartbeats import Heartbeats
from gooseberrylink.platform.settings import Settings, read_settings
from gooseberrylink.platform.store import PlatformStore
from gooseberrylink.platform.worker import PlatformWorker

# The port and path that deploy/system.toml names as `metrics`.
_METRICS_PORT = 9464
_METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
_RELOAD_TICK_S = 1.0
_BALANCER_NOTICE_S = 2.3
# Long enough for a client to come back on a channel that it kept open.
_DRAIN_QUIET_S = 0.4
# Kept of the grace time for writing out the last answers.
_WRITE_OUT_S = 0.7
# The next four bound how long a silent entry's tasks run on: a client sends a
# job again 1.3 s after its connection broke.
_ENTRY_LEASE_S = 0.6
_HEARTBEAT_S = 0.15
_IDLE_HEARTBEAT_S = 0.3
_HEARTBEAT_MISSES = 4
# New workers are as good as others here, and two tasks in a thousand fail.
_SLOW_START_TASKS = 64
_CAUTIOUS_JOBS = 2
# Workers that fail everything do so for about six seconds.
_PROBATION_S = 1.5


class EntryProgram:
    """The entry of an entry host; see Daemon."""

    def __init__(
        self,
        settings: Settings,
        path: pathlib.Path,
        thread: GrpcThread,
        started_s: float,
    ):
        self._settings = settings
        self._path = path
        self._store = PlatformStore(settings.platform.address)
        counters = Counters("entry", settings.node)
        source = FeedSource(self._store, settings.zones, counters)
        parts = EntryParts(lambda entry: Front(entry).app, source, self._run_beside)
        self._daemon = EntryDaemon(_entry_settings(settings), thread, parts, counters)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """See Daemon."""
        await self._daemon.run(task_status=task_status)

    async def shut_down(self) -> None:
        """See Daemon."""
        await self._daemon.shut_down()

    async def _run_beside(self, entry: Entry) -> None:
        settings = self._settings
        async with trio.open_nursery() as nursery:
            readiness = _readiness_app(entry)
            nursery.start_soon(
                serve_http, readiness, settings.bind_addresses.readiness, _never
            )
            nursery.start_soon(serve_metrics, settings, entry.counters)
            nursery.start_soon(
                announce_entry,
                self._store,
                settings.node,
                entry.address,
                entry.counters,
            )
            nursery.start_soon(watch_settings, self._path, settings)


class AgentProgram:
    """The agent of a worker's host; see Daemon."""

    def __init__(
        self,
        settings: Settings,
        path: pathlib.Path,
        thread: GrpcThread,
        started_s: float,
    ):
        self._settings = settings
        self._path = path
        self._store = PlatformStore(settings.platform.address)
        age_s = time.monotonic() - started_s
        agent_settings = _agent_settings(settings, age_s)
        self._agent = Agent(agent_settings, GrpcDialer(thread))
        self._stop = trio.Event()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """See Daemon."""
        settings, agent = self._settings, self._agent
        taker = Incarnations(agent, self._make_backend)
        app = Heartbeats(settings.service, taker, agent.counters).app
        async with trio.open_nursery() as nursery:
            await nursery.start(agent.run)
            nursery.start_soon(find_entries, self._store, agent)
            nursery.start_soon(serve_metrics, settings, agent.counters)
            nursery.start_soon(watch_settings, self._path, settings)
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

    def _make_backend(self, announcement: Announcement) -> LeasedBackend:
        bounds = self._settings.bounds
        lease = LeaseSettings(
            lease_s=min(LEASE_S, bounds.hold_max_ms / 1000),
            stop_s=bounds.stop_ms / 1000,
        )
        worker = PlatformWorker(announcement.address, announcement.incarnation)
        # Rises over incarnations of the agent, which has no disk.
        fence = time.time_ns() // 1_000_000
        agent = self._agent
        return LeasedBackend(
            worker, fence, lease, agent.counters, agent.backend_changed
        )


async def serve_metrics(settings: Settings, counters: Counters) -> None:
    """Serves the counters of a process until cancelled."""

    async def metrics(request: Request) -> Response:
        return Response(counters.exposition(), media_type=_METRICS_TYPE)

    app = Starlette(routes=[Route("/metrics", metrics)])
    await serve_http(app, f"{settings.ip}:{_METRICS_PORT}", _never)


async def watch_settings(path: pathlib.Path, settings: Settings) -> None:
    """Logs changes of the settings file, with or without SIGHUP, until cancelled.

    What a process took from the file at its start stays in force until its
    next start; only the log tells of a change.
    """
    with trio.open_signal_receiver(signal.SIGHUP) as signals:
        while True:
            with trio.move_on_after(_RELOAD_TICK_S):
                await anext(signals)
                log_event("settings_signal")
            try:
                current = read_settings(path)
            except ConfigError as error:
                log_event(
                    "settings_unreadable", "ERROR", faults="; ".join(error.faults)
                )
                continue
            if current != settings:
                log_event("settings_reloaded", fields=_changed(settings, current))
                settings = current


def _changed(old: Settings, new: Settings) -> str:
    names = [
        name
        for name in type(old).model_fields
        if getattr(old, name) != getattr(new, name)
    ]
    return ",".join(names)


def _readiness_app(entry: Entry) -> Starlette:
    async def ready(request: Request) -> Response:
        return PlainTextResponse("", 200 if entry.is_ready else 503)

    return Starlette(routes=[Route("/ready", ready)])


def _entry_settings(settings: Settings) -> EntrySettings:
    grace_s = settings.bounds.grace_s
    return EntrySettings(
        entry=settings.node,
        data_centre=settings.zone,
        listen=settings.bind_addresses.front,
        listen_agents=f"{settings.ip}:{settings.link_port}",
        entries=settings.seed_links,
        platform=settings.platform.address,
        drain_notice_s=_BALANCER_NOTICE_S,
        drain_s=grace_s - _BALANCER_NOTICE_S - _WRITE_OUT_S,
        drain_quiet_s=_DRAIN_QUIET_S,
        rerun_after_silence_s=_ENTRY_LEASE_S + 2 * LEASE_S,
        **_link_settings(),
    )


def _agent_settings(settings: Settings, age_s: float) -> AgentSettings:
    # A former incarnation's runs end with their lease, if not stopped before.
    leases_s = settings.bounds.hold_max_ms / 1000 * (1 + CLOCK_DRIFT)
    return AgentSettings(
        worker=settings.node,
        data_centre=settings.zone,
        entries=settings.seed_links,
        drain_s=settings.bounds.grace_s - _WRITE_OUT_S,
        slow_start_tasks=_SLOW_START_TASKS,
        cautious_jobs=_CAUTIOUS_JOBS,
        probation_s=_PROBATION_S,
        dial_after_s=max(0.0, leases_s - age_s),
        **_link_settings(),
    )


def _link_settings() -> dict[str, float | int]:
    return {
        "lease_s": _ENTRY_LEASE_S,
        "busy_heartbeat_s": _HEARTBEAT_S,
        "idle_heartbeat_s": _IDLE_HEARTBEAT_S,
        "max_misses": _HEARTBEAT_MISSES,
    }


async def _never() -> None:
    await trio.sleep_forever()


def run_program(
    make_program: type[EntryProgram] | type[AgentProgram],
    path: pathlib.Path,
    started_s: float,
) -> None:
    """Runs a program as the main job of this process.

    Args:
        make_program: The program.
        path: Its settings file.
        started_s: When the process started, on the monotonic clock.

    Raises:
        ConfigError: The settings file is not valid.
    """
    settings = read_settings(path)
    configure_logs()
    trio.run(_run, make_program, settings, path, started_s)


async def _run(
    make_program: type[EntryProgram] | type[AgentProgram],
    settings: Settings,
    path: pathlib.Path,
    started_s: float,
) -> None:
    thread = GrpcThread()
    try:
        await run_until_signal(make_program(settings, path, thread, started_s))
    finally:
        thread.stop()
