"""Estimates the run times of tasks and the speeds of workers."""

import dataclasses
import math
from typing import TypeVar

from gooseberrylink.scheduling.learned import (
    MAX_SIZE,
    ClassSummary,
    FitSummary,
    LearnedEstimates,
    WorkerSummary,
)
from gooseberrylink.scheduling.worker_slowdowns import (
    LogMean,
    WorkerIdentity,
    WorkerSlowdowns,
)

_LEARNING_RATE = 0.1
_SPEED_LEARNING_RATE = 0.03
# Weight of the initial estimate of a class, as a number of tasks.
_PRIOR_WEIGHT = 3.0
_DEFAULT_RUN_S = 0.3
_MIN_RUN_S = 0.001
_SPEED_RANGE = (0.2, 5.0)
_FIT_DECAY = 0.995
# A fit to fewer tasks is not used.
_FIT_MIN_WEIGHT = 10.0
_FIT_MIN_VARIANCE = 0.01
# Customers and their services are new each day, and workers are replaced. The estimates
# that were not used for longest are dropped.
_MAX_CLASSES = 4096
_MAX_FITS = 1024
_MAX_SPEEDS = 4096
# Weight of the factor between declared and expected run times that estimates of another
# process imply, as a number of runs.
_RATIO_SEED_WEIGHT = 20

_Key = TypeVar("_Key")
_Value = TypeVar("_Value")


@dataclasses.dataclass(slots=True)
class _ClassEstimate:
    """Estimates for the tasks of one class, on a typical worker (slowdown 1).

    Attributes:
        mean_log_s: Mean of the logarithm of the run time in seconds.
        mean_s: Mean run time, in seconds.
        long_share: Share of tasks that counted as long.
        count: Number of tasks.
    """

    mean_log_s: float
    mean_s: float
    long_share: float
    count: int = 0


@dataclasses.dataclass(slots=True)
class _DeclarationFit:
    """Predicts run times from the times that a customer declares.

    A line is fitted to the logarithms of declared and actual run times of recent
    tasks. The less the two correlate, the flatter the line. In the sums, x is the
    logarithm of a declared time and y that of the run time; weight is the number of
    tasks. Older tasks count less.
    """

    weight: float = 0.0
    sum_x: float = 0.0
    sum_y: float = 0.0
    sum_xx: float = 0.0
    sum_xy: float = 0.0

    def add(self, declared_s: float, run_s: float) -> None:
        """Adds a task."""
        x, y = math.log(declared_s), math.log(run_s)
        self.weight = self.weight * _FIT_DECAY + 1.0
        self.sum_x = self.sum_x * _FIT_DECAY + x
        self.sum_y = self.sum_y * _FIT_DECAY + y
        self.sum_xx = self.sum_xx * _FIT_DECAY + x * x
        self.sum_xy = self.sum_xy * _FIT_DECAY + x * y

    def summarize(self, key: tuple[str, str], log_scale: float) -> FitSummary:
        """Returns a summary, with the logarithm of a factor added to run times."""
        mean_x, mean_y = self.sum_x / self.weight, self.sum_y / self.weight
        return FitSummary(
            *key,
            _to_milli(mean_x),
            _to_milli(mean_y + log_scale),
            _to_milli(max(0.0, self.sum_xx / self.weight - mean_x * mean_x)),
            _to_milli(self.sum_xy / self.weight - mean_x * mean_y),
        )

    def add_summary(self, summary: FitSummary, log_scale: float) -> None:
        """Adds a summary, as so many tasks that the fit is used from now on."""
        mean_x = summary.mean_x / 1000
        mean_y = summary.mean_y / 1000 - log_scale
        weight = _FIT_MIN_WEIGHT
        self.weight += weight
        self.sum_x += weight * mean_x
        self.sum_y += weight * mean_y
        self.sum_xx += weight * (summary.variance_x / 1000 + mean_x * mean_x)
        self.sum_xy += weight * (summary.covariance / 1000 + mean_x * mean_y)

    def predict_run_s(self, declared_s: float) -> float:
        """Returns the expected run time for a declared one, in seconds."""
        x = math.log(declared_s)
        if self.weight < _FIT_MIN_WEIGHT:
            # The geometric mean of the declared and the default run time.
            return math.exp((x + math.log(_DEFAULT_RUN_S)) / 2)
        mean_x, mean_y = self.sum_x / self.weight, self.sum_y / self.weight
        variance = self.sum_xx / self.weight - mean_x * mean_x
        covariance = self.sum_xy / self.weight - mean_x * mean_y
        slope = covariance / variance if variance > _FIT_MIN_VARIANCE else 0.0
        return math.exp(mean_y + min(1.0, max(0.0, slope)) * (x - mean_x))


