"""Runs entries and agents in one process, beside a fake platform and workers."""

import collections
from typing import Protocol

import trio

from gooseberrylink.agent import Agent
from gooseberrylink.backends.client import Announcement
from gooseberrylink.backends.incarnations import IncarnationTracker
from gooseberrylink.backends.leased import LeasedBackendClient, LeaseSettings
from gooseberrylink.entry import Entry
from gooseberrylink.operators.configuration_store import ConfigurationStore
from gooseberrylink.operators.declarations import to_canonical
from gooseberrylink.peers.grpc_link import GrpcDialer, GrpcListener, GrpcThread
from gooseberrylink.peers.link import Dialer
from gooseberrylink.peers.messages import EvacuationState, Host
from gooseberrylink.scheduling.evacuation import OPERATOR
from gooseberrylink.settings import AgentSettings, EntrySettings
from gooseberrylink.standins.backend import FakeBackend
from gooseberrylink.standins.leased_backend import FakeLeasedBackend
from gooseberrylink.standins.network import MemoryNetwork
from gooseberrylink.standins.platform import FakePlatform

_UNUSED_ADDRESS = "127.0.0.1:1"
_APPLY_TIMEOUT_S = 5.0


class Network(Protocol):
    """Connects agents to entries."""

    async def listen(self, name: str, entry: Entry) -> str:
        """Makes an entry reachable and returns its address."""

    def dialer(self, worker: str) -> Dialer:
        """Returns the dialer for one agent."""

    async def close(self, address: str) -> None:
        """Makes an entry unreachable."""


class GrpcNetwork:
    """Connects agents to entries over gRPC on loopback."""

    def __init__(self, nursery: trio.Nursery, thread: GrpcThread):
        self._nursery = nursery
        self._thread = thread
        self._listeners: dict[str, GrpcListener] = {}

    async def listen(self, name: str, entry: Entry) -> str:
        """See Network."""
        listener = GrpcListener(self._thread)
        await listener.start("127.0.0.1:0")
        self._listeners[listener.address] = listener
        self._nursery.start_soon(self._accept, listener, entry)
        return listener.address

    def dialer(self, worker: str) -> GrpcDialer:
        """See Network."""
        return GrpcDialer(self._thread)

    async def close(self, address: str) -> None:
        """See Network."""
        await self._listeners.pop(address).stop()

    async def close_all(self) -> None:
        """Makes all entries unreachable."""
        for address in list(self._listeners):
            await self.close(address)

    async def _accept(self, listener: GrpcListener, entry: Entry) -> None:
        while True:
            link = await listener.accept()
            self._nursery.start_soon(entry.serve_link, link)


