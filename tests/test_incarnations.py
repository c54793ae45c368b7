"""A backend server restarts under the id that it had."""

import pytest
import trio

from gooseberrylink.backends.client import Announcement
from gooseberrylink.backends.incarnations import IncarnationTracker
from gooseberrylink.backends.leased import LeasedBackendClient, LeaseSettings
from gooseberrylink.backends.runs import ControlReply, StartReply
from gooseberrylink.metrics import Metrics
from gooseberrylink.peers.messages import Status
from gooseberrylink.standins.leased_backend import FakeBackendOwner, FakeLeasedBackend


class FakeAgent:
    """Runs the background work of the clients that are attached to it."""

    def __init__(self, nursery: trio.Nursery):
        self.metrics = Metrics("agent", "tank-1")
        self.backends: list[LeasedBackendClient] = []
        self.announcements: list[Announcement] = []
        self._nursery = nursery

    def attach_backend(self, backend, announcement):
        self.backends.append(backend)
        self._nursery.start_soon(backend.run_background)

    def detach_backend(self, reason):
        self.backends[-1].close()

    def update_announcement(self, announcement):
        self.announcements.append(announcement)


class AddressedClient:
    """Client of one incarnation id; others refuse its requests."""

    def __init__(self, server, incarnation: str, ids: dict[int, str]):
        self._server = server
        self._incarnation = incarnation
        self._ids = ids

    def make_run_key(self, payload, attempt):
        return self._server.make_run_key(payload, attempt)

    async def start(self, *args):
        return await self._request(self._server.start, args, StartReply)

    async def stop(self, *args):
        return await self._request(self._server.stop, args, ControlReply)

    async def renew(self, *args):
        return await self._request(self._server.renew, args, ControlReply)

    async def _request(self, send, args, reply_type):
        born_ms = self._server.born_ms
        if self._ids.get(born_ms, "i-1") != self._incarnation:
            await trio.sleep(0.001)
            return reply_type.OTHER_INCARNATION
        reply = await send(*args)
        # A reply of a later incarnation would come over another connection.
        return reply if self._server.born_ms == born_ms else reply_type.UNANSWERED


@pytest.fixture
def run_tracked(run_on_mock_clock):
    """Returns a function that runs a test with a backend server and a tracker."""

    def run(test, ids: dict[int, str] | None = None):
        """Runs a test.

        Args:
            test: Gets the backend server, the agent, the tracker and a nursery.
            ids: Ids of the incarnations by start time; "i-1" for all others.
        """

        async def main():
            async with trio.open_nursery() as nursery:
                server = FakeLeasedBackend("tank-1", nursery)
                nursery.start_soon(server.advance_runs)
                agent = FakeAgent(nursery)
                tracker = IncarnationTracker(
                    agent,
                    lambda announcement: LeasedBackendClient(
                        AddressedClient(server, announcement.incarnation, ids or {}),
                        5,
                        LeaseSettings(),
                        agent.metrics,
                        FakeBackendOwner(),
                    ),
                )
                announce(tracker, server)
                await wait_until_open(agent)
                await test(server, agent, tracker, nursery)
                nursery.cancel_scope.cancel()

        run_on_mock_clock(main)

    return run


def announce(
    tracker,
    server,
    sequence: int = 1,
    is_draining: bool = False,
    slots: int = 8,
    born_ms: int | None = None,
    incarnation: str = "i-1",
) -> None:
    announcement = Announcement(
        "s", "w:1", slots, incarnation=incarnation, born_ms=born_ms or server.born_ms
    )
    tracker.handle_announcement(announcement, sequence, is_draining)


async def restart_with_clock_set_back(server) -> int:
    """Restarts a backend server, and waits until its replies have shown it.

    Returns:
        Start time of the earlier incarnation.
    """
    earlier_born_ms = server.born_ms
    server.crash()
    server.born_ms -= 5000
    await trio.sleep(0.5)
    return earlier_born_ms


