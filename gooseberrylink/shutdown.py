"""Runs a program until a signal asks it to stop."""

import signal
from typing import Protocol

import trio

from gooseberrylink.logs import log_event


class Daemon(Protocol):
    """A program that run_until_signal can start and stop."""

    async def run(self, task_status) -> None:
        """Serves until shut down or cancelled."""

    async def shut_down(self) -> None:
        """Finishes work in progress and stops; if cancelled, stops at once."""


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
