"""Runs a program on the platform: python -m gooseberrylink.platform entry."""

import sys
import time

_EXIT_USAGE = 2
_EXIT_INVALID_FILE = 3


def main(arguments: list[str]) -> int:
    """Runs the program that the arguments name; returns the exit code."""
    started_s = time.monotonic()
    # These take most of the start, during which runs of an earlier incarnation
    # come to their end.
    from gooseberrylink.exceptions import ConfigError
    from gooseberrylink.platform import programs
    from gooseberrylink.platform.settings import settings_path

    known = {"entry": programs.EntryProgram, "agent": programs.AgentProgram}
    if len(arguments) != 1 or arguments[0] not in known:
        print(f"expected one of {', '.join(known)}", file=sys.stderr)
        return _EXIT_USAGE
    try:
        programs.run_program(known[arguments[0]], settings_path(), started_s)
    except ConfigError as error:
        print("\n".join(error.faults), file=sys.stderr)
        return _EXIT_INVALID_FILE
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
