"""What was learnt is kept in the store, and is only a prior for entries that start."""

import random

import pytest
import trio
from fleet import FAST, SLOW, Fleet

from gooseberrylink.entry_daemon import EntryComponents, EntryDaemon
from gooseberrylink.learned_store import LearnedEstimatesKeeper
from gooseberrylink.metrics import Metrics
from gooseberrylink.peers.tcp_link import TcpListener
from gooseberrylink.run_times import RunTimeModel
from gooseberrylink.scheduling import learned
from gooseberrylink.scheduling.learned import LearnedEstimates, WorkerSummary
from gooseberrylink.settings import EntrySettings

TABLE = "gooseberrylink-learned"


@pytest.fixture
def fleet():
    """A fleet whose entry has run for half a minute."""
    fleet = Fleet()
    fleet.run(30.0)
    return fleet


def make_settings(data_centre: str = "north") -> EntrySettings:
    return EntrySettings(
        entry="entry-1",
        data_centre=data_centre,
        platform="127.0.0.1:1",
        learned_interval_s=0.02,
    )


def make_keeper(store, run_times: RunTimeModel, metrics: Metrics, data_centre="north"):
    settings = make_settings(data_centre)
    return LearnedEstimatesKeeper(store, settings, run_times, metrics, random.Random(1))


def stored(run_times: RunTimeModel) -> bytes:
    return learned.encode(run_times.summarize())


async def wait_until(condition) -> None:
    while not condition():
        await trio.sleep(0.01)


@pytest.mark.parametrize("has_power_loss", [False, True])
def test_entry_that_starts_decides_like_one_that_ran(fleet, has_power_loss):
    error_before = fleet.error()
    data = stored(fleet.model)
    fleet.restart()
    if has_power_loss:
        fleet.born_ms = dict.fromkeys(fleet.speeds, 2)
    assert fleet.error() > 0.2
    fleet.model.adopt(learned.decode(data), fleet.now_s)
    assert fleet.error() < error_before + 0.03
    for worker, speed in fleet.speeds.items():
        expected_s = fleet.expected_run_s(worker)
        assert expected_s == pytest.approx(0.3 * speed, rel=0.25)


def test_speeds_by_worker_hold_where_types_became_no_guide(fleet):
    data = stored(fleet.model)
    fleet.shuffle_types()
    fleet.restart()
    fleet.model.adopt(learned.decode(data), fleet.now_s)
    assert fleet.error() < 0.15


def test_wrong_values_yield(fleet):
    data = stored(fleet.model)
    fleet.restart()
    for worker, speed in fleet.speeds.items():
        fleet.speeds[worker] = SLOW if speed == FAST else FAST
    fleet.model.adopt(learned.decode(data), fleet.now_s)
    assert fleet.error() > 0.4
    fleet.run(1.0)
    assert fleet.error() < 0.12


def test_host_replaced_by_other_hardware_under_its_name(fleet):
    data = stored(fleet.model)
    fleet.restart()
    fleet.speeds["w1"], fleet.types["w1"], fleet.born_ms["w1"] = SLOW, "b", 2
    fleet.model.adopt(learned.decode(data), fleet.now_s)
    assert fleet.slowdown("w1") < 1.1
    # As many as the entry sees of one worker in a second.
    for _ in range(9):
        fleet.run_one("w1")
    assert fleet.slowdown("w1") > 1.3


def test_own_runs_count_more_than_a_late_row(fleet):
    data = stored(fleet.model)
    fleet.restart()
    for worker, speed in fleet.speeds.items():
        fleet.speeds[worker] = SLOW if speed == FAST else FAST
    fleet.run(3.0)
    error = fleet.error()
    fleet.model.adopt(learned.decode(data), fleet.now_s)
    assert fleet.error() == pytest.approx(error)


def test_items_that_are_gone_are_dropped():
    def summarize(number: int) -> LearnedEstimates:
        workers = [WorkerSummary(f"w{number}-{n}", "a", 1, 0) for n in range(20)]
        return LearnedEstimates(types={"a": 0}, workers=workers)

    estimates = LearnedEstimates()
    for number in range(100):
        estimates = summarize(number).carry_over(estimates)
        assert len(learned.encode(estimates)) <= learned.MAX_BYTES
    assert len(estimates.workers) == 500
    for _ in range(100):
        estimates = LearnedEstimates().carry_over(estimates)
    assert estimates.is_empty
    assert estimates.types == {}


