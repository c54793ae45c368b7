"""All channels to the workers go silent once; see claim.txt."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "rig3"))

import rig  # noqa: E402

ACK_S = rig.BOUNDS["ackMs"] / 1000
JOBS, TASKS, CPU, WORK_S, DEADLINE_S = 6, 16, 500, 1.5, 6.0
# Time from the jobs' start until the silence.
SILENCE_AFTER_S = 0.8
# By then the ends of all runs have been listed for longer than ackMs.
CHECK_AFTER_S = 2.0 + ACK_S
MAX_SHARE = 1 / 5


async def run_case(installation: rig.Installation, has_trouble: bool) -> list[str]:
    """Runs the case; returns a line if too many ends were not taken note of."""
    record, workers = installation.record, installation.workers
    async with asyncio.TaskGroup() as group:
        for number in range(JOBS):
            entry = installation.entries[number % 2]
            group.create_task(
                installation.submit(
                    entry, f"{number:016x}", WORK_S, TASKS, CPU, DEADLINE_S
                )
            )
        await asyncio.sleep(SILENCE_AFTER_S)
        if has_trouble:
            counts = [worker.channels.silence() for worker in workers]
            record.add(
                f"{counts} open channels to the workers go silent; new ones work"
            )
        silent_s = time.monotonic()
        group.create_task(send_small_jobs(installation))
        await asyncio.sleep(CHECK_AFTER_S)
        late, listed = count_late_ends(workers, silent_s + CHECK_AFTER_S)
    record.add(f"{late} of {listed} ends were not taken note of after {ACK_S:g} s")
    return [f"Acks: {late} of {listed} ends"] if late > MAX_SHARE * listed else []


def count_late_ends(workers: list[rig.Worker], now_s: float) -> tuple[int, int]:
    """Returns how many ends were not taken note of in time, and how many there are."""
    ends = [end for worker in workers for end in worker.ends]
    late = sum(min(end.noted_s, now_s) - end.listed_s > ACK_S for end in ends)
    return late, len(ends)


async def send_small_jobs(installation: rig.Installation) -> None:
    """Sends a small job each half second, to see from when on they are served."""
    for number in range(16):
        entry = installation.entries[number % 2]
        await installation.submit(entry, f"{number + 256:016x}", 0.1, deadline_s=1.5)
        await asyncio.sleep(0.5)


rig.main(run_case, FOLDER, entries=2, workers=3)
