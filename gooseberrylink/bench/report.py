"""Turns replay results into figures, tables and counts."""

import collections
from typing import Any

from gooseberrylink.bench.replay import (
    JobRecord,
    ReplayResult,
    jobs_after_warm_up,
    jobs_at_peak,
)
from gooseberrylink.histogram import ValueHistogram
from gooseberrylink.operators.declarations import Declarations

_GOODPUT_SKIPPED_SHARE = 0.25

Figures = dict[str, float]


def compute_figures(
    result: ReplayResult, long_after_s: float, declarations: Declarations
) -> Figures:
    """Returns the figures of one replay.

    Figures such as all_p50, short_p99 and long_p999 are percentiles of the stretch:
    the response time divided by the run time of the job's longest task on the fastest
    worker. A "long" job has a task that runs for long_after_s or longer; all other
    jobs are "short". long_wait_max_s is the longest time in seconds from the
    submission of a long job to the start of its last task. The figures "whole" and
    *_whole are shares of jobs with a complete answer; crest_* counts only jobs
    submitted at peak load, and crest_first_whole only those of them that customers
    with precedence submitted.
    """
    records = jobs_after_warm_up(result)
    short = [r for r in records if max(r.job.run_s) < long_after_s]
    long = [r for r in records if max(r.job.run_s) >= long_after_s]
    figures: Figures = {"jobs": len(result.records)}
    figures["whole"] = _fraction(result.records, lambda r: r.is_complete)
    for name, group in (("all", records), ("short", short), ("long", long)):
        figures |= _stretch_percentiles(name, group)
    figures["long_wait_max_s"] = max(
        (r.last_start_delay_s for r in long if r.is_complete), default=0.0
    )
    figures["wasted_per_task"] = result.wasted_messages / max(1, result.tasks_started)
    figures["frames_per_task"] = result.frames_sent / max(1, result.tasks_started)
    figures["goodput_s_per_s"] = _goodput(result)
    peak = jobs_at_peak(result)
    precedence_customers = {
        c.name for c in declarations.rules.customers if c.precedence > 0
    }
    figures["crest_whole"] = _fraction(peak, lambda r: r.is_complete)
    figures["crest_first_whole"] = _fraction(
        [r for r in peak if r.job.customer in precedence_customers],
        lambda r: r.is_complete,
    )
    figures["worst_customer_whole"] = min(_completion_by_customer(result).values())
    figures["broken_promises"] = len(result.violations)
    figures["quarantines"] = result.quarantines
    figures["black_hole_starts"] = result.black_hole_starts
    submit_delays_s = sorted(r.submit_delay_s for r in result.records)
    figures["generator_late_p99_ms"] = (
        1000 * submit_delays_s[int(len(submit_delays_s) * 0.99)]
    )
    return figures


def compute_medians(runs: list[Figures]) -> Figures:
    """Returns the median of each figure over the runs.

    Of an even number of values, it is the higher of the two middle ones.
    """
    return {name: sorted(run[name] for run in runs)[len(runs) // 2] for name in runs[0]}


def format_table(
    columns: dict[str, Figures], names: list[str] | None = None
) -> list[str]:
    """Returns the lines of a text table: figures as rows, policies as columns."""
    first_column = next(iter(columns.values()))
    lines = [f"{'':24}" + "".join(f"{name:>18}" for name in columns)]
    for name in names or list(first_column):
        cells = "".join(f"{figures[name]:>18.3f}" for figures in columns.values())
        lines.append(f"{name:24}{cells}")
    return lines


def count_outcomes(result: ReplayResult) -> dict[str, Any]:
    """Returns counts by outcome and reason, and the first 10 violations."""
    codes = collections.Counter(r.answer.code.name for r in result.records)
    return {
        "answers": dict(codes),
        "refusals": result.refusals,
        "retries": result.retries,
        "messages": result.message_counts,
        "broken_promises": result.violations[:10],
    }


def _stretch_percentiles(name: str, records: list[JobRecord]) -> Figures:
    histogram = ValueHistogram()
    for record in records:
        if record.is_complete:
            histogram.record(record.response_time_s / record.ideal_s)
    return {
        f"{name}_p50": histogram.percentile(50.0),
        f"{name}_p99": histogram.percentile(99.0),
        f"{name}_p999": histogram.percentile(99.9),
    }


def _fraction(records: list[JobRecord], condition) -> float:
    if not records:
        return 1.0
    return sum(map(condition, records)) / len(records)


def _goodput(result: ReplayResult) -> float:
    """Returns the work of completed jobs, in seconds of run time per second.

    Counts only answers between the end of the ramp-up and the last submission. The
    ramp-up, the first _GOODPUT_SKIPPED_SHARE of the time between the first and the
    last submission, is left out, because it takes some time until the first jobs are
    completed.
    """
    first_s = min(r.submitted_s for r in result.records)
    last_s = max(r.submitted_s for r in result.records)
    window_start_s = first_s + _GOODPUT_SKIPPED_SHARE * (last_s - first_s)
    done_s = sum(
        r.work_s
        for r in result.records
        if r.is_complete
        and window_start_s <= r.submitted_s + r.response_time_s <= last_s
    )
    return done_s / max(1e-9, last_s - window_start_s)


def _completion_by_customer(result: ReplayResult) -> dict[str, float]:
    groups: dict[str, list[JobRecord]] = collections.defaultdict(list)
    for record in result.records:
        groups[record.job.customer].append(record)
    return {
        customer: _fraction(records, lambda r: r.is_complete)
        for customer, records in groups.items()
    }
