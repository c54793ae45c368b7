"""Serves a FakeLeasedBackend over the platform's protocol; sends its heartbeats."""

import itertools
import json

import httpcore
import trio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from gooseberrylink.backends.runs import ControlReply, LeaseRenewal, RunKey, StartReply
from gooseberrylink.standins.leased_backend import FakeLeasedBackend

_HEARTBEAT_S = 0.5
_HEARTBEAT_TIMEOUT_S = 1.0
# Longer than any client waits for a response.
_RESPONSE_DELAY_S = 5.0
_REFUSAL_REASONS = {
    StartReply.FENCED: "fence",
    StartReply.SUPERSEDED: "old",
    StartReply.LATE: "late",
}


class LeasedBackendApi:
    """The HTTP interface of a FakeLeasedBackend.

    A task's spec is JSON: {"run_s": seconds, "units": thousandths of a core}.
    """

    def __init__(self, backend: FakeLeasedBackend, service: str):
        self._backend = backend
        self._service = service
        self.app = Starlette(
            routes=[
                Route("/run-start", self._start, methods=["POST"]),
                Route("/run-stop", self._stop, methods=["POST"]),
                Route("/hold", self._renew_lease, methods=["POST"]),
            ]
        )

    async def send_heartbeats(self, control_address: str, own_address: str) -> None:
        """Sends heartbeats to the agent until cancelled.

        Args:
            control_address: host:port of the agent's control interface.
            own_address: host:port at which the backend server accepts requests.
        """
        url = f"http://{control_address}/Instances.Heartbeat/{self._backend.name}"
        for sequence in itertools.count(1):
            heartbeat = {
                "service": self._service,
                "address": own_address,
                "state": "ready",
                "capacity": {
                    "cpu": self._backend.capacity_units,
                    "memMb": 65536,
                    "gpu": 0,
                },
                "sequence": sequence,
                "born": self._backend.born_ms,
            }
            with trio.move_on_after(_HEARTBEAT_TIMEOUT_S):
                try:
                    await post(url, json.dumps(heartbeat).encode())
                except (httpcore.NetworkError, httpcore.ProtocolError):
                    pass  # The agent is down; the next heartbeat is the retry.
            await trio.sleep(_HEARTBEAT_S)

    async def _start(self, request: Request) -> Response:
        body = await request.json()
        payload = {"name": body["task"], **json.loads(body["spec"])}
        key = RunKey(body["task"], body["run"])
        reply = await self._backend.start(
            key, payload, body["untilMs"], body["fencingToken"]
        )
        if reply is StartReply.UNANSWERED:
            await trio.sleep(_RESPONSE_DELAY_S)
        if reply is StartReply.STARTED:
            return self._respond(200)
        return self._respond(409, reason=_REFUSAL_REASONS.get(reply, "late"))

    async def _stop(self, request: Request) -> Response:
        body = await request.json()
        key = RunKey(body["task"], body["run"])
        return await self._respond_to_control_request(
            await self._backend.stop(key, body["fencingToken"])
        )

    async def _renew_lease(self, request: Request) -> Response:
        body = await request.json()
        renewal = LeaseRenewal(
            body["fencingToken"],
            body["seenUpto"],
            body.get("untilMs"),
            body.get("waitMs", 0) / 1000,
        )
        report = await self._backend.renew(renewal)
        if isinstance(report, ControlReply):
            return await self._respond_to_control_request(report)
        running = [
            [key.name, key.attempt, "", round(100 * share)]
            for key, share in report.progress.items()
        ]
        ended = [
            [end.number, end.key.name, end.key.attempt, end.kind.value, ""]
            for end in report.ends
        ]
        return self._respond(200, running=running, ended=ended, born=report.born_ms)

    async def _respond_to_control_request(self, reply: ControlReply) -> Response:
        if reply is ControlReply.UNANSWERED:
            await trio.sleep(_RESPONSE_DELAY_S)
        if reply is ControlReply.DONE:
            return self._respond(200)
        return self._respond(409, reason="fence")

    def _respond(self, status: int, **fields: object) -> Response:
        return JSONResponse({"clockMs": self._backend.clock_ms(), **fields}, status)


async def post(url: str, body: bytes) -> httpcore.Response:
    """Sends one POST request over a new connection."""
    async with httpcore.AsyncConnectionPool() as pool:
        return await pool.request("POST", url, content=body)
