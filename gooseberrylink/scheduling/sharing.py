"""Decides whose jobs go first when demand exceeds the room.

Load pattern: at the crest of a day demand is above the capacity for seconds. Jobs of
several customers differ in length, width and priority. By due time alone, long tasks
of a low priority take the slots, and short urgent jobs are turned away; by priority
alone, the last customer, the largest jobs or one data centre's callers get nothing.

The rules: what has begun is finished first. Then come classes of jobs that get less
than their floor, a share of what all jobs get. Then priority decides, and among equals
the due time. So priority decides between the floor and the whole.
"""

import collections
import dataclasses
import math
from collections.abc import Mapping
from typing import NamedTuple, Protocol

# Sort ranks. A higher rank goes first. Ranks of sharing are above all precedences that
# operators can declare, which makes them recognizable at agents.
MIN_SHARING_RANK = 10
_MAX_PRIORITY = 9
# Added to the ranks of an entry if its callers, or all callers of its data centre, get
# less than the floor.
_ENTRY_BELOW_FLOOR = _MAX_PRIORITY + 1
_BELOW_FLOOR_RANK = MIN_SHARING_RANK + 2 * _ENTRY_BELOW_FLOOR
STARTED_RANK = _BELOW_FLOOR_RANK + 1
# A strict precedence of the operator outweighs all ranks.
_RANKS_A_PRECEDENCE = 100

# Least share of its jobs that a class gets, relative to that of all jobs.
_FLOOR = 0.9
_HALF_LIFE_S = 3.0
# Share of all jobs above which a job waits for as long as it can be on time, and share
# below which callers are told early. While few are turned away, early refusals turn
# away jobs that would have been on time.
_PATIENT_ABOVE = 0.95
_STRICT_BELOW = 0.85
# By how much the share of a lower priority may exceed that of a higher one. Less would
# turn jobs away while nearly all are served.
_MAX_LEAD = 0.05
# A class counts as served like all jobs until it has sent about this many.
_PRIOR_JOBS = 2.0
# Counts below this are forgotten.
_MIN_JOBS = 0.01
# Upper limits of all bands of sizes but the last, as shares of a customer's jobs: the
# largest tenth is a band, and the fifth below it.
_BAND_QUANTILES = (0.7, 0.9)
_QUANTILE_STEP = 0.04
# How long the totals that an agent reported are used.
_TOTALS_VALID_S = 2.0
# Jobs turned away lately, from which on entries report their counts.
_MIN_TURNED_AWAY = 0.5


def rank_of_started(rank: int) -> int:
    """Returns the rank for the rest of a job that began with a rank."""
    return rank - rank % _RANKS_A_PRECEDENCE + STARTED_RANK


class JobClass(NamedTuple):
    """A class of jobs.

    Attributes:
        data_centre: Data centre of the entry that the caller reached.
        band: 2 for the customer's largest jobs, 1 for those below, 0 for the others.
    """

    customer: str
    data_centre: str
    band: int


class Counts(NamedTuple):
    """Jobs of a class, decayed exponentially.

    Attributes:
        requested: Jobs that were sent.
        turned_away: Those of them that were refused or given up.
    """

    requested: float
    turned_away: float

    def plus(self, other: "Counts") -> "Counts":
        """Returns the sums."""
        return Counts(
            self.requested + other.requested, self.turned_away + other.turned_away
        )


class SharingPolicy(Protocol):
    """Ranks the jobs of a service at one entry.

    Attributes:
        is_active: Whether ranks decide. If not, jobs are ordered by due time.
    """

    is_active: bool

    def rank(self, customer: str, precedence: int, longest_task_s: float) -> int:
        """Returns the rank of a new job; higher goes first."""

    def must_yield(self, customer: str, longest_task_s: float) -> bool:
        """Returns whether a job may not wait for room that others lack more."""

    def record_request(
        self, customer: str, longest_task_s: float, now_s: float
    ) -> None:
        """Counts a job that was sent."""

    def record_turned_away(
        self, customer: str, longest_task_s: float, now_s: float
    ) -> None:
        """Counts a job that was refused or given up before it began."""

    def pressure(self) -> float:
        """Returns how strictly waits are limited: 0 without overload, at most 1."""

    def entry_share(self) -> float:
        """Returns the share of all jobs that come to this entry; 0 if unknown."""

    def counts_to_report(self, now_s: float) -> dict[JobClass, Counts]:
        """Returns what this entry reports to agents; nothing while all are served."""

    def record_others(
        self, agent: str, counts: dict[JobClass, Counts], now_s: float
    ) -> None:
        """Records the sums of all other entries, as an agent reported them."""


