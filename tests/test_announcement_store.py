"""A restarted agent restores the announcement of its backend server."""

import dataclasses
import math

import pytest
import trio

from gooseberrylink.backends.announcement_store import AnnouncementStore
from gooseberrylink.backends.client import Announcement
from gooseberrylink.backends.incarnations import IncarnationTracker
from gooseberrylink.backends.runs import ControlReply, RunReport
from gooseberrylink.metrics import Metrics

TABLE = "gooseberrylink-backends"
TOKEN = 7


class FakeAgent:
    """Records which backend servers are attached, updated and detached."""

    def __init__(self):
        self.metrics = Metrics("agent", "tank-1")
        self.calls: list[Announcement] = []

    def attach_backend(self, backend, announcement):
        self.calls.append(announcement)

    def update_announcement(self, announcement):
        self.calls.append(announcement)

    def detach_backend(self, reason):
        self.calls.append(reason)


class FakeBackendClient:
    """Client that the incarnation tracker attaches; nothing runs at it."""

    def expect_end(self):
        pass


class FakeRunClient:
    """Client of a backend server that gives one fixed reply to each renewal."""

    def __init__(self, report: RunReport | ControlReply):
        self.report = report

    async def renew(self, renewal):
        assert (renewal.fencing_token, renewal.lease_end_ms) == (TOKEN, None)
        return self.report


def make_announcement(born_ms: int = 100) -> Announcement:
    return Announcement("s", "w:1", 16_000, incarnation="i-1", born_ms=born_ms)


def make_announcement_store(store) -> tuple[FakeAgent, AnnouncementStore]:
    agent = FakeAgent()
    incarnations = IncarnationTracker(agent, lambda _: FakeBackendClient())
    announcement_store = AnnouncementStore(incarnations, store, "tank-1", agent.metrics)
    return agent, announcement_store


async def store_announcement(
    standin, store, nursery, is_draining: bool = False
) -> None:
    """Stores an announcement, as an earlier incarnation of the agent does."""
    _, earlier = make_announcement_store(store)
    nursery.start_soon(earlier.run)
    earlier.handle_announcement(make_announcement(), 1, False)
    if is_draining:
        earlier.handle_announcement(make_announcement(), 2, True)
    expected = b'"is_leaving":true' if is_draining else b'"is_leaving":false'
    while expected not in (standin.get_value(TABLE, "tank-1") or b""):
        await trio.sleep(0.01)


def make_report(born_ms: int) -> RunReport:
    return RunReport(clock_ms=1, progress={}, ends=[], born_ms=born_ms)


def test_running_backend_server_is_restored_before_its_next_announcement(
    run_with_store,
):
    # Guards against a restarted agent that has no resources to offer until the next
    # announcement, for up to 1.4 s.
    async def test(standin, store, nursery):
        await store_announcement(standin, store, nursery)
        agent, announcement_store = make_announcement_store(store)
        await announcement_store.restore(
            lambda _: FakeRunClient(make_report(100)), TOKEN
        )
        assert agent.calls == [make_announcement()]
        # The next announcement is of the same incarnation and attaches nothing new.
        announcement_store.handle_announcement(make_announcement(), 1, False)
        assert agent.calls == [make_announcement()]

    run_with_store(test)


SHRUNK = dataclasses.replace(make_announcement(), slots=8_000)


def test_capacity_that_changed_is_restored(run_with_store):
    # The stored announcement was the first one of the incarnation.
    async def test(standin, store, nursery):
        _, earlier = make_announcement_store(store)
        nursery.start_soon(earlier.run)
        earlier.handle_announcement(make_announcement(), 1, False)
        earlier.handle_announcement(SHRUNK, 2, False)
        while b'"slots":8000' not in (standin.get_value(TABLE, "tank-1") or b""):
            await trio.sleep(0.01)
        agent, announcement_store = make_announcement_store(store)
        await announcement_store.restore(
            lambda _: FakeRunClient(make_report(100)), TOKEN
        )
        assert agent.calls == [SHRUNK]

    run_with_store(test)


def test_first_heartbeat_after_a_restore_replaces_the_capacity(run_with_store):
    # The row is out of date if the store was down when the capacity changed.
    async def test(standin, store, nursery):
        await store_announcement(standin, store, nursery)
        agent, announcement_store = make_announcement_store(store)
        await announcement_store.restore(
            lambda _: FakeRunClient(make_report(100)), TOKEN
        )
        announcement_store.handle_announcement(SHRUNK, 1, False)
        assert agent.calls == [make_announcement(), SHRUNK]

    run_with_store(test)


