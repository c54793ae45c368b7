"""Defines the exceptions that the package raises."""

from gooseberrylink.codes import Code


class GooseberrylinkError(Exception):
    """Base of all errors of this package."""


class LinkClosedError(GooseberrylinkError):
    """The link to a peer is closed, or could not be opened."""


class ConfigError(GooseberrylinkError):
    """A settings or declarations file is not valid.

    Attributes:
        errors: One message for each error, with file, line and field where they are
            known.
    """

    def __init__(self, errors: list[str]):
        super().__init__("\n".join(errors))
        self.errors = errors


class RefusedError(GooseberrylinkError):
    """A job was refused before any of its tasks was started.

    Attributes:
        code: A 1xx code.
        detail: Explanation for the caller.
        retry_after_s: Time after which a new submission may succeed; None if the
            answer suggests no time.
    """

    def __init__(self, code: Code, detail: str, retry_after_s: float | None = None):
        super().__init__(detail)
        self.code = code
        self.detail = detail
        self.retry_after_s = retry_after_s
