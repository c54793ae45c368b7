"""Sharing of slots among entries and task classes."""

import pytest
import trio

from gooseberrylink.codes import Code
from gooseberrylink.peers.messages import EntryFrame
from gooseberrylink.slots import SlotLedger


@pytest.fixture
def ledger() -> SlotLedger:
    """A ledger of 6 slots, of which entries a and b are credited 3 each."""
    ledger = SlotLedger(demand_valid_s=1.0, grant_margin_s=0.2)
    ledger.add_entry("a")
    ledger.add_entry("b")
    ledger.resize(6)
    return ledger


def test_idle_slots_are_dealt_out_once(ledger):
    assert (ledger.credits_of("a"), ledger.credits_of("b")) == (3, 3)
    ledger.remove_entry("b")
    assert ledger.credits_of("a") == 6


def test_slot_returns_to_the_entry_whose_task_ended(ledger):
    ledger.start("a", False, 0.0)
    assert ledger.credits_of("a") == 2
    assert ledger.end("a", False, 0.1) is None
    assert ledger.credits_of("a") == 3


def test_freed_slot_goes_to_the_entry_with_the_more_urgent_task(ledger):
    ledger.start("a", False, now_s=0.0)
    ledger.state_demand("a", EntryFrame(0.0, demand=1, due_in_s=9.0), 0.0)
    ledger.state_demand("b", EntryFrame(0.0, demand=1, due_in_s=0.1), 0.0)
    assert ledger.end("a", False, now_s=0.1) == "b"
    assert (ledger.credits_of("a"), ledger.credits_of("b")) == (2, 4)


def test_entry_that_asks_takes_idle_slots_from_the_richest(ledger):
    for _ in range(3):
        ledger.start("a", False, 0.0)
    ledger.state_demand("a", EntryFrame(0.0, demand=2, due_in_s=1.0), 0.0)
    assert ledger.meet_demand("a", 0.0)
    assert (ledger.credits_of("a"), ledger.credits_of("b")) == (2, 1)
    assert not ledger.meet_demand("a", 0.0)


def test_credits_never_exceed_the_idle_slots(ledger):
    # What arrives without a credit is started too, and costs another's credit.
    for _ in range(5):
        ledger.start("a", False, 0.0)
    assert ledger.idle() == 1
    assert ledger.credits_of("a") + ledger.credits_of("b") == 1


def test_long_tasks_leave_slots_to_short_ones_while_these_come_by(ledger):
    for _ in range(4):
        ledger.start("a", False, now_s=0.0)
    for _ in range(4):
        ledger.end("a", False, now_s=3.0)
    assert ledger.idle() == 6
    assert ledger.idle_long(3.0) == 3
    assert ledger.idle_long(60.0) > 3


def test_grant_that_only_a_long_task_wants_causes_no_storm(run_deployment, make_job):
    # Cause: a slot was granted to an entry whose queue held only long tasks,
    # though no slot was open to these. The entry gave the grant back, and the
    # agent granted it again at once, without end.
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
        frames = sum(e.counters.get("frames_sent", "control") for e in entries)
        assert frames <= 2 * sum(deployment.starts().values())

    run_deployment(test)
