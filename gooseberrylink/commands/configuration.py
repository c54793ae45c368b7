"""Implements the commands `check` and `apply` for declarations."""

import difflib
import json
import pathlib
import secrets

import trio
from cleo.commands.command import Command
from cleo.helpers import argument, option

from gooseberrylink.commands.exit_codes import ExitCode
from gooseberrylink.exceptions import ConfigError
from gooseberrylink.metrics import Metrics
from gooseberrylink.operators.configuration_store import (
    ApplyResult,
    ApplyStatus,
    ConfigurationStore,
)
from gooseberrylink.operators.declarations import to_canonical
from gooseberrylink.operators.entry_client import NoResponseError, call_entry
from gooseberrylink.platform.table_service import HttpTableServiceClient

_EXIT_CODES = {
    ApplyStatus.ACCEPTED: ExitCode.OK,
    ApplyStatus.CONFLICT: ExitCode.CONFLICT,
    ApplyStatus.NOT_APPLIED: ExitCode.NOT_APPLIED,
    ApplyStatus.UNKNOWN: ExitCode.APPLY_UNKNOWN,
}
_FILE_ARGUMENT = argument("file", "File with declarations (YAML); see examples/")
_JSON_OPTION = option("json", None, "Print JSON")
APPLY_OPTIONS = [
    option("platform", "p", "host:port", flag=False, default="127.0.0.1:7400"),
    option(
        "entry",
        "e",
        "host:port of an entry to notify at once; may be repeated",
        flag=False,
        multiple=True,
    ),
    option("timeout", "t", "Timeout in seconds", flag=False, default="10"),
    _JSON_OPTION,
]


class CheckCommand(Command):
    """Checks a file of declarations."""

    name = "check"
    description = "Checks declarations and prints each error with line and field."
    help = "Needs no network. Exit code 0: the file is valid; 3: it is not."
    arguments = [_FILE_ARGUMENT]
    options = [_JSON_OPTION]

    def handle(self) -> int:
        """Checks the file."""
        text, errors = _read_declarations(self.argument("file"))
        if self.option("json"):
            self.line(json.dumps({"valid": not errors, "faults": errors}))
        else:
            for message in errors:
                self.line_error(message)
            if not errors:
                self.line(f"{self.argument('file')}: valid")
        return ExitCode.INVALID_FILE if errors else ExitCode.OK


class ApplyCommand(Command):
    """Applies declarations as the new configuration."""

    name = "apply"
    description = "Applies declarations as the new configuration of all processes."
    help = (
        "Applies nothing unless the whole file is valid. If another operator applied "
        "a change first, prints what changed since --base (exit code 20). Exit code "
        "21: the platform can't be reached, and nothing was applied; 22: its response "
        "was lost and the result can't be read back; run `status`, then apply again."
    )
    arguments = [_FILE_ARGUMENT]
    options = [
        *APPLY_OPTIONS,
        option("base", "b", "Version on which the change is based", flag=False),
    ]

    def handle(self) -> int:
        """Applies the file."""
        text, errors = _read_declarations(self.argument("file"))
        if errors:
            for message in errors:
                self.line_error(message)
            return ExitCode.INVALID_FILE
        base_version = int(self.option("base")) if self.option("base") else None
        return trio.run(self.apply, text, base_version)

    def open_store(self) -> ConfigurationStore:
        """Returns the store of the configuration, at the platform's address."""
        metrics = Metrics("operator", self.name)
        return ConfigurationStore(
            HttpTableServiceClient(self.option("platform"), metrics)
        )

    async def apply(self, text: str, base_version: int | None) -> int:
        """Applies declarations in canonical form, prints the result, notifies entries.

        Returns:
            The exit code.
        """
        store = self.open_store()
        result = await store.apply(
            text, secrets.token_hex(8), base_version, float(self.option("timeout"))
        )
        if result.status is ApplyStatus.ACCEPTED:
            await self._notify_entries(result.version, text)
        self._print(result)
        if result.status is ApplyStatus.CONFLICT:
            await self._print_diff(store, result)
        return _EXIT_CODES[result.status]

    async def _notify_entries(self, version: int, text: str) -> None:
        for address in self.option("entry"):
            body = {"version": version, "text": text}
            try:
                await call_entry(address, "POST", "/v1/configuration", body)
            except NoResponseError as error:
                self.line_error(
                    f"entry {address} did not confirm version {version} and will get "
                    f"it from the platform: {error}"
                )

    def _print(self, result: ApplyResult) -> None:
        if self.option("json"):
            fields = {
                "status": result.status.value,
                "version": result.version,
                "base": result.base_version,
            }
            self.line(json.dumps(fields))
            return
        self.line(
            f"{result.status.value}: version {result.version}, "
            f"based on {result.base_version}, platform {self.option('platform')}"
        )

    async def _print_diff(self, store: ConfigurationStore, result: ApplyResult) -> None:
        before = await store.read_declarations_text(result.base_version) or ""
        after = await store.read_declarations_text(result.version) or ""
        difference = difflib.unified_diff(
            before.splitlines(),
            after.splitlines(),
            f"version {result.base_version}",
            f"version {result.version}",
            lineterm="",
        )
        for line in difference:
            # Cleo would interpret a "<" as the start of a style tag.
            self.line_error(line.replace("<", "\\<"))


def _read_declarations(name: str) -> tuple[str, list[str]]:
    """Returns the declarations in canonical form, or the errors."""
    try:
        text = pathlib.Path(name).read_text(encoding="utf-8")
        return to_canonical(text, name), []
    except (OSError, UnicodeDecodeError) as error:
        return "", [f"{name}: can't be read: {error}"]
    except ConfigError as error:
        return "", error.errors
