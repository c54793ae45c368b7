"""Tests the bound of the orders in flight at a backend server."""

import trio

from gooseberrylink.backends.leased import LeasedBackendClient, LeaseSettings
from gooseberrylink.backends.order_limiter import LimitedRunClient, OrderLimits
from gooseberrylink.backends.runs import ControlReply, RunKey, StartReply
from gooseberrylink.metrics import Metrics
from gooseberrylink.peers.messages import Status
from gooseberrylink.standins.leased_backend import FakeBackendOwner, FakeLeasedBackend

MAX_CONNECTIONS = 64


class SlowOrders:
    """A RunClient whose orders get a reply after reply_s, or time out without one."""

    def __init__(self, reply_s: float = 0.1, is_silent: bool = False):
        self.reply_s = reply_s
        self.is_silent = is_silent
        self.sent: list[tuple[str, str]] = []
        self.in_flight = self.peak_in_flight = 0

    async def start(self, key, payload, lease_end_ms, fencing_token):
        return await self._order("start", key, StartReply)

    async def stop(self, key, fencing_token):
        return await self._order("stop", key, ControlReply)

    async def _order(self, kind, key, replies):
        self.sent.append((kind, key.name))
        self.in_flight += 1
        self.peak_in_flight = max(self.peak_in_flight, self.in_flight)
        try:
            await trio.sleep(self.reply_s)
        finally:
            self.in_flight -= 1
        if self.is_silent:
            return replies.UNANSWERED
        return StartReply.STARTED if replies is StartReply else ControlReply.DONE


async def start(client: LimitedRunClient, name: str, replies: dict) -> None:
    replies[name] = await client.start(RunKey(name, 1), None, 0, 1)


async def stop(client: LimitedRunClient, name: str, replies: dict) -> None:
    replies[name] = await client.stop(RunKey(name, 1), 1)


def make_limited(orders: SlowOrders, max_in_flight: int = 1) -> LimitedRunClient:
    limits = OrderLimits(max_in_flight=max_in_flight)
    return LimitedRunClient(orders, Metrics("agent", "tank-1"), limits)


def test_hundreds_of_tasks_at_once_stay_within_the_connections(run_on_mock_clock):
    # Some 500 starts at once made an agent hang: the requests to stop those without a
    # reply kept it busy for good.
    async def main():
        async with trio.open_nursery() as nursery:
            backend_server = FakeLeasedBackend("tank-1", nursery)
            in_flight = 0
            peak_in_flight = 0
            execute = backend_server._execute

            async def count_orders(request, timeout_reply, is_renewal=False):
                nonlocal in_flight, peak_in_flight
                in_flight += not is_renewal
                peak_in_flight = max(peak_in_flight, in_flight)
                try:
                    return await execute(request, timeout_reply, is_renewal)
                finally:
                    in_flight -= not is_renewal

            backend_server._execute = count_orders
            client = LeasedBackendClient(
                backend_server,
                5,
                LeaseSettings(),
                Metrics("agent", "tank-1"),
                FakeBackendOwner(),
            )
            nursery.start_soon(backend_server.advance_runs)
            nursery.start_soon(client.run_background)
            while not client.is_open:
                await trio.sleep(0.01)
            outcomes = []

            async def run(name):
                payload = {"name": name, "run_s": 0.3}
                outcomes.append(await client.run(name, "job", "shops", payload, 1))

            backend_server.late_share = 1.0
            backend_server.are_renewals_late = False
            async with trio.open_nursery() as tasks:
                for number in range(500):
                    tasks.start_soon(run, f"task-{number}")
                await trio.sleep(1.0)
                backend_server.late_share = 0.0
            assert peak_in_flight < MAX_CONNECTIONS
            assert len(outcomes) == 500
            assert {o.status for o in outcomes} <= {Status.NOT_STARTED, Status.STOPPED}
            nursery.cancel_scope.cancel()

    run_on_mock_clock(main)


def test_stops_are_sent_before_starts_and_each_in_order(run_on_mock_clock):
    async def main():
        orders, replies = SlowOrders(), {}
        client = make_limited(orders)
        async with trio.open_nursery() as nursery:
            for order, name in (start, "a"), (start, "b"), (stop, "c"), (stop, "d"):
                nursery.start_soon(order, client, name, replies)
                await trio.sleep(0.001)
        assert [name for _, name in orders.sent] == ["a", "c", "d", "b"]
        assert replies["b"] is StartReply.STARTED
        assert orders.peak_in_flight == 1

    run_on_mock_clock(main)


def test_start_that_waited_too_long_is_not_sent(run_on_mock_clock):
    async def main():
        orders, replies = SlowOrders(reply_s=0.5), {}
        client = make_limited(orders)
        async with trio.open_nursery() as nursery:
            for name in "ab":
                nursery.start_soon(start, client, name, replies)
                await trio.sleep(0.001)
        assert replies == {"a": StartReply.STARTED, "b": StartReply.LATE}
        assert orders.sent == [("start", "a")]
        # Its place in the queue is free again.
        await start(client, "c", replies)
        assert replies["c"] is StartReply.STARTED

    run_on_mock_clock(main)


def test_stop_of_a_start_that_waits_withdraws_it(run_on_mock_clock):
    async def main():
        orders, replies, stops = SlowOrders(), {}, {}
        client = make_limited(orders)
        async with trio.open_nursery() as nursery:
            for name in "ab":
                nursery.start_soon(start, client, name, replies)
                await trio.sleep(0.001)
            await stop(client, "b", stops)
        assert stops["b"] is ControlReply.DONE
        assert replies["b"] is StartReply.LATE
        assert orders.sent == [("start", "a")]

    run_on_mock_clock(main)


def test_cancelled_orders_leave_their_place_to_others(run_on_mock_clock):
    async def main():
        orders, replies = SlowOrders(), {}
        client = make_limited(orders)
        with trio.move_on_after(0.05):
            async with trio.open_nursery() as nursery:
                for name in "abc":
                    nursery.start_soon(stop, client, name, replies)
        assert not replies
        await stop(client, "d", replies)
        assert replies == {"d": ControlReply.DONE}

    run_on_mock_clock(main)


def test_silent_backend_server_gets_ever_fewer_stops(run_on_mock_clock):
    async def main():
        orders, replies = SlowOrders(reply_s=0.25, is_silent=True), {}
        client = make_limited(orders, max_in_flight=60)

        async def repeat(name):
            while True:
                await stop(client, name, replies)
                await trio.sleep(0.03)

        async with trio.open_nursery() as nursery:
            for number in range(300):
                nursery.start_soon(repeat, f"run-{number}")
            await trio.sleep(2.0)
            sent_count = len(orders.sent)
            await trio.sleep(1.0)
            assert len(orders.sent) - sent_count <= 8 / 0.25 + 8
            orders.is_silent, orders.reply_s = False, 0.001
            await trio.sleep(1.0)
            assert orders.peak_in_flight == 60
            assert len(orders.sent) - sent_count > 1000
            nursery.cancel_scope.cancel()

    run_on_mock_clock(main)
