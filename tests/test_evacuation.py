"""Tests that no task starts in an evacuated data centre, whatever fails meanwhile."""

import pytest
import trio
import trio.testing
from conftest import SERVICE

from gooseberrylink.bench.runner import seeded_scheduler
from gooseberrylink.codes import Code
from gooseberrylink.metrics import Metrics
from gooseberrylink.operators.configuration_store import ConfigurationStore
from gooseberrylink.operators.declarations import Declarations, to_canonical
from gooseberrylink.peers.messages import EvacuationState
from gooseberrylink.platform.desired_state import ChangeFeedSource
from gooseberrylink.platform.evacuation_rows import EvacuationRows
from gooseberrylink.scheduling.evacuation import (
    OPERATOR,
    EvacuationLink,
    Evacuations,
    find_jobs_without_room,
)
from gooseberrylink.standins.processes import ProcessDeployment, TaskFreezer
from gooseberrylink.store import Rows, StoredRow
from gooseberrylink.types import Job, LatencyTarget, Task

NORTH, SOUTH, EAST = "ain-sebaa", "mohammedia", "nouaceur"
# Bound on the spread within a deployment whose links have no delay.
SPREAD_S = 0.05


def state(version, *data_centres):
    return EvacuationState(OPERATOR, version, frozenset(data_centres))


# What a process knows.


def test_older_state_of_a_peer_changes_nothing():
    evacuations = Evacuations()
    evacuations.adopt(state(7, NORTH), "store")
    evacuations.adopt(state(9), "agent")
    evacuations.adopt(state(8, NORTH, SOUTH), "agent")
    assert (evacuations.version(OPERATOR), evacuations.data_centres) == (9, set())


def test_sources_are_united_and_keep_their_versions():
    changes = []
    evacuations = Evacuations(changes.append)
    evacuations.adopt(state(900, NORTH), "store")
    evacuations.adopt(EvacuationState("rules", 3, frozenset({SOUTH})), "configuration")
    evacuations.adopt(EvacuationState("rules", 4, frozenset({SOUTH})), "agent")
    evacuations.adopt(state(901), "store")
    assert evacuations.data_centres == {SOUTH}
    assert changes == [set(), {NORTH}, {NORTH, SOUTH}]


def test_link_tells_each_state_once_and_none_that_the_peer_told():
    evacuations = Evacuations()
    link = EvacuationLink(evacuations)
    assert not link.is_peer_wrong()
    evacuations.adopt(state(7, NORTH), "store")
    assert [s.version for s in link.take_updates()] == [7]
    link.receive([state(8)], "agent")
    assert not link.is_peer_wrong()
    assert evacuations.data_centres == set()


def test_all_that_is_evacuated_counts_if_peers_read_one_version_differently():
    # One of them does not know a data centre yet, or could not read a row.
    ours, theirs = Evacuations(), Evacuations()
    ours.adopt(state(7, NORTH), "store")
    theirs.adopt(state(7, SOUTH), "store")
    to_them, to_us = EvacuationLink(ours), EvacuationLink(theirs)
    to_us.receive(to_them.take_updates(), "entry")
    to_them.receive(to_us.take_updates(), "agent")
    assert ours.data_centres == theirs.data_centres == {NORTH, SOUTH}
    assert not (to_us.is_peer_wrong() or to_them.is_peer_wrong())


# The rows of the operator.


@pytest.fixture
def apply_rows():
    """Returns a function that applies rows of the operator's table to a register."""
    decoder = EvacuationRows([NORTH, SOUTH], Metrics("entry", "e"))

    def apply(evacuations, version, is_full=False, unreadable=(), **values):
        rows = [StoredRow(f"evacuate/{name}", value) for name, value in values.items()]
        keys = tuple(f"evacuate/{name}" for name in unreadable)
        decoder.apply(Rows(rows, version, is_full, keys), evacuations)
        return evacuations.data_centres

    return apply


def test_row_is_in_force_until_it_is_removed(apply_rows):
    evacuations = Evacuations()
    assert apply_rows(evacuations, 3, is_full=True) == set()
    assert evacuations.version(OPERATOR) == 3
    assert apply_rows(evacuations, 5, mohammedia=b"{}") == {SOUTH}
    both = {"ain-sebaa": b"{}", "mohammedia": b"{}"}
    assert apply_rows(evacuations, 6, **both) == {NORTH, SOUTH}
    assert apply_rows(evacuations, 8, mohammedia=None) == {NORTH}


