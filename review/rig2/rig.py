"""Runs the project's programs beside stand-ins of the users' platform.

Uses only the standard library, so that a case needs nothing but the deploy build. The
stand-ins follow the users' pages (PROTOCOL.md, DEPLOY.md); where a page is silent they
do what a sound store, worker or client does. Each host is a loopback address.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import resource
import shlex
import signal
import sys
import tempfile
import time
import tomllib
import urllib.parse

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
HOLD_MAX_MS = 1000
STOP_MS = 50
HEARTBEAT_S = 1.5
GRACE_S = 6
MAX_FDS = 4096
RETRY_S = 1.3
FRONT_PORT, READY_PORT, CONTROL_PORT, LINK_PORT = 8161, 8167, 8166, 7720
HOST, PREFIX, ROUTE, SERVICE = "plaques.example", "/lookup/", "lookup", "registry"
IS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes record.txt: what was sent, answered and run, with times in seconds."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._started_s = time.monotonic()

    def now_s(self):
        """Returns the time since the start of the case."""
        return time.monotonic() - self._started_s

    def write(self, text):
        """Writes one line."""
        self._file.write(f"{self.now_s():9.3f} {text}\n")
        self._file.flush()


class HttpServer:
    """A small HTTP/1.1 server with persistent connections."""

    def __init__(self, handle):
        self._handle = handle
        self._server = None
        self._writers = set()

    async def start(self, ip, port=0):
        """Listens; returns host:port."""
        self._server = await asyncio.start_server(self._serve, ip, port)
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    def kill(self):
        """Stops listening and resets all connections, as a killed process does."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    return
                first, headers, body = request
                method, target, _ = first.split(" ", 2)
                status, reply = await self._handle(method, target, headers, body)
                if status is None:
                    continue
                data = json.dumps(reply).encode()
                head = (
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n"
                )
                writer.write(head.encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def read_message(reader):
    """Reads a request or response; returns None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding") == "chunked":
        body = b""
        while size := int(await reader.readline(), 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


async def call(address, method, path, body=None, headers=None, timeout_s=1.0):
    """Sends one request over a new channel; returns (status, body), or (0, b"")."""
    host, port = address.rsplit(":", 1)
    writer = None
    data = b"" if body is None else json.dumps(body).encode()
    lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(data)}"]
    fields = {"Host": host, "Content-Type": "application/json"} | (headers or {})
    lines += [f"{name}: {value}" for name, value in fields.items()]
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            message = await read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()
    if message is None:
        return 0, b""
    return int(message[0].split(" ")[1]), message[2]


class Store:
    """The platform's metadata store: tables with a change feed."""

    def __init__(self, record):
        self._record = record
        self._rows = {}
        self._version = 0
        self._changed = asyncio.Event()
        self.server = HttpServer(self._handle)

    def put(self, table, key, value):
        """Writes a row, as the operator does."""
        self._version += 1
        encoded = base64.b64encode(value).decode()
        self._rows[table, key] = {
            "table": table,
            "part": "",
            "key": key,
            "value": encoded,
            "ver": self._version,
        }
        self._changed.set()
        self._changed = asyncio.Event()

    def keys(self, table):
        """Returns the keys of a table."""
        return [key for name, key in self._rows if name == table]

    async def _handle(self, method, target, headers, body):
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == "/rows-get":
            rows = sorted(self._after(query["table"], 0), key=lambda r: r["key"])
            start, end = query.get("from", ""), query.get("target", "\U0010ffff")
            return self._reply([r for r in rows if start <= r["key"] < end])
        if path == "/rows-feed":
            after = int(query["after"])
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(int(query["waitMs"]) / 1000):
                    while not self._after(query["table"], after):
                        await self._changed.wait()
            return self._reply(self._after(query["table"], after))
        if path == "/rows-tx":
            for put in json.loads(body)["puts"]:
                value = base64.b64decode(put["value"])
                self.put(put["table"], put["key"], value)
            return self._reply([])
        return 404, {}

    def _after(self, table, version):
        rows = [
            row
            for (name, _), row in self._rows.items()
            if name == table and row["ver"] > version
        ]
        return sorted(rows, key=lambda row: row["ver"])

    def _reply(self, rows):
        now_ms = int(1000 * self._record.now_s())
        body = {"rows": rows, "hasMore": False, "ver": self._version, "nowMs": now_ms}
        return 200, body


class Worker:
    """A worker: runs tasks under a lease, as PROTOCOL.md says of `call` orders.

    A task's spec is JSON with `work_ms`. Nothing is checked against the capacity, as
    with `admissionCheck` false.
    """

    def __init__(self, record, name, ip, agent_ip, cpu, on_start=None):
        self.record = record
        self.name, self.ip, self.agent_ip, self.cpu = name, ip, agent_ip, cpu
        self.on_start = on_start
        self.address = ""
        self.history = []
        self.state = "ready"
        # Set while nothing passes between the worker and other processes.
        self.is_cut = False
        # Set while its health is good but orders get no answer and have no effect.
        self.is_mute = False
        # Delay of orders to start that get no answer and are carried out late; None
        # for none.
        self.late_s = None
        self._server = None
        self._tasks = []
        self.running = {}

    async def boot(self, port=0):
        """Starts a life of the worker, which knows nothing of earlier ones."""
        self.born_ms = time.time_ns() // 1_000_000
        self._boot_s = time.monotonic()
        self.running, self._ends, self._highest = {}, [], {}
        self._token = self._end_number = self._lease_ms = self._sequence = 0
        self._ended = asyncio.Event()
        self._server = HttpServer(self._handle)
        self.address = await self._server.start(self.ip, port)
        self.record.write(f"worker {self.name} boots, born {self.born_ms}, {self.cpu}")
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._advance()),
            loop.create_task(self._send_heartbeats()),
        ]

    def crash(self):
        """Ends this life at once."""
        self.record.write(f"worker {self.name} crashes, {len(self.running)} runs")
        self._server.kill()
        for task in self._tasks:
            task.cancel()
        for key in list(self.running):
            self._end(key, "crashed")

    def clock_ms(self):
        """Returns the worker's own steady clock."""
        return int(1000 * (time.monotonic() - self._boot_s))

    async def _advance(self):
        while True:
            await asyncio.sleep(0.005)
            for key, run in list(self.running.items()):
                if self.clock_ms() > self._lease_ms:
                    self._end(key, "lapsed")
                elif time.monotonic() >= run["until_s"]:
                    self._end(key, "done")

    def _end(self, key, how):
        run = self.running.pop(key)
        run["ended_s"], run["how"] = self.record.now_s(), how
        self._highest[key[0]] = max(key[1], self._highest.get(key[0], 0))
        self._end_number += 1
        self._ends.append([self._end_number, *key, how, ""])
        self.record.write(f"run ends {how}: {key[0]} run {key[1]} at {self.name}")
        self._ended.set()

    async def _handle(self, method, path, headers, body):
        if self.is_cut:
            # Lost, as the process that it was sent to ends behind the cut.
            await asyncio.sleep(60.0)
        if self.is_mute and path in ("/run-start", "/run-stop"):
            self.record.write(f"{path} at {self.name} gets no answer")
            await asyncio.sleep(60.0)
        if self.late_s is not None and path == "/run-start":
            self.record.write(f"/run-start at {self.name} will be late")
            asyncio.create_task(self._start_late(json.loads(body), self.late_s))
            self.late_s = None
            await asyncio.sleep(60.0)
        if headers.get("x-expect-instance", self.name) != self.name:
            return 421, {}
        fields = json.loads(body)
        token = fields.get("fencingToken", 0)
        if token < self._token:
            return self._reply(409, reason="fence")
        self._token = token
        if path == "/run-start":
            return self._start(fields)
        if path == "/run-stop":
            key = fields["task"], fields["run"]
            self._highest[key[0]] = max(key[1], self._highest.get(key[0], 0))
            if key in self.running:
                self._end(key, "stopped")
            return self._reply(200)
        if path == "/hold":
            return await self._hold(fields)
        return 404, {}

    async def _start_late(self, fields, delay_s):
        """Carries out an order late; its time counts from its arrival."""
        lease_ms = fields["untilMs"] - self.clock_ms()
        await asyncio.sleep(delay_s)
        if fields["fencingToken"] < self._token:
            self.record.write(f"late /run-start at {self.name} is fenced")
            return
        self._token = fields["fencingToken"]
        status, _ = self._start(fields | {"untilMs": self.clock_ms() + lease_ms})
        self.record.write(f"late /run-start at {self.name}: {status}")

    def _extend(self, until_ms):
        until_ms = min(until_ms, self.clock_ms() + HOLD_MAX_MS)
        self._lease_ms = max(self._lease_ms, until_ms)

    def _start(self, fields):
        key = fields["task"], fields["run"]
        self._extend(fields["untilMs"])
        if key in self.running:
            return self._reply(200)
        if key[1] <= self._highest.get(key[0], 0):
            return self._reply(409, reason="old")
        if fields["untilMs"] <= self.clock_ms():
            return self._reply(409, reason="late")
        work_s = json.loads(fields["spec"])["work_ms"] / 1000
        now_s = self.record.now_s()
        run = {
            "task": key[0],
            "run": key[1],
            "worker": self.name,
            "started_s": now_s,
            "work_s": work_s,
            "until_s": time.monotonic() + work_s,
            "ended_s": None,
            "how": "",
        }
        self.running[key] = run
        self.history.append(run)
        self.record.write(f"run starts: {key[0]} run {key[1]} at {self.name}")
        if self.on_start is not None:
            self.on_start(self)
        return self._reply(200)

    async def _hold(self, fields):
        if "untilMs" in fields:
            self._extend(fields["untilMs"])
        seen = fields["seenUpto"]
        self._ends = [end for end in self._ends if end[0] > seen]
        if not self._ends and fields.get("waitMs"):
            self._ended = asyncio.Event()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(fields["waitMs"] / 1000):
                    await self._ended.wait()
        running = []
        for key, run in self.running.items():
            left_s = run["until_s"] - time.monotonic()
            percent = int(100 * (1 - left_s / run["work_s"]))
            running.append([*key, "", max(0, min(100, percent)), 0])
        return self._reply(200, running=running, ended=self._ends[:500])

    def _reply(self, status, **fields):
        return status, {"clockMs": self.clock_ms(), "born": self.born_ms} | fields

    def leave(self):
        """Reports at once, and from now on, that the worker is draining."""
        self.state = "draining"
        self.leave_s, self.leave_acknowledged_s = self.record.now_s(), None
        self._tasks.pop().cancel()
        self._tasks.append(asyncio.create_task(self._send_heartbeats()))

    async def _send_heartbeats(self):
        while True:
            self._sequence += 1
            sequence = self._sequence
            body = {
                "service": SERVICE,
                "address": self.address,
                "zone": "north",
                "version": "v1",
                "slots": 8,
                "state": self.state,
                "coldRemainingMs": 0,
                "capacity": {"cpu": self.cpu, "memMb": 65536, "gpu": 0},
                "labels": ["a", "r1-1"],
                "clockMs": self.clock_ms(),
                "born": self.born_ms,
                "sequence": sequence,
            }
            path = f"/Instances.Heartbeat/{self.name}"
            if self.is_cut:
                await asyncio.sleep(1.0)
                status = 0
            else:
                status, _ = await call(
                    f"{self.agent_ip}:{CONTROL_PORT}", "POST", path, body
                )
            self.record.write(
                f"heartbeat {sequence} of {self.name}, {body['state']}: {status}"
            )
            is_answered = status // 100 == 2 and body["state"] == "draining"
            if is_answered and self.leave_acknowledged_s is None:
                self.leave_acknowledged_s = self.record.now_s()
            # One that failed was given up after a second.
            await asyncio.sleep(HEARTBEAT_S if status else HEARTBEAT_S - 1.0)


