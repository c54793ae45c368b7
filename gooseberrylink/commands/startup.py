"""Runs the daemons of commands and reports addresses that can't be listened on."""

from collections.abc import Awaitable, Callable

from cleo.commands.command import Command

from gooseberrylink.commands.exit_codes import ExitCode
from gooseberrylink.exceptions import ListenError
from gooseberrylink.shutdown import run_daemon


def run_and_report(
    command: Command, main: Callable[..., Awaitable[None]], *arguments: object
) -> ExitCode:
    """Runs an async function to its end; returns the exit code of the command."""
    try:
        run_daemon(main, *arguments)
    except ListenError as error:
        command.line_error(f"<error>{error}</error>")
        return ExitCode.CANT_LISTEN
    return ExitCode.OK
