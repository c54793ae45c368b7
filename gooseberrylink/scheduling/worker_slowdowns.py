"""Learns how slow each worker is, starting from its hardware type.

Load pattern: workers of two speeds, 0.7 and 1.7 times the expected run time, whose
hardware types say which is which. After a power loss half of them announce another
type but run as before, and for the rest of the day the types are no guide. A worker may
also turn slow for some seconds, or be other hardware under its old name. A worker that
was never seen is best predicted by its type, and single run times are off by a factor
of 1.45, one standard deviation.

The slowdown of a worker is that of its type times a factor of its own. Either the
factor is close to 1, or the worker differs from its type: the more of the worker's runs
disagree with the type, and the more other workers differ from theirs, the more its own
runs count.
"""

import dataclasses
import math

# Weight of the newest run in the mean of a hardware type is at least this, so that the
# mean over a hundred tasks is accurate within 4%.
_TYPE_LEARNING_RATE = 0.01
# Weight of the initial mean of 0 (slowdown 1), as a number of runs.
_TYPE_PRIOR_WEIGHT = 2.0
# Standard deviations of the logarithm of a worker's slowdown around that of its type:
# of a worker that agrees with its type, and of one that doesn't.
_AGREEING_DEVIATION = 0.07
_DIFFERING_DEVIATION = 0.6
# Share of the workers that differ from their type: initial value and bounds.
_INITIAL_DIFFERING_SHARE = 0.15
_DIFFERING_SHARE_RANGE = (0.05, 0.9)
_DIFFERING_SHARE_LEARNING_RATE = 0.02
# Standard deviation of the logarithm of one run time: initial value and bounds.
_INITIAL_RUN_DEVIATION = 0.37
_RUN_DEVIATION_RANGE = (0.2, 0.8)
_RUN_DEVIATION_LEARNING_RATE = 0.005
# A run that deviates by more counts as if it deviated by that many standard deviations.
_MAX_DEVIATIONS = 2.0
# Mean square of a normal deviation that is limited in this way.
_MEAN_CLIPPED_SQUARE = 0.92
# Two deviations of this size to the same side show that a worker's speed
# has changed.
_CHANGE_DEVIATIONS = 1.5
# Weight of what was known before a change, as a number of runs.
_WEIGHT_AFTER_CHANGE = 3.0
# Two runs in a row that are longer by as many deviations show that a worker has become
# slow. After the given number of further runs it counts as slow hardware.
_TROUBLE_DEVIATIONS = 2.5
_TROUBLE_RUNS = 20
# Weight of estimates that another process made, as a number of runs: of a worker while
# its backend server is the same, and of a hardware type.
_WORKER_SEED_WEIGHT = 6.0
_TYPE_SEED_WEIGHT = 8.0
# Probability that a host that announces another hardware type than before runs as
# before.
_RETYPED_SHARE = 0.5
# Most runs that the mean of a worker is taken over: about two seconds.
_MAX_WEIGHT = 20.0
# Runs from which a worker tells something about the share that differs, or about the
# deviation of single runs.
_MIN_TELLING_WEIGHT = 4.0
# How fast the runs of a worker lose weight while it has none: slowly, because hardware
# stays as it is. But a worker that has become slow, or is slower than its type by more
# than hardware types differ (2.4), is in trouble, and probably recovers within seconds.
_FORGET_S = 30.0
_FORGET_TROUBLE_S = 0.7
_TROUBLE_LOG_FACTOR = math.log(3.0)
# An estimate is computed again after this time, or after a run of the worker.
_RECOMPUTE_AFTER_S = 0.05
# Workers without runs for this long are forgotten, at the latest when there are too
# many.
_GONE_AFTER_S = 120.0
MAX_WORKERS = 2000


@dataclasses.dataclass(slots=True, frozen=True)
class WorkerIdentity:
    """The worker that ran a task, and what it runs on.

    Attributes:
        worker: Name of the worker.
        hardware: Hardware type of its host; "" if unknown.
        born_ms: When its backend server started, Unix time in milliseconds; 0 if
            unknown. Another one may run on other hardware.
    """

    worker: str
    hardware: str = ""
    born_ms: int = 0


@dataclasses.dataclass(slots=True)
class LogMean:
    """A moving average of logarithms.

    Attributes:
        mean: The average so far; 0 before the first value.
        count: Number of values.
    """

    mean: float = 0.0
    count: float = 0

    def add(self, value: float) -> None:
        """Adds a value."""
        self.count += 1
        rate = max(_TYPE_LEARNING_RATE, 1.0 / (self.count + _TYPE_PRIOR_WEIGHT))
        self.mean += rate * (value - self.mean)


