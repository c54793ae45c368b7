"""Implements the command `submit`."""

import pathlib
import sys

import msgspec
import trio
from cleo.commands.command import Command
from cleo.helpers import argument, option

from gooseberrylink.callers.models import JobModel
from gooseberrylink.codes import Code
from gooseberrylink.commands.exit_codes import EXIT_CODE_BY_EXECUTION, ExitCode
from gooseberrylink.exceptions import ConfigError
from gooseberrylink.operators.entry_client import NoResponseError, call_entry
from gooseberrylink.yaml_file import read_model

# Time for the answer to arrive after the deadline of the job.
_ANSWER_MARGIN_S = 10.0
# For a job without a deadline of its own. The default deadline of a service is at
# most 120 s unless its declaration allows more.
_DEFAULT_WAIT_S = 130.0


class SubmitCommand(Command):
    """Submits a job to an entry and prints the answer."""

    name = "submit"
    description = "Submits a job (JSON or YAML) and prints the complete answer."
    help = (
        "Prints the answer as JSON on standard output. Exit code 0: all tasks "
        "succeeded; otherwise 10: not run, 11: ran, 12: may have run; 4: the entry "
        "can't be reached."
    )
    arguments = [argument("file", "File with the job, such as examples/job.yaml")]
    options = [
        option("entry", "e", "host:port", flag=False, default="127.0.0.1:7401"),
        option("key", "k", "Idempotency key", flag=False, default=""),
    ]

    def handle(self) -> int:
        """Submits the job."""
        try:
            job = read_model(pathlib.Path(self.argument("file")), JobModel)
        except ConfigError as error:
            for message in error.errors:
                self.line_error(message)
            return ExitCode.INVALID_FILE
        if sys.stderr.isatty():
            self.line_error(f"submitting {len(job.tasks)} tasks ...")
        try:
            _, body = trio.run(self._send, job)
        except NoResponseError as error:
            self.line_error(f"<error>{error}</error>")
            return ExitCode.MAY_HAVE_RUN if error.was_sent else ExitCode.UNREACHABLE
        sys.stdout.write(body.decode() + "\n")
        code = Code(msgspec.json.decode(body)["code"])
        return (
            ExitCode.OK
            if code is Code.OK
            else EXIT_CODE_BY_EXECUTION[code.execution_status]
        )

    async def _send(self, job: JobModel) -> tuple[int, bytes]:
        key = self.option("key")
        return await call_entry(
            self.option("entry"),
            "POST",
            "/v1/jobs",
            job.model_dump(),
            {"Idempotency-Key": key} if key else {},
            (job.deadline_s or _DEFAULT_WAIT_S) + _ANSWER_MARGIN_S,
        )
