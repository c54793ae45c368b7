"""Division of slots among entries, and short and long tasks."""

import pytest
import trio

from gooseberrylink.codes import Code
from gooseberrylink.peers.messages import EntryFrame
from gooseberrylink.slot_allocator import SlotAllocator


@pytest.fixture
def allocator() -> SlotAllocator:
    """Returns an allocator of 6 slots; entries a and b have 3 credits each."""
    allocator = SlotAllocator(demand_valid_s=1.0, grant_margin_s=0.2)
    allocator.add_entry("a")
    allocator.add_entry("b")
    allocator.resize(6)
    return allocator


def test_each_idle_slot_is_credited_to_one_entry(allocator):
    assert (allocator.free_units_for("a"), allocator.free_units_for("b")) == (3, 3)
    allocator.remove_entry("b")
    assert allocator.free_units_for("a") == 6


def test_slot_returns_to_the_entry_whose_task_ended(allocator):
    allocator.allocate("a", False, 0.0)
    assert allocator.free_units_for("a") == 2
    assert allocator.release("a", False, 0.1) is None
    assert allocator.free_units_for("a") == 3


def test_freed_slot_goes_to_the_entry_with_the_more_urgent_task(allocator):
    allocator.allocate("a", False, now_s=0.0)
    allocator.update_demand("a", EntryFrame(0.0, demand=1, due_in_s=9.0), 0.0)
    allocator.update_demand("b", EntryFrame(0.0, demand=1, due_in_s=0.1), 0.0)
    assert allocator.release("a", False, now_s=0.1) == "b"
    assert (allocator.free_units_for("a"), allocator.free_units_for("b")) == (2, 4)


def test_entry_with_demand_takes_credits_from_the_entry_with_most(allocator):
    for _ in range(3):
        allocator.allocate("a", False, 0.0)
    allocator.update_demand("a", EntryFrame(0.0, demand=2, due_in_s=1.0), 0.0)
    assert allocator.grant_credits("a", 0.0)
    assert (allocator.free_units_for("a"), allocator.free_units_for("b")) == (2, 1)
    assert not allocator.grant_credits("a", 0.0)


def test_credits_never_exceed_the_idle_slots(allocator):
    # A task that arrives without a credit is started, too, and uses up a credit of
    # the other entry.
    for _ in range(5):
        allocator.allocate("a", False, 0.0)
    assert allocator.idle_units() == 1
    assert allocator.free_units_for("a") + allocator.free_units_for("b") == 1


def test_slots_in_use_beyond_a_smaller_number_are_not_credited_again(allocator):
    for _ in range(6):
        allocator.allocate("a", False, 0.0)
    allocator.resize(2)
    for _ in range(4):
        assert (allocator.idle_units(), allocator.free_units_for("a")) == (0, 0)
        assert allocator.release("a", False, 0.1) is None
    assert (allocator.idle_units(), allocator.free_units_for("a")) == (0, 0)
    allocator.release("a", False, 0.2)
    assert (allocator.free_units_for("a"), allocator.free_units_for("b")) == (1, 0)


def test_slots_are_reserved_for_short_tasks_while_these_are_frequent(allocator):
    for _ in range(4):
        allocator.allocate("a", False, now_s=0.0)
    for _ in range(4):
        allocator.release("a", False, now_s=3.0)
    assert allocator.idle_units() == 6
    assert allocator.idle_units_for_long(3.0) == 3
    assert allocator.idle_units_for_long(60.0) > 3


def test_no_endless_grants_when_only_long_tasks_are_queued(run_on_deployment, make_job):
    # Guards against granting a slot to an entry whose queue holds only long tasks
    # while no slot is open to long tasks. The entry returned the grant, and the
    # agent granted it again at once, endlessly.
    async def test(deployment):
        entries = [await deployment.add_entry(f"entry-{n}") for n in (1, 2)]
        await deployment.add_agent("tank-1", slots=4)
        await deployment.wait_connected()
        answers = []

        async def submit(entry, job):
            answers.append(await entry.submit(job))

        async with trio.open_nursery() as nursery:
            for _ in range(20):
                short = make_job(*[0.2] * 6, deadline_s=100)
                nursery.start_soon(submit, entries[0], short)
                await trio.sleep(0.2)
            for _ in range(3):
                nursery.start_soon(
                    submit, entries[1], make_job(12.0, 12.0, deadline_s=100)
                )
        assert {answer.code for answer in answers} == {Code.OK}
        frames = sum(e.metrics.get("frames_sent", "control") for e in entries)
        assert frames <= 2 * sum(deployment.count_starts_by_task().values())

    run_on_deployment(test)
