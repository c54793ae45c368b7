"""Learns how long tasks run and how fast workers are."""

import dataclasses
import math

_LEARNING_RATE = 0.1
_SPEED_LEARNING_RATE = 0.03
_PRIOR_WEIGHT = 3.0
_UNKNOWN_TASK_S = 0.3
_MIN_RUN_S = 0.001
_SPEED_RANGE = (0.2, 5.0)


@dataclasses.dataclass(slots=True)
class _ClassEstimate:
    """What is known of tasks of one class, at relative speed 1.

    Attributes:
        log_s: Mean of the logarithm of the run time.
        mean_s: Mean run time.
        long_share: Share of tasks that ran long.
        count: Tasks seen.
    """

    log_s: float
    mean_s: float
    long_share: float
    count: int = 0


class RuntimeModel:
    """Run times by class of task, and relative speeds by worker.

    A class is a customer's tasks of one service with like declared times. The
    declared time is only the starting point: it is off more often than not.
    Only completed tasks teach anything: failing fast is not speed.
    """

    def __init__(self):
        self._classes: dict[tuple[str, str, int], _ClassEstimate] = {}
        self._speeds: dict[str, float] = {}

    def expected_s(self, customer: str, service: str, declared_s: float) -> float:
        """Returns the expected run time on a worker of relative speed 1."""
        known = self._classes.get(_key(customer, service, declared_s))
        prior_s = declared_s if declared_s > 0 else _UNKNOWN_TASK_S
        if known is None:
            return prior_s
        weight = known.count / (known.count + _PRIOR_WEIGHT)
        return weight * known.mean_s + (1 - weight) * prior_s

    def is_long(
        self, customer: str, service: str, declared_s: float, long_after_s: float
    ) -> bool:
        """Says whether a task of this class is to be treated as long."""
        known = self._classes.get(_key(customer, service, declared_s))
        if known is None or known.count < _PRIOR_WEIGHT:
            return declared_s >= long_after_s
        return known.long_share > 0.5

    def speed(self, worker: str) -> float:
        """Returns the speed of a worker relative to the others; 1 if unknown."""
        return self._speeds.get(worker, 1.0)

    def hint_speed(self, worker: str, speed: float) -> None:
        """Sets a starting point for a worker that is not known yet."""
        self._speeds.setdefault(worker, _clamp(speed))

    def completed(
        self,
        customer: str,
        service: str,
        declared_s: float,
        worker: str,
        run_s: float,
        long_after_s: float,
    ) -> None:
        """Learns from a task that a worker completed."""
        run_s = max(run_s, _MIN_RUN_S)
        speed = self.speed(worker)
        normal_s = run_s * speed
        key = _key(customer, service, declared_s)
        known = self._classes.get(key)
        if known is None:
            known = _ClassEstimate(
                math.log(normal_s), normal_s, float(run_s >= long_after_s)
            )
            self._classes[key] = known
        else:
            self._learn_speed(worker, known, run_s)
        known.count += 1
        rate = max(_LEARNING_RATE, 1.0 / known.count)
        known.log_s += rate * (math.log(normal_s) - known.log_s)
        known.mean_s += rate * (normal_s - known.mean_s)
        known.long_share += rate * ((run_s >= long_after_s) - known.long_share)

    def _learn_speed(self, worker: str, known: _ClassEstimate, run_s: float) -> None:
        if known.count < 2 * _PRIOR_WEIGHT:
            return
        log_speed = math.log(self.speed(worker))
        seen = known.log_s - math.log(run_s)
        log_speed += _SPEED_LEARNING_RATE * (seen - log_speed)
        self._speeds[worker] = _clamp(math.exp(log_speed))


def _key(customer: str, service: str, declared_s: float) -> tuple[str, str, int]:
    """Classes declared times by powers of two."""
    size = round(math.log2(declared_s)) if declared_s > 0 else -99
    return customer, service, size


def _clamp(speed: float) -> float:
    low, high = _SPEED_RANGE
    return min(high, max(low, speed))
