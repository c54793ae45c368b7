"""The assignment table: leases, tombstones, and suspended processes."""

import pytest
import trio

from gooseberrylink.assignment_table import (
    AssignmentRecord,
    AssignmentTable,
    RecordState,
)
from gooseberrylink.codes import Code, ExecutionStatus
from gooseberrylink.peers.messages import Assign, Result, Status


@pytest.fixture
def table() -> AssignmentTable:
    return AssignmentTable(lease_s=2.0, retention_s=600.0, max_records=100)


def make_assign(name: str = "t.1", remaining_s: float = 10.0) -> Assign:
    return Assign(name, name, "job", "shops", None, remaining_s)


def admit(
    table: AssignmentTable, assign: Assign, now_s: float, sent_s: float | None = None
):
    sent_s = now_s if sent_s is None else sent_s
    table.renew_lease("entry", sent_s)
    return table.admit(assign, "entry", sent_s, now_s)


def test_assignment_that_arrives_after_its_revoke_is_refused(table):
    assert table.revoke("t.1", 1.0).status is Status.NOT_STARTED
    assert admit(table, make_assign(), 1.1) == "revoked"


def test_assignment_older_than_the_lease_is_refused_for_good(table):
    assert admit(table, make_assign(), now_s=13.0, sent_s=10.0) == "lease_lapsed"
    assert admit(table, make_assign(), now_s=13.0) == "revoked"


def test_held_task_is_dropped_when_the_lease_of_its_entry_ends(table):
    record = admit(table, make_assign(), now_s=10.0)
    assert not table.try_mark_started(record, now_s=12.5)
    assert record.state is RecordState.TOMBSTONE
    assert table.revoke("t.1", 12.6).status is Status.NOT_STARTED


def test_held_task_starts_while_its_entry_renews(table):
    record = admit(table, make_assign(), now_s=10.0)
    table.renew_lease("entry", 12.0)
    assert table.try_mark_started(record, now_s=13.9)
    assert table.revoke("t.1", 14.0).status is Status.RUNNING


def test_expired_task_is_not_started(table):
    record = admit(table, make_assign(remaining_s=1.0), now_s=10.0)
    table.renew_lease("entry", 11.0)
    assert not table.try_mark_started(record, now_s=11.0)


def test_result_is_kept_until_acknowledged(table):
    record = admit(table, make_assign(), now_s=10.0)
    table.try_mark_started(record, 10.0)
    table.finish(record, Result("t.1", Status.DONE, value=7), 11.0)
    table.purge_expired(500.0)
    assert table.revoke("t.1", 500.0).value == 7
    table.acknowledge(["t.1"], 500.0)
    table.purge_expired(520.0)
    assert len(table) == 0


def test_full_table_refuses_with_a_tombstone():
    table = AssignmentTable(lease_s=2.0, retention_s=600.0, max_records=0)
    assert admit(table, make_assign(), 1.0) == "records_full"
    assert table.revoke("t.1", 1.0).status is Status.NOT_STARTED


def _disable_lease_check(monkeypatch) -> None:
    def admit(self, assign, entry_incarnation, sent_s, now_s):
        record = AssignmentRecord(
            assign.assignment_id, RecordState.HELD, assign, entry_incarnation
        )
        record.start_deadline_s = now_s + assign.remaining_s
        self._records[assign.assignment_id] = record
        return record

    monkeypatch.setattr(AssignmentTable, "admit", admit)
    monkeypatch.setattr(
        AssignmentTable, "lease_end_s", lambda self, entry_incarnation: float("inf")
    )


@pytest.mark.parametrize("is_lease_ignored", [False, True])
def test_agent_resumed_after_suspension_starts_no_stale_task(
    run_on_deployment, make_job, monkeypatch, is_lease_ignored
):
    # Without the check of the lease, a resumed agent would start tasks long after
    # their caller was answered.
    if is_lease_ignored:
        _disable_lease_check(monkeypatch)

    async def test(deployment):
        entry = await deployment.add_entry("entry-1")
        await deployment.add_agent("tank-1")
        await deployment.wait_connected()
        (connection,) = deployment.network.find_open_connections("tank-1")
        connection.agent_end.pause_delivery()
        answer = await entry.submit(make_job(0.1, 0.1, deadline_s=1.5))
        assert answer.code is Code.EXPIRED_MAY_HAVE_RUN
        await trio.sleep(1.5)
        connection.agent_end.resume_delivery()
        await trio.sleep(1)
        assert bool(deployment.count_starts_by_task()) is is_lease_ignored

    run_on_deployment(test)


