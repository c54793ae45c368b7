"""Two machines are added, and their settings files change; see claim.txt."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "rig3"))

import rig  # noqa: E402

SPARE = ("edge-3", "side-4")
# Time from the start of a process until its settings file changes.
CHANGE_AFTER_S = 0.2
# The short delay after which the platform starts a process again.
RESTART_S = 0.5
CHANGES = 3
# The day counts 0 if processes end by themselves so often on so many machines.
MAX_ENDS, MACHINES = 3, 2


async def run_case(installation: rig.Installation, has_trouble: bool) -> list[str]:
    """Runs the case; returns a line if the programs ended too often."""
    added = [p for p in installation.programs if p.name in SPARE]
    ends = [0] * len(added)

    async def add(index: int) -> None:
        program = added[index]
        program.start()
        installation.record.add(f"{program.name} is added")
        for number in range(CHANGES):
            await asyncio.sleep(CHANGE_AFTER_S)
            program.settings["seeds"] = program.settings["seeds"][::-1]
            program.write_settings()
            if has_trouble:
                program.signal(signal.SIGHUP)
            installation.record.add(f"{program.name}: change {number + 1} of its file")
            await asyncio.sleep(RESTART_S)
            if program.has_ended():
                ends[index] += 1
                installation.record.add(
                    f"{program.name} ended by itself, exit code {program.exit_code()};"
                    " the platform starts it again"
                )
                program.start()

    await asyncio.gather(*(add(index) for index in range(len(added))))
    await installation.wait_ready(added[0])
    if sum(count >= MAX_ENDS for count in ends) < MACHINES:
        return []
    return [
        f"Fault: {program.name} ended by itself {count} times"
        for program, count in zip(added, ends, strict=True)
    ]


rig.main(run_case, FOLDER, entries=3, workers=4, spare=SPARE)
