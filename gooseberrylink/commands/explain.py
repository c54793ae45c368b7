"""Implements the command `explain`."""

import collections
import json
import pathlib

import trio
from cleo.commands.command import Command
from cleo.helpers import argument, option

from gooseberrylink.callers.models import JobModel
from gooseberrylink.codes import Code
from gooseberrylink.commands.exit_codes import ExitCode
from gooseberrylink.exceptions import ConfigError
from gooseberrylink.operators.entry_client import NoResponseError, call_entry
from gooseberrylink.yaml_file import read_model


class ExplainCommand(Command):
    """Prints what an entry would do with a job, without sending it."""

    name = "explain"
    description = "Prints where each task of a job would go now and why."
    help = (
        "Sends nothing to any worker and changes nothing. Exit code 0: the job would "
        "be admitted; 10: it would be refused, with the printed code; 4: the entry "
        "can't be reached."
    )
    arguments = [argument("file", "File with the job, such as examples/job.yaml")]
    options = [
        option("entry", "e", "host:port", flag=False, default="127.0.0.1:7401"),
        option("key", "k", "Idempotency key", flag=False, default=""),
        option("json", None, "Print JSON"),
    ]

    def handle(self) -> int:
        """Asks the entry and prints its explanation."""
        try:
            job = read_model(pathlib.Path(self.argument("file")), JobModel)
        except ConfigError as error:
            for message in error.errors:
                self.line_error(message)
            return ExitCode.INVALID_FILE
        try:
            explanation = json.loads(trio.run(self._ask, job))
        except NoResponseError as error:
            self.line_error(f"<error>{error}</error>")
            return ExitCode.UNREACHABLE
        if self.option("json"):
            self.line(json.dumps(explanation, indent=2))
        else:
            self._print(explanation)
        return ExitCode.OK if explanation["code"] == Code.OK else ExitCode.NOT_RUN

    async def _ask(self, job: JobModel) -> bytes:
        key = self.option("key")
        headers = {"Idempotency-Key": key} if key else {}
        _, body = await call_entry(
            self.option("entry"), "POST", "/v1/explain", job.model_dump(), headers
        )
        return body

    def _print(self, explanation: dict) -> None:
        if explanation["code"] != Code.OK:
            retry = explanation.get("retry_after_s")
            hint = f"; try again after {retry} s" if retry is not None else ""
            self.line(
                f"refused: {explanation['code']} {explanation['name']}:"
                f" {explanation['detail']}{hint}"
            )
            return
        self.line(
            f"admitted by {explanation['entry']}: customer {explanation['customer']},"
            f" precedence {explanation['precedence']},"
            f" {explanation['share_in_use']:.0%} of the work in flight; a task that"
            f" waits would do so for about {explanation['expected_wait_s']} s, at most"
            f" {explanation['wait_limit_s']} s"
        )
        rows = []
        for task in explanation["tasks"]:
            states = collections.Counter(w["state"] for w in task["workers"])
            counts = ", ".join(f"{count} {state}" for state, count in states.items())
            chosen = [w for w in task["workers"] if w["state"] == "chosen"]
            run_s = str(chosen[0]["run_s"]) if chosen else ""
            rows.append([str(task["task"]), task["worker"] or "waits", run_s, counts])
        self.render_table(["task", "worker", "run time (s)", "workers"], rows)
