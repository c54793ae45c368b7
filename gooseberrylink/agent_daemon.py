"""Runs an agent with its listener for the backend server, until shutdown."""

import trio

from gooseberrylink.agent import Agent
from gooseberrylink.backends.announcement_api import AnnouncementApi
from gooseberrylink.backends.http_client import HttpBackendClient
from gooseberrylink.http_server import serve_http
from gooseberrylink.logs import log_event
from gooseberrylink.peers.grpc_link import GrpcDialer, GrpcThread
from gooseberrylink.peers.link import Dialer
from gooseberrylink.settings import AgentSettings
from gooseberrylink.shutdown import run_until_signal


class AgentDaemon:
    """An agent with its HTTP listener for the backend server.

    Attributes:
        address: host:port at which the backend server announces itself; "" before
            the start.
    """

    def __init__(self, settings: AgentSettings, dialer: Dialer):
        self._settings = settings
        self.agent = Agent(settings, dialer)
        self.address = ""
        self._stop_requested = trio.Event()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serves until shut down or cancelled."""
        settings = self._settings
        announcement_api = AnnouncementApi(
            self.agent,
            lambda announcement: HttpBackendClient(
                announcement, settings.run_timeout_s
            ),
        )
        async with trio.open_nursery() as nursery:
            await nursery.start(self.agent.run)
            nursery.start_soon(announcement_api.run)
            self.address = await nursery.start(
                serve_http,
                announcement_api.app,
                settings.listen,
                self._stop_requested.wait,
            )
            log_event(
                "agent_started",
                worker=settings.worker,
                listen=self.address,
                entries=",".join(settings.entries),
                incarnation=self.agent.incarnation,
            )
            task_status.started()
            await self._stop_requested.wait()
            nursery.cancel_scope.cancel()
        log_event("agent_stopped", worker=settings.worker)

    async def shut_down(self) -> None:
        """Drains and stops the agent; if cancelled, stops without waiting for tasks."""
        log_event("agent_draining", worker=self._settings.worker)
        try:
            is_clean = await self.agent.drain(self._settings.drain_s)
            log_event("agent_drained", is_clean=is_clean)
        finally:
            self._stop_requested.set()


async def run_agent(settings: AgentSettings) -> None:
    """Runs an agent in this process until a signal stops it."""
    thread = GrpcThread()
    try:
        await run_until_signal(AgentDaemon(settings, GrpcDialer(thread)))
    finally:
        thread.stop()
