"""Replays runs on workers of unlike speeds, and checks how soon they are known.

The figures are those of one entry: 21 workers, 190 runs a second, run times off by a
factor of 1.45 (one standard deviation) from the declared ones.
"""

import math
import random
import statistics

import pytest

from gooseberrylink.run_times import RunTimeModel
from gooseberrylink.scheduling.worker_slowdowns import (
    MAX_WORKERS,
    WorkerIdentity,
    WorkerSlowdowns,
)

FAST, SLOW = 0.73, 1.77
WORKER_COUNT = 21
RUNS_PER_S = 190.0
DEVIATION = 0.37
CUSTOMERS = ["north", "south", "east"]


class Fleet:
    """Workers with an entry's model of them, on a clock that the test advances.

    Most runs go to one of the workers that the model considers fastest, some to any
    worker, as when the others are full.

    Attributes:
        slow_share: Share of the last second's assignments to slow workers.
    """

    def __init__(self, knows_workers: bool = True, seed: int = 1):
        self.random = random.Random(seed)
        self.knows_workers = knows_workers
        self.now_s = 0.0
        self.restart()
        self.speeds = {
            f"w{n}": SLOW if n % 4 == 0 else FAST for n in range(WORKER_COUNT)
        }
        self.types = {w: "b" if s == SLOW else "a" for w, s in self.speeds.items()}
        self.born_ms = dict.fromkeys(self.speeds, 1)

    def restart(self) -> None:
        """Starts the entry again, with an empty model."""
        self.model = RunTimeModel()

    def identity(self, worker: str) -> WorkerIdentity:
        """Names a worker; the former model knew only its hardware type."""
        hardware = self.types[worker]
        name = worker if self.knows_workers else hardware
        born_ms = self.born_ms[worker] if self.knows_workers else 0
        return WorkerIdentity(name, hardware, born_ms)

    def slowdown(self, worker: str) -> float:
        """Returns the model's estimate."""
        if not self.knows_workers:
            return self.model.type_slowdown(self.identity(worker))
        return self.model.slowdown(self.identity(worker))

    def shuffle_types(self) -> None:
        """Lets all backend servers start again and announce types that mean nothing."""
        types = list(self.types.values())
        self.random.shuffle(types)
        self.types = dict(zip(self.types, types, strict=True))
        self.born_ms = dict.fromkeys(self.speeds, 2)

    def run(self, duration_s: float, only: list[str] | None = None) -> None:
        """Runs tasks; updates slow_share."""
        slow = 0
        end_s = self.now_s + duration_s
        runs = 0
        while self.now_s < end_s:
            self.now_s += 1 / RUNS_PER_S
            worker = self.random.choice(only or self._candidates())
            slow += self.speeds[worker] > 1
            runs += 1
            self.run_one(worker)
        self.slow_share = slow / runs

    def _candidates(self) -> list[str]:
        workers = list(self.speeds)
        if self.random.random() < 0.4:
            return workers
        return sorted(self.random.sample(workers, 8), key=self.slowdown)[:3]

    def run_one(self, worker: str, factor: float = 1.0) -> None:
        """Runs one task on a worker."""
        declared_s = math.exp(self.random.gauss(math.log(0.3), 0.6))
        noise = math.exp(self.random.gauss(0.0, DEVIATION))
        self.model.record_run(
            self.random.choice(CUSTOMERS),
            "svc",
            declared_s,
            self.identity(worker),
            declared_s * self.speeds[worker] * noise * factor,
            1.0,
            self.now_s,
        )

    def error(self) -> float:
        """Returns the mean error of the logarithm of slowdowns, up to a common factor.

        A common factor cancels out against the expected run times.
        """
        errors = [math.log(self.slowdown(w) / s) for w, s in self.speeds.items()]
        middle = statistics.median(errors)
        return statistics.fmean(abs(error - middle) for error in errors)

    def expected_run_s(self, worker: str, declared_s: float = 0.3) -> float:
        """Returns the expected run time of a task on a worker."""
        predicted_s = self.model.predict_run_s("north", "svc", declared_s)
        return predicted_s * self.slowdown(worker)


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
