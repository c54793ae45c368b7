"""Keeps the agent's link to one entry."""

from typing import TYPE_CHECKING

import msgspec
import trio

from gooseberrylink.exceptions import LinkClosedError
from gooseberrylink.logs import log_event
from gooseberrylink.peers.config_push import ConfigPush
from gooseberrylink.peers.heartbeat import Heartbeat
from gooseberrylink.peers.link import Link
from gooseberrylink.peers.messages import (
    AgentFrame,
    EntryFrame,
    EntryHello,
    Result,
    Status,
    decode_at_agent,
    encode,
)
from gooseberrylink.peers.outbox import Outbox

if TYPE_CHECKING:
    from gooseberrylink.agent import Agent

_RECONNECT_MIN_S = 0.1
_RECONNECT_MAX_S = 2.0
_HELLO_TIMEOUT_S = 5.0


class EntryPeer:
    """One entry, as the agent knows it.

    One task dials, says hello and reads; a second one sends.

    Attributes:
        address: Where the entry takes links.
        incarnation: The entry's random id; "" before its first hello.
        running: Tasks of this entry that are running here.
        customer_demands: Totals that the next frame tells the entry.
        unacknowledged: Assignments whose results the entry may not have.
    """

    def __init__(self, agent: "Agent", address: str):
        self._agent = agent
        self.address = address
        self.incarnation = ""
        self.name = ""
        self.running = 0
        self.unacknowledged: set[str] = set()
        self.outbox = Outbox()
        self.quarantined_share = 0.0
        self.customer_demands: dict[str, float] = {}
        self._link: Link | None = None
        self._assigns_seen = 0
        self._config_push: ConfigPush | None = None

    @property
    def is_connected(self) -> bool:
        """Whether the link is up and the entry said hello."""
        return self._link is not None

    async def run(self) -> None:
        """Keeps the link up until cancelled."""
        pause_s = _RECONNECT_MIN_S
        while True:
            try:
                link = await self._agent.dialer.dial(self.address)
            except LinkClosedError:
                link = None
            if link is not None and await self._serve(link):
                pause_s = _RECONNECT_MIN_S
            await trio.sleep(pause_s * self._agent.random.uniform(0.5, 1.0))
            pause_s = min(2 * pause_s, _RECONNECT_MAX_S)

    async def _serve(self, link: Link) -> bool:
        """Serves one link until it closes; returns whether it ever worked."""
        try:
            await self._greet(link)
        except (LinkClosedError, msgspec.MsgspecError, trio.TooSlowError):
            link.close()
            return False
        self._link = link
        self._agent.entry_connected(self)
        settings = self._agent.settings
        heartbeat = Heartbeat(settings, self.outbox, self._is_busy)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send_frames, link, heartbeat)
                nursery.start_soon(heartbeat.watch, link)
                nursery.start_soon(self._config_push.run)
                await self._read_frames(link, heartbeat)
                nursery.cancel_scope.cancel()
        finally:
            link.close()
            self._link = None
            self._agent.entry_disconnected(self)
        return True

    async def _greet(self, link: Link) -> None:
        link.send(encode(self._agent.hello()))
        with trio.fail_after(_HELLO_TIMEOUT_S):
            hello = decode_at_agent(await link.receive())
        if not isinstance(hello, EntryHello):
            raise msgspec.ValidationError("the first frame is not a hello")
        if hello.incarnation != self.incarnation:
            self.outbox.take()
            self.unacknowledged.clear()
        # Results or their acknowledgements may have been lost with the old link.
        self._agent.send_results_again(self)
        self.incarnation = hello.incarnation
        self.name = hello.entry
        self._assigns_seen = 0
        self._config_push = ConfigPush(
            self._agent.configuration, self.outbox, self._agent.random
        )
        self._config_push.known_version = hello.config_version
        log_event("entry_connected", entry=hello.entry, address=self.address)
        self._agent.learn_entries([*hello.entries, hello.address])
        self.outbox.poke()

    def _is_busy(self) -> bool:
        # A result that the entry may not have got is in progress, too.
        return self.running > 0 or bool(self.unacknowledged)

    async def _read_frames(self, link: Link, heartbeat: Heartbeat) -> None:
        while True:
            try:
                frame = decode_at_agent(await link.receive())
            except LinkClosedError:
                return
            except msgspec.MsgspecError as error:
                log_event("frame_malformed", "ERROR", error=error)
                return
            heartbeat.heard()
            if isinstance(frame, EntryFrame):
                self._config_push.known_version = frame.config_version
                self._agent.receive(self, frame)

    def count_assign(self) -> None:
        """Notes an assignment, so that the entry can tell what we had seen."""
        self._assigns_seen += 1

    async def _send_frames(self, link: Link, heartbeat: Heartbeat) -> None:
        while True:
            is_heartbeat = await heartbeat.wait_until_due()
            items = self.outbox.take()
            self._count_frame(items, is_heartbeat)
            try:
                link.send(encode(self._next_frame(items)))
            except LinkClosedError:
                return

    def _count_frame(self, items: list, is_heartbeat: bool) -> None:
        kind = "heartbeat" if is_heartbeat else "control"
        results = [item for item in items if isinstance(item, Result)]
        if any(result.status is not Status.NOT_STARTED for result in results):
            kind = "data"
        elif results:
            kind = "refusal"
        self._agent.counters.add("frames_sent", kind)

    def _next_frame(self, items: list) -> AgentFrame:
        agent = self._agent
        now_s = trio.current_time()
        demands, self.customer_demands = self.customer_demands, {}
        ledger = agent.ledger
        free = ledger.credits_of(self.incarnation)
        return AgentFrame(
            clock_s=now_s,
            free=free,
            free_long=min(free, ledger.idle_long(now_s)),
            assigns_seen=self._assigns_seen,
            slots=ledger.slots,
            service=agent.service,
            is_quarantined=agent.failures.is_quarantined,
            config_version=agent.configuration.version,
            customer_demands=demands,
            items=items,
        )
