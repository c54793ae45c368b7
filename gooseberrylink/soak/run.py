"""Drives clients and faults against the real programs, and judges them."""

import collections
import dataclasses
import json
import pathlib
import random
import signal

import httpcore
import trio

from gooseberrylink.soak.deployment import HOST, Host, SoakDeployment, front_url
from gooseberrylink.standins.worker import overlapping_runs

_START_S = 4.0
_RETRY_S = 1.3
_DEADLINE_S = 6.0
_JOBS_PER_S = 8.0
# After the last fault; longer than all leases.
_SETTLE_S = 5.0
_REFUSALS = (429, 503)


@dataclasses.dataclass(slots=True)
class SoakResult:
    """What a run showed.

    Attributes:
        answers: How often each status was answered; 0 for no answer.
        faults: The faults in order, with their time in seconds.
        broken: Broken promises, one line each.
    """

    answers: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    faults: list[str] = dataclasses.field(default_factory=list)
    broken: list[str] = dataclasses.field(default_factory=list)


class Soak:
    """One seeded run."""

    def __init__(self, seed: int, duration_s: float, folder: pathlib.Path):
        self._rng = random.Random(seed)
        self._seed = seed
        self._duration_s = duration_s
        self._folder = folder
        self._began_s = 0.0
        self._statuses: dict[str, list[int]] = {}
        self.result = SoakResult()

    async def run(self) -> SoakResult:
        """Runs to the end; all processes are ended then."""
        async with trio.open_nursery() as nursery:
            deployment = SoakDeployment(self._folder, nursery, self._seed)
            try:
                await deployment.start()
                await trio.sleep(_START_S)
                await self._load(deployment)
                self._judge(deployment)
            finally:
                deployment.stop()
                nursery.cancel_scope.cancel()
        return self.result

    async def _load(self, deployment: SoakDeployment) -> None:
        self._began_s = trio.current_time()
        ends_s = self._began_s + self._duration_s
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cause_faults, deployment, ends_s)
            number = 0
            while trio.current_time() < ends_s + _SETTLE_S:
                job_id = f"{self._rng.getrandbits(64):016x}"
                nursery.start_soon(self._client, deployment, job_id)
                number += 1
                await trio.sleep(self._rng.expovariate(_JOBS_PER_S))

    # Clients.

    async def _client(self, deployment: SoakDeployment, job_id: str) -> None:
        """Hands a job in, and again elsewhere if its connection breaks."""
        spec = json.dumps(
            {"run_s": self._rng.uniform(0.05, 0.9), "units": 1500}, sort_keys=True
        )
        step = {"count": self._rng.randint(1, 5), "cpu": 1500, "estimateMs": 300}
        body = json.dumps({"spec": spec, "steps": [step], "bestEffort": True})
        statuses = self._statuses[job_id] = []
        ends_s = trio.current_time() + _DEADLINE_S
        while trio.current_time() < ends_s:
            entry = self._rng.choice(deployment.entries)
            status = await self._post(front_url(entry, job_id), body.encode(), ends_s)
            statuses.append(status)
            self.result.answers[status] += 1
            if status not in (0, 502, 504):
                return
            await trio.sleep(_RETRY_S)

    async def _post(self, url: str, body: bytes, ends_s: float) -> int:
        left_ms = max(1, round(1000 * (ends_s - trio.current_time())))
        headers = {"Host": HOST, "X-Deadline-Ms": str(left_ms)}
        with trio.move_on_at(ends_s):
            try:
                async with httpcore.AsyncConnectionPool() as pool:
                    answer = await pool.request(
                        "POST", url, headers=headers, content=body
                    )
                return answer.status
            except (httpcore.NetworkError, httpcore.ProtocolError):
                return 0
        return 0

    # Faults.

    async def _cause_faults(self, deployment: SoakDeployment, ends_s: float) -> None:
        async with trio.open_nursery() as nursery:
            while trio.current_time() < ends_s:
                await trio.sleep(self._rng.uniform(0.3, 1.5))
                nursery.start_soon(self._cause_fault, deployment)

    async def _cause_fault(self, deployment: SoakDeployment) -> None:
        host = self._rng.choice(deployment.hosts)
        worker = self._rng.choice(deployment.workers)
        kinds = ["kill", "term", "freeze", "store", "silent", "late", "hang", "crash"]
        kind = self._rng.choice(kinds)
        for_s = self._rng.uniform(0.3, 3.0)
        at_s = trio.current_time() - self._began_s
        name = host.name if kind in ("kill", "term", "freeze") else worker.name
        self.result.faults.append(f"{at_s:.2f} {kind} {name} {for_s:.2f}")
        if kind in ("kill", "term"):
            await self._end_process(deployment, host, kind, for_s)
        elif kind == "freeze":
            host.send(signal.SIGSTOP)
            await trio.sleep(for_s)
            host.send(signal.SIGCONT)
        elif kind == "store":
            deployment.store.is_down = True
            await trio.sleep(for_s)
            deployment.store.is_down = False
        elif kind == "silent":
            worker.is_silent = True
            await trio.sleep(for_s)
            worker.is_silent = False
        elif kind == "late":
            worker.late_s = self._rng.uniform(0.3, 2.0)
            await trio.sleep(for_s)
            worker.late_s = 0.0
        elif kind == "hang":
            worker.is_hung = True
            await trio.sleep(for_s)
            worker.is_hung = False
        else:
            worker.crash()

    async def _end_process(
        self, deployment: SoakDeployment, host: Host, kind: str, down_s: float
    ) -> None:
        process = host.process
        if process is None:
            return
        host.send(signal.SIGCONT)
        host.send(signal.SIGKILL if kind == "kill" else signal.SIGTERM)
        while process.poll() is None:
            await trio.sleep(0.05)
        if host.process is not process:
            return
        host.process = None
        await trio.sleep(down_s)
        deployment.restart(host)

    # Promises.

    def _judge(self, deployment: SoakDeployment) -> None:
        broken = self.result.broken
        for name in overlapping_runs(deployment.workers):
            broken.append(f"two runs of {name} at the same time")
        for worker in deployment.workers:
            if worker.most_units > worker.units:
                broken.append(f"{worker.name} ran {worker.most_units} units")
        ran = {
            run.key.name.partition(".")[0]
            for worker in deployment.workers
            for run in worker.runs
        }
        for job_id, statuses in self._statuses.items():
            is_refused = bool(statuses) and all(s in _REFUSALS for s in statuses)
            if is_refused and job_id in ran:
                broken.append(f"{job_id} was refused, yet it ran")
            if 200 in statuses and job_id not in ran:
                broken.append(f"{job_id} was answered without any run")
