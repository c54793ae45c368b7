"""Runs an entry or an agent with its listeners, from start to shutdown."""

import dataclasses
import signal
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import trio

from gooseberrylink.agent import Agent
from gooseberrylink.backends.announcements import Announcements
from gooseberrylink.backends.http_client import HttpBackendServer
from gooseberrylink.callers.api import CallersApi
from gooseberrylink.config import AgentSettings, EntrySettings
from gooseberrylink.counters import Counters
from gooseberrylink.entry import Entry
from gooseberrylink.http_server import serve_http
from gooseberrylink.logs import log_event
from gooseberrylink.operators.source import ConfigurationSource
from gooseberrylink.peers.grpc_link import GrpcDialer, GrpcListener, GrpcThread
from gooseberrylink.platform.client import HttpPlatform

_WRITE_OUT_S = 5.0


@dataclasses.dataclass(slots=True, frozen=True)
class EntryParts:
    """What differs between the interfaces that an entry can have.

    Attributes:
        make_app: Makes the ASGI application that callers reach.
        source: Where configurations come from; None for the platform's table.
        beside: What else runs beside the entry until it stops.
    """

    make_app: Callable[[Entry], Any] = lambda entry: CallersApi(entry).app
    source: ConfigurationSource | None = None
    beside: Callable[[Entry], Awaitable[None]] | None = None


class EntryDaemon:
    """An entry with its HTTP and gRPC listeners.

    Attributes:
        address: Where callers connect, once started.
    """

    def __init__(
        self,
        settings: EntrySettings,
        thread: GrpcThread,
        parts: EntryParts = EntryParts(),
        counters: Counters | None = None,
    ):
        self._settings = settings
        self._parts = parts
        self._listener = GrpcListener(thread)
        counters = counters or Counters("entry", settings.entry)
        platform = HttpPlatform(settings.platform, counters)
        self.entry = Entry(settings, platform, counters, source=parts.source)
        self.address = ""
        self._stop = trio.Event()
        self._stopped = trio.Event()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serves until shut down or cancelled."""
        settings = self._settings
        await self._listener.start(settings.listen_agents)
        self.entry.address = self._listener.address
        async with trio.open_nursery() as nursery:
            await nursery.start(self.entry.run)
            nursery.start_soon(self._accept_links)
            if self._parts.beside is not None:
                nursery.start_soon(self._parts.beside, self.entry)
            self.address = await nursery.start(self._serve_callers)
            log_event(
                "entry_started",
                entry=settings.entry,
                callers=self.address,
                agents=self._listener.address,
                platform=settings.platform,
                policy=settings.policy,
                config_version=self.entry.configuration.version,
            )
            task_status.started()
            await self._stopped.wait()
            nursery.cancel_scope.cancel()
        await self._listener.stop()
        log_event("entry_stopped", entry=settings.entry)

    async def shut_down(self) -> None:
        """Stops without cutting off a job; may be cancelled to hurry."""
        self.entry.is_leaving = True
        log_event("entry_draining", jobs=len(self.entry.dispatcher.jobs))
        try:
            await trio.sleep(self._settings.drain_notice_s)
            is_clean = await self.entry.drain()
            log_event("entry_drained", is_clean=is_clean)
        finally:
            self._stop.set()

    async def _serve_callers(self, task_status) -> None:
        """Serves callers until told to stop and the last answer is written."""
        app = self._parts.make_app(self.entry)
        settings = self._settings
        await serve_http(
            app, settings.listen, self._stop.wait, _WRITE_OUT_S, task_status
        )
        self._stopped.set()

    async def _accept_links(self) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                link = await self._listener.accept()
                nursery.start_soon(self.entry.serve_link, link)


class AgentDaemon:
    """An agent with its HTTP listener for the backend server.

    Attributes:
        address: Where the backend server announces itself, once started.
    """

    def __init__(self, settings: AgentSettings, thread: GrpcThread):
        self._settings = settings
        self.agent = Agent(settings, GrpcDialer(thread))
        self.address = ""
        self._stop = trio.Event()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serves until shut down or cancelled."""
        settings = self._settings
        announcements = Announcements(
            self.agent, lambda found: HttpBackendServer(found, settings.run_timeout_s)
        )
        async with trio.open_nursery() as nursery:
            await nursery.start(self.agent.run)
            nursery.start_soon(announcements.run)
            self.address = await nursery.start(
                serve_http, announcements.app, settings.listen, self._stop.wait
            )
            log_event(
                "agent_started",
                worker=settings.worker,
                backend=self.address,
                entries=",".join(settings.entries),
                incarnation=self.agent.incarnation,
            )
            task_status.started()
            await self._stop.wait()
            nursery.cancel_scope.cancel()
        log_event("agent_stopped", worker=settings.worker)

    async def shut_down(self) -> None:
        """Stops without cutting off a task; may be cancelled to hurry."""
        log_event("agent_draining", worker=self._settings.worker)
        try:
            is_clean = await self.agent.drain(self._settings.drain_s)
            log_event("agent_drained", is_clean=is_clean)
        finally:
            self._stop.set()


class Daemon(Protocol):
    """A process with listeners."""

    async def run(self, task_status) -> None:
        """Serves until shut down or cancelled."""

    async def shut_down(self) -> None:
        """Stops without cutting off work in progress."""


async def run_until_signal(daemon: Daemon) -> None:
    """Runs a daemon; SIGTERM or SIGINT drains it, a second one hurries."""
    async with trio.open_nursery() as nursery:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            await nursery.start(daemon.run)
            await anext(signals)
            with trio.CancelScope() as scope:
                async with trio.open_nursery() as drain_nursery:
                    drain_nursery.start_soon(_cancel_on_signal, signals, scope)
                    await daemon.shut_down()
                    drain_nursery.cancel_scope.cancel()


async def _cancel_on_signal(signals, scope: trio.CancelScope) -> None:
    await anext(signals)
    log_event("shutdown_hurried", "WARNING")
    scope.cancel()


def run_entry(settings: EntrySettings) -> None:
    """Runs an entry as the main job of this process."""
    trio.run(_run_daemon, EntryDaemon, settings)


def run_agent(settings: AgentSettings) -> None:
    """Runs an agent as the main job of this process."""
    trio.run(_run_daemon, AgentDaemon, settings)


async def _run_daemon(make_daemon, settings) -> None:
    thread = GrpcThread()
    try:
        await run_until_signal(make_daemon(settings, thread))
    finally:
        thread.stop()
