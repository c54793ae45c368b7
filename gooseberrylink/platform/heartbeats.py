"""Takes the heartbeats of the worker on the same machine."""

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from gooseberrylink.backends.incarnations import AnnouncementTaker
from gooseberrylink.backends.server import Announcement
from gooseberrylink.counters import Counters
from gooseberrylink.logs import log_event

# Tasks that a worker is taken to run at once where tasks are counted; as many as
# the slots that workers announce.
_TASKS_AT_ONCE = 8


class _Capacity(msgspec.Struct, rename="camel"):
    """`cpu` is in thousandths of a core."""

    cpu: int
    mem_mb: int = 0
    gpu: int = 0


class _Heartbeat(msgspec.Struct, rename="camel"):
    """What a worker says of itself.

    `born` is the start of this life in Unix milliseconds, and `sequence` rises
    within a life.
    """

    service: str
    address: str
    state: str
    capacity: _Capacity
    sequence: int
    born: int = 0
    remaining_ms: int | None = None


_decode = msgspec.json.Decoder(_Heartbeat).decode


class Heartbeats:
    """Decodes heartbeats into announcements."""

    def __init__(self, service: str, taker: AnnouncementTaker, counters: Counters):
        self._service = service
        self._taker = taker
        self._counters = counters
        self.app = Starlette(
            routes=[
                Route("/Instances.Heartbeat/{worker_id}", self._beat, methods=["POST"]),
                Route(
                    "/Instances.Deregister/{worker_id}", self._leave, methods=["POST"]
                ),
            ]
        )

    async def _beat(self, request: Request) -> Response:
        worker_id = request.path_params["worker_id"]
        try:
            beat = _decode(await request.body())
        except msgspec.MsgspecError as error:
            return self._skip(worker_id, str(error))
        if beat.service != self._service or beat.state not in ("ready", "draining"):
            return self._skip(worker_id, f"service {beat.service}, state {beat.state}")
        announcement = Announcement(
            service=beat.service,
            address=beat.address,
            slots=beat.capacity.cpu,
            memory_mb=beat.capacity.mem_mb,
            gpus=beat.capacity.gpu,
            task_units=max(1, beat.capacity.cpu // _TASKS_AT_ONCE),
            incarnation=worker_id,
            born_ms=beat.born,
        )
        is_leaving = beat.state == "draining"
        self._taker.take(announcement, beat.sequence, is_leaving)
        return JSONResponse({})

    async def _leave(self, request: Request) -> Response:
        self._taker.leave(request.path_params["worker_id"])
        return JSONResponse({})

    def _skip(self, worker_id: str, reason: str) -> Response:
        self._counters.add("heartbeats_skipped")
        log_event("heartbeat_skipped", "WARNING", worker=worker_id, reason=reason)
        return JSONResponse({"reason": reason}, 400)