async def wait_until_open(agent) -> None:
    with trio.fail_after(5):
        while not agent.backends[-1].is_open:
            await trio.sleep(0.01)


async def run_task(agent, run_s: float = 0.5, attempt: int = 1):
    payload = {"name": "a", "run_s": run_s}
    return await agent.backends[-1].run("id-a", "job", "shops", payload, attempt)


def test_run_started_before_the_restart_is_noticed_is_kept(run_tracked):
    # Soak seed 40: a run was confirmed by the new incarnation, whose first heartbeat
    # arrived before the first renewal that showed the restart. The run was given up,
    # and its task ran at another worker at the same time.
    async def test(server, agent, tracker, nursery):
        server.crash()

        async def announce_soon():
            await trio.sleep(0.03)
            announce(tracker, server)

        nursery.start_soon(announce_soon)
        outcome = await run_task(agent)
        assert outcome.status is Status.DONE
        assert [run.end_kind.value for run in server.runs] == ["done"]

    run_tracked(test)


def test_run_of_the_earlier_incarnation_ends_before_a_closed_client_is_replaced(
    run_tracked,
):
    async def test(server, agent, tracker, nursery):
        outcomes = []

        async def run():
            outcomes.append(await run_task(agent, run_s=9.0))

        nursery.start_soon(run)
        await trio.sleep(0.1)
        announce(tracker, server, 2, is_draining=True)
        server.crash()
        announce(tracker, server)
        assert len(agent.backends) == 1
        await trio.sleep(0.5)
        assert [outcome.status for outcome in outcomes] == [Status.STOPPED]
        announce(tracker, server, 2)
        await wait_until_open(agent)
        assert len(agent.backends) == 2

    run_tracked(test)


def test_run_of_the_earlier_incarnation_is_reported_as_lost(run_tracked):
    async def test(server, agent, tracker, nursery):
        async def restart():
            await trio.sleep(0.2)
            server.crash()
            announce(tracker, server)

        nursery.start_soon(restart)
        outcome = await run_task(agent, run_s=9.0)
        assert (outcome.status, outcome.reason) == (Status.STOPPED, "vanished")
        again = await run_task(agent, attempt=2)
        assert again.status is Status.DONE

    run_tracked(test)


def test_unanswered_start_ends_when_its_backend_returns_at_another_address(
    run_on_mock_clock,
):
    # The run never ended, and its capacity was lost to the agent for good.
    async def main():
        async with trio.open_nursery() as nursery:
            servers = [FakeLeasedBackend("tank-1", nursery) for _ in range(2)]
            servers[1].born_ms += 1
            agent = FakeAgent(nursery)
            tracker = IncarnationTracker(
                agent,
                lambda announcement: LeasedBackendClient(
                    servers[int(announcement.address[-1])],
                    5,
                    LeaseSettings(),
                    agent.metrics,
                    FakeBackendOwner(),
                ),
            )
            for number, server in enumerate(servers):
                nursery.start_soon(server.advance_runs)
                announcement = Announcement(
                    "s", f"w:{number}", 8, incarnation="i-1", born_ms=server.born_ms
                )
                tracker.handle_announcement(announcement, 1, False)
                await wait_until_open(agent)
                if number == 0:
                    server.is_unresponsive = True
                    payload = {"name": "a", "run_s": 1.0}
                    nursery.start_soon(
                        agent.backends[0].run, "id-a", "job", "shops", payload, 1
                    )
                    await trio.sleep(0.5)
            await trio.sleep(5.0)
            assert not agent.backends[0].has_runs
            nursery.cancel_scope.cancel()

    run_on_mock_clock(main)


