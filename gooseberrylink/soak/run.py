"""Submits jobs to the real programs, injects faults and checks the guarantees."""

import collections
import dataclasses
import json
import pathlib
import random
import signal

import httpcore
import trio

from gooseberrylink.soak.deployment import (
    ROUTE_HOST,
    ProgramHost,
    SoakDeployment,
    job_url,
)
from gooseberrylink.standins.leased_backend import (
    FakeLeasedBackend,
    find_tasks_with_overlapping_runs,
)

_STARTUP_WAIT_S = 4.0
_RETRY_DELAY_S = 1.3
_DEADLINE_S = 6.0
_JOBS_PER_S = 8.0
# Time with load but without faults at the end of a run. It is longer than all leases,
# so that the consequences of the last faults show as well.
_FAULT_FREE_TAIL_S = 5.0
_REFUSAL_STATUSES = (429, 503)
# Time after the request by which no task starts in an evacuated data centre.
_EVACUATED_WITHIN_S = 5.0


@dataclasses.dataclass(slots=True)
class SoakResult:
    """Outcome of a soak run.

    Attributes:
        status_counts: Number of responses by HTTP status; 0 means no response.
        faults: The injected faults in order: seconds since the start, kind, name of
            the host or of the backend server, and duration in seconds. The name has no
            meaning for the kind "store", and the duration none for "crash". "evacuate"
            empties the data centre of the backend server.
        violations: Violated guarantees, one line each.
    """

    status_counts: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    faults: list[str] = dataclasses.field(default_factory=list)
    violations: list[str] = dataclasses.field(default_factory=list)


