"""Defines the exceptions that several modules share."""

from gooseberrylink.codes import Code


class GooseberrylinkError(Exception):
    """Base class of the package's errors, except those about request bodies in asgi."""


class LinkClosedError(GooseberrylinkError):
    """The link to a peer is closed, or could not be opened."""


class MalformedAddressError(GooseberrylinkError, ValueError):
    """An address is not host:port."""


class MalformedAnnouncementError(GooseberrylinkError, ValueError):
    """An announcement names no backend server that can be used."""


class ListenError(GooseberrylinkError):
    """An address can't be listened on, for example because it is in use."""


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


class UnreadableEstimatesError(GooseberrylinkError):
    """Stored estimates can't be used.

    Attributes:
        reason: snake_case reason, for counters.
    """

    def __init__(self, reason: str, detail: str):
        super().__init__(detail)
        self.reason = reason


def first_leaf(group: BaseExceptionGroup) -> BaseException:
    """Returns the first exception in a group that is not a group itself."""
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
