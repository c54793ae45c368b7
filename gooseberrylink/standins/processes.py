"""Runs entries, agents and workers as if each were a process of its own.

A process can be frozen: none of its tasks runs while the clock and all other processes
go on. It finds its frames, replies, disconnects and expired timers when it resumes. A
process can also be slow: each round of its event loop takes a fixed time.
"""

import collections
from collections.abc import Callable
from typing import Any

import trio

from gooseberrylink.agent import Agent
from gooseberrylink.backends.client import Announcement
from gooseberrylink.backends.incarnations import IncarnationTracker
from gooseberrylink.backends.leased import LeasedBackendClient, LeaseSettings
from gooseberrylink.backends.runs import (
    ControlReply,
    EndKind,
    LeaseRenewal,
    RunClient,
    RunKey,
    RunReport,
    StartReply,
)
from gooseberrylink.entry import Entry
from gooseberrylink.peers.link import MemoryLink
from gooseberrylink.settings import AgentSettings, EntrySettings
from gooseberrylink.standins.deployment import Deployment
from gooseberrylink.standins.leased_backend import FakeLeasedBackend
from gooseberrylink.standins.network import MemoryNetwork

# The longest lease that workers of the platform grant.
_MAX_LEASE_MS = 1000
# Fencing tokens are the Unix time in milliseconds.
_UNIX_TIME_MS = 1_700_000_000_000


class TaskFreezer(trio.abc.Instrument):
    """Keeps trio from running the tasks of frozen processes.

    Uses private attributes, as trio has no public way to do this.
    """

    def __init__(self):
        self._stopped: dict[trio.lowlevel.Task, list[trio.lowlevel.Task]] = {}

    def is_frozen(self, root: trio.lowlevel.Task) -> bool:
        """Returns whether a task and all of its children are frozen."""
        return root in self._stopped

    def freeze(self, root: trio.lowlevel.Task) -> None:
        """Stops a task and all of its children."""
        self._stopped.setdefault(root, [])

    def resume(self, root: trio.lowlevel.Task) -> None:
        """Lets a task and all of its children run again."""
        self._run_queue().extend(self._stopped.pop(root, []))

    def run_one_round(self, root: trio.lowlevel.Task) -> None:
        """Lets each task that is ready run once; what they make ready is stopped."""
        tasks, self._stopped[root] = self._stopped[root], []
        self._run_queue().extend(tasks)

    def resume_all(self) -> None:
        """Lets all tasks run again, so that they can be cancelled."""
        for root in list(self._stopped):
            self.resume(root)

    def task_scheduled(self, task: trio.lowlevel.Task) -> None:
        """See trio.abc.Instrument."""
        if not self._stopped:
            return
        ancestor = task
        while ancestor not in self._stopped:
            if ancestor.parent_nursery is None:
                return
            ancestor = ancestor.parent_nursery.parent_task
        self._run_queue().remove(task)
        self._stopped[ancestor].append(task)

    def _run_queue(self) -> collections.deque[trio.lowlevel.Task]:
        return trio._core._run.GLOBAL_RUN_CONTEXT.runner.runq


class Process:
    """A running entry or agent.

    Attributes:
        nursery: Runs the tasks of this process.
        has_ended: Whether it was killed.
    """

    def __init__(self, freezer: TaskFreezer, nursery: trio.Nursery):
        self.nursery = nursery
        self.has_ended = False
        self._freezer = freezer

    @property
    def is_frozen(self) -> bool:
        """Whether its tasks are stopped."""
        return self._freezer.is_frozen(self.nursery.parent_task)

    def freeze(self) -> None:
        """Stops its tasks."""
        self._freezer.freeze(self.nursery.parent_task)

    def resume(self) -> None:
        """Lets its tasks run again."""
        self._freezer.resume(self.nursery.parent_task)

    async def slow_down(self, round_s: float, duration_s: float) -> None:
        """Lets each round of its event loop take a fixed time.

        Args:
            round_s: Time between two rounds, in which no time passes.
            duration_s: How long it is slow.
        """
        self.freeze()
        end_s = trio.current_time() + duration_s
        try:
            while trio.current_time() < end_s and not self.has_ended:
                await trio.sleep(round_s)
                self._freezer.run_one_round(self.nursery.parent_task)
        finally:
            self.resume()

    def call_soon(self, function: Callable[..., Any], *arguments: Any) -> None:
        """Calls a function in a task of this process, unless it has ended."""

        async def call():
            function(*arguments)

        if not self.has_ended:
            self.nursery.start_soon(call)


class ProcessNetwork(MemoryNetwork):
    """Serves the links of each entry in its process."""

    def __init__(self, nursery: trio.Nursery, processes: dict[Entry | Agent, Process]):
        super().__init__(nursery)
        self._processes = processes

    def _serve(self, entry: Entry, link: MemoryLink) -> None:
        process = self._processes[entry]
        process.nursery.start_soon(entry.serve_link, link)


