"""Replays traces on a mock clock and checks bounds on the figures.

The bounds are the users' requirements; docs/BENCH.md has figures of real-time replays.
"""

import functools

import pytest

from gooseberrylink.bench.runner import SCENARIOS, load_trace, run_simulated

LATE_BINDING = "late-binding"


@functools.cache
def scenario_figures(scenario: str, policy: str = LATE_BINDING, trace: str = "bennani"):
    run = run_simulated(load_trace(trace), SCENARIOS[scenario], policy)
    assert run.result.violations == []
    return run.figures


@pytest.mark.parametrize("trace", ["bennani", "chao-phraya"])
@pytest.mark.parametrize(
    ("baseline", "min_ratio"), [("least-in-flight", 3), ("random", 5)]
)
def test_short_jobs_stay_fast_beside_long_jobs(baseline, min_ratio, trace):
    ours = scenario_figures("busy", trace=trace)
    other = scenario_figures("busy", baseline, trace)
    assert ours["short_p99"] <= other["short_p99"] / min_ratio


def test_wait_of_long_jobs_is_bounded():
    # The bound is half of the longest deadline in the trace.
    assert 0 < scenario_figures("busy")["long_wait_max_s"] <= 15


def test_median_at_half_load():
    assert scenario_figures("half-load")["all_p50"] <= 1.3


@pytest.mark.parametrize("trace", ["bennani", "chao-phraya"])
def test_wasted_messages_when_busy(trace):
    assert scenario_figures("busy", trace=trace)["wasted_per_task"] <= 0.2


def test_customers_with_precedence_are_served_at_peak():
    assert scenario_figures("busy")["crest_first_whole"] >= 0.99
    assert scenario_figures("overload")["crest_first_whole"] >= 0.99


def test_overload_keeps_goodput():
    assert (
        scenario_figures("overload")["goodput_s_per_s"]
        >= 0.95 * scenario_figures("capacity")["goodput_s_per_s"]
    )


def test_overload_starves_no_customer():
    assert scenario_figures("overload")["worst_customer_whole"] >= 0.5


def test_black_hole_receives_few_tasks():
    # Three tasks before the quarantine, then one for each of at most three probes.
    values = scenario_figures("black-hole")
    assert values["quarantines"] == 1
    assert values["black_hole_starts"] <= 3 + 3


def test_poison_jobs_quarantine_no_worker():
    assert scenario_figures("poison")["quarantines"] == 0


def test_uneven_entries_come_close_to_one():
    # Three entries with uneven load have at most 1.15 times the p99 of a single entry.
    assert (
        scenario_figures("uneven-entries")["all_p99"]
        <= 1.15 * scenario_figures("one-entry")["all_p99"]
    )
