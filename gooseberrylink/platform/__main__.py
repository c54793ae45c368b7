"""Runs the entry or the agent on the platform.

Usage: python -m gooseberrylink.platform entry|agent
"""

import sys

from gooseberrylink.exceptions import ConfigError, ListenError
from gooseberrylink.platform.common import run_program
from gooseberrylink.platform.settings import settings_path

_EXIT_USAGE = 2
_EXIT_INVALID_FILE = 3
_EXIT_CANT_LISTEN = 5
_PROGRAMS = ("entry", "agent")


def main(arguments: list[str]) -> int:
    """Runs the program named on the command line; returns the exit code."""
    if len(arguments) != 1 or arguments[0] not in _PROGRAMS:
        print(
            f"expected one argument, one of {', '.join(_PROGRAMS)}; got {arguments}",
            file=sys.stderr,
        )
        return _EXIT_USAGE
    try:
        run_program(_import_program(arguments[0]), settings_path())
    except ConfigError as error:
        print("\n".join(error.errors), file=sys.stderr)
        return _EXIT_INVALID_FILE
    except ListenError as error:
        print(error, file=sys.stderr)
        return _EXIT_CANT_LISTEN
    return 0


def _import_program(name: str):
    """Imports only the requested program, to keep the startup short."""
    if name == "entry":
        from gooseberrylink.platform.entry_program import EntryProgram

        return EntryProgram
    from gooseberrylink.platform.agent_program import AgentProgram

    return AgentProgram


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