def test_empty_store_is_known_once_anything_is_written(apply_rows):
    evacuations = Evacuations()
    apply_rows(evacuations, 0, is_full=True)
    assert evacuations.version(OPERATOR) == 0
    apply_rows(evacuations, 1)
    assert evacuations.version(OPERATOR) == 1
    assert apply_rows(evacuations, 2, mohammedia=b"{}") == {SOUTH}


def test_row_that_is_gone_after_lost_history_is_taken_back(apply_rows):
    evacuations = Evacuations()
    apply_rows(evacuations, 5, is_full=True, mohammedia=b"{}")
    assert apply_rows(evacuations, 90, is_full=True) == set()


@pytest.mark.parametrize("value", [b"", b"no", b"[]", b"\xff"])
def test_unreadable_row_leaves_in_force_what_was(apply_rows, value):
    evacuations = Evacuations()
    apply_rows(evacuations, 5, is_full=True, mohammedia=b"{}")
    changes = {"mohammedia": value, "ain-sebaa": value}
    assert apply_rows(evacuations, 6, **changes) == {SOUTH}
    assert apply_rows(evacuations, 9, is_full=True, unreadable=[SOUTH]) == {SOUTH}
    assert apply_rows(evacuations, 10, mohammedia=None) == set()


def test_peers_replace_what_a_new_process_reads_beside_an_unreadable_row(apply_rows):
    evacuations = Evacuations()
    values = {"mohammedia": b"no", "ain-sebaa": b"{}"}
    assert apply_rows(evacuations, 90, is_full=True, **values) == {NORTH}
    evacuations.adopt(state(5, SOUTH, NORTH), "agent")
    assert apply_rows(evacuations, 91, **{"ain-sebaa": None}) == {SOUTH}


def test_row_that_names_no_known_data_centre_is_rejected(apply_rows):
    evacuations = Evacuations()
    assert apply_rows(evacuations, 5, is_full=True, nowhere=b"{}") == set()
    assert evacuations.version(OPERATOR) == 5
    assert apply_rows(evacuations, 6, nowhere=None) == set()


@pytest.fixture
def run_on_processes(declarations_text):
    """Returns a function that runs a test on processes that can be frozen."""

    def run(test):
        freezer = TaskFreezer()

        async def main():
            async with trio.open_nursery() as nursery:
                deployment = ProcessDeployment(nursery, SERVICE, freezer)
                await deployment.configure(declarations_text)
                await test(deployment)
                nursery.cancel_scope.cancel()

        with seeded_scheduler(0):
            clock = trio.testing.MockClock(autojump_threshold=0)
            trio.run(main, clock=clock, instruments=[freezer])

    return run


class Receiver:
    """Receives evacuations, and has no configuration."""

    config_version = 0

    def __init__(self):
        self.evacuations = Evacuations()


def test_feed_is_followed_after_lost_history(run_with_store):
    async def wait_for(receiver, data_centres):
        while receiver.evacuations.data_centres != data_centres:
            await trio.sleep(0.01)

    async def test(fake_store, store, nursery):
        receiver = Receiver()
        zones = {NORTH: "coast", SOUTH: "coast"}
        source = ChangeFeedSource(store, zones, Metrics("entry", "e"))
        fake_store.put("op", f"evacuate/{NORTH}", b"{}")
        nursery.start_soon(source.run, receiver)
        await wait_for(receiver, {NORTH})
        fake_store.put("op", f"evacuate/{SOUTH}", b"{}")
        fake_store.remove("op", f"evacuate/{NORTH}")
        await wait_for(receiver, {SOUTH})
        fake_store.is_down = True
        await trio.sleep(1.2)
        fake_store.remove("op", f"evacuate/{SOUTH}")
        fake_store.drop_history()
        fake_store.is_down = False
        await wait_for(receiver, set())

    run_with_store(test)


# Deployments.


async def start(deployment, entry_count=2, **settings):
    """Starts entries, and two agents in each of three data centres."""
    entries = [
        await deployment.add_entry(f"entry-{n}", **settings) for n in range(entry_count)
    ]
    for number, data_centre in enumerate([NORTH, NORTH, SOUTH, SOUTH, EAST, EAST], 1):
        await deployment.add_agent(f"tank-{number}", data_centre=data_centre)
    await deployment.wait_connected()
    return entries


