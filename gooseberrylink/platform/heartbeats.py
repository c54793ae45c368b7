"""Receives the heartbeats of the backend server on the same host."""

import msgspec

from gooseberrylink.asgi import PlainRequest, PlainResponse, make_plain_app
from gooseberrylink.backends.client import Announcement
from gooseberrylink.backends.incarnations import AnnouncementReceiver
from gooseberrylink.exceptions import MalformedAnnouncementError
from gooseberrylink.logs import log_event
from gooseberrylink.metrics import Metrics
from gooseberrylink.resources import Amount

# A heartbeat states the cores of a backend server, but not how many tasks run on them
# at once. This number is assumed, as a typical backend server that announces slots has
# as many.
_TYPICAL_CONCURRENT_TASKS = 8
# A valid heartbeat has some 300 bytes; other requests may have any size.
_MAX_BODY_BYTES = 64 * 1024


class _Capacity(msgspec.Struct, rename="camel"):
    """The resources of a backend server; `cpu` is in thousandths of a core."""

    cpu: Amount
    mem_mb: Amount = 0
    gpu: Amount = 0


class _Heartbeat(msgspec.Struct, rename="camel"):
    """A heartbeat as the backend server sends it.

    Attributes:
        state: "ready" or "draining".
        sequence: Number of the heartbeat, which increases within an incarnation.
        born: Start of this incarnation, as Unix time in milliseconds.
        labels: Hardware type of the host and its rack, in this order.
    """

    service: str
    address: str
    state: str
    capacity: _Capacity
    sequence: int
    born: int = 0
    labels: list[str] = []


_decode = msgspec.json.Decoder(_Heartbeat).decode


class HeartbeatHandler:
    """Decodes heartbeats and passes them on as announcements.

    The instance id in a request's path is the incarnation of its announcement.
    """

    def __init__(self, service: str, receiver: AnnouncementReceiver, metrics: Metrics):
        self._service = service
        self._receiver = receiver
        self._metrics = metrics
        self.app = make_plain_app(self._handle, _MAX_BODY_BYTES)

    def _handle(self, request: PlainRequest) -> PlainResponse:
        operation, _, instance_id = request.path.rpartition("/")
        if request.method != "POST" or not instance_id:
            return PlainResponse(404)
        if operation == "/Instances.Heartbeat":
            return self._handle_heartbeat(instance_id, request.body)
        if operation == "/Instances.Deregister":
            self._receiver.handle_deregistration(instance_id)
            return PlainResponse(200, b"{}")
        return PlainResponse(404)

    def _handle_heartbeat(self, instance_id: str, body: bytes) -> PlainResponse:
        try:
            heartbeat = _decode(body)
        except msgspec.MsgspecError as error:
            return self._reject(instance_id, str(error))
        if heartbeat.service != self._service or heartbeat.state not in (
            "ready",
            "draining",
        ):
            return self._reject(
                instance_id,
                f"service is {heartbeat.service!r}, state is {heartbeat.state!r};"
                f" expected service {self._service!r} and state 'ready' or 'draining'",
            )
        announcement = Announcement(
            service=heartbeat.service,
            address=heartbeat.address,
            slots=heartbeat.capacity.cpu,
            memory_mb=heartbeat.capacity.mem_mb,
            gpus=heartbeat.capacity.gpu,
            task_units=max(1, heartbeat.capacity.cpu // _TYPICAL_CONCURRENT_TASKS),
            incarnation=instance_id,
            born_ms=heartbeat.born,
            hardware=heartbeat.labels[0] if heartbeat.labels else "",
            rack=heartbeat.labels[1] if len(heartbeat.labels) > 1 else "",
        )
        try:
            announcement.check()
        except MalformedAnnouncementError as error:
            return self._reject(instance_id, str(error))
        is_draining = heartbeat.state == "draining"
        self._receiver.handle_announcement(
            announcement, heartbeat.sequence, is_draining
        )
        return PlainResponse(200, b"{}")

    def _reject(self, instance_id: str, reason: str) -> PlainResponse:
        self._metrics.add("heartbeats_skipped")
        log_event(
            "heartbeat_skipped", "WARNING", incarnation=instance_id, reason=reason
        )
        return PlainResponse(400, msgspec.json.encode({"reason": reason}))
