"""Tracks one entry at an agent and keeps a link to it open."""

import collections
from typing import TYPE_CHECKING, Any

import msgspec
import trio

from gooseberrylink.crash_history import MAX_LOST_RUNS_A_FRAME
from gooseberrylink.exceptions import LinkClosedError
from gooseberrylink.logs import log_event
from gooseberrylink.metrics import Metrics
from gooseberrylink.peers.link import Link
from gooseberrylink.peers.messages import (
    AgentFrame,
    EntryHello,
    Host,
    LostRun,
    Result,
    Status,
    UnconfirmedStart,
    decode_at_agent,
    encode,
)
from gooseberrylink.peers.outbox import Outbox
from gooseberrylink.peers.session import Session
from gooseberrylink.scheduling.evacuation import EvacuationLink
from gooseberrylink.unconfirmed_starts import MAX_STARTS_A_FRAME

if TYPE_CHECKING:
    from gooseberrylink.agent import Agent

# Load pattern: all hosts lose power at once, and come back within some seconds of one
# another. A packet to a dark host is lost, and TCP repeats it only after 1 s, so a
# short time limit of the first dials counts more than the pause between them. Both grow
# with the time without a link, so that an entry over a slow network is reached, too.
_MIN_DIAL_S, _MAX_DIAL_S, _DIAL_SHARE = 0.12, 1.0, 0.1
_MIN_PAUSE_S, _MAX_PAUSE_S, _PAUSE_SHARE = 0.05, 2.0, 0.05
_HELLO_TIMEOUT_S = 5.0


