"""A worker that carries an order out late is cut off, and the client sends again."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins.deployment import Deployment, make_route, run_case
from standins.worker import Capacity, find_overlaps

_CAPACITY = Capacity(16_000, 65_536)
_TASK_CPU = 1600
# The mean of refill-book, and its clients' time limit.
_TASK_MS = 1520
_TIME_LIMIT_S = 1.5
# Orders are carried out 2 to 12 s later.
_LATE_S = 3.5
_CUT_AFTER_S = 0.1
_CUT_S = 5.5
_ROUNDS = 3


def _job() -> dict:
    spec = f'{{"ms": {_TASK_MS}, "cpu": {_TASK_CPU}, "memMb": 64}}'
    step = {"count": 1, "cpu": _TASK_CPU, "memMb": 64, "estimateMs": _TASK_MS}
    return {"spec": spec, "steps": [step], "bestEffort": True}


async def judge(deployment: Deployment) -> list[str]:
    """Sends jobs, one of them to a worker in trouble, and again after a 504."""
    await deployment.start(3, 6, _CAPACITY, [make_route("lohu930")])
    await deployment.wait_until_ready(deployment.edges, 20)
    await asyncio.sleep(3)
    for number in range(_ROUNDS):
        edges = deployment.edges[number:] + deployment.edges[:number]
        trouble = asyncio.create_task(_cut_late_worker(deployment))
        for worker in deployment.workers:
            worker.late_start_s = _LATE_S if deployment.has_trouble else None
        await deployment.submit(
            edges,
            "lohu930",
            deployment.new_job_id(),
            _job(),
            attempts=2,
            timeout_s=_TIME_LIMIT_S + 1.0,
            time_limit_s=_TIME_LIMIT_S,
        )
        await trouble
        await asyncio.sleep(3)
    return find_overlaps(deployment.workers)


async def _cut_late_worker(deployment: Deployment) -> None:
    """Cuts off the first worker that leaves an order unanswered."""
    if not deployment.has_trouble:
        return
    known = sum(len(worker.late_tasks) for worker in deployment.workers)
    while sum(len(worker.late_tasks) for worker in deployment.workers) == known:
        await asyncio.sleep(0.005)
    late = [worker for worker in deployment.workers if worker.late_start_s is None]
    for worker in deployment.workers:
        worker.late_start_s = None
    await asyncio.sleep(_CUT_AFTER_S)
    for worker in late:
        worker.cut()
    await asyncio.sleep(_CUT_S)
    for worker in late:
        worker.heal()


if __name__ == "__main__":
    sys.exit(run_case(pathlib.Path(__file__).resolve().parent, judge))