async def submit_for(deployment, make_job, duration_s, entries=None):
    """Submits jobs of two tasks at all entries; returns the codes of the answers."""
    codes = set()

    async def submit(entry):
        codes.add((await entry.submit(make_job(0.2, 0.1))).code)

    async with trio.open_nursery() as nursery:
        end_s = trio.current_time() + duration_s
        while trio.current_time() < end_s:
            for entry in entries or deployment.entries:
                nursery.start_soon(submit, entry)
            await trio.sleep(0.05)
    return codes


def count_starts(deployment, workers, since_s):
    return sum(
        start.started_s > since_s
        for backend in deployment.backends
        for start in backend.starts
        if backend.worker in workers
    )


NORTH_WORKERS = ("tank-1", "tank-2")


@pytest.mark.parametrize("is_told", [False, True], ids=["former version", "evacuated"])
def test_replay_of_an_evacuation_under_load(run_on_deployment, make_job, is_told):
    async def test(deployment):
        entries = await start(deployment)
        await submit_for(deployment, make_job, 2)
        if is_told:
            entries[0].evacuations.adopt(state(5, NORTH), "store")
        requested_s = trio.current_time()
        assert await submit_for(deployment, make_job, 3) == {Code.OK}
        started = count_starts(deployment, NORTH_WORKERS, requested_s + SPREAD_S)
        assert started == 0 if is_told else started > 50
        entries[1].evacuations.adopt(state(6), "store")
        taken_back_s = trio.current_time()
        assert await submit_for(deployment, make_job, 2) == {Code.OK}
        assert count_starts(deployment, NORTH_WORKERS, taken_back_s) > 20

    run_on_deployment(test)


def test_running_tasks_end_in_peace_and_held_ones_go_elsewhere(
    run_on_deployment, make_job
):
    async def test(deployment):
        (entry,) = await start(deployment, 1, policy="random")
        answers = []

        async def submit(number):
            answers.append(await entry.submit(make_job(*[1.0] * 6, label=f"j{number}")))

        async with trio.open_nursery() as nursery:
            for number in range(10):
                nursery.start_soon(submit, number)
            await trio.sleep(0.2)
            entry.evacuations.adopt(state(5, NORTH), "store")
            evacuated_s = trio.current_time()
        assert {answer.code for answer in answers} == {Code.OK}
        assert set(deployment.count_starts_by_label().values()) == {1}
        assert count_starts(deployment, NORTH_WORKERS, 0) > 0
        assert count_starts(deployment, NORTH_WORKERS, evacuated_s) == 0
        assert deployment.agents["tank-1"].metrics.get("tasks_stopped", "revoked") == 0

    run_on_deployment(test)


def test_entry_that_lost_the_store_learns_it_from_agents(run_on_deployment, make_job):
    async def test(deployment):
        entries = await start(deployment, 3)
        entries[0].evacuations.adopt(state(5, NORTH), "store")
        requested_s = trio.current_time()
        assert await submit_for(deployment, make_job, 1, entries[1:]) == {Code.OK}
        assert count_starts(deployment, NORTH_WORKERS, requested_s + SPREAD_S) == 0
        assert {e.evacuations.version(OPERATOR) for e in entries} == {5}

    run_on_deployment(test)


def test_agent_reborn_in_an_evacuated_data_centre_starts_nothing(
    run_on_deployment, make_job
):
    async def test(deployment):
        entries = await start(deployment)
        entries[0].evacuations.adopt(state(5, NORTH), "store")
        requested_s = trio.current_time()
        deployment.kill_agent("tank-1")
        await trio.sleep(0.5)
        agent = await deployment.add_agent("tank-1", data_centre=NORTH)
        assert await submit_for(deployment, make_job, 2) == {Code.OK}
        assert agent.evacuations.data_centres == {NORTH}
        assert count_starts(deployment, NORTH_WORKERS, requested_s + SPREAD_S) == 0

    run_on_deployment(test)


