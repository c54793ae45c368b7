"""Runs a program on the platform: python -m gooseberrylink.platform entry."""

import sys
import time

_EXIT_USAGE = 2
_EXIT_INVALID_FILE = 3
_PROGRAMS = ("entry", "agent")


def main(arguments: list[str]) -> int:
    """Runs the program that the arguments name; returns the exit code."""
    started_s = time.monotonic()
    if len(arguments) != 1 or arguments[0] not in _PROGRAMS:
        print(f"expected one of {', '.join(_PROGRAMS)}", file=sys.stderr)
        return _EXIT_USAGE
    # These take most of the start, during which runs of an earlier incarnation
    # come to their end.
    from gooseberrylink.exceptions import ConfigError
    from gooseberrylink.platform.common import run_program
    from gooseberrylink.platform.settings import settings_path

    try:
        run_program(_program(arguments[0]), settings_path(), started_s)
    except ConfigError as error:
        print("\n".join(error.errors), file=sys.stderr)
        return _EXIT_INVALID_FILE
    return 0


def _program(name: str):
    """Imports one program only, as a host waits for it to start."""
    if name == "entry":
        from gooseberrylink.platform.entry_program import EntryProgram

        return EntryProgram
    from gooseberrylink.platform.agent_program import AgentProgram

    return AgentProgram


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
