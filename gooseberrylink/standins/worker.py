"""Stands in for a worker that keeps runs under a lease, and logs what it ran."""

import dataclasses
import math
from collections.abc import Callable
from typing import Any

import trio

from gooseberrylink.backends.leased import (
    EndKind,
    LeaseRenewal,
    OrderReply,
    RunEnd,
    RunKey,
    StartReply,
    WorkerReport,
)

_NO_ANSWER_S = 0.25
_LOOK_S = 0.005


@dataclasses.dataclass(slots=True)
class RanTask:
    """One run, as the worker saw it; the judge of all promises."""

    key: RunKey
    worker: str
    units: int
    begun_s: float
    work_s: float
    ended_s: float = math.inf
    kind: EndKind | None = None


class FakeLeasedWorker:
    """Runs tasks by waiting; see LeasedWorker.

    A payload is {"name": ..., "run_s": ..., "units": ..., "fail": ...}.

    Attributes:
        units: Its room; it starts whatever it is told to, as real ones do.
        runs: Every run, in order.
        most_units: The most room that was ever in use.
        is_silent: Whether orders get no answer and have no effect.
        late_s: If set, orders get no answer and are carried out that much later.
        is_hung: Whether runs stand still.
        pace: How many times as long as they say tasks take.
        drift: How much its clock is slow.
        born_ms: Start of its present life.
    """

    def __init__(
        self, name: str, nursery: trio.Nursery, units: int = 8, drift: float = 0.02
    ):
        self.name = name
        self.units = units
        self.drift = drift
        self.runs: list[RanTask] = []
        self.most_units = 0
        self.is_silent = False
        self.late_s = 0.0
        self.is_hung = False
        self.slowdown = 1.0
        self.fencing_token = 0
        self.born_ms = 1_000_000
        self._nursery = nursery
        self._running: dict[RunKey, RanTask] = {}
        self._done_s: dict[RunKey, float] = {}
        self._highest: dict[str, int] = {}
        self._ends: list[RunEnd] = []
        self._until_ms = 0
        self._number = 0

    async def work(self) -> None:
        """Advances the runs until cancelled."""
        while True:
            await trio.sleep(_LOOK_S)
            for key, run in list(self._running.items()):
                if self.clock_ms() > self._until_ms:
                    self._end(key, EndKind.LAPSED)
                    continue
                self._done_s[key] += 0.0 if self.is_hung else _LOOK_S
                if self._done_s[key] >= run.work_s:
                    self._end(key, EndKind.DONE)

    def crash(self) -> None:
        """Loses all runs, and what it knew of them; it starts again at once."""
        self.born_ms += 1
        for key in list(self._running):
            self._end(key, EndKind.LOST)
        self._ends.clear()
        self._highest.clear()
        self.fencing_token = self._number = self._until_ms = 0

    def make_run_key(self, payload: Any, attempt: int) -> RunKey:
        """See LeasedWorker."""
        return RunKey(payload["name"], attempt)

    async def start(
        self, key: RunKey, payload: Any, until_ms: int, fencing_token: int
    ) -> StartReply:
        """See LeasedWorker."""
        order = lambda: self._start(key, payload, until_ms, fencing_token)  # noqa: E731
        return await self._carry_out(order, StartReply.UNANSWERED)

    async def stop(self, key: RunKey, fencing_token: int) -> OrderReply:
        """See LeasedWorker."""
        order = lambda: self._stop(key, fencing_token)  # noqa: E731
        return await self._carry_out(order, OrderReply.UNANSWERED)

    async def renew(self, renewal: LeaseRenewal) -> WorkerReport | OrderReply:
        """See LeasedWorker."""
        if self.is_silent or self.late_s:
            return await self._carry_out(
                lambda: self._renew(renewal), OrderReply.UNANSWERED
            )
        if not self._accepts(renewal.fencing_token):
            return OrderReply.FENCED
        self._renew(renewal)
        with trio.move_on_after(renewal.wait_s):
            while not self._ends:
                await trio.sleep(_LOOK_S)
        progress = {
            key: min(1.0, self._done_s[key] / run.work_s)
            for key, run in self._running.items()
        }
        ends = list(self._ends)
        return WorkerReport(self.clock_ms(), progress, ends, True, self.born_ms)

    async def _carry_out(self, order: Callable[[], Any], no_answer: Any) -> Any:
        if self.is_silent:
            await trio.sleep(_NO_ANSWER_S)
            return no_answer
        if self.late_s:
            self._nursery.start_soon(self._carry_out_late, order, self.late_s)
            await trio.sleep(_NO_ANSWER_S)
            return no_answer
        await trio.sleep(0.001)
        return order()

    async def _carry_out_late(self, order: Callable[[], Any], late_s: float) -> None:
        await trio.sleep(late_s)
        order()

    def _start(
        self, key: RunKey, payload: Any, until_ms: int, fencing_token: int
    ) -> StartReply:
        if not self._accepts(fencing_token):
            return StartReply.FENCED
        if key in self._running:
            return StartReply.STARTED
        if key.attempt <= self._highest.get(key.name, 0):
            return StartReply.SUPERSEDED
        if until_ms < self.clock_ms():
            return StartReply.LATE
        self._until_ms = max(self._until_ms, until_ms)
        run = RanTask(
            key,
            self.name,
            payload.get("units", 1),
            trio.current_time(),
            payload["run_s"] * self.slowdown,
        )
        self.runs.append(run)
        self._running[key] = run
        self._done_s[key] = 0.0
        in_use = sum(other.units for other in self._running.values())
        self.most_units = max(self.most_units, in_use)
        return StartReply.STARTED

    def _stop(self, key: RunKey, fencing_token: int) -> OrderReply:
        if not self._accepts(fencing_token):
            return OrderReply.FENCED
        self._highest[key.name] = max(key.attempt, self._highest.get(key.name, 0))
        if key in self._running:
            self._end(key, EndKind.STOPPED)
        return OrderReply.DONE

    def _renew(self, renewal: LeaseRenewal) -> None:
        if not self._accepts(renewal.fencing_token):
            return
        if renewal.until_ms is not None:
            self._until_ms = max(self._until_ms, renewal.until_ms)
        self._ends = [end for end in self._ends if end.number > renewal.seen_up_to]

    def _end(self, key: RunKey, kind: EndKind) -> None:
        run = self._running.pop(key)
        run.ended_s, run.kind = trio.current_time(), kind
        self._highest[key.name] = max(key.attempt, self._highest.get(key.name, 0))
        self._number += 1
        self._ends.append(RunEnd(self._number, key, kind))

    def _accepts(self, fencing_token: int) -> bool:
        self.fencing_token = max(self.fencing_token, fencing_token)
        return fencing_token >= self.fencing_token

    def clock_ms(self) -> int:
        """Returns its clock, in milliseconds."""
        return round(trio.current_time() * 1000 * (1 - self.drift))


def overlapping_runs(workers: list[FakeLeasedWorker]) -> list[str]:
    """Names the tasks of which two runs were under way at the same time."""
    by_name: dict[str, list[RanTask]] = {}
    for worker in workers:
        for run in worker.runs:
            by_name.setdefault(run.key.name, []).append(run)
    found = []
    for name, runs in by_name.items():
        runs.sort(key=lambda run: run.begun_s)
        pairs = zip(runs, runs[1:], strict=False)
        if any(later.begun_s < former.ended_s for former, later in pairs):
            found.append(name)
    return found