class NoSharing:
    """Ranks jobs by the operator's precedence alone; see SharingPolicy."""

    is_active = False

    def rank(self, customer: str, precedence: int, longest_task_s: float) -> int:
        """See SharingPolicy."""
        return precedence

    def must_yield(self, customer: str, longest_task_s: float) -> bool:
        """See SharingPolicy; never."""
        return False

    def record_request(
        self, customer: str, longest_task_s: float, now_s: float
    ) -> None:
        """See SharingPolicy; does nothing."""

    def record_turned_away(
        self, customer: str, longest_task_s: float, now_s: float
    ) -> None:
        """See SharingPolicy; does nothing."""

    def pressure(self) -> float:
        """See SharingPolicy; 0."""
        return 0.0

    def entry_share(self) -> float:
        """See SharingPolicy; unknown."""
        return 0.0

    def counts_to_report(self, now_s: float) -> dict[JobClass, Counts]:
        """See SharingPolicy; nothing."""
        return {}

    def record_others(
        self, agent: str, counts: dict[JobClass, Counts], now_s: float
    ) -> None:
        """See SharingPolicy; does nothing."""


class Ledger:
    """Counts jobs by class, decayed exponentially."""

    def __init__(self):
        self._counts: dict[JobClass, Counts] = {}
        self._decayed_s = 0.0

    def add(
        self, job_class: JobClass, requested: float, turned_away: float, now_s: float
    ) -> None:
        """Adds jobs to a class."""
        self._decay(now_s)
        counts = self._counts.get(job_class, Counts(0.0, 0.0))
        self._counts[job_class] = counts.plus(Counts(requested, turned_away))

    def counts(self, now_s: float) -> dict[JobClass, Counts]:
        """Returns the counts by class."""
        self._decay(now_s)
        return dict(self._counts)

    def _decay(self, now_s: float) -> None:
        elapsed_s = now_s - self._decayed_s
        if elapsed_s <= 0:
            return
        self._decayed_s = now_s
        factor = 0.5 ** (elapsed_s / _HALF_LIFE_S)
        self._counts = {
            job_class: Counts(c.requested * factor, c.turned_away * factor)
            for job_class, c in self._counts.items()
            if c.requested * factor > _MIN_JOBS
        }


class ServedShares:
    """Shares of jobs that were not turned away.

    A few jobs show little, so each share starts from that of all jobs.

    Attributes:
        whole: Share of all jobs; 1 if there was none.
        requested: Number of all jobs, decayed exponentially.
    """

    def __init__(self, counts: Mapping[JobClass, Counts]):
        sums: dict[tuple[str, ...], Counts] = {}
        whole = Counts(0.0, 0.0)
        for job_class, c in counts.items():
            whole = whole.plus(c)
            for group in _groups(job_class):
                sums[group] = sums.get(group, Counts(0.0, 0.0)).plus(c)
        self.requested = whole.requested
        is_any = whole.requested > 0
        self.whole = 1 - whole.turned_away / whole.requested if is_any else 1.0
        self._shares = {
            group: (c.requested - c.turned_away + _PRIOR_JOBS * self.whole)
            / (c.requested + _PRIOR_JOBS)
            for group, c in sums.items()
        }

    def is_below_floor(self, job_class: JobClass) -> bool:
        """Returns whether the customer or the band of a job gets too little."""
        customer, band, _ = _groups(job_class)
        return self._is_group_below_floor(customer) or self._is_group_below_floor(band)

    def is_data_centre_below_floor(self, data_centre: str) -> bool:
        """Returns whether the callers of a data centre get too little."""
        return self._is_group_below_floor(("", data_centre))

    def _is_group_below_floor(self, group: tuple[str, ...]) -> bool:
        floor = _FLOOR * self.whole
        return self._shares.get(group, floor) < floor

    def of_customer(self, customer: str) -> float:
        """Returns the share of a customer's jobs."""
        return self._shares.get((customer,), self.whole)