def test_large_estimates_are_cut():
    names = [f"{number:04}" * 200 for number in range(200)]
    workers = [WorkerSummary(name, "a", 1, 0) for name in names]
    estimates = LearnedEstimates(workers=workers)
    data = learned.encode(estimates)
    kept = learned.decode(data).workers
    assert len(data) <= learned.MAX_BYTES
    assert kept == workers[: len(kept)]
    assert kept


def test_all_entries_start_again(run_with_store, fleet):
    async def test(standin, store, nursery):
        metrics = Metrics("entry", "entry-1")
        scope = trio.CancelScope()
        keeper = make_keeper(store, fleet.model, metrics)

        async def run_until_power_loss():
            with scope:
                await keeper.run(lambda: 2)

        nursery.start_soon(run_until_power_loss)
        await trio.sleep(0.1)
        assert metrics.get("learned_rows_written") == 0
        fleet.run(2.0)
        await wait_until(lambda: metrics.get("learned_rows_written") == 1)
        scope.cancel()
        fleet.restart()
        # One of another data centre.
        keeper = make_keeper(store, fleet.model, metrics, "south")
        nursery.start_soon(keeper.run, lambda: 2)
        await wait_until(lambda: fleet.error() < 0.1)

    run_with_store(test)


def test_store_is_away_at_the_start(run_with_store, fleet):
    async def test(standin, store, nursery):
        standin.put(TABLE, "north", stored(fleet.model))
        standin.is_down = True
        fleet.restart()
        metrics = Metrics("entry", "entry-1")
        nursery.start_soon(make_keeper(store, fleet.model, metrics).run, lambda: 1)
        await wait_until(lambda: metrics.by_reason("store_reads_failed"))
        # The entry serves meanwhile.
        fleet.run(0.1)
        standin.is_down = False
        await wait_until(lambda: fleet.error() < 0.1)

    run_with_store(test)


def test_store_stays_away():
    class AbsentStore:
        calls = 0

        async def read_table(self, table):
            self.calls += 1
            await trio.sleep_forever()

    async def main():
        store = AbsentStore()
        run_times = RunTimeModel()
        with trio.move_on_after(60.0):
            await make_keeper(store, run_times, Metrics("entry", "e")).run(lambda: 1)
        assert store.calls == 1

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@pytest.mark.parametrize("has_store", [True, False])
def test_setting_switches_it_on(run_with_store, fleet, has_store):
    async def test(standin, store, nursery):
        standin.put(TABLE, "north", stored(fleet.model))
        components = EntryComponents(row_store=store if has_store else None)
        daemon = EntryDaemon(make_settings(), TcpListener(), components)
        await nursery.start(daemon.run)
        run_times = daemon.entry.dispatcher.run_times
        if has_store:
            await wait_until(lambda: run_times.summarize().types)
        else:
            # The entry serves without.
            assert run_times.summarize().is_empty
        nursery.cancel_scope.cancel()

    run_with_store(test)


@pytest.mark.parametrize(
    ("value", "reason"),
    [
        (b"", "malformed"),
        (b"\x00\xff", "malformed"),
        (learned.encode(LearnedEstimates())[:-1], "malformed"),
        (learned.encode(LearnedEstimates(types={"a": 10**6})), "malformed"),
        (learned.encode(LearnedEstimates(format=2)), "other_format"),
        (b"\x92\x02\x80", "other_format"),
        (b"\x00" * 1_000_000, "too_large"),
    ],
)
def test_unreadable_row_costs_nothing(run_with_store, fleet, value, reason):
    async def test(standin, store, nursery):
        standin.put(TABLE, "north", value)
        standin.put(TABLE, "south", stored(fleet.model))
        fleet.restart()
        metrics = Metrics("entry", "entry-1")
        nursery.start_soon(make_keeper(store, fleet.model, metrics).run, lambda: 1)
        await wait_until(lambda: fleet.error() < 0.1)
        assert metrics.by_reason("learned_rows_unreadable") == {reason: 1}
        # The next write replaces it.
        fleet.run(2.0)
        await wait_until(lambda: metrics.get("learned_rows_written"))
        assert not learned.decode(standin.get_value(TABLE, "north")).is_empty

    run_with_store(test)
