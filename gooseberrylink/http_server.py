"""Serves an ASGI application with hypercorn on trio."""

from collections.abc import Awaitable, Callable

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

from gooseberrylink.addresses import split_address
from gooseberrylink.exceptions import ListenError, MalformedAddressError, first_leaf

_KEEP_ALIVE_S = 60.0


def _make_config(address: str, grace_s: float) -> Config:
    config = Config()
    config.bind = [address]
    config.accesslog = None
    config.errorlog = None
    config.keep_alive_timeout = _KEEP_ALIVE_S
    config.graceful_timeout = grace_s
    config.shutdown_timeout = grace_s
    config.include_server_header = False
    return config


async def serve_http(
    app,
    address: str,
    wait_for_shutdown: Callable[[], Awaitable[None]],
    grace_s: float = 5.0,
    task_status=trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves until wait_for_shutdown() returns, then finishes requests in progress.

    Args:
        app: An ASGI application.
        address: host:port to listen on; port 0 selects any free port.
        wait_for_shutdown: Awaited; returns when the server is to stop.
        grace_s: How long requests in progress may take to finish.
        task_status: Receives the host:port that the server listens on.

    Raises:
        ListenError: The address is malformed or in use, possibly in a group.
    """
    try:
        split_address(address)
    except MalformedAddressError as error:
        raise ListenError(f"can't listen: {error}") from None
    binds: list[str] = []

    async def run_server(task_status=trio.TASK_STATUS_IGNORED):
        config = _make_config(address, grace_s)
        try:
            await serve(
                app, config, shutdown_trigger=wait_for_shutdown, task_status=task_status
            )
        except* OSError as errors:
            if binds:
                raise
            cause = first_leaf(errors)
            raise ListenError(f"can't listen on {address}: {cause}") from None

    async with trio.open_nursery() as nursery:
        binds += await nursery.start(run_server)
        task_status.started(binds[0].removeprefix("http://"))