@dataclasses.dataclass(slots=True)
class _WorkerRuns:
    """What the runs of one worker say.

    Attributes:
        mean: Mean of the logarithm of its slowdown.
        weight: Number of runs that the mean counts for.
        updated_s: Time of the last run.
        last_deviation: Deviation of the last run from the mean before it, in standard
            deviations.
        is_retyped: Whether the worker announced another hardware type before.
        trouble_runs: Number of further runs for which the worker, which has become
            slow, counts as being in trouble.
    """

    hardware: str
    born_ms: int
    mean: float
    updated_s: float
    weight: float = 0.0
    last_deviation: float = 0.0
    is_retyped: bool = False
    trouble_runs: int = 0

    def weight_at(self, now_s: float, type_mean: float) -> float:
        """Returns the weight after the time without runs since the last one."""
        is_in_trouble = (
            self.trouble_runs > 0 or self.mean - type_mean > _TROUBLE_LOG_FACTOR
        )
        forget_s = _FORGET_TROUBLE_S if is_in_trouble else _FORGET_S
        return self.weight * math.exp(min(0.0, self.updated_s - now_s) / forget_s)

    def detect_change(self, deviation: float) -> None:
        """Reduces the weight if two runs in a row deviate to the same side."""
        smaller = min(abs(deviation), abs(self.last_deviation))
        if deviation * self.last_deviation > 0 and smaller > _CHANGE_DEVIATIONS:
            self.weight = min(self.weight, _WEIGHT_AFTER_CHANGE)
            if smaller > _TROUBLE_DEVIATIONS:
                self.trouble_runs = _TROUBLE_RUNS if deviation > 0 else 0
        self.trouble_runs = max(0, self.trouble_runs - 1)
        self.last_deviation = deviation