class Deployment:
    """Entries, agents and fake backend servers that run in this process.

    Attributes:
        service: Service of all backend servers.
        entries: Running entries.
        agents: Running agents, by worker.
        incarnations: Receivers of the heartbeats of leased backend servers, by worker.
        backends: Every FakeBackend that was ever attached. Tests check the answers
            that callers get against their logs of starts.
        is_operator_table_readable: Whether entries that start learn that no data
            centre is evacuated, as they would from the operator's table.
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        network: Network | MemoryNetwork,
        service: str,
        platform: FakePlatform | None = None,
    ):
        self.service = service
        self.network = network
        self.platform = platform or FakePlatform()
        self.entries: list[Entry] = []
        self.agents: dict[str, Agent] = {}
        self.incarnations: dict[str, IncarnationTracker] = {}
        self.backends: list[FakeBackend] = []
        self.is_operator_table_readable = True
        self._nursery = nursery
        self._cancel_scopes: dict[Entry | Agent, trio.CancelScope] = {}

    async def configure(self, text: str) -> None:
        """Applies declarations (YAML), which become the current configuration."""
        store = ConfigurationStore(self.platform)
        canonical = to_canonical(text, "setup")
        await store.apply(canonical, "setup", None, _APPLY_TIMEOUT_S)

    async def add_entry(self, name: str, **settings) -> Entry:
        """Starts an entry; settings override the defaults."""
        values = {
            "entry": name,
            "data_centre": "dc-1",
            "ready_peers": 1,
            "platform": _UNUSED_ADDRESS,
        }
        entry = Entry(
            EntrySettings(**(values | settings)), self.platform, seed=len(self.entries)
        )
        if self.is_operator_table_readable:
            entry.evacuations.adopt(EvacuationState(OPERATOR, 1, frozenset()), "store")
        await self._start_component(entry)
        entry.address_for_agents = await self.network.listen(name, entry)
        self.entries.append(entry)
        return entry

    async def add_agent(
        self,
        worker: str,
        slots: int = 8,
        backend: FakeBackend | None = None,
        **settings,
    ) -> Agent:
        """Starts an agent with a backend server; settings override the defaults."""
        values = {
            "worker": worker,
            "data_centre": "dc-1",
            "entries": [entry.address_for_agents for entry in self.entries],
        }
        agent = Agent(
            AgentSettings(**(values | settings)),
            self.network.dialer(worker),
            seed=len(self.agents),
        )
        self.attach_backend(agent, backend or FakeBackend(worker), slots)
        self.agents[worker] = agent
        await self._start_component(agent)
        return agent

    async def add_agent_with_leases(
        self,
        backend: FakeLeasedBackend,
        fencing_token: int = 1,
        host: Host = Host(),
        memory_mb: int = 0,
        gpus: int = 0,
        **settings,
    ) -> Agent:
        """Starts an agent beside a backend server that runs tasks under a lease.

        By default, the leases of the entries at this agent and the heartbeat
        intervals are short; settings override the defaults. The first heartbeat of
        the backend server has number 0.
        """
        values = {
            "worker": backend.name,
            "data_centre": "dc-1",
            "entries": [entry.address_for_agents for entry in self.entries],
            "slow_start_tasks": backend.capacity_units,
            "lease_s": 0.6,
            "busy_heartbeat_s": 0.15,
            "idle_heartbeat_s": 0.3,
            "max_misses": 4,
            "dial_after_s": 3.2,
        }
        agent = Agent(
            AgentSettings(**(values | settings)),
            self.network.dialer(backend.name),
            seed=len(self.agents),
        )
        self.agents[backend.name] = agent
        await self._start_component(agent)
        client = LeasedBackendClient(
            backend,
            fencing_token,
            LeaseSettings(),
            agent.metrics,
            agent,
        )
        incarnations = IncarnationTracker(agent, lambda _: client)
        self.incarnations[backend.name] = incarnations
        announcement = Announcement(
            self.service,
            "fake:1",
            backend.capacity_units,
            memory_mb=memory_mb,
            gpus=gpus,
            hardware=host.hardware,
            rack=host.rack,
        )
        incarnations.handle_announcement(announcement, 0, is_draining=False)
        return agent

    def attach_backend(
        self, agent: Agent, backend: FakeBackend, slots: int = 8
    ) -> None:
        """Attaches a fake backend server to an agent."""
        if backend not in self.backends:
            self.backends.append(backend)
        agent.attach_backend(backend, Announcement(self.service, "fake:1", slots))

    async def wait_connected(self) -> None:
        """Waits until every entry is ready and can assign tasks to every agent."""
        while not all(
            len([p for p in entry.peers.values() if p.can_serve]) >= len(self.agents)
            and entry.is_ready
            for entry in self.entries
        ):
            await trio.sleep(0.01)

    def start_soon(self, function) -> None:
        """Runs an async function in the background until the deployment ends."""
        self._nursery.start_soon(function)

    def kill_agent(self, worker: str) -> None:
        """Stops an agent immediately; its state is lost."""
        agent = self.agents.pop(worker)
        self._cancel_scopes[agent].cancel()

    async def kill_entry(self, entry: Entry) -> None:
        """Stops an entry immediately; its state is lost."""
        self.entries.remove(entry)
        await self.network.close(entry.address_for_agents)
        self._cancel_scopes[entry].cancel()

    def count_starts_by_task(self) -> collections.Counter[str]:
        """Returns the number of starts by task id."""
        return collections.Counter(
            start.task_id for backend in self.backends for start in backend.starts
        )

    def count_starts_by_label(self) -> collections.Counter[str]:
        """Returns the number of starts by the label in the payload."""
        return collections.Counter(
            start.label for backend in self.backends for start in backend.starts
        )

    async def _start_component(self, component: Entry | Agent) -> None:
        async def run(task_status):
            with trio.CancelScope() as self._cancel_scopes[component]:
                await component.run(task_status=task_status)

        await self._nursery.start(run)
