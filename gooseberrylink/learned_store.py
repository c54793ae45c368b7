"""Keeps what entries have learnt in a small row a data centre of the table store.

There is no coordination: each entry writes at random intervals, the longer the more
entries there are, and carries over what only the row knows. Of two writers at once the
later one wins, and the next write brings back what was lost. An entry reads the rows of
all data centres once, while it already serves callers.
"""

import random
from collections.abc import Callable

import trio

from gooseberrylink.exceptions import UnreadableEstimatesError
from gooseberrylink.logs import log_event
from gooseberrylink.metrics import Metrics
from gooseberrylink.run_times import RunTimeModel
from gooseberrylink.scheduling import learned
from gooseberrylink.scheduling.learned import LearnedEstimates
from gooseberrylink.settings import EntrySettings
from gooseberrylink.store import Rows, RowStore, StoredRow, StoreErrorKind

_TABLE = "gooseberrylink-learned"
# After this time the entry has learnt enough by itself.
_READ_FOR_S = 5.0
_BACKOFF_MIN_S = 0.1
_BACKOFF_MAX_S = 1.0
# An interval is random within these factors, so that entries started together spread
# their writes. The first is shorter, as the row may not know much yet.
_FIRST_INTERVAL_FACTORS = (0.1, 1.0)
_INTERVAL_FACTORS = (0.1, 1.9)
# Fewer completed tasks since its last write are not worth a write.
_MIN_NEW_RUNS = 200


class LearnedEstimatesKeeper:
    """Reads the rows when an entry starts, and writes that of its data centre."""

    def __init__(
        self,
        store: RowStore,
        settings: EntrySettings,
        run_times: RunTimeModel,
        metrics: Metrics,
        rng: random.Random,
    ):
        self._store = store
        self._settings = settings
        self._run_times = run_times
        self._metrics = metrics
        self._random = rng

    async def run(self, count_entries: Callable[[], int]) -> None:
        """Runs until cancelled.

        Args:
            count_entries: Returns the number of entries that write.
        """
        with trio.move_on_after(_READ_FOR_S):
            await self._read()
        written_runs = self._run_times.run_count
        factors = _FIRST_INTERVAL_FACTORS
        while True:
            interval_s = self._settings.learned_interval_s * count_entries()
            await trio.sleep(interval_s * self._random.uniform(*factors))
            factors = _INTERVAL_FACTORS
            run_count = self._run_times.run_count
            if run_count - written_runs >= _MIN_NEW_RUNS and await self._write():
                written_runs = run_count

    async def _read(self) -> None:
        started_s = trio.current_time()
        backoff_s = _BACKOFF_MIN_S
        while not isinstance(rows := await self._store.read_table(_TABLE), Rows):
            self._metrics.add("store_reads_failed", rows.value)
            await trio.sleep(backoff_s * self._random.uniform(0.5, 1.0))
            backoff_s = min(2 * backoff_s, _BACKOFF_MAX_S)
        # That of its own data centre comes first, and counts where they differ.
        own_key = self._settings.data_centre
        stored = sorted(rows.rows, key=lambda row: row.key != own_key)
        estimates = learned.merge([self._decode(row) for row in stored])
        now_s = trio.current_time()
        self._run_times.adopt(estimates, now_s)
        log_event(
            "learned_estimates_read",
            rows=len(stored),
            bytes=sum(len(row.value or b"") for row in stored),
            workers=len(estimates.workers),
            customers=len(estimates.fits),
            took_s=now_s - started_s,
        )

    async def _write(self) -> bool:
        """Writes the row, unless the store is away; returns whether it did."""
        key = self._settings.data_centre
        row = await self._store.read_row(_TABLE, key)
        if isinstance(row, StoreErrorKind):
            self._metrics.add("store_reads_failed", row.value)
            return False
        earlier = LearnedEstimates() if row is None else self._decode(row)
        estimates = self._run_times.summarize().carry_over(earlier)
        data = learned.encode(estimates)
        error = await self._store.put(_TABLE, key, data)
        if error is not None:
            self._metrics.add("store_writes_failed", error.value)
            return False
        self._metrics.add("learned_rows_written")
        log_event(
            "learned_estimates_written",
            bytes=len(data),
            workers=len(estimates.workers),
            customers=len(estimates.fits),
        )
        return True

    def _decode(self, row: StoredRow) -> LearnedEstimates:
        """Returns the estimates in a row; none if it was removed or is unreadable."""
        if row.value is None:
            return LearnedEstimates()
        try:
            return learned.decode(row.value)
        except UnreadableEstimatesError as error:
            self._metrics.add("learned_rows_unreadable", error.reason)
            log_event(
                "learned_estimates_unreadable",
                "WARNING",
                table=_TABLE,
                key=row.key,
                reason=error.reason,
                error=error,
            )
            return LearnedEstimates()
