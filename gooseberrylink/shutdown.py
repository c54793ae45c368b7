"""Runs a program until a signal asks it to stop."""

import signal
from collections.abc import Awaitable, Callable
from typing import Protocol

import trio

from gooseberrylink.clock import SuspensionAwareClock
from gooseberrylink.exceptions import ListenError, first_leaf
from gooseberrylink.logs import log_event


class Daemon(Protocol):
    """A program that run_until_signal can start and stop."""

    async def run(self, task_status) -> None:
        """Serves until shut down or cancelled."""

    async def shut_down(self) -> None:
        """Finishes work in progress and stops; if cancelled, stops at once."""


def run_daemon(main: Callable[..., Awaitable[None]], *arguments: object) -> None:
    """Runs an async function with trio until it returns.

    Its clock counts the time for which the host is suspended.

    Raises:
        ListenError: An address can't be listened on, and nothing else failed.
    """
    try:
        trio.run(main, *arguments, clock=SuspensionAwareClock())
    except BaseExceptionGroup as group:
        listen_errors, other_errors = group.split(ListenError)
        if listen_errors is None or other_errors is not None:
            raise
        raise first_leaf(listen_errors) from None


async def run_until_signal(daemon: Daemon) -> None:
    """Runs a daemon; SIGTERM or SIGINT drains it, a second one stops it at once."""
    async with trio.open_nursery() as nursery:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            await nursery.start(daemon.run)
            await anext(signals)
            with trio.CancelScope() as scope:
                async with trio.open_nursery() as drain_nursery:
                    drain_nursery.start_soon(_cancel_on_signal, signals, scope)
                    await daemon.shut_down()
                    drain_nursery.cancel_scope.cancel()


async def _cancel_on_signal(signals, scope: trio.CancelScope) -> None:
    await anext(signals)
    log_event("shutdown_forced", "WARNING")
    scope.cancel()
