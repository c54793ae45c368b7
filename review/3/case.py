"""An entry stands still while its machine is cut off; its client sends again."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins.deployment import Deployment, make_route, run_case
from standins.machine import Machine
from standins.worker import Capacity, find_overlaps

_CAPACITY = Capacity(16_000, 65_536)
_TASK_CPU = 1600
# The longest tasks of claim-verify take 8.1 s.
_TASK_MS = 6000
_TIME_LIMIT_S = 10.0
_CUT_AFTER_S = 0.4
# The machine is cut off, and stands still, for this time.
_CUT_S = 3.3
# TCP repeats the end of a connection at doubling intervals, after 0.2 s at first. The
# repeat after 3.0 s falls into the cut, and the next comes 2.9 s after it.
_END_DELAY_S = 1.0
_RETRY_S = 1.3
_ROUNDS = 3


def _job() -> dict:
    spec = f'{{"ms": {_TASK_MS}, "cpu": {_TASK_CPU}, "memMb": 64}}'
    step = {"count": 1, "cpu": _TASK_CPU, "memMb": 64, "estimateMs": _TASK_MS}
    return {"spec": spec, "steps": [step], "bestEffort": True}


async def judge(deployment: Deployment) -> list[str]:
    """Sends jobs whose connection breaks, and sends them again."""
    await deployment.start(3, 6, _CAPACITY, [make_route("lohu930")])
    await deployment.wait_until_ready(deployment.edges, 20)
    await asyncio.sleep(3)
    for number in range(_ROUNDS):
        first, second = deployment.edges[number], deployment.edges[number - 1]
        await _submit_twice(deployment, first, second)
        await asyncio.sleep(3)
    return find_overlaps(deployment.workers)


async def _submit_twice(
    deployment: Deployment, first: Machine, second: Machine
) -> None:
    """Sends a job to an entry, and after the break of its connection to another."""
    job_id = deployment.new_job_id()
    channel = await deployment.open_channel(
        first, "lohu930", job_id, _job(), _TIME_LIMIT_S
    )
    await asyncio.sleep(_CUT_AFTER_S)
    deployment.record.add(f"client: the connection of {job_id} breaks")
    again = asyncio.create_task(_send_again(deployment, second, job_id))
    if deployment.has_trouble:
        first.freeze()
        await asyncio.sleep(_CUT_S)
        first.resume()
        await asyncio.sleep(_END_DELAY_S)
    channel.transport.abort()
    deployment.record.add(f"{first.name}: the end of the connection arrives")
    await again


async def _send_again(deployment: Deployment, edge: Machine, job_id: str) -> None:
    await asyncio.sleep(_RETRY_S)
    await deployment.send(
        edge, "POST", "lohu930", job_id, _job(), time_limit_s=_TIME_LIMIT_S
    )


if __name__ == "__main__":
    sys.exit(run_case(pathlib.Path(__file__).resolve().parent, judge))