class Soak:
    """One soak run, whose load and faults are drawn from a seeded generator."""

    def __init__(self, seed: int, duration_s: float, folder: pathlib.Path):
        self._rng = random.Random(seed)
        self._seed = seed
        self._duration_s = duration_s
        self._folder = folder
        self._started_s = 0.0
        self._statuses: dict[str, list[int]] = {}
        # Backend servers, and the times between which they must start nothing.
        self._evacuations: list[tuple[FakeLeasedBackend, float, float]] = []
        self.result = SoakResult()

    async def run(self) -> SoakResult:
        """Generates load, injects faults, checks guarantees and ends all processes."""
        async with trio.open_nursery() as nursery:
            deployment = SoakDeployment(self._folder, nursery, self._seed)
            try:
                await deployment.start()
                await trio.sleep(_STARTUP_WAIT_S)
                await self._generate_load(deployment)
                self._check_guarantees(deployment)
            finally:
                deployment.stop()
                nursery.cancel_scope.cancel()
        return self.result

    async def _generate_load(self, deployment: SoakDeployment) -> None:
        self._started_s = trio.current_time()
        end_s = self._started_s + self._duration_s
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._inject_faults, deployment, end_s)
            nursery.start_soon(self._evacuate, deployment, end_s)
            number = 0
            while trio.current_time() < end_s + _FAULT_FREE_TAIL_S:
                job_id = f"{self._rng.getrandbits(64):016x}"
                nursery.start_soon(self._run_caller, deployment, job_id)
                number += 1
                await trio.sleep(self._rng.expovariate(_JOBS_PER_S))

    async def _run_caller(self, deployment: SoakDeployment, job_id: str) -> None:
        """Submits a job until a response says whether it ran.

        Status 502, 504 or no response leaves this open; the job is then submitted
        again until its deadline.
        """
        spec = json.dumps(
            {"run_s": self._rng.uniform(0.05, 0.9), "units": 1500}, sort_keys=True
        )
        step = {"count": self._rng.randint(1, 5), "cpu": 1500, "estimateMs": 300}
        body = json.dumps({"spec": spec, "steps": [step], "bestEffort": True})
        statuses = self._statuses[job_id] = []
        end_s = trio.current_time() + _DEADLINE_S
        while trio.current_time() < end_s:
            entry = self._rng.choice(deployment.entries)
            status = await self._post(job_url(entry, job_id), body.encode(), end_s)
            statuses.append(status)
            self.result.status_counts[status] += 1
            if status not in (0, 502, 504):
                return
            await trio.sleep(_RETRY_DELAY_S)

    async def _post(self, url: str, body: bytes, end_s: float) -> int:
        remaining_ms = max(1, round(1000 * (end_s - trio.current_time())))
        headers = {"Host": ROUTE_HOST, "X-Deadline-Ms": str(remaining_ms)}
        with trio.move_on_at(end_s):
            try:
                async with httpcore.AsyncConnectionPool() as pool:
                    response = await pool.request(
                        "POST", url, headers=headers, content=body
                    )
                return response.status
            except (httpcore.NetworkError, httpcore.ProtocolError):
                return 0
        return 0

    async def _inject_faults(self, deployment: SoakDeployment, end_s: float) -> None:
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end_s:
                await trio.sleep(self._rng.uniform(0.3, 1.5))
                nursery.start_soon(self._inject_fault, deployment)

    async def _inject_fault(self, deployment: SoakDeployment) -> None:
        host = self._rng.choice(deployment.hosts)
        backend = self._rng.choice(deployment.backends)
        kinds = ["kill", "term", "freeze", "store", "silent", "late", "hang", "crash"]
        kind = self._rng.choice(kinds)
        fault_duration_s = self._rng.uniform(0.3, 3.0)
        at_s = trio.current_time() - self._started_s
        name = host.name if kind in ("kill", "term", "freeze") else backend.name
        self.result.faults.append(f"{at_s:.2f} {kind} {name} {fault_duration_s:.2f}")
        if kind in ("kill", "term"):
            await self._restart_program(deployment, host, kind, fault_duration_s)
        elif kind == "freeze":
            host.send_signal(signal.SIGSTOP)
            await trio.sleep(fault_duration_s)
            host.send_signal(signal.SIGCONT)
        elif kind == "store":
            deployment.store.is_down = True
            await trio.sleep(fault_duration_s)
            deployment.store.is_down = False
        elif kind == "silent":
            backend.is_unresponsive = True
            await trio.sleep(fault_duration_s)
            backend.is_unresponsive = False
        elif kind == "late":
            backend.execution_delay_s = self._rng.uniform(0.3, 2.0)
            await trio.sleep(fault_duration_s)
            backend.execution_delay_s = 0.0
        elif kind == "hang":
            backend.is_hung = True
            await trio.sleep(fault_duration_s)
            backend.is_hung = False
        else:
            backend.crash()

    async def _evacuate(self, deployment: SoakDeployment, end_s: float) -> None:
        """Empties one data centre after the other and takes it back."""
        # The other faults of a seed do not depend on these numbers.
        rng = random.Random(self._seed)
        hosts = list(zip(deployment.agents, deployment.backends, strict=True))
        while trio.current_time() < end_s:
            await trio.sleep(rng.uniform(0.3, 2.0))
            agent, backend = rng.choice(hosts)
            requested_s, duration_s = trio.current_time(), rng.uniform(0.3, 9.0)
            self.result.faults.append(
                f"{requested_s - self._started_s:.2f} evacuate {backend.name}"
                f" {duration_s:.2f}"
            )
            deployment.request_evacuation(agent.data_centre)
            await trio.sleep(duration_s)
            deployment.end_evacuation(agent.data_centre)
            self._evacuations.append(
                (backend, requested_s + _EVACUATED_WITHIN_S, trio.current_time())
            )

    async def _restart_program(
        self, deployment: SoakDeployment, host: ProgramHost, kind: str, down_s: float
    ) -> None:
        process = host.process
        if process is None:
            return
        host.send_signal(signal.SIGCONT)
        host.send_signal(signal.SIGKILL if kind == "kill" else signal.SIGTERM)
        while process.poll() is None:
            await trio.sleep(0.05)
        if host.process is not process:
            return
        host.process = None
        await trio.sleep(down_s)
        deployment.start_program(host)

    def _check_guarantees(self, deployment: SoakDeployment) -> None:
        violations = self.result.violations
        for name in find_tasks_with_overlapping_runs(deployment.backends):
            violations.append(f"two runs of task {name} overlapped in time")
        for backend in deployment.backends:
            if backend.peak_units > backend.capacity_units:
                violations.append(
                    f"backend server of {backend.name} used {backend.peak_units} of "
                    f"{backend.capacity_units} units"
                )
        for backend, from_s, to_s in self._evacuations:
            count = sum(from_s < run.started_s < to_s for run in backend.runs)
            if count:
                violations.append(
                    f"{count} runs of {backend.name} started in an evacuated data"
                    " centre"
                )
        ran = {
            run.key.name.partition(".")[0]
            for backend in deployment.backends
            for run in backend.runs
        }
        for job_id, statuses in self._statuses.items():
            is_refused = bool(statuses) and all(
                s in _REFUSAL_STATUSES for s in statuses
            )
            if is_refused and job_id in ran:
                violations.append(f"job {job_id} was refused, but it ran")
            if 200 in statuses and job_id not in ran:
                violations.append(
                    f"job {job_id} was answered with status 200, but it never ran"
                )