class RunTimeModel:
    """Learns run times by class of task, and relative speeds of workers.

    A class is a customer's tasks of one service with similar declared times. The
    declared time is only the initial estimate, because it is usually inaccurate.
    Only completed tasks are counted, because a task that fails fast says nothing
    about speed.

    Where the hardware types of hosts are known, the slowdowns of workers are learned
    instead of their speeds; see WorkerSlowdowns. Run times are compared with those of
    tasks with similar declared times on all workers, because some workers get tasks
    with low declared times more often. Expected times are then scaled so that they
    agree with the declared ones on average over all tasks.
    """

    def __init__(self):
        self.run_count = 0
        self._classes: dict[tuple[str, str, int], _ClassEstimate] = {}
        self._fits: dict[tuple[str, str], _DeclarationFit] = {}
        self._speeds: dict[str, float] = {}
        # Of run times in relation to those predicted from the declared ones.
        self._slowdowns = WorkerSlowdowns()
        # Mean of log(declared run time / run time at slowdown 1).
        self._log_declared_ratio = LogMean()

    def predict_run_s(self, customer: str, service: str, declared_s: float) -> float:
        """Returns the expected run time in seconds on a worker of slowdown 1.

        It combines the mean of the class with a prediction from the declared time.
        """
        estimate = self._classes.get(_class_key(customer, service, declared_s))
        prior_s = self._prior_s(customer, service, declared_s)
        expected_s = prior_s
        if estimate is not None:
            weight = estimate.count / (estimate.count + _PRIOR_WEIGHT)
            expected_s = weight * estimate.mean_s + (1 - weight) * prior_s
        return expected_s * math.exp(self._log_declared_ratio.mean)

    def is_long(
        self, customer: str, service: str, declared_s: float, long_after_s: float
    ) -> bool:
        """Returns whether a task of this class is expected to be long."""
        estimate = self._classes.get(_class_key(customer, service, declared_s))
        if estimate is None or estimate.count < _PRIOR_WEIGHT:
            return self._prior_s(customer, service, declared_s) >= long_after_s
        return estimate.long_share > 0.5

    def speed(self, worker: str) -> float:
        """Returns the speed of a worker relative to the others; 1 if unknown."""
        return self._speeds.get(worker, 1.0)

    def slowdown(self, worker_identity: WorkerIdentity) -> float:
        """Returns the factor by which tasks run longer on a worker than expected."""
        if not worker_identity.hardware:
            return 1.0 / self.speed(worker_identity.worker)
        return self._scale(self._slowdowns.of_worker(worker_identity))

    def type_slowdown(self, worker_identity: WorkerIdentity) -> float:
        """Returns the slowdown that a worker's hardware type leads to expect."""
        if not worker_identity.hardware:
            return 1.0 / self.speed(worker_identity.worker)
        return self._scale(self._slowdowns.of_type(worker_identity.hardware))

    def _scale(self, log_slowdown: float | None) -> float:
        if log_slowdown is None:
            return 1.0
        return math.exp(log_slowdown - self._log_declared_ratio.mean)

    def set_initial_speed(self, worker: str, speed: float) -> None:
        """Sets the speed of a worker whose speed is not known yet."""
        speed = self._speeds.get(worker, _clamp(speed))
        _touch(self._speeds, worker, speed, _MAX_SPEEDS)

    def record_run(
        self,
        customer: str,
        service: str,
        declared_s: float,
        worker_identity: WorkerIdentity,
        run_s: float,
        long_after_s: float,
        now_s: float,
    ) -> None:
        """Updates the estimates with a completed task.

        Args:
            customer: Name of the customer.
            service: Name of the service.
            declared_s: Run time that the caller declared; 0 if none.
            worker_identity: Worker on which the task ran.
            run_s: Run time, without the factor for a host away from the data.
            long_after_s: Run time from which a task counts as long.
            now_s: Time at which it completed, in seconds.
        """
        self.run_count += 1
        run_s = max(run_s, _MIN_RUN_S)
        if worker_identity.hardware and declared_s > 0:
            normalized_s = self._learn_slowdown(
                self._fits.get((customer, service)),
                declared_s,
                worker_identity,
                run_s,
                now_s,
            )
        else:
            normalized_s = run_s * self.speed(worker_identity.worker)
        if declared_s > 0:
            fit = self._fits.get((customer, service)) or _DeclarationFit()
            _touch(self._fits, (customer, service), fit, _MAX_FITS)
            fit.add(declared_s, normalized_s)
        key = _class_key(customer, service, declared_s)
        estimate = self._classes.get(key)
        if estimate is None:
            estimate = _ClassEstimate(
                math.log(normalized_s), normalized_s, float(run_s >= long_after_s)
            )
        elif not worker_identity.hardware:
            self._learn_speed(worker_identity.worker, estimate, run_s)
        _touch(self._classes, key, estimate, _MAX_CLASSES)
        estimate.count += 1
        rate = max(_LEARNING_RATE, 1.0 / estimate.count)
        estimate.mean_log_s += rate * (math.log(normalized_s) - estimate.mean_log_s)
        estimate.mean_s += rate * (normalized_s - estimate.mean_s)
        estimate.long_share += rate * ((run_s >= long_after_s) - estimate.long_share)

    def summarize(self) -> LearnedEstimates:
        """Returns a summary of what was learnt, relative to declared run times."""
        log_scale = self._log_declared_ratio.mean
        return LearnedEstimates(
            types={
                hardware: _to_milli(log_slowdown - log_scale)
                for hardware, log_slowdown in self._slowdowns.known_types().items()
            },
            workers=[
                WorkerSummary(
                    identity.worker,
                    identity.hardware,
                    identity.born_ms,
                    _to_milli(log_slowdown - log_scale),
                )
                for identity, log_slowdown in self._slowdowns.known_workers().items()
            ],
            fits=[
                fit.summarize(key, log_scale)
                for key, fit in self._fits.items()
                if fit.weight >= _FIT_MIN_WEIGHT
            ],
            classes=[
                ClassSummary(
                    *key,
                    _to_milli(estimate.mean_log_s + log_scale),
                    _to_milli(math.log(estimate.mean_s) + log_scale),
                    round(1000 * estimate.long_share),
                )
                for key, estimate in self._classes.items()
                if estimate.count >= _PRIOR_WEIGHT and abs(key[2]) <= MAX_SIZE
            ],
        )

    def adopt(self, learned: LearnedEstimates, now_s: float) -> None:
        """Takes over estimates of other processes where there are none here.

        They count for a few runs.
        """
        if not self._log_declared_ratio.count:
            self._log_declared_ratio.count = _RATIO_SEED_WEIGHT
        log_scale = self._log_declared_ratio.mean
        for hardware, log_slowdown in learned.types.items():
            self._slowdowns.seed_type(hardware, log_slowdown / 1000 + log_scale)
        for worker in learned.workers:
            identity = WorkerIdentity(worker.worker, worker.hardware, worker.born_ms)
            log_slowdown = worker.log_slowdown / 1000 + log_scale
            self._slowdowns.seed_worker(identity, log_slowdown, now_s)
        for summary in learned.fits:
            fit = self._fits.get(summary.key) or _DeclarationFit()
            if fit.weight < _FIT_MIN_WEIGHT:
                fit.add_summary(summary, log_scale)
                _touch(self._fits, summary.key, fit, _MAX_FITS)
        for summary in learned.classes:
            known = self._classes.get(summary.key)
            if known is None or known.count < _PRIOR_WEIGHT:
                estimate = _ClassEstimate(
                    summary.mean_log / 1000 - log_scale,
                    math.exp(summary.log_mean / 1000 - log_scale),
                    summary.long_permille / 1000,
                    int(_PRIOR_WEIGHT),
                )
                _touch(self._classes, summary.key, estimate, _MAX_CLASSES)

    def _learn_slowdown(
        self,
        fit: _DeclarationFit | None,
        declared_s: float,
        worker_identity: WorkerIdentity,
        run_s: float,
        now_s: float,
    ) -> float:
        """Updates a worker's slowdown; returns the run time divided by it."""
        if fit is not None and fit.weight >= _FIT_MIN_WEIGHT:
            log_ratio = math.log(run_s / fit.predict_run_s(declared_s))
            self._slowdowns.add(worker_identity, log_ratio, now_s)
        log_slowdown = self._slowdowns.of_worker(worker_identity) or 0.0
        normalized_s = run_s / math.exp(log_slowdown)
        self._log_declared_ratio.add(math.log(declared_s / normalized_s))
        return normalized_s

    def _prior_s(self, customer: str, service: str, declared_s: float) -> float:
        if declared_s <= 0:
            return _DEFAULT_RUN_S
        fit = self._fits.get((customer, service)) or _DeclarationFit()
        return fit.predict_run_s(declared_s)

    def _learn_speed(self, worker: str, estimate: _ClassEstimate, run_s: float) -> None:
        if estimate.count < 2 * _PRIOR_WEIGHT:
            return
        log_speed = math.log(self.speed(worker))
        observed_log_speed = estimate.mean_log_s - math.log(run_s)
        log_speed += _SPEED_LEARNING_RATE * (observed_log_speed - log_speed)
        self._speeds[worker] = _clamp(math.exp(log_speed))


def _class_key(customer: str, service: str, declared_s: float) -> tuple[str, str, int]:
    """Returns the class of a task, by its declared time rounded to a power of two.

    The exponent is -99 if no time was declared.
    """
    size = round(math.log2(declared_s)) if declared_s > 0 else -99
    return customer, service, size


def _to_milli(value: float) -> int:
    """Returns a logarithm in thousandths, within the bounds of a summary."""
    return min(20_000, max(-20_000, round(1000 * value)))


def _touch(
    values: dict[_Key, _Value], key: _Key, value: _Value, max_count: int
) -> None:
    """Stores a value as the newest; drops the oldest ones if there are too many."""
    values.pop(key, None)
    values[key] = value
    while len(values) > max_count:
        del values[next(iter(values))]


def _clamp(speed: float) -> float:
    low, high = _SPEED_RANGE
    return min(high, max(low, speed))
