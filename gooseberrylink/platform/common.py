"""Provides what the entry and agent programs share: metrics, settings and startup."""

import pathlib
import signal
from collections.abc import Callable

import pydantic
import trio

from gooseberrylink.asgi import PlainRequest, PlainResponse, make_plain_app
from gooseberrylink.backends.lease_settings import LEASE_S, LeaseSettings
from gooseberrylink.exceptions import ConfigError
from gooseberrylink.http_server import serve_http
from gooseberrylink.logs import configure_logs, log_event
from gooseberrylink.metrics import Metrics
from gooseberrylink.platform.settings import (
    Settings,
    format_settings_errors,
    read_settings,
)
from gooseberrylink.shutdown import Daemon, run_daemon, run_until_signal

# For requests whose body is ignored, such as the load balancer's readiness probes.
MAX_IGNORED_BODY_BYTES = 1024
# Part of the grace period that is reserved for sending the last responses.
RESPONSE_FLUSH_S = 0.7
# deploy/system.toml names this port and the path /metrics under `metrics`.
_METRICS_PORT = 9464
_METRICS_CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"
_SETTINGS_CHECK_INTERVAL_S = 1.0
# The next five constants bound how long the tasks of a disconnected entry keep
# running. They should end before a caller resubmits the job, which it does 1.3 s after
# its connection broke.
ENTRY_LEASE_S = 0.8
_BUSY_HEARTBEAT_S = 0.25
_IDLE_HEARTBEAT_S = 0.5
_MAX_MISSED_HEARTBEATS = 3
# How long runs may outlast the lease of their entry if their agent dies as well.
MAX_RUN_AFTER_LEASE_S = 0.35
# Time after an agent's end by which its runs have ended, whichever backend server they
# are at.
EARLIER_RUNS_END_S = LeaseSettings().max_duration_s(LEASE_S)
# Time after an agent's link closed at which entries rerun its tasks.
RERUN_AFTER_SILENCE_S = ENTRY_LEASE_S + 2 * LEASE_S
# How much later they rerun those that are not known to have started: workers execute
# an order at most 12 s late, and may count its lease from then.
MAX_LATE_START_S = 12.0 + LEASE_S
# Time after an agent's end by which entries have rerun all of its tasks, also if its
# link did not close but fell silent.
RERUN_AFTER_AGENT_END_S = (
    (_MAX_MISSED_HEARTBEATS + 1) * _BUSY_HEARTBEAT_S
    + RERUN_AFTER_SILENCE_S
    + MAX_LATE_START_S
)


async def serve_metrics(settings: Settings, metrics: Metrics) -> None:
    """Serves the counters of this process to Prometheus until cancelled."""

    def handle_request(request: PlainRequest) -> PlainResponse:
        if request.path != "/metrics":
            return PlainResponse(404)
        return PlainResponse(200, metrics.render_exposition(), _METRICS_CONTENT_TYPE)

    app = make_plain_app(handle_request, MAX_IGNORED_BODY_BYTES)
    await serve_http(app, f"{settings.ip}:{_METRICS_PORT}", wait_forever)


async def log_settings_changes(path: pathlib.Path, settings: Settings) -> None:
    """Logs changes of the settings file until cancelled.

    The file is checked at a fixed interval and on SIGHUP. A process keeps the
    settings that it read at its start; changes apply from its next start.
    """
    with trio.open_signal_receiver(signal.SIGHUP) as signals:
        while True:
            with trio.move_on_after(_SETTINGS_CHECK_INTERVAL_S):
                await anext(signals)
                log_event("settings_signal")
            try:
                new_settings = read_settings(path)
            except ConfigError as error:
                log_event(
                    "settings_unreadable", "ERROR", faults="; ".join(error.errors)
                )
                continue
            if new_settings != settings:
                log_event(
                    "settings_changed", fields=_changed_fields(settings, new_settings)
                )
                settings = new_settings


def _changed_fields(old: Settings, new: Settings) -> str:
    names = [
        name
        for name in type(old).model_fields
        if getattr(old, name) != getattr(new, name)
    ]
    return ",".join(names)


def link_settings() -> dict[str, float | int]:
    """Returns the link settings that entries and agents share."""
    return {
        "lease_s": ENTRY_LEASE_S,
        "busy_heartbeat_s": _BUSY_HEARTBEAT_S,
        "idle_heartbeat_s": _IDLE_HEARTBEAT_S,
        "max_misses": _MAX_MISSED_HEARTBEATS,
    }


async def wait_forever() -> None:
    """Waits until cancelled."""
    await trio.sleep_forever()


ProgramFactory = Callable[[Settings, pathlib.Path], Daemon]


def run_program(make_program: ProgramFactory, path: pathlib.Path) -> None:
    """Runs a program in this process until it has shut down.

    Args:
        make_program: Makes the program from its settings.
        path: Path of its settings file.

    Raises:
        ConfigError: The settings file is not valid.
        ListenError: An address in the settings can't be listened on.
    """
    settings = read_settings(path)
    configure_logs()
    run_daemon(_run, make_program, settings, path)


async def _run(
    make_program: ProgramFactory, settings: Settings, path: pathlib.Path
) -> None:
    try:
        program = make_program(settings, path)
    except pydantic.ValidationError as error:
        raise ConfigError(format_settings_errors(path, error)) from None
    await run_until_signal(program)