class ProcessDeployment(Deployment):
    """Entries and agents with the settings of a deployment, each in a process.

    Attributes:
        processes: Processes of all entries and agents that were ever started.
    """

    def __init__(self, nursery: trio.Nursery, service: str, freezer: TaskFreezer):
        self.processes: dict[Entry | Agent, Process] = {}
        super().__init__(nursery, ProcessNetwork(nursery, self.processes), service)
        self._freezer = freezer

    async def start_entry(self, name: str, settings: EntrySettings) -> Entry:
        """Starts an entry under a name."""
        values = settings.model_dump() | {"entry": name}
        return await self.add_entry(name, **values)

    async def start_agent(
        self,
        worker: "ProcessBackend",
        settings: AgentSettings,
        clock_offset_s: float = 0.0,
    ) -> Agent:
        """Starts an agent, which waits for the first heartbeat of its worker.

        Args:
            worker: Its worker.
            settings: Settings; the worker's name is replaced.
            clock_offset_s: How far its clock is ahead, which gives its fencing token.
        """
        agent = Agent(
            settings.model_copy(update={"worker": worker.name}),
            self.network.dialer(worker.name),
            seed=len(self.processes),
        )

        def make_client(announcement: Announcement) -> LeasedBackendClient:
            elapsed_ms = round(1000 * (trio.current_time() + clock_offset_s))
            return LeasedBackendClient(
                worker.make_client(announcement.incarnation),
                _UNIX_TIME_MS + elapsed_ms,
                LeaseSettings(),
                agent.metrics,
                agent,
            )

        self.agents[worker.name] = agent
        await self._start_component(agent)
        self.incarnations[worker.name] = IncarnationTracker(agent, make_client)
        return agent

    def deliver_heartbeat(
        self, worker: "ProcessBackend", born_ms: int, sequence: int
    ) -> None:
        """Passes a heartbeat of a worker to its agent, if there is one."""
        agent = self.agents.get(worker.name)
        if agent is None:
            return
        announcement = Announcement(
            self.service,
            "fake:1",
            worker.capacity_units,
            incarnation=worker.name,
            born_ms=born_ms,
        )
        self.processes[agent].call_soon(
            self.incarnations[worker.name].handle_announcement,
            announcement,
            sequence,
            False,
        )

    def kill_agent(self, worker: str) -> None:
        """See Deployment."""
        self.processes[self.agents[worker]].has_ended = True
        super().kill_agent(worker)

    async def kill_entry(self, entry: Entry) -> None:
        """See Deployment."""
        self.processes[entry].has_ended = True
        await super().kill_entry(entry)

    async def _start_component(self, component: Entry | Agent) -> None:
        async def run(task_status):
            with trio.CancelScope() as self._cancel_scopes[component]:
                async with trio.open_nursery() as nursery:
                    self.processes[component] = Process(self._freezer, nursery)
                    await component.run(task_status=task_status)

        await self._nursery.start(run)


class ProcessBackend(FakeLeasedBackend):
    """A FakeLeasedBackend whose requests are executed when their sender stands still.

    Each incarnation has a clock that starts anew, and shortens leases to the longest
    one of the platform.

    Attributes:
        is_down: Whether it has crashed and is not back; nothing reaches it.
    """

    def __init__(self, name: str, nursery: trio.Nursery, seed: int = 0):
        super().__init__(name, nursery, seed=seed)
        self.is_down = False
        self._born_s = 0.0
        self._end_listed = trio.Event()

    def make_client(self, incarnation: str) -> RunClient:
        """Returns the client for an incarnation; this worker never changes its id."""
        return self

    async def start(
        self, key: RunKey, payload: Any, lease_end_ms: int, fencing_token: int
    ) -> StartReply:
        """See RunClient."""
        request = super().start(key, payload, lease_end_ms, fencing_token)
        return await self._call(request, StartReply.UNANSWERED)

    async def stop(self, key: RunKey, fencing_token: int) -> ControlReply:
        """See RunClient."""
        request = super().stop(key, fencing_token)
        return await self._call(request, ControlReply.UNANSWERED)

    async def renew(self, renewal: LeaseRenewal) -> RunReport | ControlReply:
        """See RunClient."""
        return await self._call(super().renew(renewal), ControlReply.UNANSWERED)

    def go_down(self) -> None:
        """Crashes; nothing reaches it until come_back."""
        self.is_down = self.is_unresponsive = True
        self.crash()

    def come_back(self) -> None:
        """Serves requests as the next incarnation."""
        self._born_s = trio.current_time()
        self.is_down = self.is_unresponsive = False

    async def _call(self, request, unanswered: StartReply | ControlReply) -> Any:
        """Executes a request in a task of its own, and waits for the reply.

        A reply of another incarnation than the one that received it does not arrive.
        """
        send, receive = trio.open_memory_channel(1)

        async def execute():
            born_ms = self.born_ms
            reply = await request
            send.send_nowait(reply if born_ms == self.born_ms else unanswered)

        self._nursery.start_soon(execute)
        return await receive.receive()

    async def _wait_for_end(self) -> None:
        while not self._unacknowledged_ends:
            await self._end_listed.wait()

    def _end(self, key: RunKey, end_kind: EndKind) -> None:
        super()._end(key, end_kind)
        self._end_listed.set()
        self._end_listed = trio.Event()

    async def _execute_later(
        self, request: Callable[[], Any], execution_delay_s: float
    ) -> None:
        await trio.sleep(execution_delay_s)
        if not self.is_down:
            request()

    def _start(
        self, key: RunKey, payload: Any, lease_end_ms: int, fencing_token: int
    ) -> StartReply:
        return super()._start(
            key, payload, self._shorten_lease(lease_end_ms), fencing_token
        )

    def _renew(self, renewal: LeaseRenewal, lease_end_ms: int | None) -> ControlReply:
        if lease_end_ms is not None:
            lease_end_ms = self._shorten_lease(lease_end_ms)
        return super()._renew(renewal, lease_end_ms)

    def _shorten_lease(self, lease_end_ms: int) -> int:
        return min(lease_end_ms, self.clock_ms() + _MAX_LEASE_MS)

    def clock_ms(self) -> int:
        """See FakeLeasedBackend."""
        elapsed_s = trio.current_time() - self._born_s
        return round(elapsed_s * 1000 * (1 - self.clock_drift))
