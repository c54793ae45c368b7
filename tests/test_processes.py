"""End-to-end test with separate processes and real signals."""

import contextlib
import http.client
import json
import signal
import socket
import subprocess
import sys
import threading
import time
import urllib.error
import urllib.request

import pytest
from conftest import EXAMPLES

from gooseberrylink.codes import Code
from gooseberrylink.commands.exit_codes import ExitCode

TIMEOUT_S = 30.0


def find_free_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def http_call(address: str, path: str, method: str = "GET", body=None, headers=None):
    data = json.dumps(body).encode() if body is not None else None
    request = urllib.request.Request(
        f"http://{address}{path}", data, headers or {}, method=method
    )
    try:
        with urllib.request.urlopen(request, timeout=TIMEOUT_S) as response:
            return response.status, response.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()


def wait_for(condition) -> None:
    end_s = time.monotonic() + TIMEOUT_S
    while time.monotonic() < end_s:
        try:
            if condition():
                return
        except OSError:
            pass
        time.sleep(0.05)
    raise AssertionError(f"condition not met within {TIMEOUT_S} s: {condition}")


class ProcessDeployment:
    """A deployment of separate processes; the fixture kills them."""

    def __init__(self, folder):
        self.folder = folder
        self.running: dict[str, subprocess.Popen] = {}
        self.platform_address = find_free_address()
        self.entry_addresses = {
            name: find_free_address() for name in ("entry-1", "entry-2")
        }
        self.backend_addresses: dict[str, str] = {}
        self._entry_link_addresses = {
            name: find_free_address() for name in self.entry_addresses
        }
        self._agent_addresses: dict[str, str] = {}

    def spawn(self, name: str, *arguments: str) -> None:
        command = [sys.executable, "-m", "gooseberrylink", *arguments]
        log = open(self.folder / f"{name}.log", "a")
        self.running[name] = subprocess.Popen(
            command, stdout=log, stderr=log, cwd=self.folder
        )

    def send_signal(self, name: str, number: signal.Signals) -> None:
        self.running[name].send_signal(number)

    def start_platform(self) -> None:
        self.spawn("platform", "standin-platform", "--listen", self.platform_address)
        wait_for(lambda: http_call(self.platform_address, "/v1/objects/none")[0] == 404)
        applied = subprocess.run(
            [sys.executable, "-m", "gooseberrylink", "apply"]
            + [str(EXAMPLES / "bennani.yaml"), "--platform", self.platform_address],
            capture_output=True,
            text=True,
        )
        assert applied.returncode == 0, applied.stdout + applied.stderr

    def start_entry(self, name: str) -> None:
        settings = {
            "entry": name,
            "data_centre": "ain-sebaa",
            "listen": self.entry_addresses[name],
            "listen_agents": self._entry_link_addresses[name],
            "platform": self.platform_address,
            "drain_notice_s": 0.2,
        }
        path = self.folder / f"{name}.yaml"
        path.write_text(json.dumps(settings))
        self.spawn(name, "entry", "--settings", str(path))

    def start_agent(self, worker: str) -> None:
        address = self._agent_addresses.setdefault(worker, find_free_address())
        settings = {
            "worker": worker,
            "data_centre": "ain-sebaa",
            "listen": address,
            "entries": list(self._entry_link_addresses.values()),
        }
        path = self.folder / f"{worker}.yaml"
        path.write_text(json.dumps(settings))
        self.spawn(worker, "agent", "--settings", str(path))

    def start_backend(self, worker: str) -> None:
        address = self.backend_addresses.setdefault(worker, find_free_address())
        self.spawn(
            f"backend-{worker}",
            *("standin-backend", "--listen", address, "--service", "dispatch"),
            *("--agent", self._agent_addresses[worker]),
        )

    def wait_ready(self, slots: int) -> None:
        def has_all_slots(address):
            lanes = json.loads(http_call(address, "/v1/status")[1])["lanes"]
            return sum(lane["slots"] for lane in lanes) == slots

        for address in self.entry_addresses.values():
            wait_for(lambda address=address: has_all_slots(address))

    def submit(self, entry: str, run_s: list[float], label: str, **fields):
        tasks = [
            {"payload": {"run_s": s, "value": i, "label": f"{label}/{i}"}}
            for i, s in enumerate(run_s)
        ]
        body = {"customer": "shops", "service": "dispatch", "tasks": tasks} | fields
        key = {"Idempotency-Key": label}
        status, data = http_call(
            self.entry_addresses[entry], "/v1/jobs", "POST", body, key
        )
        return json.loads(data)

    def submit_in_background(self, *arguments, **fields):
        answers: list[dict] = []
        thread = threading.Thread(
            target=lambda: answers.append(self.submit(*arguments, **fields))
        )
        thread.start()
        return thread, answers

    def list_start_labels(self, *workers: str) -> list[str]:
        return [
            start["label"]
            for address in [
                self.backend_addresses[w] for w in workers or self.backend_addresses
            ]
            for start in json.loads(http_call(address, "/starts")[1])
        ]


@pytest.fixture
def processes(tmp_path):
    deployment = ProcessDeployment(tmp_path)
    deployment.start_platform()
    for name in deployment.entry_addresses:
        deployment.start_entry(name)
    for worker in ("tank-1", "tank-2"):
        deployment.start_agent(worker)
        deployment.start_backend(worker)
    deployment.wait_ready(slots=16)
    yield deployment
    for process in deployment.running.values():
        process.send_signal(signal.SIGCONT)
        process.kill()
        process.wait()


