"""Defines the exit codes of the command line; docs/ERRORS.md lists them."""

import enum

from gooseberrylink.codes import ExecutionStatus


class ExitCode(enum.IntEnum):
    """Exit codes of all commands.

    NOT_RUN, RAN and MAY_HAVE_RUN are exit codes of `submit` for a job that did not
    succeed, and NOT_RUN of `explain` for one that would be refused; CONFLICT,
    NOT_APPLIED and APPLY_UNKNOWN are exit codes of `apply` and `evacuate`;
    GUARANTEE_VIOLATED is an exit code of `bench`, `demo` and `soak`.
    """

    OK = 0
    USAGE = 2
    INVALID_FILE = 3
    UNREACHABLE = 4
    CANT_LISTEN = 5
    NOT_RUN = 10
    RAN = 11
    MAY_HAVE_RUN = 12
    CONFLICT = 20
    NOT_APPLIED = 21
    APPLY_UNKNOWN = 22
    GUARANTEE_VIOLATED = 30


EXIT_CODE_BY_EXECUTION = {
    ExecutionStatus.NOT_RUN: ExitCode.NOT_RUN,
    ExecutionStatus.RAN: ExitCode.RAN,
    ExecutionStatus.MAY_HAVE_RUN: ExitCode.MAY_HAVE_RUN,
}