def test_unchanged_heartbeats_write_nothing(run_on_mock_clock):
    class CountingStore:
        def __init__(self):
            self.values = []

        async def put(self, table, key, value):
            self.values.append(value)

    async def main():
        store = CountingStore()
        async with trio.open_nursery() as nursery:
            _, announcement_store = make_announcement_store(store)
            nursery.start_soon(announcement_store.run)
            for sequence in range(20):
                announcement = SHRUNK if sequence >= 10 else make_announcement()
                announcement_store.handle_announcement(announcement, sequence, False)
                await trio.sleep(0.1)
            nursery.cancel_scope.cancel()
        assert len(store.values) == 2

    run_on_mock_clock(main)


@pytest.mark.parametrize(
    "reply",
    [make_report(101), ControlReply.OTHER_INCARNATION, ControlReply.UNANSWERED],
)
def test_other_incarnation_is_not_restored(run_with_store, reply):
    async def test(standin, store, nursery):
        await store_announcement(standin, store, nursery)
        agent, announcement_store = make_announcement_store(store)
        await announcement_store.restore(lambda _: FakeRunClient(reply), TOKEN)
        assert agent.calls == []

    run_with_store(test)


def test_draining_backend_server_is_not_restored(run_with_store):
    async def test(standin, store, nursery):
        await store_announcement(standin, store, nursery, is_draining=True)
        agent, announcement_store = make_announcement_store(store)
        await announcement_store.restore(
            lambda _: FakeRunClient(make_report(100)), TOKEN
        )
        assert agent.calls == []

    run_with_store(test)


def test_announcement_received_first_is_kept(run_with_store):
    async def test(standin, store, nursery):
        await store_announcement(standin, store, nursery)
        agent, announcement_store = make_announcement_store(store)
        announcement_store.handle_announcement(make_announcement(born_ms=200), 1, False)
        await announcement_store.restore(
            lambda _: FakeRunClient(make_report(100)), TOKEN
        )
        assert agent.calls == [make_announcement(born_ms=200)]

    run_with_store(test)


@pytest.mark.parametrize("row", [b"{}", b"\xff", None])
def test_store_without_a_readable_row_restores_nothing(run_with_store, row):
    async def test(standin, store, nursery):
        if row is not None:
            standin.put(TABLE, "tank-1", row)
        agent, announcement_store = make_announcement_store(store)
        await announcement_store.restore(
            lambda _: FakeRunClient(make_report(100)), TOKEN
        )
        standin.is_down = True
        await announcement_store.restore(
            lambda _: FakeRunClient(make_report(100)), TOKEN
        )
        assert agent.calls == []

    run_with_store(test)


def test_restore_goes_on_after_the_clock_stepped_back(run_with_store):
    # The request was refused as fenced, and the agent had nothing to offer until the
    # next heartbeat.
    class FencingRunClient:
        async def renew(self, renewal):
            if renewal.fencing_token < TOKEN + 2_400_000:
                return ControlReply.FENCED
            return make_report(100)

    async def test(standin, store, nursery):
        await store_announcement(standin, store, nursery)
        agent, announcement_store = make_announcement_store(store)
        await announcement_store.restore(lambda _: FencingRunClient(), TOKEN)
        assert agent.calls == [make_announcement()]

    run_with_store(test)


class LossyRunClient:
    """Client of a backend server that does not receive the first requests."""

    def __init__(self, lost_requests: float):
        self.lost_requests = lost_requests
        self.requests = 0

    async def renew(self, renewal):
        await trio.lowlevel.checkpoint()
        self.requests += 1
        if self.requests <= self.lost_requests:
            return ControlReply.UNANSWERED
        return make_report(100)


def test_restore_goes_on_after_lost_requests(run_with_store):
    # After one lost request, the agent waited for the next heartbeat.
    async def test(standin, store, nursery):
        await store_announcement(standin, store, nursery)
        agent, announcement_store = make_announcement_store(store)
        client = LossyRunClient(lost_requests=2)
        await announcement_store.restore(lambda _: client, TOKEN)
        assert agent.calls == [make_announcement()]

    run_with_store(test)


def test_restore_ends_with_the_first_heartbeat(run_with_store):
    async def test(standin, store, nursery):
        await store_announcement(standin, store, nursery)
        agent, announcement_store = make_announcement_store(store)
        client = LossyRunClient(lost_requests=math.inf)
        announcement_store.handle_announcement(make_announcement(born_ms=200), 1, False)
        await announcement_store.restore(lambda _: client, TOKEN)
        assert client.requests == 1
        assert agent.calls == [make_announcement(born_ms=200)]

    run_with_store(test)
