"""Implements the commands `entry` and `agent`, which run the daemons."""

import pathlib

from cleo.commands.command import Command
from cleo.helpers import option

from gooseberrylink.agent_daemon import run_agent
from gooseberrylink.commands.exit_codes import ExitCode
from gooseberrylink.commands.startup import run_and_report
from gooseberrylink.entry_daemon import run_entry
from gooseberrylink.exceptions import ConfigError
from gooseberrylink.logs import configure_logs
from gooseberrylink.settings import AgentSettings, EntrySettings
from gooseberrylink.yaml_file import read_model

_SETTINGS_OPTION = option("settings", "s", "Settings file (YAML)", flag=False)


class _DaemonCommand(Command):
    """Base class of the commands that run a daemon.

    Attributes:
        settings_model: Model of the settings file.
        main: Async function that runs the daemon with these settings.
    """

    options = [_SETTINGS_OPTION]
    settings_model = EntrySettings
    main = staticmethod(run_entry)

    def handle(self) -> int:
        """Runs the daemon until it is shut down."""
        if not self.option("settings"):
            self.line_error("<error>the option --settings FILE is required</error>")
            return ExitCode.USAGE
        try:
            path = pathlib.Path(self.option("settings"))
            settings = read_model(path, self.settings_model)
        except ConfigError as error:
            for message in error.errors:
                self.line_error(message)
            return ExitCode.INVALID_FILE
        configure_logs(settings.log_level)
        return run_and_report(self, self.main, settings)


class EntryCommand(_DaemonCommand):
    """Runs an entry."""

    name = "entry"
    description = "Runs an entry: accepts jobs of callers and assigns tasks to agents."
    help = (
        "Reads its settings from a YAML file (see examples/). On SIGTERM it stops "
        "after its jobs have ended; a second SIGTERM stops it at once."
    )


class AgentCommand(_DaemonCommand):
    """Runs an agent."""

    name = "agent"
    description = "Runs an agent: starts tasks at the backend server on its host."
    help = (
        "Reads its settings from a YAML file (see examples/). The backend server "
        "announces itself by PUT /v1/backend on the address in `listen`."
    )
    settings_model = AgentSettings
    main = staticmethod(run_agent)
