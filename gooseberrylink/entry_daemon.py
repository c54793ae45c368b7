"""Runs an entry with its listeners, from start to shutdown."""

import dataclasses
from collections.abc import Awaitable, Callable

import trio

from gooseberrylink.asgi import App
from gooseberrylink.entry import Entry
from gooseberrylink.http_server import serve_http
from gooseberrylink.learned_store import LearnedEstimatesKeeper
from gooseberrylink.logs import log_event
from gooseberrylink.metrics import Metrics
from gooseberrylink.operators.configuration_source import ConfigurationSource
from gooseberrylink.peers.link import Listener
from gooseberrylink.platform.table_service import HttpTableServiceClient
from gooseberrylink.settings import EntrySettings
from gooseberrylink.shutdown import run_until_signal
from gooseberrylink.store import RowStore

_HTTP_GRACE_S = 5.0


def _make_callers_app(entry: Entry) -> App:
    # The framework is slow to import, and entries with another API do not need it.
    from gooseberrylink.callers.api import CallersApi

    return CallersApi(entry).app


@dataclasses.dataclass(slots=True, frozen=True)
class EntryComponents:
    """Parts that depend on an entry's API and on the source of its configuration.

    Attributes:
        make_app: Builds the ASGI application for callers.
        configuration_source: Where configurations come from; None for the platform's
            table.
        background_task: Runs alongside the entry until the entry stops.
        row_store: The platform's table store; None if there is none.
    """

    make_app: Callable[[Entry], App] = _make_callers_app
    configuration_source: ConfigurationSource | None = None
    background_task: Callable[[Entry], Awaitable[None]] | None = None
    row_store: RowStore | None = None


class EntryDaemon:
    """An entry with its listeners for callers and for agents.

    Attributes:
        callers_address: host:port at which callers connect; "" before the start.
    """

    def __init__(
        self,
        settings: EntrySettings,
        listener: Listener,
        components: EntryComponents = EntryComponents(),
        metrics: Metrics | None = None,
    ):
        self._settings = settings
        self._components = components
        self._listener = listener
        metrics = metrics or Metrics("entry", settings.entry)
        platform = HttpTableServiceClient(settings.platform, metrics)
        self.entry = Entry(
            settings, platform, metrics, source=components.configuration_source
        )
        self.callers_address = ""
        self._stop_requested = trio.Event()
        self._callers_server_stopped = trio.Event()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serves until shut down or cancelled."""
        settings = self._settings
        await self._listener.start(settings.listen_agents)
        self.entry.address_for_agents = self._listener.address
        async with trio.open_nursery() as nursery:
            await nursery.start(self.entry.run)
            nursery.start_soon(self._accept_links)
            if settings.learned_interval_s:
                nursery.start_soon(self._keep_learned_estimates)
            if self._components.background_task is not None:
                nursery.start_soon(self._components.background_task, self.entry)
            self.callers_address = await nursery.start(self._serve_callers)
            log_event(
                "entry_started",
                entry=settings.entry,
                callers_address=self.callers_address,
                agents_address=self._listener.address,
                platform=settings.platform,
                policy=settings.policy,
                config_version=self.entry.configuration.version,
            )
            task_status.started()
            await self._callers_server_stopped.wait()
            nursery.cancel_scope.cancel()
        await self._listener.stop()
        log_event("entry_stopped", entry=settings.entry)

    async def shut_down(self) -> None:
        """Drains and stops the entry; if cancelled, stops without waiting for jobs."""
        self.entry.reports_not_ready = True
        log_event("entry_draining", jobs=len(self.entry.dispatcher.jobs))
        try:
            await trio.sleep(self._settings.drain_notice_s)
            is_clean = await self.entry.drain()
            log_event("entry_drained", is_clean=is_clean)
        finally:
            self._stop_requested.set()

    async def _serve_callers(self, task_status) -> None:
        """Serves callers until a stop is requested; finishes requests in progress."""
        app = self._components.make_app(self.entry)
        settings = self._settings
        await serve_http(
            app, settings.listen, self._stop_requested.wait, _HTTP_GRACE_S, task_status
        )
        self._callers_server_stopped.set()

    async def _keep_learned_estimates(self) -> None:
        store, entry = self._components.row_store, self.entry
        if store is None:
            log_event("learned_estimates_not_kept", "WARNING", reason="no_table_store")
            return
        keeper = LearnedEstimatesKeeper(
            store,
            self._settings,
            entry.dispatcher.run_times,
            entry.metrics,
            entry.random,
        )
        await keeper.run(lambda: 1 + len(entry.other_entries()))

    async def _accept_links(self) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                link = await self._listener.accept()
                nursery.start_soon(self.entry.serve_link, link)


async def run_entry(settings: EntrySettings) -> None:
    """Runs an entry in this process until a signal stops it."""
    # gRPC is slow to import, and entries with other links do not need it.
    from gooseberrylink.peers.grpc_link import GrpcListener, GrpcThread

    thread = GrpcThread()
    try:
        await run_until_signal(EntryDaemon(settings, GrpcListener(thread)))
    finally:
        thread.stop()
