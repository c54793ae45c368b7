"""Simulates runs on workers of unlike speeds, as one entry sees them.

The figures are those of one entry: 21 workers, 190 runs a second, run times off by a
factor of 1.45 (one standard deviation) from the declared ones.
"""

import math
import random
import statistics

from gooseberrylink.run_times import RunTimeModel
from gooseberrylink.scheduling.worker_slowdowns import WorkerIdentity

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