def _groups(job_class: JobClass) -> tuple[tuple[str, ...], ...]:
    """Returns the customer, the band and the data centre of a class as keys."""
    return (
        (job_class.customer,),
        (job_class.customer, str(job_class.band)),
        ("", job_class.data_centre),
    )


class SizeBands:
    """Learns into which band of its customer's sizes a job falls."""

    def __init__(self):
        # Logarithms of the quantiles, in seconds.
        self._limits: dict[str, list[float]] = {}
        self._numbers: collections.Counter[str] = collections.Counter()

    def add(self, customer: str, longest_task_s: float) -> None:
        """Learns the size of a job."""
        size = math.log(max(longest_task_s, 1e-3))
        limits = self._limits.setdefault(customer, [size] * len(_BAND_QUANTILES))
        self._numbers[customer] += 1
        step = max(_QUANTILE_STEP, 1.0 / self._numbers[customer])
        for index, quantile in enumerate(_BAND_QUANTILES):
            limits[index] += step * (quantile - (size <= limits[index]))

    def band(self, customer: str, longest_task_s: float) -> int:
        """Returns the band of a job; 0 for a customer that is not known yet."""
        size = math.log(max(longest_task_s, 1e-3))
        return sum(size > limit for limit in self._limits.get(customer, ()))


@dataclasses.dataclass(slots=True)
class _Totals:
    """Counts of other entries, as an agent reported them."""

    counts: dict[JobClass, Counts]
    received_s: float


class PrioritySharing:
    """Ranks jobs by priority, with floors; see SharingPolicy and the module.

    Without reports from agents it decides by what happened at its own entry.
    """

    is_active = True

    def __init__(self, data_centre: str, priorities: Mapping[str, int]):
        """Creates the policy of one entry for one service.

        Args:
            data_centre: Data centre of the entry.
            priorities: Priority of each customer; 0 goes first.
        """
        self._data_centre = data_centre
        self.priorities = priorities
        self._bands = SizeBands()
        self._ledger = Ledger()
        self._others: dict[str, _Totals] = {}
        self._shares = ServedShares({})
        self._is_entry_below_floor = False
        self._entry_share = 0.0

    def rank(self, customer: str, precedence: int, longest_task_s: float) -> int:
        """See SharingPolicy."""
        rank = MIN_SHARING_RANK + _MAX_PRIORITY
        rank -= min(_MAX_PRIORITY, self.priorities.get(customer, 0))
        job_class = self._job_class(customer, longest_task_s)
        if self._is_entry_below_floor:
            rank += _ENTRY_BELOW_FLOOR
        if self._shares.is_below_floor(job_class):
            rank = _BELOW_FLOOR_RANK
        return rank + _RANKS_A_PRECEDENCE * precedence

    def must_yield(self, customer: str, longest_task_s: float) -> bool:
        """See SharingPolicy.

        A customer of a lower priority must not get a larger share than one of a higher:
        its jobs may be able to wait for longer, until no other job waits.
        """
        if self._shares.is_below_floor(self._job_class(customer, longest_task_s)):
            return False
        priority = self.priorities.get(customer, 0)
        share = self._shares.of_customer(customer)
        return any(
            self._shares.of_customer(other) < share - _MAX_LEAD
            for other, other_priority in self.priorities.items()
            if other_priority < priority
        )

    def record_request(
        self, customer: str, longest_task_s: float, now_s: float
    ) -> None:
        """See SharingPolicy."""
        self._bands.add(customer, longest_task_s)
        job_class = self._job_class(customer, longest_task_s)
        self._ledger.add(job_class, 1.0, 0.0, now_s)
        self._update_shares(now_s)

    def record_turned_away(
        self, customer: str, longest_task_s: float, now_s: float
    ) -> None:
        """See SharingPolicy."""
        job_class = self._job_class(customer, longest_task_s)
        self._ledger.add(job_class, 0.0, 1.0, now_s)

    def pressure(self) -> float:
        """See SharingPolicy."""
        missing = (_PATIENT_ABOVE - self._shares.whole) / (
            _PATIENT_ABOVE - _STRICT_BELOW
        )
        return min(1.0, max(0.0, missing))

    def entry_share(self) -> float:
        """See SharingPolicy."""
        return self._entry_share

    def counts_to_report(self, now_s: float) -> dict[JobClass, Counts]:
        """See SharingPolicy."""
        counts = self._ledger.counts(now_s)
        others = self._counts_of_others(now_s)
        turned_away = sum(c.turned_away for c in (*counts.values(), *others.values()))
        return counts if turned_away > _MIN_TURNED_AWAY else {}

    def record_others(
        self, agent: str, counts: dict[JobClass, Counts], now_s: float
    ) -> None:
        """See SharingPolicy."""
        self._others[agent] = _Totals(counts, now_s)

    def _counts_of_others(self, now_s: float) -> dict[JobClass, Counts]:
        """Returns the sums of the agent that knows most.

        An agent that has just started does not know yet what all entries reported.
        """
        for agent, totals in list(self._others.items()):
            if now_s - totals.received_s > _TOTALS_VALID_S:
                del self._others[agent]
        known = [totals.counts for totals in self._others.values()]
        return max(
            known, key=lambda c: sum(n.requested for n in c.values()), default={}
        )

    def _job_class(self, customer: str, longest_task_s: float) -> JobClass:
        band = self._bands.band(customer, longest_task_s)
        return JobClass(customer, self._data_centre, band)

    def _update_shares(self, now_s: float) -> None:
        counts = self._ledger.counts(now_s)
        own = ServedShares(counts)
        others = self._counts_of_others(now_s)
        for job_class, other in others.items():
            counts[job_class] = counts.get(job_class, Counts(0.0, 0.0)).plus(other)
        self._shares = ServedShares(counts)
        self._is_entry_below_floor = (
            own.whole < _FLOOR * self._shares.whole
            or self._shares.is_data_centre_below_floor(self._data_centre)
        )
        self._entry_share = own.requested / self._shares.requested if others else 0.0


