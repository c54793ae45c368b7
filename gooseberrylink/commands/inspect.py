"""Implements the commands `status` and `counters`."""

import json

import trio
from cleo.commands.command import Command
from cleo.helpers import option
from prometheus_client.parser import text_string_to_metric_families

from gooseberrylink.commands.exit_codes import ExitCode
from gooseberrylink.operators.entry_client import NoResponseError, call_entry

_ENTRIES_OPTION = option(
    "entry", "e", "host:port of an entry; may be repeated", flag=False, multiple=True
)
_DEFAULT_ENTRY = "127.0.0.1:7401"


class StatusCommand(Command):
    """Prints the state of entries and of their agents."""

    name = "status"
    description = "Prints the configuration version, queues and workers of entries."
    help = "Queries each entry; agents are printed as the entry sees them."
    options = [_ENTRIES_OPTION, option("json", None, "Print JSON")]

    def handle(self) -> int:
        """Queries the entries and prints the responses."""
        return trio.run(self._show)

    async def _show(self) -> int:
        states, exit_code = [], ExitCode.OK
        for address in self.option("entry") or [_DEFAULT_ENTRY]:
            try:
                _, body = await call_entry(address, "GET", "/v1/status")
                states.append(json.loads(body))
            except NoResponseError as error:
                self.line_error(f"<error>{error}</error>")
                exit_code = ExitCode.UNREACHABLE
        if self.option("json"):
            self.line(json.dumps(states, indent=2))
        else:
            for state in states:
                self._print(state)
        return exit_code

    def _print(self, state: dict) -> None:
        flags = "ready" if state["is_ready"] else "not ready"
        if state["is_draining"]:
            flags += ", draining"
        self.line(
            f"<info>entry {state['entry']}</info>: configuration"
            f" {state['config_version']}, {flags}, {state['jobs']} jobs"
        )
        for source, evacuation in state["evacuations"].items():
            names = ", ".join(evacuation["data_centres"]) or "none"
            self.line(
                f"  evacuated data centres, {source} version {evacuation['version']}:"
                f" {names}"
            )
        for pool in state["lanes"]:
            self.line(
                f"  service {pool['service']}: {pool['queued_tasks']} queued"
                f" ({pool['queued_work_s']} s),"
                f" {pool['in_flight_tasks']} in flight, {pool['slots']} slots"
            )
        rows = [
            [
                agent["worker"],
                agent["service"],
                agent["data_centre"],
                str(agent["config_version"]),
                _describe_agent_state(agent),
                f"{agent['free_slots']}/{agent['slots']}",
                str(agent["in_flight_tasks"]),
                f"{agent['relative_speed']:.2f}",
            ]
            for agent in state["agents"]
        ]
        headers = ["worker", "service", "data centre", "config", "state"]
        self.render_table([*headers, "free", "in flight", "speed"], rows)


def _describe_agent_state(agent: dict) -> str:
    if not agent["is_connected"]:
        return "disconnected"
    if agent["is_evacuated"]:
        return "evacuated"
    if agent["is_quarantined"]:
        return "quarantined"
    return "up" if agent["slots"] else "no backend"


class CountersCommand(Command):
    """Prints the counters of entries."""

    name = "counters"
    description = "Prints the counters and the other metrics of entries."
    help = "Prints the text that monitoring scrapes from /metrics."
    options = [_ENTRIES_OPTION, option("json", None, "Print JSON")]

    def handle(self) -> int:
        """Queries the entries and prints the responses."""
        return trio.run(self._show)

    async def _show(self) -> int:
        exit_code = ExitCode.OK
        samples: list[dict] = []
        for address in self.option("entry") or [_DEFAULT_ENTRY]:
            try:
                _, body = await call_entry(address, "GET", "/metrics")
            except NoResponseError as error:
                self.line_error(f"<error>{error}</error>")
                exit_code = ExitCode.UNREACHABLE
                continue
            text = body.decode()
            if self.option("json"):
                samples += _parse_samples(text)
                continue
            for line in text.splitlines():
                if not line.startswith("#"):
                    self.line(line)
        if self.option("json"):
            self.line(json.dumps(samples, indent=2))
        return exit_code


def _parse_samples(text: str) -> list[dict]:
    return [
        {"name": sample.name, "labels": sample.labels, "value": sample.value}
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    ]