def test_processes_keep_their_promises(processes):
    # Guards against wrong answers and second starts of tasks while processes are
    # killed, frozen or shut down.
    answer = processes.submit("entry-1", [0.1] * 20, "whole")
    assert answer["results"] == list(range(20))
    check_commands(processes)
    check_evacuation(processes)
    check_resubmission(processes)
    check_killed_agent(processes)
    check_frozen_agent(processes)
    check_frozen_entry(processes)
    check_entry_shutdown(processes)
    check_killed_entry(processes)
    labels = processes.list_start_labels()
    assert len(labels) == len(set(labels))


def check_commands(processes):
    (status,) = run_command(processes, "status")
    assert [agent["worker"] for agent in status["agents"]] == ["tank-1", "tank-2"]
    explanation = run_command(processes, "explain", str(EXAMPLES / "job.yaml"))
    assert {task["worker"] for task in explanation["tasks"]} <= {"tank-1", "tank-2"}
    counters = run_command(processes, "counters")
    answers = [s for s in counters if s["name"].endswith("_answers_total")]
    assert [(s["labels"]["reason"], s["value"]) for s in answers] == [("ok", 1.0)]


def check_evacuation(processes):
    def run(*arguments) -> int:
        options = ["--platform", processes.platform_address, "--timeout", "3"]
        options += ["--entry", processes.entry_addresses["entry-1"]]
        command = [sys.executable, "-m", "gooseberrylink", "evacuate", *arguments]
        return subprocess.run(command + options, capture_output=True).returncode

    assert run("ain-sebaa") == ExitCode.OK
    processes.wait_ready(slots=0)
    (status,) = run_command(processes, "status")
    assert status["evacuations"]["rules"]["data_centres"] == ["ain-sebaa"]
    assert {agent["is_evacuated"] for agent in status["agents"]} == {True}
    for entry in processes.entry_addresses:
        assert processes.submit(entry, [0.1], "evacuated")["code"] == Code.EVACUATED
    assert run("nowhere") == ExitCode.INVALID_FILE
    assert run("ain-sebaa", "--end") == ExitCode.OK
    processes.wait_ready(slots=16)
    assert "evacuated/0" not in processes.list_start_labels()


def run_command(processes, *arguments: str) -> list | dict:
    entry = ["--entry", processes.entry_addresses["entry-1"], "--json"]
    command = [sys.executable, "-m", "gooseberrylink", *arguments, *entry]
    return json.loads(subprocess.run(command, capture_output=True).stdout)


def check_resubmission(processes):
    not_repeatable = {"repeatable": False}
    thread, answers = processes.submit_in_background(
        "entry-1", [0.5], "once", **not_repeatable
    )
    wait_for(lambda: "once/0" in processes.list_start_labels())
    again = processes.submit("entry-2", [0.5], "once", **not_repeatable)
    thread.join()
    assert again["results"] == answers[0]["results"] == [0]
    assert processes.list_start_labels().count("once/0") == 1


def check_killed_agent(processes):
    thread, answers = processes.submit_in_background("entry-1", [3.0] * 16, "killed")
    # Waits for any of the 16 tasks: the last may start only when the first ends.
    wait_for(
        lambda: any(
            "killed" in label for label in processes.list_start_labels("tank-1")
        )
    )
    processes.send_signal("tank-1", signal.SIGKILL)
    processes.running["tank-1"].wait()
    processes.start_agent("tank-1")
    thread.join()
    assert answers[0]["name"] == "AGENT_LOST"
    assert answers[0]["ran"] == "may have run"
    processes.wait_ready(slots=16)


def check_frozen_agent(processes):
    for worker in ("tank-1", "tank-2"):
        processes.send_signal(worker, signal.SIGSTOP)
    answer = processes.submit("entry-2", [0.1] * 4, "frozen", deadline_s=3.0)
    assert answer["ran"] == "may have run"
    for worker in ("tank-1", "tank-2"):
        processes.send_signal(worker, signal.SIGCONT)
    processes.wait_ready(slots=16)
    assert processes.submit("entry-2", [0.1], "resumed")["name"] == "OK"
    # The resumed agents do not start tasks that were sent while they were frozen.
    assert not any("frozen" in label for label in processes.list_start_labels())


def check_frozen_entry(processes):
    thread, answers = processes.submit_in_background(
        "entry-2", [1.0] * 3, "resumed-entry"
    )
    wait_for(lambda: "resumed-entry/0" in processes.list_start_labels())
    processes.send_signal("entry-2", signal.SIGSTOP)
    time.sleep(3.0)
    processes.send_signal("entry-2", signal.SIGCONT)
    thread.join()
    assert answers[0]["results"] == [0, 1, 2]


def check_killed_entry(processes):
    processes.start_entry("entry-1")
    processes.wait_ready(slots=16)
    not_repeatable = {"repeatable": False, "deadline_s": 3.0}

    def submit():
        with contextlib.suppress(OSError, http.client.HTTPException):
            processes.submit("entry-1", [1.0], "orphan", **not_repeatable)

    thread = threading.Thread(target=submit)
    thread.start()
    wait_for(lambda: "orphan/0" in processes.list_start_labels())
    processes.send_signal("entry-1", signal.SIGKILL)
    thread.join()
    again = processes.submit("entry-2", [1.0], "orphan", **not_repeatable)
    assert again["name"] == "CLAIMED_ELSEWHERE"
    assert processes.list_start_labels().count("orphan/0") == 1


def check_entry_shutdown(processes):
    thread, answers = processes.submit_in_background("entry-1", [1.5] * 3, "last")
    wait_for(lambda: "last/0" in processes.list_start_labels())
    processes.send_signal("entry-1", signal.SIGTERM)
    wait_for(
        lambda: http_call(processes.entry_addresses["entry-1"], "/readyz")[0] == 503
    )
    thread.join()
    assert answers[0]["results"] == [0, 1, 2]
    assert processes.running["entry-1"].wait(TIMEOUT_S) == 0