class Program:
    """One of the project's programs on a host, started as the deploy file says."""

    def __init__(self, rig, role, name, ip):
        self.rig, self.role, self.name, self.ip = rig, role, name, ip
        self.process = None

    async def start(self):
        """Writes the settings file and starts the program."""
        path = self.rig.folder / f"{self.name}.yaml"
        # JSON is YAML.
        path.write_text(json.dumps(self.rig.settings(self)), encoding="utf-8")
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(REPOSITORY / "target" / "deps"),
            "GOOSEBERRYLINK_BOOT": str(path),
        }
        with open(self.rig.folder / f"{self.name}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.rig.commands[self.role],
                cwd=REPOSITORY,
                env=environment,
                stdout=log,
                stderr=log,
                preexec_fn=_limit_descriptors,
            )
        self.rig.record.write(f"start {self.role} {self.name} at {self.ip}")

    def signal(self, number):
        """Sends a signal to the program."""
        self.rig.record.write(f"{signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    async def kill(self):
        """Kills the program and waits for its end."""
        if self.process is not None and self.process.returncode is None:
            self.signal(signal.SIGKILL)
            await self.process.wait()

    async def is_ready(self):
        """Returns whether an entry reports itself ready."""
        status, _ = await call(f"{self.ip}:{READY_PORT}", "GET", "/ready")
        return status == 200


class Rig:
    """A small deployment on loopback addresses."""

    def __init__(self, folder, record):
        self.folder, self.record = folder, record
        deploy = tomllib.loads((REPOSITORY / "deploy" / "system.toml").read_text())
        self.commands = {
            role: shlex.split(values["run"]) for role, values in deploy["roles"].items()
        }
        generator = random.Random(os.getpid())
        self._network = generator.randint(20, 250), generator.randint(1, 200)
        self.store = Store(record)
        self.programs, self.workers = [], []
        self.seeds = []
        self._platform = ""

    def ip(self, number):
        """Returns the address of a host."""
        first, second = self._network
        return f"127.{first}.{second + number // 250}.{number % 250 + 1}"

    async def start_platform(self, routes):
        """Starts the store and writes the first desired state."""
        self.put_config(100, routes)
        self._platform = await self.store.server.start(self.ip(249))

    def put_config(self, version, routes, services=(SERVICE,)):
        """Writes a desired state, as the operator does."""
        state = {
            "version": version,
            "routes": routes,
            "services": [{"name": s, "admissionCheck": False} for s in services],
            "limits": {"maxBodyBytes": 262144},
        }
        self.store.put("op", "config", json.dumps(state).encode())
        names = [route["name"] for route in routes]
        self.record.write(f"operator: version {version}, routes {names} confirmed")

    async def add_entry(self, name, number):
        """Starts an entry on a host."""
        return await self._add("entry", name, number)

    async def add_agent(self, name, number, cpu, on_start=None):
        """Starts an agent and its worker; returns both."""
        program = await self._add("agent", name, number)
        worker = Worker(
            self.record, f"i-{name}", self.ip(number), program.ip, cpu, on_start
        )
        self.workers.append(worker)
        await worker.boot()
        return program, worker

    async def _add(self, role, name, number):
        program = Program(self, role, name, self.ip(number))
        self.programs.append(program)
        await program.start()
        return program

    async def wait_ready(self, entries, timeout_s=20.0):
        """Waits until all entries report themselves ready."""
        async with asyncio.timeout(timeout_s):
            for entry in entries:
                while not await entry.is_ready():
                    await asyncio.sleep(0.1)
        self.record.write("all entries are ready")

    def settings(self, program):
        """Returns the settings of a program, as DEPLOY.md lists them."""
        ip = program.ip
        addresses = {"control": f"{ip}:{CONTROL_PORT}"}
        if program.role == "entry":
            addresses |= {
                "front": f"{ip}:{FRONT_PORT}",
                "readiness": f"{ip}:{READY_PORT}",
            }
        values = {
            "node": program.name,
            "role": program.role,
            "machineClass": "edge" if program.role == "entry" else "side",
            "ip": ip,
            "zone": "north",
            "region": "plain",
            "zones": {"north": "plain"},
            "bindAddresses": addresses,
            "internalPorts": [LINK_PORT, LINK_PORT + 15],
            "seeds": self.seeds,
            "heartbeatMs": int(1000 * HEARTBEAT_S),
            "bounds": {
                "contactMs": 3000,
                "drainMs": 2000,
                "graceS": GRACE_S,
                "configApplyMs": 2000,
                "holdMaxMs": HOLD_MAX_MS,
                "stopMs": STOP_MS,
                "cancel_ms": 3000,
                "recoveryS": 12,
                "remoteFactor": 1.5,
                "retryMs": int(1000 * RETRY_S),
            },
            "orders": "call",
            "platform": {"address": self._platform, "form": "table"},
        }
        if program.role == "agent":
            values |= {"service": SERVICE, "app": f"{ip}:0"}
        return values

    async def post_job(
        self,
        entry,
        job_id,
        count,
        work_ms,
        cpu=1000,
        limit_s=10.0,
        prefix=PREFIX,
        estimate_ms=None,
    ):
        """Submits a best-effort job with one step; returns the status."""
        estimate_ms = estimate_ms or work_ms
        step = {"count": count, "cpu": cpu, "memMb": 64, "estimateMs": estimate_ms}
        spec = json.dumps({"work_ms": work_ms})
        body = {"spec": spec, "steps": [step], "bestEffort": True}
        headers = {"Host": HOST, "X-Deadline-Ms": str(int(1000 * limit_s))}
        self.record.write(f"POST {job_id} to {entry.name}: {count} x {work_ms} ms")
        # Clients wait a little longer, for the way of the answer.
        status, data = await call(
            f"{entry.ip}:{FRONT_PORT}",
            "POST",
            prefix + job_id,
            body,
            headers,
            limit_s + 0.5,
        )
        self.record.write(f"answer to POST {job_id}: {status} {data[:150]!r}")
        return status

    async def end(self):
        """Ends all processes that this case started."""
        for program in self.programs:
            if program.process is not None and program.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    program.process.send_signal(signal.SIGCONT)
                    program.process.kill()
                await program.process.wait()
        for worker in self.workers:
            with contextlib.suppress(Exception):
                worker.crash()


def _limit_descriptors():
    """Sets the limit of descriptors that the users' machines have."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    limit = MAX_FDS if hard == resource.RLIM_INFINITY else min(MAX_FDS, hard)
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit, hard))


def find_overlaps(workers):
    """Returns a line for each task that ran twice at the same time."""
    by_task = {}
    for run in (run for worker in workers for run in worker.history):
        by_task.setdefault(run["task"], []).append(run)
    lines = []
    for task, runs in by_task.items():
        runs.sort(key=lambda run: run["started_s"])
        for first, second in zip(runs, runs[1:], strict=False):
            ended_s = first["ended_s"] or float("inf")
            if second["started_s"] < ended_s:
                lines.append(
                    f"TWICE: {task} ran at {first['worker']} until {ended_s:.2f} s and"
                    f" at {second['worker']} from {second['started_s']:.2f} s"
                )
    return lines


def make_route(name=ROUTE, prefix=PREFIX, host=HOST):
    """Returns a route of a desired state."""
    return {
        "name": name,
        "host": host,
        "pathPrefix": prefix,
        "service": SERVICE,
        "priority": 0,
        "maxAttempts": 2,
        "stretch": 1.6,
        "targetLatencyMs": 60,
    }


def new_id(generator):
    """Returns a job id: 16 hexadecimal digits."""
    return f"{generator.getrandbits(64):016x}"


def run_case(case_file, main):
    """Runs a case and exits: 1 if the rule was broken, 0 if it held, else 2.

    Args:
        case_file: __file__ of the case; record.txt is written beside it.
        main: Coroutine function of a Rig; returns the violations, one line each, or
            None if the case could not run.
    """
    record = Record(pathlib.Path(case_file).resolve().parent / "record.txt")
    record.write(f"TROUBLE={int(IS_TROUBLE)}")

    async def run():
        with tempfile.TemporaryDirectory() as folder:
            rig = Rig(pathlib.Path(folder), record)
            try:
                async with asyncio.timeout(110):
                    return await main(rig)
            finally:
                await rig.end()
                if os.environ.get("KEEP_LOGS"):
                    for path in pathlib.Path(folder).glob("*.log"):
                        target = pathlib.Path(os.environ["KEEP_LOGS"]) / path.name
                        target.write_bytes(path.read_bytes())

    try:
        violations = asyncio.run(run())
    except Exception as error:
        record.write(f"the case could not run: {error!r}")
        sys.exit(2)
    if violations is None:
        record.write("the case could not run")
        sys.exit(2)
    for line in violations:
        record.write(f"BROKEN {line}")
        print(line)
    record.write("the rule was broken" if violations else "the rule held")
    sys.exit(1 if violations else 0)