class WaitMargin:
    """Corrects the predicted wait so that few jobs wait in vain.

    Of the jobs that are turned away, nine in ten shall be refused on submission.
    Each job that is given up after a wait raises the margin nine times as much as each
    refusal on submission lowers it. Without either the margin returns to 1.
    """

    _STEP = 0.04
    _LIMITS = (math.log(0.5), math.log(30.0))
    _HALF_LIFE_S = 30.0

    def __init__(self):
        self._log_margins: dict[str, tuple[float, float]] = {}

    def factor(self, customer: str, now_s: float) -> float:
        """Returns the factor for the predicted wait of a customer's job."""
        log_margin, updated_s = self._log_margins.get(customer, (0.0, now_s))
        elapsed_s = max(0.0, now_s - updated_s)
        return math.exp(log_margin * 0.5 ** (elapsed_s / self._HALF_LIFE_S))

    def record_refused(self, customer: str, now_s: float) -> None:
        """Records a refusal on submission."""
        self._move(customer, -self._STEP, now_s)

    def record_given_up(self, customer: str, now_s: float) -> None:
        """Records that a job was given up after it had waited."""
        self._move(customer, 9 * self._STEP, now_s)

    def _move(self, customer: str, step: float, now_s: float) -> None:
        low, high = self._LIMITS
        log_margin = math.log(self.factor(customer, now_s)) + step
        self._log_margins[customer] = min(high, max(low, log_margin)), now_s


def make_sharing(
    current: SharingPolicy, data_centre: str, priorities: Mapping[str, int]
) -> SharingPolicy:
    """Returns the policy for priorities; the current one if it fits, with its counts.

    Args:
        current: The policy in force.
        data_centre: Data centre of the entry.
        priorities: Declared priority of each customer of the service. If all are
            equal, the policy does nothing.
    """
    if len(set(priorities.values())) < 2:
        return NoSharing() if current.is_active else current
    if isinstance(current, PrioritySharing):
        current.priorities = priorities
        return current
    return PrioritySharing(data_centre, priorities)