def test_backend_server_that_restarts_with_its_clock_set_back_is_obeyed(run_tracked):
    # Its heartbeats were taken for late ones of an older incarnation: tasks were
    # started while it drained, and beyond the capacity that it had announced.
    async def test(server, agent, tracker, nursery):
        await restart_with_clock_set_back(server)
        outcomes = []

        async def run():
            outcomes.append(await run_task(agent, run_s=1.0))

        nursery.start_soon(run)
        await trio.sleep(0.1)
        announce(tracker, server, 1, slots=4)
        assert [announcement.slots for announcement in agent.announcements] == [4]
        announce(tracker, server, 2, is_draining=True, slots=4)
        assert tracker.is_draining
        assert agent.backends[-1].is_closed
        await trio.sleep(1.5)
        assert [outcome.status for outcome in outcomes] == [Status.DONE]
        assert [run.end_kind.value for run in server.runs] == ["done"]

    run_tracked(test)


def test_heartbeat_delayed_until_after_a_restart_with_the_clock_set_back_is_ignored(
    run_tracked,
):
    async def test(server, agent, tracker, nursery):
        earlier_born_ms = await restart_with_clock_set_back(server)
        announce(tracker, server, 1)
        assert tracker.newest_announcement.born_ms == server.born_ms
        agent.announcements.clear()
        for sequence in (2, 9):
            announce(
                tracker, server, sequence, sequence == 9, 16, born_ms=earlier_born_ms
            )
            assert not tracker.is_draining
        assert agent.announcements == []
        assert (await run_task(agent)).status is Status.DONE
        announce(tracker, server, 2, slots=4)
        assert [announcement.slots for announcement in agent.announcements] == [4]

    run_tracked(test)


def test_heartbeat_delayed_until_before_the_first_reply_after_a_restart_is_ignored(
    run_tracked,
):
    # The client still knows the start time of the earlier incarnation then.
    async def test(server, agent, tracker, nursery):
        earlier_born_ms = server.born_ms
        server.crash()
        announce(tracker, server, 1)
        announce(tracker, server, 9, is_draining=True, born_ms=earlier_born_ms)
        assert not tracker.is_draining
        assert len(agent.announcements) == 1
        await trio.sleep(0.5)
        announce(tracker, server, 10, is_draining=True, born_ms=earlier_born_ms)
        assert not tracker.is_draining
        assert (await run_task(agent)).status is Status.DONE

    run_tracked(test)


def test_late_heartbeat_that_was_taken_for_a_newer_one_is_superseded(run_tracked):
    # Nothing was heard of the incarnation that ran before the clock was set back.
    async def test(server, agent, tracker, nursery):
        server.born_ms += 1
        await trio.sleep(0.5)
        earlier_born_ms = await restart_with_clock_set_back(server)
        announce(tracker, server, 1, slots=4)
        announce(tracker, server, 9, slots=16, born_ms=earlier_born_ms)
        await trio.sleep(0.5)
        announce(tracker, server, 2, slots=4)
        assert tracker.newest_announcement.born_ms == server.born_ms
        assert agent.announcements[-1].slots == 4

    run_tracked(test)


def test_backend_server_that_restarts_under_another_id_with_its_clock_set_back_is_used(
    run_tracked,
):
    # Its client was closed for good, as its heartbeats seemed older.
    async def test(server, agent, tracker, nursery):
        await restart_with_clock_set_back(server)
        announce(tracker, server, 1, incarnation="i-2")
        await wait_until_open(agent)
        assert (await run_task(agent)).status is Status.DONE
        announce(tracker, server, 2, is_draining=True, incarnation="i-2")
        assert tracker.is_draining

    run_tracked(test, ids={995_001: "i-2"})


def test_heartbeat_delayed_until_another_id_has_replaced_its_sender_ends_no_run(
    run_tracked,
):
    async def test(server, agent, tracker, nursery):
        earlier_born_ms = await restart_with_clock_set_back(server)
        announce(tracker, server, 2, born_ms=earlier_born_ms)
        announce(tracker, server, 1, incarnation="i-2")
        await wait_until_open(agent)
        outcomes = []

        async def run():
            outcomes.append(await run_task(agent, run_s=1.0))

        nursery.start_soon(run)
        await trio.sleep(0.1)
        for sequence in (3, 9):
            announce(tracker, server, sequence, sequence == 9, born_ms=earlier_born_ms)
        assert not tracker.is_draining
        assert tracker.newest_announcement.incarnation == "i-2"
        await trio.sleep(1.5)
        assert [outcome.status for outcome in outcomes] == [Status.DONE]
        assert [run.end_kind.value for run in server.runs] == ["done"]

    run_tracked(test, ids={995_001: "i-2"})


