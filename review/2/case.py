"""One liveness report with an unreadable id reaches each of two side machines."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins.deployment import Deployment, make_route, run_case
from standins.http import call
from standins.worker import Capacity

_CAPACITY = Capacity(16_000, 65_536)
_ROUNDS = 4
# Bytes that are no UTF-8, percent-encoded as a path requires.
_UNREADABLE_ID = "i-%FF%FE"


def _job() -> dict:
    spec = '{"ms": 1520, "cpu": 1600, "memMb": 64}'
    step = {"count": 4, "cpu": 1600, "memMb": 64, "estimateMs": 1520}
    return {"spec": spec, "steps": [step], "bestEffort": True}


async def judge(deployment: Deployment) -> list[str]:
    """Sends jobs while the reports arrive."""
    await deployment.start(2, 4, _CAPACITY, [make_route("lohu930")])
    await deployment.wait_until_ready(deployment.edges, 20)
    await asyncio.sleep(3)
    for round_number in range(_ROUNDS):
        jobs = [
            asyncio.create_task(
                deployment.submit(
                    deployment.edges, "lohu930", deployment.new_job_id(), _job()
                )
            )
            for _ in range(6)
        ]
        await asyncio.sleep(0.5)
        if deployment.has_trouble and round_number == 0:
            for worker in deployment.workers[:2]:
                await _send_unreadable_report(deployment, worker)
        await asyncio.gather(*jobs)
        await asyncio.sleep(4)
    breaks = []
    ended = [side for side in deployment.sides if len(side.own_ends) >= 3]
    # The rule: on a tenth of the machines in use, two at least.
    if len(ended) >= 2:
        for side in ended:
            breaks.append(
                f"{side.name}: its process ended by itself {len(side.own_ends)} times:"
                f" {side.last_error()}"
            )
    return breaks


async def _send_unreadable_report(deployment: Deployment, worker) -> None:
    path = f"/Instances.Heartbeat/{_UNREADABLE_ID}"
    report = worker.heartbeat() | {"address": worker.address}
    reply = await call(worker.control, "POST", path, report, timeout_s=1.0)
    deployment.record.add(
        f"report with id {_UNREADABLE_ID} to {worker.control} ->"
        f" {reply.status or 'no response'}"
    )


if __name__ == "__main__":
    sys.exit(run_case(pathlib.Path(__file__).resolve().parent, judge))
