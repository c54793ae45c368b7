"""Runs a program on the platform: python -m gooseberrylink.platform entry."""

import sys

from gooseberrylink.exceptions import ConfigError
from gooseberrylink.platform.programs import AgentProgram, EntryProgram, run_program
from gooseberrylink.platform.settings import settings_path

_PROGRAMS = {"entry": EntryProgram, "agent": AgentProgram}
_EXIT_USAGE = 2
_EXIT_INVALID_FILE = 3


def main(arguments: list[str]) -> int:
    """Runs the program that the arguments name; returns the exit code."""
    if len(arguments) != 1 or arguments[0] not in _PROGRAMS:
        print(f"expected one of {', '.join(_PROGRAMS)}", file=sys.stderr)
        return _EXIT_USAGE
    try:
        run_program(_PROGRAMS[arguments[0]], settings_path())
    except ConfigError as error:
        print("\n".join(error.faults), file=sys.stderr)
        return _EXIT_INVALID_FILE
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
