"""Runs a caller's job and cancels it if the caller disconnects."""

import trio

from gooseberrylink.asgi import Receive
from gooseberrylink.codes import Code
from gooseberrylink.entry import Entry
from gooseberrylink.logs import log_event
from gooseberrylink.types import Answer, JobRequest
from gooseberrylink.unexpected_errors import record_unexpected_error

# Rounds of the event loop in which a disconnect that has already arrived cancels the
# job: the connection is read, and the disconnect passes through two tasks.
_DISCONNECT_ROUNDS = 4


async def run_until_disconnect(
    entry: Entry, job: JobRequest, receive: Receive
) -> Answer:
    """Runs a job and returns its answer; cancels it if the caller disconnects.

    A job is not submitted if its caller disconnected before its request was read. The
    request may have waited, so the caller may have sent the job again.

    Args:
        entry: Entry that runs the job.
        job: The job.
        receive: Returns the next ASGI message after the request's body.
    """
    answer = Answer(Code.CANCELLED_MAY_HAVE_RUN, "the caller disconnected")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_cancel_on_disconnect, entry, job, receive, nursery)
        for _ in range(_DISCONNECT_ROUNDS):
            await trio.lowlevel.checkpoint()
        try:
            answer = await entry.submit(job)
        except Exception as error:
            record_unexpected_error(entry.metrics, "job", error, job=job.job_id)
            answer = Answer(
                Code.INTERNAL_ERROR,
                f"entry {entry.settings.entry} failed with an unexpected error; its log"
                " has the event unexpected_error",
            )
        nursery.cancel_scope.cancel()
    return answer


async def _cancel_on_disconnect(
    entry: Entry, job: JobRequest, receive: Receive, nursery: trio.Nursery
) -> None:
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            entry.metrics.add("callers_hung_up")
            log_event("caller_disconnected", job=job.job_id)
            nursery.cancel_scope.cancel()
            return
