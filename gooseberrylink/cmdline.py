"""Defines the commands of the command line, which are imported on demand."""

import importlib

from cleo.application import Application
from cleo.loaders.factory_command_loader import FactoryCommandLoader

from gooseberrylink import __version__

_COMMANDS = {
    "entry": "gooseberrylink.commands.daemons:EntryCommand",
    "agent": "gooseberrylink.commands.daemons:AgentCommand",
    "standin-platform": "gooseberrylink.commands.standins:PlatformCommand",
    "standin-backend": "gooseberrylink.commands.standins:BackendCommand",
    "submit": "gooseberrylink.commands.submit:SubmitCommand",
    "check": "gooseberrylink.commands.configuration:CheckCommand",
    "apply": "gooseberrylink.commands.configuration:ApplyCommand",
    "evacuate": "gooseberrylink.commands.evacuate:EvacuateCommand",
    "explain": "gooseberrylink.commands.explain:ExplainCommand",
    "status": "gooseberrylink.commands.inspect:StatusCommand",
    "counters": "gooseberrylink.commands.inspect:CountersCommand",
    "demo": "gooseberrylink.commands.bench:DemoCommand",
    "soak": "gooseberrylink.commands.soak:SoakCommand",
    "bench": "gooseberrylink.commands.bench:BenchCommand",
}


def _make_factory(target: str):
    module_name, _, class_name = target.partition(":")

    def make():
        return getattr(importlib.import_module(module_name), class_name)()

    return make


def main() -> None:
    """Runs a command and exits with its exit code."""
    application = Application("gooseberrylink", __version__)
    loader = FactoryCommandLoader(
        {name: _make_factory(target) for name, target in _COMMANDS.items()}
    )
    application.set_command_loader(loader)
    application.run()
