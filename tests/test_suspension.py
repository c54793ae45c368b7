"""Tests programs on a host that was suspended.

During a suspension the monotonic clock stands still, and CLOCK_BOOTTIME runs on.
"""

import signal
import time

import pytest
import trio
import yaml
from test_reruns import ENTRY_SETTINGS, LINK_SETTINGS
from test_reruns import make_job as make_leased_job
from test_startup import PLATFORM_SETTINGS

from gooseberrylink.assignment_table import AssignmentTable
from gooseberrylink.codes import Code
from gooseberrylink.platform.common import run_program
from gooseberrylink.shutdown import run_daemon
from gooseberrylink.standins.deployment import Deployment
from gooseberrylink.standins.leased_backend import FakeLeasedBackend
from gooseberrylink.standins.network import MemoryNetwork

SUSPENDED_S = 5.0


@pytest.fixture
def suspend(monkeypatch):
    """Returns a function that suspends the host for SUSPENDED_S."""
    suspended_s = 0.0
    read_clock = time.clock_gettime

    def read_clock_of_suspended_host(clock_id):
        is_counted = clock_id == time.CLOCK_BOOTTIME
        return read_clock(clock_id) + (suspended_s if is_counted else 0.0)

    def suspend():
        nonlocal suspended_s
        suspended_s += SUSPENDED_S

    monkeypatch.setattr(time, "clock_gettime", read_clock_of_suspended_host)
    return suspend


def test_agent_on_a_host_that_was_suspended_starts_no_stale_task(
    suspend, declarations_text, make_job
):
    # An assignment sent at the start of a suspension was fresh at its end, although its
    # entry had assigned the task elsewhere or answered its caller meanwhile.
    refusals, starts, answers = [], [], []

    async def main():
        async with trio.open_nursery() as nursery:
            deployment = Deployment(nursery, MemoryNetwork(nursery), "dispatch")
            await deployment.configure(declarations_text)
            entry = await deployment.add_entry("entry-1")
            agent = await deployment.add_agent("tank-1")
            await deployment.wait_connected()
            (connection,) = deployment.network.find_open_connections("tank-1")
            connection.agent_end.pause_delivery()

            async def submit():
                answers.append(await entry.submit(make_job(0.1, deadline_s=2.0)))

            nursery.start_soon(submit)
            await trio.sleep(0.1)
            suspend()
            connection.agent_end.resume_delivery()
            await trio.sleep(0.5)
            starts.extend(deployment.count_starts_by_task())
            refusals.append(agent.metrics.get("assigns_refused", "lease_lapsed"))
            nursery.cancel_scope.cancel()

    run_daemon(main)
    assert starts == []
    assert refusals == [1]
    assert [answer.code for answer in answers] == [Code.EXPIRED_NOT_RUN]


class SuspendedDaemon:
    """Suspends its host and measures the time that this takes."""

    def __init__(self, suspend):
        self._suspend = suspend
        self.slept_s: list[float] = []

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        task_status.started()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._sleep)
            await trio.sleep(0.1)
            self._suspend()

    async def _sleep(self):
        started_s = trio.current_time()
        with trio.move_on_after(1.0):
            await trio.sleep(SUSPENDED_S)
        self.slept_s.append(trio.current_time() - started_s)
        signal.raise_signal(signal.SIGTERM)

    async def shut_down(self):
        pass


def test_platform_programs_count_the_time_of_a_suspension(suspend, tmp_path):
    path = tmp_path / "local.yaml"
    path.write_text(yaml.safe_dump(PLATFORM_SETTINGS))
    daemon = SuspendedDaemon(suspend)
    run_program(lambda *_: daemon, path)
    assert len(daemon.slept_s) == 1
    assert daemon.slept_s[0] > SUSPENDED_S


def test_agent_suspended_after_it_allowed_a_start_does_not_request_it(
    run_on_deployment, make_job, monkeypatch
):
    try_mark_started = AssignmentTable.try_mark_started

    def suspend_after_permission(self, record, now_s):
        may_start = try_mark_started(self, record, now_s)
        trio.lowlevel.current_clock().jump(SUSPENDED_S)
        return may_start

    monkeypatch.setattr(AssignmentTable, "try_mark_started", suspend_after_permission)

    async def test(deployment):
        entry = await deployment.add_entry("entry-1")
        agent = await deployment.add_agent("tank-1")
        await deployment.wait_connected()
        answer = await entry.submit(make_job(0.1, deadline_s=2.0))
        await trio.sleep(0.5)
        assert deployment.count_starts_by_task() == {}
        assert answer.code is Code.EXPIRED_NOT_RUN
        assert agent.allocator.used_units == 0

    run_on_deployment(test)


@pytest.mark.parametrize("seed", range(6))
def test_revocation_that_is_read_with_its_assignment_stops_the_task(
    run_on_deployment, seed
):
    # The agent asked its backend server's client to stop a task whose start was not
    # requested yet, and requested it afterwards.
    async def test(deployment):
        async with trio.open_nursery() as nursery:
            entry = await deployment.add_entry(
                "entry-1", **ENTRY_SETTINGS, **LINK_SETTINGS
            )
            worker = FakeLeasedBackend("tank-1", nursery)
            nursery.start_soon(worker.advance_runs)
            agent = await deployment.add_agent_with_leases(worker)
            await deployment.wait_connected()
            (connection,) = deployment.network.find_open_connections("tank-1")
            connection.agent_end.pause_delivery()
            with trio.move_on_after(0.1):
                await entry.submit(make_leased_job("a", *[4.0] * 6))
            await trio.sleep(0.1)
            connection.agent_end.resume_delivery()
            await trio.sleep(0.5)
            now_s = trio.current_time()
            assert [run.key for run in worker.runs if run.ended_s > now_s] == []
            assert agent.allocator.idle_units() == worker.capacity_units
            assert entry.dispatcher.pool("dispatch").in_flight_count == 0
            nursery.cancel_scope.cancel()

    run_on_deployment(test, seed)
