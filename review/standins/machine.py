"""Starts the programs of the deploy file, one loopback address for each machine."""

import asyncio
import json
import os
import pathlib
import signal
import subprocess
import tomllib
from typing import Any

from standins.http import find_free_port
from standins.record import Record

ROOT = pathlib.Path(__file__).resolve().parents[2]
# The platform starts a process that has ended again after a short delay.
_RESTART_DELAY_S = 0.5
_METRICS_PORT = 9464
_INTERNAL_PORTS = [7720, 7735]
_CONTROL_PORT = 8166


def _command(role: str) -> list[str]:
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    return deploy["roles"][role]["run"].split(" ")


class Machine:
    """A machine with one process of the system.

    Attributes:
        name: Name of the machine.
        front: Address for clients, of an edge machine.
        readiness: Address for the platform's probes, of an edge machine.
        control: Address for the worker, of a side machine.
        own_ends: Exit codes of its processes that ended by themselves.
    """

    def __init__(
        self,
        role: str,
        name: str,
        ip: str,
        folder: pathlib.Path,
        common: dict[str, Any],
        record: Record,
    ):
        self.role, self.name, self.ip = role, name, ip
        self.front = f"{ip}:{find_free_port(ip)}"
        self.readiness = f"{ip}:{find_free_port(ip)}"
        self.control = f"{ip}:{_CONTROL_PORT}"
        self.own_ends: list[int] = []
        self._folder, self._common, self._record = folder, common, record
        self._process: subprocess.Popen | None = None
        self._watcher: asyncio.Task | None = None
        self._is_wanted = False

    def seed(self) -> str:
        """Returns the address under which it appears in `seeds`."""
        return self.control

    def start(self, **fields: Any) -> None:
        """Writes the settings file and starts the process.

        Args:
            **fields: Further fields of the settings, such as `app` and `service`.
        """
        self._is_wanted = True
        settings = {
            "node": self.name,
            "role": self.role,
            "ip": self.ip,
            "internalPorts": _INTERNAL_PORTS,
            **self._common,
            **fields,
        }
        if self.role == "entry":
            settings["machineClass"] = "edge"
            settings["serves"] = ["edge", "control_plane"]
            settings["bindAddresses"] = {
                "front": self.front,
                "readiness": self.readiness,
                "control": self.control,
            }
        else:
            settings["machineClass"] = "side"
            settings["serves"] = ["side"]
            settings["bindAddresses"] = {"control": self.control}
        # JSON is YAML as well.
        (self._folder / f"{self.name}.yaml").write_text(json.dumps(settings))
        self._spawn()
        if self._watcher is None:
            self._watcher = asyncio.create_task(self._restart_when_ended())

    def _spawn(self) -> None:
        path = str(ROOT / "target" / "deps")
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": path,
            "GOOSEBERRYLINK_BOOT": str(self._folder / f"{self.name}.yaml"),
        }
        with open(self._folder / f"{self.name}.log", "ab") as log:
            self._process = subprocess.Popen(
                _command(self.role), stdout=log, stderr=log, cwd=ROOT, env=environment
            )
        self._record.add(f"{self.name}: process starts")

    async def _restart_when_ended(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            if not self._is_wanted or self._process.poll() is None:
                continue
            code = self._process.returncode
            self.own_ends.append(code)
            self._record.add(f"{self.name}: process ended by itself, exit code {code}")
            await asyncio.sleep(_RESTART_DELAY_S)
            if self._is_wanted:
                self._spawn()

    def kill(self) -> None:
        """Kills the process; it stays down until start() or spawn_again()."""
        self._is_wanted = False
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal.SIGKILL)
            self._process.wait()
        self._record.add(f"{self.name}: killed")

    def spawn_again(self) -> None:
        """Starts the process again with the same settings."""
        self._is_wanted = True
        self._spawn()

    def freeze(self) -> None:
        """Stops the process, which stands still until resume()."""
        self._process.send_signal(signal.SIGSTOP)
        self._record.add(f"{self.name}: stands still")

    def resume(self) -> None:
        """Lets the process go on."""
        self._process.send_signal(signal.SIGCONT)
        self._record.add(f"{self.name}: goes on")

    def last_error(self) -> str:
        """Returns the last line that names an error in the process's output."""
        text = (self._folder / f"{self.name}.log").read_text(errors="replace")
        lines = [line for line in text.splitlines() if "Error" in line]
        return lines[-1].strip(" |+-") if lines else ""

    def close(self) -> None:
        """Ends the process and the watch over it."""
        if self._watcher is not None:
            self._watcher.cancel()
        self._is_wanted = False
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal.SIGKILL)
            self._process.wait()


def is_address_free(ip: str) -> bool:
    """Returns whether the fixed ports of a machine are free at a loopback address."""
    import socket

    for port in (_METRICS_PORT, _INTERNAL_PORTS[0], _CONTROL_PORT):
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True