class WorkerSlowdowns:
    """Estimates the logarithm of each worker's slowdown.

    Its reference are the run times that the caller predicts. The time is that of the
    last run of any worker.

    Attributes:
        differing_share: Estimated share of the workers that differ from their type.
    """

    def __init__(self):
        self.differing_share = _INITIAL_DIFFERING_SHARE
        self._types: dict[str, LogMean] = {}
        self._workers: dict[str, _WorkerRuns] = {}
        self._run_variance = _INITIAL_RUN_DEVIATION**2
        self._now_s = -math.inf
        # Estimates by worker, with their times and the identities that they hold for.
        self._estimates: dict[str, tuple[float, WorkerIdentity, float | None]] = {}

    @property
    def worker_count(self) -> int:
        """Number of workers whose runs are kept."""
        return len(self._workers)

    def of_type(self, hardware: str) -> float | None:
        """Returns the logarithm of a hardware type's slowdown; None if unknown."""
        type_mean = self._types.get(hardware)
        return type_mean.mean if type_mean is not None else None

    def of_worker(self, identity: WorkerIdentity) -> float | None:
        """Returns the logarithm of a worker's slowdown; None if nothing is known."""
        estimate = self._estimates.get(identity.worker)
        if estimate is not None:
            time_s, known_identity, log_slowdown = estimate
            is_recent = self._now_s - time_s < _RECOMPUTE_AFTER_S
            if is_recent and known_identity == identity:
                return log_slowdown
        log_slowdown = self._estimate(identity)
        self._estimates[identity.worker] = self._now_s, identity, log_slowdown
        return log_slowdown

    def _estimate(self, identity: WorkerIdentity) -> float | None:
        type_mean = self.of_type(identity.hardware)
        runs = self._workers.get(identity.worker)
        if runs is None:
            return type_mean
        if type_mean is None:
            return runs.mean
        weight = runs.weight_at(self._now_s, type_mean)
        if (runs.hardware, runs.born_ms) != (identity.hardware, identity.born_ms):
            weight = min(weight, _WEIGHT_AFTER_CHANGE)
        is_retyped = runs.is_retyped or runs.hardware != identity.hardware
        return type_mean + self._own_part(runs.mean - type_mean, weight, is_retyped)[0]

    def add(self, identity: WorkerIdentity, log_ratio: float, now_s: float) -> None:
        """Learns from a run.

        Args:
            identity: Worker of the run.
            log_ratio: Logarithm of its run time over the predicted one.
            now_s: Time at which it ended, in seconds.
        """
        self._now_s = max(self._now_s, now_s)
        type_mean = self._types.setdefault(identity.hardware, LogMean())
        expected = self._estimate(identity)
        type_mean.add(log_ratio)
        self._estimates.pop(identity.worker, None)
        runs = self._update_worker(identity, type_mean.mean)
        run_deviation = math.sqrt(self._run_variance)
        runs.detect_change((log_ratio - runs.mean) / run_deviation)
        deviation = (log_ratio - expected) / run_deviation
        deviation = min(_MAX_DEVIATIONS, max(-_MAX_DEVIATIONS, deviation))
        clipped = expected + deviation * run_deviation
        runs.weight = min(_MAX_WEIGHT, runs.weight + 1.0)
        runs.mean += (clipped - runs.mean) / runs.weight
        if runs.weight >= _MIN_TELLING_WEIGHT:
            self._learn_spread(runs, type_mean.mean, deviation)

    def known_types(self) -> dict[str, float]:
        """Returns the logarithms of hardware types' slowdowns."""
        return {hardware: mean.mean for hardware, mean in self._types.items()}

    def known_workers(self) -> dict[WorkerIdentity, float]:
        """Returns the logarithms of the slowdowns of workers that had enough runs."""
        return {
            WorkerIdentity(worker, runs.hardware, runs.born_ms): runs.mean
            for worker, runs in self._workers.items()
            if runs.weight >= _MIN_TELLING_WEIGHT
        }

    def seed_type(self, hardware: str, log_slowdown: float) -> None:
        """Takes over an estimate, unless more runs were seen of this type."""
        known = self._types.get(hardware)
        if known is None or known.count < _TYPE_SEED_WEIGHT:
            self._types[hardware] = LogMean(log_slowdown, _TYPE_SEED_WEIGHT)
            self._estimates.clear()

    def seed_worker(
        self, identity: WorkerIdentity, log_slowdown: float, now_s: float
    ) -> None:
        """Takes over an estimate, unless runs of this worker were seen."""
        if identity.worker in self._workers or self.worker_count >= MAX_WORKERS:
            return
        self._workers[identity.worker] = _WorkerRuns(
            identity.hardware,
            identity.born_ms,
            log_slowdown,
            now_s,
            weight=_WORKER_SEED_WEIGHT,
        )
        self._estimates.pop(identity.worker, None)

    def _update_worker(self, identity: WorkerIdentity, type_mean: float) -> _WorkerRuns:
        """Returns the runs of a worker, weighted as of now."""
        runs = self._workers.get(identity.worker)
        if runs is None:
            self._forget_gone_workers()
            runs = self._workers[identity.worker] = _WorkerRuns(
                identity.hardware, identity.born_ms, type_mean, self._now_s
            )
        runs.weight = runs.weight_at(self._now_s, type_mean)
        runs.updated_s = self._now_s
        if (runs.hardware, runs.born_ms) != (identity.hardware, identity.born_ms):
            runs.is_retyped = runs.is_retyped or runs.hardware != identity.hardware
            runs.hardware, runs.born_ms = identity.hardware, identity.born_ms
            runs.weight = min(runs.weight, _WEIGHT_AFTER_CHANGE)
        return runs

    def _forget_gone_workers(self) -> None:
        oldest_s = self._now_s - _GONE_AFTER_S
        for worker, runs in list(self._workers.items()):
            if runs.updated_s < oldest_s:
                del self._workers[worker]
        self._estimates.clear()
        if len(self._workers) >= MAX_WORKERS:
            del self._workers[min(self._workers, key=self._updated_s)]

    def _updated_s(self, worker: str) -> float:
        return self._workers[worker].updated_s

    def _learn_spread(
        self, runs: _WorkerRuns, type_mean: float, deviation: float
    ) -> None:
        differing = self._own_part(runs.mean - type_mean, runs.weight, False)[1]
        low, high = _DIFFERING_SHARE_RANGE
        rate = _DIFFERING_SHARE_LEARNING_RATE
        share = self.differing_share + rate * (differing - self.differing_share)
        self.differing_share = min(high, max(low, share))
        low, high = _RUN_DEVIATION_RANGE
        rate = _RUN_DEVIATION_LEARNING_RATE
        relative = deviation**2 / _MEAN_CLIPPED_SQUARE
        variance = self._run_variance * (1.0 + rate * (relative - 1.0))
        self._run_variance = min(high**2, max(low**2, variance))

    def _own_part(
        self, offset: float, weight: float, is_retyped: bool
    ) -> tuple[float, float]:
        """Weighs the runs of a worker against its type.

        Args:
            offset: Mean logarithm of its slowdown, less that of its type.
            weight: Number of runs that the mean counts for.
            is_retyped: Whether the worker announced another type before.

        Returns:
            The expected logarithm of the worker's own factor, and the probability that
            it differs from its type.
        """
        differing_share = self.differing_share
        if is_retyped:
            differing_share = max(differing_share, _RETYPED_SHARE)
        if weight <= 0:
            return 0.0, differing_share
        mean_variance = self._run_variance / weight
        total_likelihood = own_part = differing_likelihood = 0.0
        for share, deviation in (
            (1 - differing_share, _AGREEING_DEVIATION),
            (differing_share, _DIFFERING_DEVIATION),
        ):
            variance = deviation * deviation + mean_variance
            exponent = max(-500.0, -offset * offset / (2 * variance))
            likelihood = share * math.exp(exponent) / math.sqrt(variance)
            total_likelihood += likelihood
            own_part += likelihood * offset * deviation * deviation / variance
            differing_likelihood = likelihood
        return own_part / total_likelihood, differing_likelihood / total_likelihood
