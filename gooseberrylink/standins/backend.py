"""Fakes a backend server: runs tasks by sleeping and logs every start."""

import contextlib
import dataclasses
from typing import Any

import httpcore
import msgspec
import trio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from gooseberrylink.backends.client import BackendOutcome
from gooseberrylink.peers.messages import Status

_ANNOUNCE_INTERVAL_S = 1.0


@dataclasses.dataclass(slots=True, frozen=True)
class TaskStart:
    """One start of a task, as the fake backend server logged it.

    Attributes:
        label: Label from the payload. It stays the same when a job is submitted
            again, whose tasks then have another task_id.
        started_s: Time on trio's clock.
    """

    task_id: str
    customer: str
    worker: str
    label: str
    started_s: float


class FakeBackend:
    """Runs tasks by sleeping; implements BackendClient.

    A payload is a dict with the optional keys "run_s" (run time in seconds on a
    backend server of speed 1), "fail" (whether the task fails), "value" (the result of
    the task) and "label" (its label in the log of starts).

    Attributes:
        speed: Speed relative to a typical worker; run times are divided by it.
        is_failing: Whether every task fails immediately, whatever its payload.
        starts: Every start, in order. Tests and the benchmark check the answers that
            callers get against it.
        running_task_count: Number of tasks that run now.
        failing_start_count: Number of starts while is_failing was set.
    """

    can_stop = False
    is_open = True

    def __init__(self, worker: str, speed: float = 1.0, is_failing: bool = False):
        self.worker = worker
        self.speed = speed
        self.is_failing = is_failing
        self.starts: list[TaskStart] = []
        self.running_task_count = 0
        self.failing_start_count = 0

    async def run(
        self, task_id: str, job_id: str, customer: str, payload: Any, attempt: int = 1
    ) -> BackendOutcome:
        """See BackendClient."""
        started_s = trio.current_time()
        payload = payload if isinstance(payload, dict) else {}
        label = str(payload.get("label", ""))
        self.starts.append(TaskStart(task_id, customer, self.worker, label, started_s))
        self.running_task_count += 1
        self.failing_start_count += self.is_failing
        try:
            return await self._run(payload, started_s)
        finally:
            self.running_task_count -= 1

    async def run_background(self) -> None:
        """See BackendClient; there is no background work."""

    def close(self) -> None:
        """See BackendClient."""

    def stop(self, task_id: str) -> None:
        """See BackendClient; does nothing, as can_stop is false."""

    def progress_per_s(self, task_id: str) -> float | None:
        """See BackendClient; the progress of a task is unknown."""

    async def _run(self, payload: dict, started_s: float) -> BackendOutcome:
        if self.is_failing:
            await trio.sleep(0.002)
            return BackendOutcome(Status.FAILED, reason="backend_error")
        await trio.sleep(payload.get("run_s", 0.0) / self.speed)
        run_s = trio.current_time() - started_s
        if payload.get("fail"):
            return BackendOutcome(Status.FAILED, reason="backend_error", run_s=run_s)
        return BackendOutcome(Status.DONE, payload.get("value"), run_s=run_s)


class BackendApi:
    """Serves a FakeBackend over HTTP and announces it to its agent."""

    def __init__(self, backend: FakeBackend, service: str, slots: int):
        self._backend = backend
        self._service = service
        self._slots = slots
        self.app = Starlette(
            routes=[
                Route("/tasks", self._run_task, methods=["POST"]),
                Route("/starts", self._list_starts),
            ]
        )

    async def announce_forever(self, agent_address: str, own_address: str) -> None:
        """Renews the announcement until cancelled, then withdraws it.

        A renewal that fails because the agent is down is not repeated; the next one
        follows after _ANNOUNCE_INTERVAL_S.

        Args:
            agent_address: host:port of the agent.
            own_address: host:port at which this backend server accepts tasks.
        """
        announcement = {
            "service": self._service,
            "address": own_address,
            "slots": self._slots,
        }
        body = msgspec.json.encode(announcement)
        url = f"http://{agent_address}/v1/backend"
        async with httpcore.AsyncConnectionPool() as pool:
            try:
                while True:
                    with contextlib.suppress(httpcore.NetworkError):
                        await pool.request("PUT", url, content=body)
                    await trio.sleep(_ANNOUNCE_INTERVAL_S)
            finally:
                # The shield lets the request finish after the cancellation, within 1 s.
                # If it fails, the announcement lapses later by itself.
                with trio.CancelScope(shield=True, deadline=trio.current_time() + 1):
                    with contextlib.suppress(Exception):
                        await pool.request("DELETE", url)

    async def _run_task(self, request: Request) -> Response:
        body = await request.json()
        outcome = await self._backend.run(
            body["task_id"], body["job_id"], body["customer"], body["payload"]
        )
        if outcome.status is Status.DONE:
            return JSONResponse({"result": outcome.value})
        return JSONResponse({"error": outcome.reason}, 500)

    async def _list_starts(self, request: Request) -> Response:
        return JSONResponse([dataclasses.asdict(s) for s in self._backend.starts])