def test_backend_server_is_used_again_after_a_late_heartbeat_replaced_it(run_tracked):
    # Nothing was heard before of the incarnation that sent the late heartbeat.
    async def test(server, agent, tracker, nursery):
        await restart_with_clock_set_back(server)
        announce(tracker, server, 1, incarnation="i-2")
        await wait_until_open(agent)
        announce(tracker, server, 9, born_ms=1_000_001, incarnation="i-unheard")
        await trio.sleep(0.5)
        assert not agent.backends[-1].is_open
        announce(tracker, server, 2, incarnation="i-2")
        await wait_until_open(agent)
        assert (await run_task(agent)).status is Status.DONE

    run_tracked(test, ids={995_001: "i-2"})


@pytest.mark.parametrize("is_leaving", [False, True])
def test_late_heartbeat_of_an_unheard_incarnation_ends_no_run(run_tracked, is_leaving):
    # A worker whose deregistration is not confirmed goes on for some seconds.
    async def test(server, agent, tracker, nursery):
        await restart_with_clock_set_back(server)
        announce(tracker, server, 1, incarnation="i-2")
        await wait_until_open(agent)
        reported_ended_s = []

        async def run():
            outcome = await run_task(agent, run_s=1.0)
            assert outcome.status is Status.DONE
            reported_ended_s.append(trio.current_time())

        nursery.start_soon(run)
        await trio.sleep(0.1)
        if is_leaving:
            announce(tracker, server, 2, is_draining=True, incarnation="i-2")
            tracker.handle_deregistration("i-2")
        late_born_ms = server.born_ms + (-1 if is_leaving else 1)
        announce(tracker, server, 9, born_ms=late_born_ms, incarnation="i-unheard")
        await trio.sleep(0.3)
        announce(tracker, server, 3, is_leaving, incarnation="i-2")
        await trio.sleep(2.0)
        (recorded,) = server.runs
        assert recorded.ended_s <= reported_ended_s[0]
        announce(tracker, server, 4, is_leaving, incarnation="i-2")
        await trio.sleep(0.5)
        assert agent.backends[-1].is_open != is_leaving

    run_tracked(test, ids={995_001: "i-2"})


def test_backend_server_that_left_is_used_after_its_clock_was_set_back(run_tracked):
    # Its closed client requests nothing, so that no reply shows the restart.
    async def test(server, agent, tracker, nursery):
        announce(tracker, server, 2, is_draining=True)
        tracker.handle_deregistration("i-1")
        await trio.sleep(1.0)
        earlier_born_ms = await restart_with_clock_set_back(server)
        announce(tracker, server, 3, born_ms=earlier_born_ms)
        assert tracker.is_draining
        announce(tracker, server, 1)
        await wait_until_open(agent)
        announce(tracker, server, 9, is_draining=True, born_ms=earlier_born_ms)
        assert not tracker.is_draining
        assert (await run_task(agent)).status is Status.DONE

    run_tracked(test)


@pytest.mark.parametrize("age_ms", [1, 500], ids=["known", "unheard"])
def test_backend_server_that_drains_is_not_replaced_by_its_earlier_incarnation(
    run_tracked, age_ms
):
    async def test(server, agent, tracker, nursery):
        server.crash()
        announce(tracker, server, 1)
        announce(tracker, server, 2, is_draining=True)
        await trio.sleep(1.0)
        announce(tracker, server, 9, born_ms=server.born_ms - age_ms)
        await trio.sleep(1.0)
        assert tracker.is_draining
        assert len(agent.backends) == 1

    run_tracked(test)
