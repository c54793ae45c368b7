"""The agent's gate: leases, tombstones, and frozen processes."""

import pytest
import trio

from gooseberrylink.codes import Code, Truth
from gooseberrylink.gate import Gate, Record, RecordState
from gooseberrylink.peers.messages import Assign, Result, Status


@pytest.fixture
def gate() -> Gate:
    return Gate(lease_s=2.0, retention_s=600.0, max_records=100)


def make_assign(name: str = "t.1", remaining_s: float = 10.0) -> Assign:
    return Assign(name, name, "job", "shops", None, remaining_s)


def admit(gate: Gate, assign: Assign, now_s: float, basis_s: float | None = None):
    basis_s = now_s if basis_s is None else basis_s
    gate.renew_lease("entry", basis_s)
    return gate.admit(assign, "entry", basis_s, now_s)


def test_revoke_that_overtakes_its_assignment_wins(gate):
    assert gate.revoke("t.1", 1.0).status is Status.NOT_STARTED
    assert admit(gate, make_assign(), 1.1) == "revoked"


def test_assignment_older_than_the_lease_is_refused_for_good(gate):
    assert admit(gate, make_assign(), now_s=13.0, basis_s=10.0) == "lease_lapsed"
    assert admit(gate, make_assign(), now_s=13.0) == "revoked"


def test_held_task_is_dropped_when_its_entry_falls_silent(gate):
    record = admit(gate, make_assign(), now_s=10.0)
    assert not gate.start(record, now_s=12.5)
    assert record.state is RecordState.REVOKED
    assert gate.revoke("t.1", 12.6).status is Status.NOT_STARTED


def test_held_task_starts_while_its_entry_renews(gate):
    record = admit(gate, make_assign(), now_s=10.0)
    gate.renew_lease("entry", 12.0)
    assert gate.start(record, now_s=13.9)
    assert gate.revoke("t.1", 14.0).status is Status.RUNNING


def test_expired_task_is_not_started(gate):
    record = admit(gate, make_assign(remaining_s=1.0), now_s=10.0)
    gate.renew_lease("entry", 11.0)
    assert not gate.start(record, now_s=11.0)


def test_result_is_kept_until_acknowledged(gate):
    record = admit(gate, make_assign(), now_s=10.0)
    gate.start(record, 10.0)
    gate.finish(record, Result("t.1", Status.DONE, value=7), 11.0)
    gate.forget_old(500.0)
    assert gate.revoke("t.1", 500.0).value == 7
    gate.acknowledge(["t.1"], 500.0)
    gate.forget_old(520.0)
    assert len(gate) == 0


def test_full_gate_refuses_with_a_tombstone():
    gate = Gate(lease_s=2.0, retention_s=600.0, max_records=0)
    assert admit(gate, make_assign(), 1.0) == "records_full"
    assert gate.revoke("t.1", 1.0).status is Status.NOT_STARTED


def _without_lease(monkeypatch) -> None:
    def admit(self, assign, entry, basis_s, now_s):
        record = Record(assign.assignment_id, RecordState.HELD, assign, entry)
        record.expires_s = now_s + assign.remaining_s
        self._records[assign.assignment_id] = record
        return record

    monkeypatch.setattr(Gate, "admit", admit)
    monkeypatch.setattr(Gate, "lease_end_s", lambda self, entry: float("inf"))


@pytest.mark.parametrize("is_naive", [False, True])
def test_agent_that_wakes_starts_nothing_that_waited(
    run_deployment, make_job, monkeypatch, is_naive
):
    # A naive gate trusts an assignment's age, and starts work long after its
    # caller was answered.
    if is_naive:
        _without_lease(monkeypatch)

    async def test(deployment):
        entry = await deployment.add_entry("entry-1")
        await deployment.add_agent("tank-1")
        await deployment.wait_connected()
        (connection,) = deployment.network.of("tank-1")
        connection.agent_end.hold()
        answer = await entry.submit(make_job(0.1, 0.1, deadline_s=1.5))
        assert answer.code is Code.EXPIRED_MAY_HAVE_RUN
        await trio.sleep(1.5)
        connection.agent_end.release()
        await trio.sleep(1)
        assert bool(deployment.starts()) is is_naive

    run_deployment(test)


def test_entry_that_wakes_gets_what_finished_meanwhile(run_deployment, make_job):
    async def test(deployment):
        entry = await deployment.add_entry("entry-1")
        await deployment.add_agent("tank-1")
        await deployment.wait_connected()
        (connection,) = deployment.network.of("tank-1")

        async def freeze():
            await trio.sleep(0.1)
            connection.entry_end.hold()
            await trio.sleep(3)
            connection.entry_end.release()

        deployment.start_soon(freeze)
        answer = await entry.submit(make_job(0.5))
        assert (answer.code, answer.results) == (Code.OK, [0])

    run_deployment(test)


@pytest.mark.parametrize("cut_for_s", [0.5, 6.0])
def test_cut_link_that_heals_brings_the_result(run_deployment, make_job, cut_for_s):
    async def test(deployment):
        entry = await deployment.add_entry("entry-1")
        for worker in ("tank-1", "tank-2"):
            await deployment.add_agent(worker)
        await deployment.wait_connected()

        async def cut():
            await trio.sleep(0.05)
            worker = deployment.backends[0].starts and "tank-1" or "tank-2"
            deployment.network.cut(worker)
            await trio.sleep(cut_for_s)
            deployment.network.heal(worker)

        deployment.start_soon(cut)
        answer = await entry.submit(make_job(0.5, 0.5, 0.5))
        assert (answer.code, answer.results) == (Code.OK, [0, 1, 2])
        assert set(deployment.starts().values()) == {1}

    run_deployment(test)


def test_replaced_agent_leaves_its_tasks_in_doubt(run_deployment, make_job):
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
        assert answer.truth is Truth.MAY_HAVE_RUN
        assert trio.current_time() < 5

    run_deployment(test)


def test_task_that_never_reached_the_transport_goes_elsewhere(run_deployment, make_job):
    async def test(deployment):
        entry = await deployment.add_entry("entry-1")
        for worker in ("tank-1", "tank-2"):
            await deployment.add_agent(worker)
        await deployment.wait_connected()
        # The link closes in the same instant in which the task is assigned.
        job = entry.dispatcher.admit(make_job(0.1))
        deployment.network.of("tank-1")[0].entry_end.close()
        answer = await entry.dispatcher.run_job(job)
        assert answer.code is Code.OK
        # Cause: what came back unsent went on counting as in flight.
        assert entry.dispatcher.pool("dispatch").in_flight == 0

    run_deployment(test)