def test_entry_resumed_after_suspension_receives_results(run_on_deployment, make_job):
    async def test(deployment):
        entry = await deployment.add_entry("entry-1")
        await deployment.add_agent("tank-1")
        await deployment.wait_connected()
        (connection,) = deployment.network.find_open_connections("tank-1")

        async def suspend():
            await trio.sleep(0.1)
            connection.entry_end.pause_delivery()
            await trio.sleep(3)
            connection.entry_end.resume_delivery()

        deployment.start_soon(suspend)
        answer = await entry.submit(make_job(0.5))
        assert (answer.code, answer.results) == (Code.OK, [0])

    run_on_deployment(test)


@pytest.mark.parametrize("partition_s", [0.5, 6.0])
def test_result_arrives_after_the_link_is_restored(
    run_on_deployment, make_job, partition_s
):
    async def test(deployment):
        entry = await deployment.add_entry("entry-1")
        for worker in ("tank-1", "tank-2"):
            await deployment.add_agent(worker)
        await deployment.wait_connected()

        async def partition():
            await trio.sleep(0.05)
            worker = deployment.backends[0].starts and "tank-1" or "tank-2"
            deployment.network.partition(worker)
            await trio.sleep(partition_s)
            deployment.network.heal(worker)

        deployment.start_soon(partition)
        answer = await entry.submit(make_job(0.5, 0.5, 0.5))
        assert (answer.code, answer.results) == (Code.OK, [0, 1, 2])
        assert set(deployment.count_starts_by_task().values()) == {1}

    run_on_deployment(test)


def test_task_of_a_restarted_agent_may_have_run(run_on_deployment, make_job):
    async def test(deployment):
        entry = await deployment.add_entry("entry-1")
        await deployment.add_agent("tank-1")
        await deployment.wait_connected()

        async def replace():
            await trio.sleep(0.2)
            deployment.kill_agent("tank-1")
            await deployment.add_agent("tank-1")

        deployment.start_soon(replace)
        answer = await entry.submit(make_job(1.0))
        assert answer.code is Code.AGENT_LOST
        assert answer.execution_status is ExecutionStatus.MAY_HAVE_RUN
        assert trio.current_time() < 5

    run_on_deployment(test)


def test_unsent_task_is_assigned_to_another_agent(run_on_deployment, make_job):
    async def test(deployment):
        entry = await deployment.add_entry("entry-1")
        for worker in ("tank-1", "tank-2"):
            await deployment.add_agent(worker)
        await deployment.wait_connected()
        # The link closes at the moment at which the task is assigned.
        job = entry.dispatcher.admit(make_job(0.1))
        deployment.network.find_open_connections("tank-1")[0].entry_end.close()
        answer = await entry.dispatcher.run_job(job)
        assert answer.code is Code.OK
        # Guards against a task that was not sent but still counted as in flight.
        assert entry.dispatcher.pool("dispatch").in_flight_count == 0

    run_on_deployment(test)


def test_full_table_refuses_for_good_without_growing():
    table = AssignmentTable(lease_s=2.0, retention_s=600.0, max_records=3)
    for number in range(3):
        assert not isinstance(admit(table, make_assign(f"t.{number}"), 1.0), str)
    for number in range(3, 50):
        assert admit(table, make_assign(f"t.{number}"), 1.1) == "records_full"
        assert table.revoke(f"u.{number}", 1.2).status is Status.NOT_STARTED
    assert len(table) == 3
    for number in range(3):
        record = table._records[f"t.{number}"]
        table.replace_with_tombstone(record, "revoked", 1.3)
    table.purge_expired(60.0)
    assert len(table) == 0
    # Copies of what was refused or revoked may still arrive; newer ones are accepted.
    table.renew_lease("entry", 1.9)
    late = table.admit(make_assign("u.7"), "entry", 1.15, 1.9)
    assert late == "records_full"
    assert not isinstance(admit(table, make_assign("v.1"), 60.0), str)
