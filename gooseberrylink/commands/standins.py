"""Implements the commands that run stand-ins, for manual experiments."""

import signal

import trio
from cleo.commands.command import Command
from cleo.helpers import option

from gooseberrylink.commands.exit_codes import ExitCode
from gooseberrylink.commands.startup import run_and_report
from gooseberrylink.http_server import serve_http
from gooseberrylink.logs import configure_logs, log_event
from gooseberrylink.standins.backend import BackendApi, FakeBackend
from gooseberrylink.standins.platform import FakePlatform, PlatformApi


async def _wait_for_signal() -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        await anext(signals)


class PlatformCommand(Command):
    """Runs a stand-in for the platform."""

    name = "standin-platform"
    description = "Runs a stand-in for the platform's table service and object store."
    # cleo formats the help text, so its braces are doubled.
    help = (
        "Keeps all data in memory. PUT /v1/mode with "
        '{{"mode": "up|down|loses-answers|loses-requests", "latency_s": 0}} '
        "changes its behaviour."
    )
    options = [
        option("listen", None, "host:port", flag=False, default="127.0.0.1:7400")
    ]

    def handle(self) -> int:
        """Serves until SIGTERM or SIGINT."""
        configure_logs()
        return run_and_report(self, self._serve)

    async def _serve(self) -> None:
        app = PlatformApi(FakePlatform()).app
        async with trio.open_nursery() as nursery:
            address = await nursery.start(
                serve_http, app, self.option("listen"), _wait_for_signal
            )
            log_event("platform_standin_started", address=address)


class BackendCommand(Command):
    """Runs a stand-in for a backend server."""

    name = "standin-backend"
    description = "Runs a stand-in for a backend server that announces itself."
    help = (
        'The payload of a task may be {{"run_s": 0.2, "value": ..., "fail": false}}. '
        "GET /starts lists the started tasks."
    )
    options = [
        option("listen", None, "host:port", flag=False, default="127.0.0.1:0"),
        option("agent", None, "host:port of its agent", flag=False),
        option("service", None, "Service whose tasks it runs", flag=False),
        option("slots", None, "Number of slots", flag=False, default="8"),
        option(
            "speed",
            None,
            "Speed relative to a typical worker",
            flag=False,
            default="1.0",
        ),
    ]

    def handle(self) -> int:
        """Serves until SIGTERM or SIGINT."""
        if not self.option("agent") or not self.option("service"):
            self.line_error(
                "<error>the options --agent and --service are required</error>"
            )
            return ExitCode.USAGE
        configure_logs()
        return run_and_report(self, self._serve)

    async def _serve(self) -> None:
        backend = FakeBackend("standin", float(self.option("speed")))
        api = BackendApi(backend, self.option("service"), int(self.option("slots")))
        async with trio.open_nursery() as nursery:
            address = await nursery.start(
                serve_http, api.app, self.option("listen"), trio.sleep_forever
            )
            log_event("backend_standin_started", address=address)
            nursery.start_soon(api.announce_forever, self.option("agent"), address)
            await _wait_for_signal()
            nursery.cancel_scope.cancel()
