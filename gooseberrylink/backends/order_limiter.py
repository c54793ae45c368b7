"""Bounds the orders in flight at a backend server.

Load pattern: some hundred small tasks are assigned to one agent at the same time. If
all of their orders were sent at once, the agent would be too slow to read the replies
before they time out, and each start without a reply would be followed by requests to
stop it, for which the agent would be too slow as well.
"""

import collections
import dataclasses
from typing import Any

import trio

from gooseberrylink.backends.runs import (
    ControlReply,
    LeaseRenewal,
    RunClient,
    RunKey,
    RunReport,
    StartReply,
)
from gooseberrylink.logs import log_event
from gooseberrylink.metrics import Metrics


@dataclasses.dataclass(slots=True, frozen=True)
class OrderLimits:
    """Limits of the orders, which are the requests to start and to stop runs.

    Attributes:
        max_in_flight: Most orders in flight. A backend server accepts 64 connections,
            one of which renews the lease.
        min_in_flight: Most orders in flight while the backend server is silent.
        max_unanswered: This many orders in a row may have no reply before the bound
            falls, by one for each further one. Half of the orders to a sound backend
            server may have none. Each reply raises the bound by one.
        max_start_wait_s: A start that has waited longer is not sent. Its owner must
            be told of a start without a reply before the job is sent again, 1.3 s
            after the assignment; see LeaseSettings.max_unconfirmed_s.
    """

    max_in_flight: int = 60
    min_in_flight: int = 8
    max_unanswered: int = 30
    max_start_wait_s: float = 0.4


@dataclasses.dataclass(slots=True, eq=False)
class _Waiter:
    """An order that waits for its turn.

    Attributes:
        may_send: Whether it is its turn; it counts as in flight from then on.
        decided: Set when it is its turn, or when the order is withdrawn.
    """

    may_send: bool = False
    decided: trio.Event = dataclasses.field(default_factory=trio.Event)


class LimitedRunClient:
    """A RunClient that queues the orders beyond a bound; see RunClient.

    Stops are sent before starts, and renewals of the lease at once.

    Args:
        client: Sends the requests.
        metrics: Counters of the agent.
        limits: Limits of the orders.
    """

    def __init__(
        self, client: RunClient, metrics: Metrics, limits: OrderLimits | None = None
    ):
        self._client = client
        self._metrics = metrics
        self._limits = limits or OrderLimits()
        self._max_in_flight = self._limits.max_in_flight
        self._in_flight = 0
        self._unanswered_count = 0
        self._stops: collections.OrderedDict[RunKey, _Waiter] = (
            collections.OrderedDict()
        )
        self._starts: collections.OrderedDict[RunKey, _Waiter] = (
            collections.OrderedDict()
        )

    def make_run_key(self, payload: Any, attempt: int) -> RunKey:
        """See RunClient."""
        return self._client.make_run_key(payload, attempt)

    async def start(
        self, key: RunKey, payload: Any, lease_end_ms: int, fencing_token: int
    ) -> StartReply:
        """See RunClient; returns LATE for a start that waited too long to be sent."""
        with trio.move_on_after(self._limits.max_start_wait_s) as scope:
            may_send = await self._wait_for_turn(self._starts, key, "start")
        if scope.cancelled_caught or not may_send:
            reason = "waited" if scope.cancelled_caught else "stopped"
            self._metrics.add("starts_not_sent", reason)
            log_event("start_not_sent", run=key.name, reason=reason)
            return StartReply.LATE
        reply = StartReply.UNANSWERED
        try:
            reply = await self._client.start(key, payload, lease_end_ms, fencing_token)
        finally:
            self._end_order(reply is not StartReply.UNANSWERED)
        return reply

    async def stop(self, key: RunKey, fencing_token: int) -> ControlReply:
        """See RunClient.

        A start that waits is withdrawn, which confirms its stop. While a stop waits,
        another one of the same run is not queued, and counts as unanswered.
        """
        waiting_start = self._starts.pop(key, None)
        if waiting_start is not None:
            waiting_start.decided.set()
            return ControlReply.DONE
        if key in self._stops:
            return ControlReply.UNANSWERED
        await self._wait_for_turn(self._stops, key, "stop")
        reply = ControlReply.UNANSWERED
        try:
            reply = await self._client.stop(key, fencing_token)
        finally:
            self._end_order(reply is not ControlReply.UNANSWERED)
        return reply

    async def renew(self, renewal: LeaseRenewal) -> RunReport | ControlReply:
        """See RunClient."""
        return await self._client.renew(renewal)

    async def _wait_for_turn(
        self,
        queue: collections.OrderedDict[RunKey, _Waiter],
        key: RunKey,
        kind: str,
    ) -> bool:
        """Waits until an order may be sent; returns False if it was withdrawn.

        It does not yield if the order may be sent at once.
        """
        if self._in_flight < self._max_in_flight:
            self._in_flight += 1
            return True
        self._metrics.add("orders_queued", kind)
        waiter = queue[key] = _Waiter()
        try:
            await waiter.decided.wait()
        except trio.Cancelled:
            if waiter.may_send:
                self._in_flight -= 1
                self._send_next()
            elif queue.get(key) is waiter:
                del queue[key]
            raise
        return waiter.may_send

    def _end_order(self, is_answered: bool) -> None:
        """Takes an order out of those in flight, and adapts their bound."""
        limits = self._limits
        self._in_flight -= 1
        if is_answered:
            self._unanswered_count = 0
            self._max_in_flight = min(limits.max_in_flight, self._max_in_flight + 1)
        else:
            self._unanswered_count += 1
            if self._unanswered_count > limits.max_unanswered:
                self._max_in_flight = max(limits.min_in_flight, self._max_in_flight - 1)
        self._send_next()

    def _send_next(self) -> None:
        while self._in_flight < self._max_in_flight and (self._stops or self._starts):
            _, waiter = (self._stops or self._starts).popitem(last=False)
            self._in_flight += 1
            waiter.may_send = True
            waiter.decided.set()
