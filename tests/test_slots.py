"""Sharing of slots among entries and task classes."""

import trio

from gooseberrylink.codes import Code
from gooseberrylink.peers.messages import EntryFrame
from gooseberrylink.slots import SlotLedger


def make_ledger(slots: int = 8) -> SlotLedger:
    ledger = SlotLedger(grant_s=0.05, demand_valid_s=1.0, grant_margin_s=0.2)
    ledger.slots = ledger.limit = slots
    return ledger


def test_freed_slot_goes_to_the_entry_with_the_more_urgent_task():
    ledger = make_ledger(slots=1)
    ledger.start("a", False, now_s=0.0)
    ledger.state_demand("a", EntryFrame(0.0, demand=1, due_in_s=5.0), 0.0)
    ledger.state_demand("b", EntryFrame(0.0, demand=1, due_in_s=1.0), 0.0)
    ledger.end(False, now_s=0.1)
    assert ledger.grant_freed_slot("a", 0.1) == "b"
    assert ledger.free_for("a", 0.1) == 0
    assert ledger.free_for("b", 0.1) == 1


def test_grant_lapses_so_that_a_silent_entry_strands_no_slot():
    ledger = make_ledger(slots=1)
    ledger.state_demand("b", EntryFrame(0.0, demand=1, due_in_s=1.0), 0.0)
    assert ledger.grant_freed_slot("a", 0.1) == "b"
    assert ledger.free_for("a", 0.2) == 1


def test_long_tasks_leave_slots_to_short_ones_while_these_come_by():
    ledger = make_ledger(slots=8)
    for _ in range(4):
        ledger.start("a", False, now_s=0.0)
    for _ in range(4):
        ledger.end(False, now_s=3.0)
    assert ledger.free_for("a", 3.0) == 8
    assert ledger.free_long_for("a", 3.0) == 5
    assert ledger.free_long_for("a", 60.0) > 5


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
