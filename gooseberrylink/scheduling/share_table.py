"""Sums up, at an agent, who was served and who was turned away at all entries.

Load pattern: callers are spread unevenly over many entries, and each of them sees too
few jobs of a rare class to tell whether it is served like the others. The sums outlive
an entry: what its callers had counts until it has decayed.
"""

from gooseberrylink.peers.messages import ClassCounts
from gooseberrylink.scheduling.sharing import Counts, JobClass, Ledger

_UNITS_A_JOB = 10
_SEND_INTERVAL_S = 0.5
# Entries that ended are forgotten some half-lives later.
_FORGET_AFTER_S = 15.0


class ShareTable:
    """The counts that each entry last reported, decayed since then."""

    def __init__(self):
        self._ledgers: dict[str, Ledger] = {}
        self._reported_s: dict[str, float] = {}
        self._sent_s: dict[str, float] = {}

    def record(self, entry: str, counts: list[ClassCounts], now_s: float) -> None:
        """Replaces the counts of an entry, if it reported any."""
        if not counts:
            return
        ledger = self._ledgers[entry] = Ledger()
        for job_class, reported in from_frame(counts).items():
            ledger.add(job_class, *reported, now_s)
        self._reported_s[entry] = now_s

    def counts_for(self, entry: str, now_s: float) -> list[ClassCounts]:
        """Returns the sums of all other entries for the next frame to one entry.

        Returns an empty list if nothing is new, or too little time has passed.
        """
        sent_s = self._sent_s.get(entry, 0.0)
        others_s = [at_s for e, at_s in self._reported_s.items() if e != entry]
        if not others_s or max(others_s) <= sent_s or now_s - sent_s < _SEND_INTERVAL_S:
            return []
        self._sent_s[entry] = now_s
        self._forget_old(now_s)
        total = Ledger()
        for other, ledger in self._ledgers.items():
            if other != entry:
                for job_class, counts in ledger.counts(now_s).items():
                    total.add(job_class, *counts, now_s)
        return to_frame(total.counts(now_s))

    def _forget_old(self, now_s: float) -> None:
        for entry, at_s in list(self._reported_s.items()):
            if now_s - at_s > _FORGET_AFTER_S:
                del self._reported_s[entry], self._ledgers[entry]
        for entry, at_s in list(self._sent_s.items()):
            if now_s - at_s > _FORGET_AFTER_S:
                del self._sent_s[entry]


def to_frame(counts: dict[JobClass, Counts]) -> list[ClassCounts]:
    """Returns counts as frames carry them."""
    return [
        ClassCounts(
            *job_class,
            round(c.requested * _UNITS_A_JOB),
            round(c.turned_away * _UNITS_A_JOB),
        )
        for job_class, c in counts.items()
    ]


def from_frame(counts: list[ClassCounts]) -> dict[JobClass, Counts]:
    """Returns counts that a frame carried."""
    return {
        JobClass(c.customer, c.data_centre, c.band): Counts(
            max(0, c.requested) / _UNITS_A_JOB,
            min(max(0, c.turned_away), max(0, c.requested)) / _UNITS_A_JOB,
        )
        for c in counts
    }
