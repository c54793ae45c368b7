"""Runs the daemons from the command line."""

import pathlib

from cleo.commands.command import Command
from cleo.helpers import option

from gooseberrylink.agent_daemon import run_agent
from gooseberrylink.commands.exit_codes import ExitCode
from gooseberrylink.config import AgentSettings, EntrySettings
from gooseberrylink.entry_daemon import run_entry
from gooseberrylink.exceptions import ConfigError
from gooseberrylink.logs import configure_logs
from gooseberrylink.yaml_file import read_model

_SETTINGS_OPTION = option("settings", "s", "Settings file (YAML).", flag=False)


class _DaemonCommand(Command):
    """What both daemons share.

    Attributes:
        settings_model: Model of the settings file.
        run_daemon: Function that runs the daemon.
    """

    options = [_SETTINGS_OPTION]
    settings_model = EntrySettings
    run_daemon = staticmethod(run_entry)

    def handle(self) -> int:
        """Runs the daemon until it is shut down."""
        if not self.option("settings"):
            self.line_error("<error>--settings FILE is missing</error>")
            return ExitCode.USAGE
        try:
            path = pathlib.Path(self.option("settings"))
            settings = read_model(path, self.settings_model)
        except ConfigError as error:
            for fault in error.errors:
                self.line_error(fault)
            return ExitCode.INVALID_FILE
        configure_logs(settings.log_level)
        self.run_daemon(settings)
        return ExitCode.OK


class EntryCommand(_DaemonCommand):
    """Runs an entry."""

    name = "entry"
    description = "Runs an entry: takes callers' jobs and sends tasks to agents."
    help = (
        "Reads its settings from a YAML file (see examples/). SIGTERM stops it "
        "without cutting off a job; a second SIGTERM hurries."
    )


class AgentCommand(_DaemonCommand):
    """Runs an agent."""

    name = "agent"
    description = "Runs an agent: starts tasks at the backend server beside it."
    help = (
        "Reads its settings from a YAML file (see examples/). The backend server "
        "announces itself by PUT /v1/backend on the address in `listen`."
    )
    settings_model = AgentSettings
    run_daemon = staticmethod(run_agent)
