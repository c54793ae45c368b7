"""A burst of jobs whose tasks request memory and no cpu, at a small deployment."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins.deployment import Deployment, make_route, run_case
from standins.worker import Capacity

_CAPACITY = Capacity(16_000, 65_536)
# Two such tasks fit into a worker.
_TASK_MEM_MB = 24_000
_TASK_MS = 340
_ROUNDS = 8
# Usual jobs of two tasks come one by one. In a burst, large jobs come at once, and 1.6
# times as many.
_USUAL_JOBS, _USUAL_TASKS, _USUAL_PAUSE_S = 5, 2, 0.4
_BURST_JOBS, _BURST_TASKS = 8, 8


def _job(tasks: int) -> dict:
    spec = f'{{"ms": {_TASK_MS}, "memMb": {_TASK_MEM_MB}}}'
    # The field cpu is 0 and therefore omitted.
    step = {"count": tasks, "memMb": _TASK_MEM_MB, "estimateMs": _TASK_MS}
    return {"spec": spec, "steps": [step], "bestEffort": True}


async def judge(deployment: Deployment) -> list[str]:
    """Sends jobs one after the other, or several at once."""
    await deployment.start(3, 4, _CAPACITY, [make_route("lohu930")])
    await deployment.wait_until_ready(deployment.edges, 20)
    await asyncio.sleep(2)
    edges = deployment.edges
    for round_number in range(_ROUNDS):
        # Each round's clients begin at another edge machine.
        start = round_number % len(edges)
        order = edges[start:] + edges[:start]
        async with asyncio.TaskGroup() as clients:
            for _ in range(_BURST_JOBS if deployment.has_trouble else _USUAL_JOBS):
                job = _job(_BURST_TASKS if deployment.has_trouble else _USUAL_TASKS)
                job_id = deployment.new_job_id()
                clients.create_task(deployment.submit(order, "lohu930", job_id, job))
                if not deployment.has_trouble:
                    await asyncio.sleep(_USUAL_PAUSE_S)
        await asyncio.sleep(0.5)
    breaks = []
    ended = [edge for edge in edges if len(edge.own_ends) >= 3]
    # The rule: on a tenth of the machines in use, two at least.
    if len(ended) >= 2:
        for edge in ended:
            breaks.append(
                f"{edge.name}: its process ended by itself {len(edge.own_ends)} times:"
                f" {edge.last_error()}"
            )
    return breaks


if __name__ == "__main__":
    sys.exit(run_case(pathlib.Path(__file__).resolve().parent, judge))
