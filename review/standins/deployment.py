"""A small deployment on loopback: a store, edge machines, side machines, workers."""

import asyncio
import json
import os
import pathlib
import random
import signal
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from typing import Any

from standins.http import Reply, call
from standins.machine import Machine, is_address_free
from standins.record import Record
from standins.store import Store
from standins.worker import Capacity, Worker

SERVICE = "huvo11a"
_ZONES = ("north", "middle", "south")
# Broken, no response, and the statuses after which a client sends its job again.
_SENT_AGAIN = (0, 502, 504)
_RETRY_S = 1.3
# As on the sites bennani-eau and cpfm-plaques.
_BOUNDS = {
    "contactMs": 3000,
    "ackMs": 4000,
    "drainMs": 2000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "recoveryS": 12,
    "holdMaxMs": 1000,
    "stopMs": 50,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "remoteFactor": 1.5,
    "retryMs": 1300,
}


class CantRunError(Exception):
    """The case can't run on this machine."""


def make_route(name: str, **fields: Any) -> dict[str, Any]:
    """Returns a route of the desired state, with a host and a prefix of its own."""
    return {
        "name": name,
        "host": f"{name}.example",
        "pathPrefix": f"/{name}/",
        "service": SERVICE,
        "priority": 0,
        "maxAttempts": 2,
        "stretch": 1.6,
        "targetLatencyMs": 60,
        **fields,
    }


