"""Starts the real programs as processes on loopback, one IP address per host."""

import json
import os
import pathlib
import signal
import subprocess
import sys

import trio
import yaml

from gooseberrylink.http_server import serve_http
from gooseberrylink.standins.leased_backend import FakeLeasedBackend
from gooseberrylink.standins.leased_backend_api import LeasedBackendApi
from gooseberrylink.standins.store import FakeStore

_LINK_PORT, _FRONT_PORT, _READY_PORT, _CONTROL_PORT = 7720, 8161, 8167, 8166
_SERVICE = "soak"
_DATA_CENTRES = ("north", "south", "east")
# Thousandths of a core.
_WORKER_UNITS = 8000
ROUTE_HOST, ROUTE_PREFIX = "soak.example", "/jobs/"


class ProgramHost:
    """A host, simulated by a loopback address, and the program that runs there.

    Attributes:
        role: "entry" or "agent".
        data_centre: Where the host is.
        process: The program's process; None while the host is down.
    """

    def __init__(
        self, role: str, name: str, ip: str, folder: pathlib.Path, data_centre: str
    ):
        self.role, self.name, self.ip = role, name, ip
        self.data_centre = data_centre
        self._folder = folder
        self.process: subprocess.Popen | None = None

    def start(self, settings: dict) -> None:
        """Writes the settings file and starts the program."""
        path = self._folder / f"{self.name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        with open(self._folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "gooseberrylink.platform", self.role],
                stdout=log,
                stderr=log,
                env=os.environ | {"GOOSEBERRYLINK_BOOT": str(path)},
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the program if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)


class SoakDeployment:
    """Two entries and three agents with fake backend servers and a fake store.

    Attributes:
        store: The fake store that all programs use.
        backends: The fake backend servers. The answers that callers get are checked
            against their logs of runs.
        hosts: The hosts of all entries and agents.
    """

    def __init__(self, folder: pathlib.Path, nursery: trio.Nursery, seed: int):
        # Concurrent soak runs must not share addresses.
        network_prefix = f"127.{16 + seed % 200}.{os.getpid() % 250}"
        self.store = FakeStore()
        self.entries = [
            ProgramHost("entry", f"e{n}", f"{network_prefix}.{n}", folder, "north")
            for n in (1, 2)
        ]
        self.agents = [
            ProgramHost("agent", f"a{n}", f"{network_prefix}.{n + 10}", folder, name)
            for n, name in enumerate(_DATA_CENTRES, 1)
        ]
        self.backends = [
            FakeLeasedBackend(agent.name, nursery, _WORKER_UNITS)
            for agent in self.agents
        ]
        self.hosts = [*self.entries, *self.agents]
        self._nursery = nursery
        self._store_address = ""

    async def start(self) -> None:
        """Starts the fakes and all programs."""
        self.store.put("op", "config", json.dumps(_desired_state()).encode())
        self._store_address = await self._serve(self.store.app)
        for backend, agent in zip(self.backends, self.agents, strict=True):
            self._nursery.start_soon(backend.advance_runs)
            api = LeasedBackendApi(backend, _SERVICE)
            address = await self._serve(api.app)
            control_address = f"{agent.ip}:{_CONTROL_PORT}"
            self._nursery.start_soon(api.send_heartbeats, control_address, address)
        for host in self.hosts:
            self.start_program(host)

    def start_program(self, host: ProgramHost) -> None:
        """Starts a host's program."""
        host.start(self._settings(host))

    def request_evacuation(self, data_centre: str) -> None:
        """Empties a data centre, as an operator does."""
        self.store.put("op", f"evacuate/{data_centre}", b"{}")

    def end_evacuation(self, data_centre: str) -> None:
        """Takes the evacuation of a data centre back."""
        self.store.remove("op", f"evacuate/{data_centre}")

    def stop(self) -> None:
        """Kills the programs of all hosts."""
        for host in self.hosts:
            host.send_signal(signal.SIGCONT)
            host.send_signal(signal.SIGKILL)
            if host.process is not None:
                host.process.wait()

    async def _serve(self, app) -> str:
        return await self._nursery.start(
            serve_http, app, "127.0.0.1:0", trio.sleep_forever
        )

    def _settings(self, host: ProgramHost) -> dict:
        ports = {"front": _FRONT_PORT, "readiness": _READY_PORT}
        if host.role == "agent":
            ports = {"control": _CONTROL_PORT}
        return {
            "node": host.name,
            "ip": host.ip,
            "zone": host.data_centre,
            "zones": dict.fromkeys(_DATA_CENTRES, "coast"),
            "bindAddresses": {name: f"{host.ip}:{p}" for name, p in ports.items()},
            "internalPorts": [_LINK_PORT, _LINK_PORT + 15],
            "seeds": [f"{entry.ip}:{_CONTROL_PORT}" for entry in self.entries],
            "platform": {"address": self._store_address},
            "service": _SERVICE,
        }


def job_url(entry: ProgramHost, job_id: str) -> str:
    """Returns the URL to which a job is submitted at an entry."""
    return f"http://{entry.ip}:{_FRONT_PORT}{ROUTE_PREFIX}{job_id}"


def _desired_state() -> dict:
    route = {
        "name": "r-1",
        "host": ROUTE_HOST,
        "pathPrefix": ROUTE_PREFIX,
        "service": _SERVICE,
        "maxAttempts": 2,
        "stretch": 1.6,
        "targetLatencyMs": 60,
    }
    return {"version": 1, "routes": [route], "services": [{"name": _SERVICE}]}
