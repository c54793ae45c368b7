"""Takes the heartbeats of the worker on the same machine."""

import msgspec

from gooseberrylink.asgi import PlainRequest, PlainResponse, make_plain_app
from gooseberrylink.backends.incarnations import AnnouncementReceiver
from gooseberrylink.backends.server import Announcement
from gooseberrylink.counters import Counters
from gooseberrylink.logs import log_event

# Tasks that a worker is taken to run at once where tasks are counted; as many as
# the slots that workers announce.
_TASKS_AT_ONCE = 8
# A heartbeat has some 300 bytes; a foreign one may have any size.
_MAX_BODY_BYTES = 64 * 1024


class _Capacity(msgspec.Struct, rename="camel"):
    """`cpu` is in thousandths of a core."""

    cpu: int
    mem_mb: int = 0
    gpu: int = 0


class _Heartbeat(msgspec.Struct, rename="camel"):
    """What a worker says of itself.

    `labels` are the kind of its machine and its rack, in this order.

    `born` is the start of this life in Unix milliseconds, and `sequence` rises
    within a life.
    """

    service: str
    address: str
    state: str
    capacity: _Capacity
    sequence: int
    born: int = 0
    labels: list[str] = []


_decode = msgspec.json.Decoder(_Heartbeat).decode


class Heartbeats:
    """Decodes heartbeats into announcements."""

    def __init__(
        self, service: str, receiver: AnnouncementReceiver, counters: Counters
    ):
        self._service = service
        self._receiver = receiver
        self._counters = counters
        self.app = make_plain_app(self._handle, _MAX_BODY_BYTES)

    def _handle(self, request: PlainRequest) -> PlainResponse:
        call, _, worker_id = request.path.rpartition("/")
        if request.method != "POST" or not worker_id:
            return PlainResponse(404)
        if call == "/Instances.Heartbeat":
            return self._beat(worker_id, request.body)
        if call == "/Instances.Deregister":
            self._receiver.handle_deregistration(worker_id)
            return PlainResponse(200, b"{}")
        return PlainResponse(404)

    def _beat(self, worker_id: str, body: bytes) -> PlainResponse:
        try:
            beat = _decode(body)
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
            hardware=beat.labels[0] if beat.labels else "",
            rack=beat.labels[1] if len(beat.labels) > 1 else "",
        )
        is_leaving = beat.state == "draining"
        self._receiver.handle_announcement(announcement, beat.sequence, is_leaving)
        return PlainResponse(200, b"{}")

    def _skip(self, worker_id: str, reason: str) -> PlainResponse:
        self._counters.add("heartbeats_skipped")
        log_event("heartbeat_skipped", "WARNING", worker=worker_id, reason=reason)
        return PlainResponse(400, msgspec.json.encode({"reason": reason}))