class EntryPeer:
    """One entry as an agent sees it.

    run() dials the entry and exchanges hellos; a Session then serves the link.

    Attributes:
        address: host:port at which the entry accepts links.
        incarnation: Random id of the entry's current run; "" before its first hello.
        running_task_count: Number of tasks of this entry that are running here.
        total_customer_demands_per_s: Demand of customers at all entries together,
            in tasks per second, which the next frame reports to the entry.
        unacknowledged_ids: Ids of assignments whose results the entry has not
            acknowledged.
    """

    def __init__(self, agent: "Agent", address: str):
        self._agent = agent
        self.address = address
        self.incarnation = ""
        self.name = ""
        self.running_task_count = 0
        self.unacknowledged_ids: set[str] = set()
        self.outbox = Outbox()
        self.quarantined_share = 0.0
        self.total_customer_demands_per_s: dict[str, float] = {}
        self._session: Session | None = None
        self._units_received = 0
        self._host_sent: Host | None = None
        self._unsent_lost_runs: collections.deque[LostRun] = collections.deque(
            maxlen=MAX_LOST_RUNS_A_FRAME
        )
        self._unsent_started_ids: list[str] = []
        self._unsent_starts: collections.deque[UnconfirmedStart] = collections.deque(
            maxlen=MAX_STARTS_A_FRAME
        )
        self._evacuation_link = EvacuationLink(agent.evacuations)
        self._has_failed = False

    @property
    def metrics(self) -> Metrics:
        """See SessionOwner."""
        return self._agent.metrics

    @property
    def is_connected(self) -> bool:
        """Whether a link is open and the hellos were exchanged."""
        return self._session is not None

    async def run(self) -> None:
        """Dials the entry, and again whenever the link closes, until it is gone."""
        choice = self._agent.entry_choice
        unlinked_since_s = trio.current_time()
        while self.address in choice:
            link = None
            if choice.wants(self.address, trio.current_time()):
                link = await self._dial(trio.current_time() - unlinked_since_s)
            if link and not choice.wants(self.address, trio.current_time()):
                # Others have answered meanwhile.
                link.close()
            elif link and await self._serve(link):
                unlinked_since_s = trio.current_time()
            pause_s = _PAUSE_SHARE * (trio.current_time() - unlinked_since_s)
            pause_s = min(_MAX_PAUSE_S, max(_MIN_PAUSE_S, pause_s))
            await trio.sleep(pause_s * self._agent.random.uniform(0.5, 1.0))

    async def _dial(self, unlinked_s: float) -> Link | None:
        """Opens a link; returns None if that failed.

        Args:
            unlinked_s: Time without a link, in seconds.
        """
        limit_s = min(_MAX_DIAL_S, max(_MIN_DIAL_S, _DIAL_SHARE * unlinked_s))
        try:
            with trio.fail_after(limit_s):
                return await self._agent.dialer.dial(self.address)
        except (LinkClosedError, trio.TooSlowError) as error:
            self._record_failure("dial", error)
            return None

    def _record_failure(self, step: str, error: Exception) -> None:
        """Counts a failed attempt to connect, and logs the first of a series."""
        self._agent.metrics.add("links_failed", step)
        if not self._has_failed:
            self._has_failed = True
            log_event(
                "entry_unreachable",
                "WARNING",
                entry=self.name,
                address=self.address,
                step=step,
                error=repr(error),
            )

    async def _serve(self, link: Link) -> bool:
        """Serves one link until it closes; returns whether hellos were exchanged."""
        choice = self._agent.entry_choice
        choice.record_opening(self.address, trio.current_time())
        try:
            hello = await self._exchange_hellos(link)
        except (LinkClosedError, msgspec.MsgspecError, trio.TooSlowError) as error:
            link.close()
            choice.record_disconnected(self.address, trio.current_time())
            self._record_failure("hello", error)
            return False
        self._has_failed = False
        agent = self._agent
        session = Session(link, agent.settings, agent.configuration, agent.random, self)
        self._start_session(session, hello)
        try:
            await session.run()
        finally:
            self._session = None
            choice.record_disconnected(self.address, trio.current_time())
            agent.handle_entry_disconnected(self)
        return True

    async def _exchange_hellos(self, link: Link) -> EntryHello:
        link.send(encode(self._agent.make_hello()))
        with trio.fail_after(_HELLO_TIMEOUT_S):
            hello = decode_at_agent(await link.receive())
        if not isinstance(hello, EntryHello):
            raise msgspec.ValidationError(
                f"expected EntryHello as the first frame, got {type(hello).__name__}"
            )
        return hello

    def _start_session(self, session: Session, hello: EntryHello) -> None:
        self._session = session
        self.outbox = session.outbox
        session.record_peer_config_version(hello.config_version)
        if hello.incarnation != self.incarnation:
            self.unacknowledged_ids.clear()
        self.incarnation = hello.incarnation
        self.name = hello.entry
        self._units_received = 0
        self._host_sent = None
        self._evacuation_link = EvacuationLink(self._agent.evacuations)
        # Reported to every entry, also to one that has just started.
        self._unsent_lost_runs.clear()
        self._unsent_lost_runs.extend(
            self._agent.crash_history.recent(trio.current_time())
        )
        self._unsent_started_ids = self._agent.started_ids(self.incarnation)
        self._unsent_starts.clear()
        self._unsent_starts.extend(self._agent.unconfirmed_starts())
        log_event("entry_connected", entry=hello.entry, address=self.address)
        self._agent.entry_choice.record_connected(self.address, trio.current_time())
        self._agent.handle_entry_connected(self)
        # The old link may have lost results or their acknowledgements.
        self._agent.resend_results(self)
        self._agent.add_known_entries([*hello.entries, hello.address])
        self.outbox.wake_sender()

    def is_busy(self) -> bool:
        """See SessionOwner."""
        # A result counts as work in progress until the entry acknowledges it.
        return self.running_task_count > 0 or bool(self.unacknowledged_ids)

    def handle_frame_data(self, data: bytes) -> int:
        """See SessionOwner."""
        frame = decode_at_agent(data)
        if isinstance(frame, EntryHello):
            raise msgspec.ValidationError("received a second EntryHello on one link")
        # Before the assignments in this frame, which must not start if it evacuates.
        self._evacuation_link.receive(frame.evacuations, "entry")
        self._agent.handle_frame(self, frame)
        return frame.config_version

    def return_unsent(self, items: list[Any]) -> None:
        """See SessionOwner; does nothing, as the next session resends results."""

    def report_lost_run(self, lost_run: LostRun) -> None:
        """Reports a lost run with the next frame; a later session repeats it."""
        if self.is_connected:
            self._unsent_lost_runs.append(lost_run)
            self.outbox.wake_sender()

    def report_started(self, assignment_id: str) -> None:
        """Reports a confirmed start with the next frame; a later session repeats it."""
        if self.is_connected:
            self._unsent_started_ids.append(assignment_id)

    def send_unconfirmed_starts(self, starts: list[UnconfirmedStart]) -> None:
        """Sends unconfirmed starts of this agent or another entry with the next frame.

        Those of this agent are repeated on a new link.
        """
        if self.is_connected:
            self._unsent_starts.extend(starts)
            self.outbox.wake_sender()

    def count_received_units(self, units: int) -> None:
        """Counts the units of a received assignment.

        Each frame reports the sum to the entry. From it the entry determines which
        assignments the reported free units already include.
        """
        self._units_received += units

    def encode_next_frame(self, items: list[Any], is_heartbeat: bool) -> bytes:
        """See SessionOwner."""
        self._count_frame(items, is_heartbeat)
        return encode(self._build_frame(items))

    def _count_frame(self, items: list, is_heartbeat: bool) -> None:
        kind = "heartbeat" if is_heartbeat else "control"
        results = [item for item in items if isinstance(item, Result)]
        if any(result.status is not Status.NOT_STARTED for result in results):
            kind = "data"
        elif results:
            kind = "refusal"
        self._agent.metrics.add("frames_sent", kind)

    def _build_frame(self, items: list) -> AgentFrame:
        agent = self._agent
        now_s = trio.current_time()
        demands, self.total_customer_demands_per_s = (
            self.total_customer_demands_per_s,
            {},
        )
        allocator = agent.allocator
        free_units = allocator.free_units_for(self.incarnation)
        host = agent.host if agent.host != self._host_sent else None
        self._host_sent = agent.host
        lost_runs = list(self._unsent_lost_runs)
        self._unsent_lost_runs.clear()
        started_ids, self._unsent_started_ids = self._unsent_started_ids, []
        unconfirmed_starts = list(self._unsent_starts)
        self._unsent_starts.clear()
        return AgentFrame(
            clock_s=now_s,
            free_units=free_units,
            free_long_units=min(free_units, allocator.idle_units_for_long(now_s)),
            units_received=self._units_received,
            slots=allocator.slots,
            service=agent.service,
            is_quarantined=agent.health.is_quarantined,
            config_version=agent.configuration.version,
            total_customer_demands_per_s=demands,
            items=items,
            free_memory_mb=allocator.free_memory_and_gpus.memory_mb,
            free_gpus=allocator.free_memory_and_gpus.gpus,
            memory_mb=agent.resources.memory_mb,
            gpus=agent.resources.gpus,
            speed=agent.speed,
            host=host,
            lost_runs=lost_runs,
            started_ids=[i for i in started_ids if agent.is_running(i)],
            unconfirmed_starts=unconfirmed_starts,
            evacuations=self._evacuation_link.take_updates(),
            class_counts=agent.shares.counts_for(self.incarnation, now_s),
            idle_units=0 if agent.health.is_quarantined else allocator.idle_units(),
        )
