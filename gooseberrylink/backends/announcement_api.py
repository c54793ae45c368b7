"""Receives the announcements of the agent's backend server over HTTP."""

from collections.abc import Callable
from typing import Annotated

import pydantic
import trio
from pydantic import Field
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from gooseberrylink.agent import Agent
from gooseberrylink.backends.client import Announcement, BackendClient
from gooseberrylink.logs import log_event
from gooseberrylink.settings import Address, Name
from gooseberrylink.yaml_file import StrictModel

_METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
_CHECKS_PER_VALIDITY_PERIOD = 4


class AnnouncementModel(StrictModel):
    """Body of an announcement; see Announcement."""

    service: Name
    address: Address
    slots: Annotated[int, Field(ge=1, le=1024)]
    speed_hint: Annotated[float, Field(gt=0)] = 1.0


class AnnouncementApi:
    """HTTP interface through which one backend server announces itself.

    A backend server announces itself with PUT /v1/backend, repeats this well
    within announcement_valid_s, and deregisters with DELETE /v1/backend.

    Attributes:
        app: The ASGI application.
    """

    def __init__(
        self, agent: Agent, make_backend_client: Callable[[Announcement], BackendClient]
    ):
        self._agent = agent
        self._make_backend_client = make_backend_client
        self._current: Announcement | None = None
        self._renewed_s = 0.0
        self.app = Starlette(
            routes=[
                Route("/v1/backend", self._handle_put, methods=["PUT"]),
                Route("/v1/backend", self._handle_delete, methods=["DELETE"]),
                Route("/metrics", self._handle_metrics),
            ]
        )

    async def run(self) -> None:
        """Detaches a backend server that stops announcing itself."""
        valid_s = self._agent.settings.announcement_valid_s
        interval_s = valid_s / _CHECKS_PER_VALIDITY_PERIOD
        while True:
            check_s = trio.current_time() + interval_s
            await trio.sleep_until(check_s)
            now_s = trio.current_time()
            if now_s - check_s > interval_s:
                # The process was suspended. A renewal may be waiting in the socket.
                log_event("announcement_check_delayed", delay_s=now_s - check_s)
                continue
            if self._current is not None and now_s - self._renewed_s > valid_s:
                self._current = None
                self._agent.detach_backend("announcement_lapsed")

    def accept_announcement(self, announcement: Announcement) -> None:
        """Accepts a new announcement, or renews the present one."""
        self._renewed_s = trio.current_time()
        if announcement == self._current:
            return
        if self._current is not None:
            self._agent.detach_backend("replaced")
        self._current = announcement
        self._agent.attach_backend(
            self._make_backend_client(announcement), announcement
        )

    def deregister(self) -> None:
        """Deregisters the backend server; no new tasks start at it."""
        if self._current is not None:
            self._current = None
            self._agent.detach_backend("left")

    async def _handle_put(self, request: Request) -> Response:
        try:
            model = AnnouncementModel.model_validate_json(await request.body())
        except pydantic.ValidationError as error:
            return JSONResponse({"detail": str(error)}, 400)
        self.accept_announcement(
            Announcement(model.service, model.address, model.slots, model.speed_hint)
        )
        valid_s = self._agent.settings.announcement_valid_s
        return JSONResponse({"valid_s": valid_s})

    async def _handle_delete(self, request: Request) -> Response:
        self.deregister()
        return JSONResponse({"left": True})

    async def _handle_metrics(self, request: Request) -> Response:
        text = self._agent.metrics.render_exposition()
        return Response(text, media_type=_METRICS_CONTENT_TYPE)
