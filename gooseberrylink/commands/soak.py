"""Implements the command `soak`."""

import pathlib
import tempfile

import trio
from cleo.commands.command import Command
from cleo.helpers import option

from gooseberrylink.commands.exit_codes import ExitCode
from gooseberrylink.soak.run import Soak


class SoakCommand(Command):
    """Runs the real programs under random faults and checks the results."""

    name = "soak"
    description = "Runs the real programs under random faults and checks the results."
    options = [
        option(
            "seed",
            None,
            "First seed of the faults and of the load. Default: 1",
            flag=False,
        ),
        option(
            "minutes",
            None,
            "Duration of the faults, in minutes",
            flag=False,
            default="0.5",
        ),
        option("seeds", None, "Number of consecutive seeds. Default: 1", flag=False),
    ]

    def handle(self) -> int:
        """Runs the seeds one after the other."""
        first = int(self.option("seed") or 1)
        duration_s = 60 * float(self.option("minutes"))
        has_violations = False
        for seed in range(first, first + int(self.option("seeds") or 1)):
            folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
            result = trio.run(Soak(seed, duration_s, folder).run)
            status_counts = dict(sorted(result.status_counts.items()))
            self.line(
                f"seed={seed} faults={len(result.faults)} answers={status_counts} "
                f"broken={len(result.violations)} logs={folder}"
            )
            for line in result.violations:
                self.line(f"  {line}")
            has_violations = has_violations or bool(result.violations)
        return ExitCode.GUARANTEE_VIOLATED if has_violations else ExitCode.OK