@pytest.mark.parametrize("is_in_force", [True, False])
def test_entry_cut_off_over_a_change_does_not_undo_it(
    run_on_deployment, make_job, is_in_force
):
    # As after a freeze over request and withdrawal, or over the withdrawal alone.
    async def test(deployment):
        entries = await start(deployment)
        if not is_in_force:
            entries[1].evacuations.adopt(state(4, NORTH), "store")
            await trio.sleep(SPREAD_S)
        for worker in deployment.agents:
            deployment.network.partition(worker, entries[1].address_for_agents)
        entries[0].evacuations.adopt(state(5, NORTH), "store")
        if not is_in_force:
            entries[0].evacuations.adopt(state(6), "store")
        await trio.sleep(40)
        for worker in deployment.agents:
            deployment.network.heal(worker)
        await trio.sleep(5)
        expected = {NORTH} if is_in_force else set()
        for process in [*entries, *deployment.agents.values()]:
            assert process.evacuations.data_centres == expected

    run_on_deployment(test)


@pytest.mark.parametrize("is_taken_back", [False, True])
def test_entry_frozen_over_a_change(run_on_processes, make_job, is_taken_back):
    async def test(deployment):
        entries = await start(deployment)
        await submit_for(deployment, make_job, 1)
        deployment.processes[entries[1]].freeze()
        entries[0].evacuations.adopt(state(5, NORTH), "store")
        requested_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            # These are assigned as if nothing had changed.
            nursery.start_soon(submit_for, deployment, make_job, 0.2, entries[1:])
            await trio.sleep(0.5)
            if is_taken_back:
                entries[0].evacuations.adopt(state(6), "store")
            await trio.sleep(0.5)
            deployment.processes[entries[1]].resume()
        assert await submit_for(deployment, make_job, 1, entries[1:]) == {Code.OK}
        assert entries[1].evacuations.version(OPERATOR) == 5 + is_taken_back
        started = count_starts(deployment, NORTH_WORKERS, requested_s + SPREAD_S)
        assert (started > 0) == is_taken_back

    run_on_processes(test)


def test_request_and_withdrawal_within_a_second(run_on_deployment, make_job):
    async def test(deployment):
        entries = await start(deployment)
        await submit_for(deployment, make_job, 1)
        entries[0].evacuations.adopt(state(5, NORTH), "store")
        await trio.sleep(0.3)
        entries[1].evacuations.adopt(state(6), "store")
        taken_back_s = trio.current_time()
        assert await submit_for(deployment, make_job, 2) == {Code.OK}
        assert count_starts(deployment, NORTH_WORKERS, taken_back_s) > 0

    run_on_deployment(test)


def test_taken_back_worker_starts_slowly(run_on_deployment, make_job):
    async def test(deployment):
        (entry,) = await start(deployment, 1)
        agent = deployment.agents["tank-1"]
        await submit_for(deployment, make_job, 1)
        assert agent.allocator.task_limit == 8
        entry.evacuations.adopt(state(5, NORTH), "store")
        await trio.sleep(SPREAD_S)
        assert agent.allocator.slots == 0
        assert not entry.peers["tank-1"].may_have_crashed(trio.current_time())
        entry.evacuations.adopt(state(6), "store")
        await trio.sleep(SPREAD_S)
        assert (agent.allocator.slots, agent.allocator.task_limit) == (8, 2)
        await submit_for(deployment, make_job, 1)
        assert agent.allocator.task_limit == 8

    run_on_deployment(test)


def test_two_data_centres_and_one_without_workers(run_on_deployment, make_job):
    async def test(deployment):
        entries = await start(deployment)
        entries[0].evacuations.adopt(state(5, NORTH, SOUTH, "empty"), "store")
        requested_s = trio.current_time()
        assert await submit_for(deployment, make_job, 1) == {Code.OK}
        evacuated = {"tank-1", "tank-2", "tank-3", "tank-4"}
        assert count_starts(deployment, evacuated, requested_s + SPREAD_S) == 0
        entries[0].evacuations.adopt(state(6, SOUTH), "store")
        await submit_for(deployment, make_job, 1)
        assert count_starts(deployment, NORTH_WORKERS, requested_s + 1) > 0

    run_on_deployment(test)