class Deployment:
    """Machines of a small site with their workers, and its clients.

    Attributes:
        edges: The edge machines.
        sides: The side machines.
        workers: The worker of each side machine.
        has_trouble: Whether the disruption is wanted (TROUBLE is not 0).
    """

    def __init__(self, folder: pathlib.Path):
        self.record = Record(folder / "record.txt")
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self._folder = pathlib.Path(self._temporary.name)
        self._network = self._choose_network()
        self.store = Store(f"{self._network}.1")
        self.edges: list[Machine] = []
        self.sides: list[Machine] = []
        self.workers: list[Worker] = []
        self._config_version = 0
        self._random = random.Random()
        self._common: dict[str, Any] = {}

    def _choose_network(self) -> str:
        for _ in range(50):
            network = f"127.{random.randint(20, 220)}.{random.randint(1, 250)}"
            if all(is_address_free(f"{network}.{n}") for n in (11, 31)):
                return network
        raise CantRunError("no free loopback addresses")

    async def start(
        self, edges: int, sides: int, capacity: Capacity, routes: list[dict[str, Any]]
    ) -> None:
        """Starts the store, all machines and all workers."""
        await self.store.start()
        self.change_routes(routes)
        names = [f"edge-{n}" for n in range(1, edges + 1)]
        seeds = [f"{self._network}.{10 + n}:8166" for n in range(1, edges + 1)]
        self._common = {
            "region": "coast",
            "zones": {zone: "coast" for zone in _ZONES},
            "seeds": seeds[:3],
            "bootstrap": True,
            "heartbeatMs": 1500,
            "bounds": _BOUNDS,
            "orders": "call",
            "platform": {"address": self.store.address, "form": "table"},
        }
        for n, name in enumerate(names, 1):
            self.edges.append(self.make_machine("entry", name, 10 + n))
        for n in range(1, sides + 1):
            side = self.make_machine("agent", f"side-{n}", 30 + n)
            self.sides.append(side)
            worker = Worker(
                f"i-{n:08x}", side.ip, side.control, SERVICE, capacity, self.record
            )
            self.workers.append(worker)
        for edge in self.edges:
            edge.start()
        for side, worker in zip(self.sides, self.workers, strict=True):
            side.start(app=worker.address, service=SERVICE)
            await worker.start()

    def make_machine(self, role: str, name: str, number: int) -> Machine:
        """Returns a machine at the address with this last part, not yet started."""
        ip = f"{self._network}.{number}"
        common = {"zone": _ZONES[number % len(_ZONES)], **self._common}
        return Machine(role, name, ip, self._folder, common, self.record)

    def change_routes(self, routes: list[dict[str, Any]]) -> None:
        """Writes the next desired state, as the operator does."""
        self._config_version += self._random_step()
        state = {
            "version": self._config_version,
            "routes": routes,
            "services": [{"name": SERVICE, "admissionCheck": False}],
            "limits": {"maxBodyBytes": 262144},
        }
        self.store.put("op", "config", state)
        names = ", ".join(route["name"] for route in routes) or "no route"
        self.record.add(
            f"operator: version {self._config_version} confirmed, with {names}"
        )

    def _random_step(self) -> int:
        return random.randint(1, 5)

    async def wait_until_ready(self, edges: list[Machine], timeout_s: float) -> None:
        """Waits until edge machines report that they are ready.

        Raises:
            CantRunError: They did not in time.
        """
        try:
            async with asyncio.timeout(timeout_s):
                for edge in edges:
                    while (await call(edge.readiness, "GET", "/ready")).status != 200:
                        await asyncio.sleep(0.1)
        except TimeoutError:
            raise CantRunError(f"{edge.name} was not ready in {timeout_s} s") from None

    def new_job_id(self) -> str:
        """Returns an id as clients choose it."""
        return f"{self._random.getrandbits(64):016x}"

    async def send(
        self,
        edge: Machine,
        method: str,
        route: str,
        job_id: str,
        body: Any = None,
        time_limit_s: float = 10.0,
        timeout_s: float | None = None,
    ) -> Reply:
        """Sends one request of a client and records it with its response.

        Args:
            edge: The edge machine that it reaches.
            method: The method.
            route: Name of the route.
            job_id: Id of the job.
            body: The job.
            time_limit_s: Sent as `X-Deadline-Ms`.
            timeout_s: When the client leaves, if not at the time limit.
        """
        timeout_s = timeout_s or time_limit_s
        headers = {
            "Host": f"{route}.example",
            "X-Deadline-Ms": str(round(1000 * time_limit_s)),
        }
        self.record.add(f"client: {method} {route} {job_id} to {edge.name}")
        target = f"/{route}/{job_id}"
        reply = await call(edge.front, method, target, body, headers, timeout_s)
        self.record.add(
            f"client: {method} {route} {job_id} at {edge.name} ->"
            f" {reply.status or 'no response'} {reply.body or ''}"
        )
        return reply

    async def open_channel(
        self, edge: Machine, route: str, job_id: str, job: Any, time_limit_s: float
    ) -> asyncio.StreamWriter:
        """Sends a job over a connection that stays open; nobody reads the answer."""
        host, _, port = edge.front.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        body = json.dumps(job).encode()
        head = (
            f"POST /{route}/{job_id} HTTP/1.1\r\nHost: {route}.example\r\n"
            f"X-Deadline-Ms: {round(1000 * time_limit_s)}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)
        await writer.drain()
        self.record.add(f"client: POST {route} {job_id} to {edge.name}")
        return writer

    async def submit(
        self,
        edges: list[Machine],
        route: str,
        job_id: str,
        job: Any,
        attempts: int = 3,
        **limits: float,
    ) -> Reply:
        """Sends a job, and again after no response, at one edge after the other."""
        for attempt in range(attempts):
            edge = edges[attempt % len(edges)]
            reply = await self.send(edge, "POST", route, job_id, job, **limits)
            if reply.status not in _SENT_AGAIN:
                break
            await asyncio.sleep(_RETRY_S)
        return reply

    async def close(self) -> None:
        """Ends everything that was started, and writes the record."""
        for machine in [*self.edges, *self.sides]:
            machine.close()
        for worker in self.workers:
            await worker.stop()
        await self.store.stop()
        self.record.write()
        self._temporary.cleanup()


def run_case(
    folder: pathlib.Path, judge: Callable[[Deployment], Awaitable[list[str]]]
) -> int:
    """Runs a case; returns its exit code, 1 if the rule was broken.

    Args:
        folder: Folder of the case, which gets record.txt.
        judge: Runs the case, and returns a text for each break of the rule.
    """

    async def run() -> int:
        # Processes that were started must not outlive the script.
        cancel = asyncio.current_task().cancel
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, cancel)
        deployment = Deployment(folder)
        try:
            breaks = await judge(deployment)
        except CantRunError as error:
            deployment.record.add(f"can't run: {error}")
            return 2
        except asyncio.CancelledError:
            deployment.record.add("ended by a signal")
            return 2
        except Exception:
            deployment.record.add(f"can't run: {traceback.format_exc()}")
            return 2
        finally:
            await deployment.close()
        return report(deployment, breaks)

    def report(deployment: Deployment, breaks: list[str]) -> int:
        for text in breaks:
            deployment.record.add(f"BROKEN: {text}")
            print(f"BROKEN: {text}")
        verdict = "the rule was broken" if breaks else "the rule held"
        deployment.record.add(verdict)
        deployment.record.write()
        print(verdict)
        return 1 if breaks else 0

    try:
        return asyncio.run(run())
    except CantRunError as error:
        print(f"can't run: {error}", file=sys.stderr)
        return 2
