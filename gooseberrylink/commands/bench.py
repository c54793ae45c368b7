"""Implements the commands `bench` and `demo`."""

import json
import sys
import time

from cleo.commands.command import Command
from cleo.helpers import option

from gooseberrylink.bench.demo import run_demo
from gooseberrylink.bench.report import (
    Figures,
    compute_medians,
    count_outcomes,
    format_table,
)
from gooseberrylink.bench.runner import (
    SCENARIOS,
    load_trace,
    run_on_loopback,
    run_simulated,
)
from gooseberrylink.commands.exit_codes import ExitCode
from gooseberrylink.logs import configure_logs

_POLICIES = ("random", "least-in-flight", "late-binding")


class BenchCommand(Command):
    """Compares routing policies on a recorded trace."""

    name = "bench"
    description = "Replays a recorded trace under each policy and compares the results."
    help = (
        "Runs real entries and agents on loopback with stand-ins for backend servers. "
        "Each round runs all policies one after the other; figures are medians over "
        "the rounds. Figures such as all_p50 are percentiles of the stretch: the "
        "response time divided by the run time of the longest task on the fastest "
        "worker."
    )
    options = [
        option(
            "trace",
            None,
            "Trace: bennani or chao-phraya",
            flag=False,
            default="bennani",
        ),
        option(
            "scenario",
            None,
            f"One of {', '.join(SCENARIOS)}; may be repeated. Default: busy",
            flag=False,
            multiple=True,
        ),
        option(
            "policy",
            None,
            "random, least-in-flight or late-binding; may be repeated. Default: all",
            flag=False,
            multiple=True,
        ),
        option("rounds", None, "Number of rounds", flag=False, default="2"),
        option(
            "seconds",
            None,
            "Length of the replayed part of the trace, in seconds",
            flag=False,
            default="12",
        ),
        option("simulated", None, "Use a simulated clock and links in memory"),
        option("json", None, "Print the figures as JSON"),
    ]

    def handle(self) -> int:
        """Runs all rounds and prints the tables."""
        configure_logs("ERROR")
        names = self.option("scenario") or ["busy"]
        report, has_passed = {}, True
        for name in names:
            columns = self._compare(name)
            report[name] = columns
            has_passed &= not any(f["broken_promises"] for f in columns.values())
            if not self.option("json"):
                self._print(name, columns)
        if self.option("json"):
            self.line(json.dumps(report, indent=2))
        return ExitCode.OK if has_passed else ExitCode.GUARANTEE_VIOLATED

    def _compare(self, scenario_name: str) -> dict[str, Figures]:
        trace = load_trace(self.option("trace")).cut_after(
            float(self.option("seconds"))
        )
        run = run_simulated if self.option("simulated") else run_on_loopback
        policies = self.option("policy") or list(_POLICIES)
        runs: dict[str, list[Figures]] = {policy: [] for policy in policies}
        for number in range(int(self.option("rounds"))):
            for policy in policies:
                started_s, cpu_s = time.perf_counter(), time.process_time()
                finished_run = run(trace, SCENARIOS[scenario_name], policy, number + 1)
                values = finished_run.figures
                elapsed_s = time.perf_counter() - started_s
                values["cpu_share"] = (time.process_time() - cpu_s) / elapsed_s
                runs[policy].append(values)
        return {policy: compute_medians(values) for policy, values in runs.items()}

    def _print(self, name: str, columns: dict[str, Figures]) -> None:
        scenario = SCENARIOS[name]
        rounds = self.option("rounds")
        self.line(f"<info>{name}</info>: load {scenario.load}, {rounds} rounds")
        for line in format_table(columns):
            self.line(line)
        self.line("")
        sys.stdout.flush()


class DemoCommand(Command):
    """Runs a complete deployment on loopback for half a minute."""

    name = "demo"
    description = "Runs two entries and five workers with backend servers on loopback."
    help = (
        "Uses real connections: HTTP from callers, gRPC to agents, HTTP to backend "
        "servers. The demo ends by itself. The exit code is 30 if a guarantee was "
        "violated."
    )

    def handle(self) -> int:
        """Runs the demo and prints its report."""
        configure_logs("WARNING")
        self.line(
            "starting platform stand-in, 2 entries, 5 agents, 5 backend servers ..."
        )
        run = run_demo()
        for line in format_table({"demo": run.figures}, _DEMO_FIGURES):
            self.line(line)
        for name, value in count_outcomes(run.result).items():
            self.line(f"{name}: {json.dumps(value)}")
        has_passed = not run.result.violations
        self.line(
            "no guarantee was violated"
            if has_passed
            else "<error>a guarantee was violated</error>"
        )
        return ExitCode.OK if has_passed else ExitCode.GUARANTEE_VIOLATED


_DEMO_FIGURES = [
    "jobs",
    "whole",
    "all_p50",
    "all_p99",
    "short_p99",
    "frames_per_task",
    "wasted_per_task",
]