def test_jobs_are_refused_at_once_if_all_workers_are_evacuated(
    run_on_deployment, make_job
):
    async def test(deployment):
        (entry,) = await start(deployment, 1)
        answers = []

        async def submit(label, run_s):
            answers.append(await entry.submit(make_job(run_s, label=label)))

        async with trio.open_nursery() as nursery:
            for number in range(6 * 8):
                nursery.start_soon(submit, f"fills{number}", 5.0)
            await trio.sleep(0.1)
            for number in range(3):
                nursery.start_soon(submit, f"waits{number}", 0.5)
            await trio.sleep(0.1)
            entry.evacuations.adopt(state(5, NORTH, SOUTH, EAST), "store")
            await trio.sleep(SPREAD_S)
            await submit("new", 0.1)
            refused = list(answers)
        assert {answer.code for answer in refused} == {Code.EVACUATED}
        assert {answer.retry_after_s for answer in refused} == {5.0}
        started = deployment.count_starts_by_label()
        assert not [label for label in started if not label.startswith("fills")]
        assert len(refused) == 6 * 8 + 3 + 1 - len(started)
        assert {answer.code for answer in answers[len(refused) :]} == {Code.OK}

    run_on_deployment(test)


def test_waiting_jobs_without_room_are_refused_in_order(make_job):
    def make(number, start_by_s):
        target = LatencyTarget(1.6, 0.06)
        job = Job(str(number), make_job(1.0, latency_target=target), 0.0, 20.0)
        job.start_by_s = start_by_s
        job.tasks = [
            Task(f"{number}-0", job, 0, job.request.tasks[0], 1.0, (0, 1), False)
        ]
        return job

    jobs = [make(0, 1.0), make(1, 0.4), make(2, 0.6), make(3, 2.0)]
    tasks = [job.tasks[0] for job in jobs]
    found = find_jobs_without_room(tasks, parallelism=2.0, slowdown=1.0, now_s=0.0)
    assert found == [(jobs[1], 0.5)]
    found = find_jobs_without_room(tasks, parallelism=0.0, slowdown=1.0, now_s=0.0)
    assert [job for job, _ in found] == jobs
    jobs[3].has_rerun_tasks = True
    found = find_jobs_without_room(tasks, parallelism=0.0, slowdown=1.0, now_s=0.0)
    assert [job for job, _ in found] == jobs[:3]


def test_entry_that_can_not_know_accepts_no_job(run_on_deployment, make_job):
    # All processes have started while the store is away.
    async def test(deployment):
        entries = await start_unaware(deployment)
        assert await submit_for(deployment, make_job, 0.5) == {Code.NOT_READY}
        entries[1].evacuations.adopt(state(5, NORTH), "store")
        await trio.sleep(SPREAD_S)
        requested_s = trio.current_time()
        assert await submit_for(deployment, make_job, 0.5) == {Code.OK}
        assert count_starts(deployment, NORTH_WORKERS, requested_s) == 0

    async def start_unaware(deployment):
        deployment.is_operator_table_readable = False
        entries = [
            await deployment.add_entry(f"entry-{n}", awaits_evacuations=True)
            for n in range(2)
        ]
        await deployment.add_agent("tank-1", data_centre=NORTH)
        await deployment.add_agent("tank-3", data_centre=SOUTH)
        await trio.sleep(3)
        assert not any(entry.is_ready for entry in entries)
        return entries

    run_on_deployment(test)


def test_rules_evacuate_before_the_configuration_has_reached_all(
    run_on_deployment, make_job, declarations_text
):
    async def test(deployment):
        entries = await start(deployment)
        store = ConfigurationStore(deployment.platform)
        evacuated = f"rules:\n  evacuated_data_centres: [{NORTH}]"
        text = to_canonical(declarations_text.replace("rules:", evacuated), "new")
        assert (await store.apply(text, "a", 1, 5)).version == 2
        entries[0].adopt(2, text, "operator")
        requested_s = trio.current_time()
        assert await submit_for(deployment, make_job, 0.5) == {Code.OK}
        assert count_starts(deployment, NORTH_WORKERS, requested_s + SPREAD_S) == 0
        text = to_canonical(declarations_text, "old")
        assert (await store.apply(text, "b", 2, 5)).version == 3
        await trio.sleep(4)
        await submit_for(deployment, make_job, 0.5)
        assert count_starts(deployment, NORTH_WORKERS, requested_s + 4) > 0

    run_on_deployment(test)


def test_rules_that_evacuate_an_unknown_data_centre_are_invalid(declarations_text):
    declarations = Declarations.model_validate_json(
        to_canonical(declarations_text, "f")
    )
    rules = declarations.rules.model_copy(update={"evacuated_data_centres": ["x-1"]})
    changed = declarations.model_copy(update={"rules": rules})
    path, message = changed.find_errors()[0]
    assert path == ("rules", "evacuated_data_centres", 0)
    assert message.startswith("unknown name x-1, expected one of ain-sebaa")
