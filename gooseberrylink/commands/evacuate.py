"""Implements the command `evacuate`."""

import trio
from cleo.helpers import argument, option

from gooseberrylink.commands.configuration import APPLY_OPTIONS, ApplyCommand
from gooseberrylink.commands.exit_codes import ExitCode
from gooseberrylink.exceptions import ConfigError
from gooseberrylink.operators.configuration_store import StoredConfiguration
from gooseberrylink.operators.declarations import Declarations, to_canonical


class EvacuateCommand(ApplyCommand):
    """Evacuates a data centre, or takes that back, in the rules in force."""

    name = "evacuate"
    description = "Starts no more tasks in a data centre until --end takes it back."
    help = (
        "Changes rules.evacuated_data_centres of the configuration in force and "
        "applies it as `apply` does, with the same exit codes. Running tasks end in "
        "peace. Exit code 3: the inventory has no such data centre. Declare the change "
        "in your file as well, or the next `apply` undoes it."
    )
    arguments = [argument("data-centre", "Name of a data centre of the inventory")]
    options = [
        *APPLY_OPTIONS,
        option("end", None, "Take the evacuation back"),
    ]

    def handle(self) -> int:
        """Reads the configuration in force, changes it and applies it."""
        return trio.run(self._change)

    async def _change(self) -> int:
        found = None
        with trio.move_on_after(float(self.option("timeout"))):
            found = await self.open_store().read_newer(0)
        if not isinstance(found, StoredConfiguration):
            reason = f"can't be read: {found.name.lower()}" if found else "is not there"
            self.line_error(
                f"platform {self.option('platform')}: the configuration {reason};"
                " nothing was applied"
            )
            return ExitCode.NOT_APPLIED
        name, is_end = self.argument("data-centre"), self.option("end")
        declarations = Declarations.model_validate_json(found.text)
        names = change_evacuated(
            declarations.rules.evacuated_data_centres, name, is_end
        )
        rules = declarations.rules.model_copy(update={"evacuated_data_centres": names})
        changed = declarations.model_copy(update={"rules": rules})
        try:
            text = to_canonical(changed.model_dump_json(), "configuration in force")
        except ConfigError as error:
            for message in error.errors:
                self.line_error(message)
            return ExitCode.INVALID_FILE
        return await self.apply(text, found.version)


def change_evacuated(names: list[str], name: str, is_end: bool) -> list[str]:
    """Returns the evacuated data centres with one added, or removed if is_end."""
    others = [other for other in names if other != name]
    return others if is_end else [*others, name]
