"""Replays runs on workers of unlike speeds, and checks how soon they are known."""

import pytest
from fleet import FAST, SLOW, Fleet

from gooseberrylink.scheduling.worker_slowdowns import (
    MAX_WORKERS,
    WorkerIdentity,
    WorkerSlowdowns,
)


@pytest.mark.parametrize("entry_restarts", [False, True])
def test_types_that_became_no_guide(entry_restarts):
    errors = {}
    for knows_workers in (True, False):
        fleet = Fleet(knows_workers)
        fleet.run(20.0)
        fleet.shuffle_types()
        if entry_restarts:
            fleet.restart()
        fleet.run(2.0)
        errors[knows_workers, "early"] = fleet.error()
        fleet.run(3.0)
        errors[knows_workers] = fleet.error()
        if knows_workers:
            assert fleet.slow_share < 0.15
    assert errors[True, "early"] < 0.6 * errors[False, "early"]
    assert errors[True] < 0.4 * errors[False]


def test_true_types_are_followed_as_before():
    fleet, former = Fleet(), Fleet(knows_workers=False)
    fleet.run(10.0)
    former.run(10.0)
    assert fleet.error() < 0.06
    assert fleet.slow_share <= former.slow_share + 0.03
    fleet.types["new"], fleet.speeds["new"], fleet.born_ms["new"] = "b", SLOW, 1
    assert fleet.slowdown("new") == pytest.approx(SLOW, rel=0.2)


def test_single_outlier_counts_little():
    fleet = Fleet()
    fleet.run(10.0)
    before = fleet.slowdown("w1")
    fleet.run_one("w1", factor=10.0)
    assert fleet.slowdown("w1") < 1.15 * before
    fleet.speeds["new"], fleet.types["new"], fleet.born_ms["new"] = FAST, "a", 1
    fleet.run_one("new", factor=10.0)
    assert fleet.slowdown("new") < 1.3 * before


def test_one_worker_that_differs_from_its_type():
    fleet = Fleet()
    fleet.run(10.0)
    fleet.speeds["w1"] = SLOW
    for _ in range(10):
        fleet.run_one("w1")
    assert fleet.slowdown("w1") > 1.3


def test_worker_that_was_slow_is_tried_again():
    fleet = Fleet()
    fleet.run(10.0)
    for _ in range(20):
        fleet.run_one("w1", factor=5.0)
    assert fleet.slowdown("w1") > 2.0
    # It gets no tasks meanwhile.
    fleet.run(2.5, only=[w for w in fleet.speeds if w != "w1"])
    assert fleet.slowdown("w1") < 1.2


def test_other_hardware_under_the_same_name():
    fleet = Fleet()
    fleet.run(10.0)
    fleet.types["w1"], fleet.speeds["w1"], fleet.born_ms["w1"] = "b", SLOW, 2
    for _ in range(4):
        fleet.run_one("w1")
    assert fleet.slowdown("w1") > 1.2


def test_gone_workers_are_forgotten():
    slowdowns = WorkerSlowdowns()
    for number in range(5000):
        slowdowns.add(WorkerIdentity(f"w{number}", "a"), 0.0, number * 0.01)
    assert slowdowns.worker_count == MAX_WORKERS
    slowdowns.add(WorkerIdentity("w0", "a"), 0.0, 1000.0)
    assert slowdowns.worker_count == 1
