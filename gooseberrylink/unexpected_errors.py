"""Records errors that no code expects, where a process goes on without what failed."""

import pathlib
import traceback

from gooseberrylink.logs import log_event
from gooseberrylink.metrics import Metrics


def record_unexpected_error(
    metrics: Metrics, step: str, error: Exception, **fields: object
) -> None:
    """Logs an error with its place in the code, and counts it.

    Args:
        metrics: Metrics of the process.
        step: What failed, as a snake_case label.
        error: The error.
        **fields: Values for the log that tell which peer or request it concerned.
    """
    metrics.add("unexpected_errors", step)
    frame = traceback.extract_tb(error.__traceback__)[-1]
    log_event(
        "unexpected_error",
        "ERROR",
        step=step,
        place=f"{pathlib.Path(frame.filename).name}:{frame.lineno}",
        error=repr(error),
        **fields,
    )
