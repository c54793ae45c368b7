"""Fixtures that the tests share."""

import contextlib
import pathlib
import random

import pytest
import trio
import trio.testing

from gooseberrylink.agent import Agent
from gooseberrylink.backends.server import Announcement
from gooseberrylink.config import AgentSettings, EntrySettings
from gooseberrylink.entry import Entry
from gooseberrylink.logs import configure_logs
from gooseberrylink.operators.store import ConfigurationStore
from gooseberrylink.standins.backend import FakeBackend
from gooseberrylink.standins.network import MemoryNetwork
from gooseberrylink.standins.platform import MemoryPlatform
from gooseberrylink.types import Answer, JobRequest, TaskSpec

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
SERVICE = "dispatch"


class Deployment:
    """Entries and agents in one process, with fakes at all interfaces.

    Attributes:
        backends: Every fake backend ever attached; their logs are the judge.
    """

    def __init__(self, nursery: trio.Nursery):
        self.nursery = nursery
        self.network = MemoryNetwork(nursery)
        self.platform = MemoryPlatform()
        self.entries: list[Entry] = []
        self.agents: dict[str, Agent] = {}
        self.backends: list[FakeBackend] = []
        self._scopes: dict[object, trio.CancelScope] = {}

    async def add_entry(self, name: str, **settings) -> Entry:
        values = {"entry": name, "data_centre": "ain-sebaa", "ready_peers": 1}
        values |= {"platform": "127.0.0.1:1"} | settings
        entry = Entry(EntrySettings(**values), self.platform, seed=1)
        await self._run(entry)
        self.network.listen(f"{name}:1", entry)
        self.entries.append(entry)
        return entry

    async def add_agent(
        self,
        worker: str,
        slots: int = 8,
        backend: FakeBackend | None = None,
        **settings,
    ) -> Agent:
        values = {"worker": worker, "data_centre": "ain-sebaa"}
        values |= {
            "entries": [f"{e.settings.entry}:1" for e in self.entries]
        } | settings
        agent = Agent(
            AgentSettings(**values), self.network.dialer(worker), seed=len(self.agents)
        )
        backend = backend or FakeBackend(worker)
        self.backends.append(backend)
        agent.attach_backend(backend, Announcement(SERVICE, "fake:1", slots))
        self.agents[worker] = agent
        await self._run(agent)
        await trio.sleep(1.0)
        return agent

    async def _run(self, process) -> None:
        async def run(task_status):
            with trio.CancelScope() as self._scopes[process]:
                await process.run(task_status=task_status)

        await self.nursery.start(run)

    def kill_agent(self, worker: str) -> None:
        """Ends an agent at once, with all that it knows."""
        agent = self.agents.pop(worker)
        self._scopes[agent].cancel()
        for connection in self.network.of(worker):
            connection.agent_end.close()

    def kill_entry(self, entry: Entry) -> None:
        """Ends an entry at once, with all that it knows."""
        self.entries.remove(entry)
        self.network.close(entry.address)
        self._scopes[entry].cancel()

    def starts(self) -> dict[str, int]:
        """Counts the starts of each task, from the backends' own logs."""
        counts: dict[str, int] = {}
        for backend in self.backends:
            for start in backend.starts:
                counts[start.task_id] = counts.get(start.task_id, 0) + 1
        return counts

    def assert_no_task_started_twice(self) -> None:
        assert [task for task, count in self.starts().items() if count > 1] == []

    async def submit(self, entry: Entry, *run_s: float, **fields) -> Answer:
        return await entry.submit(job(*run_s, **fields))


def job(*run_s: float, **fields) -> JobRequest:
    """Returns a job whose tasks run so long and give back their index."""
    tasks = [
        TaskSpec({"run_s": seconds, "value": index}, seconds)
        for index, seconds in enumerate(run_s)
    ]
    values = {"customer": "shops", "service": SERVICE, "deadline_s": 20.0}
    return JobRequest(tasks=tasks, **(values | fields))


@pytest.fixture(autouse=True)
def quiet_logs():
    configure_logs("ERROR")


@pytest.fixture
def declarations_text() -> str:
    return (EXAMPLES / "bennani.yaml").read_text()


@pytest.fixture
def run_deployment(declarations_text):
    """Returns a function that runs an async test on a deployment.

    The clock is trio's MockClock and the scheduler is seeded, so that each run
    of a test takes the same course.
    """

    def run(test, seed: int = 0, text: str = declarations_text):
        async def main():
            async with trio.open_nursery() as nursery:
                deployment = Deployment(nursery)
                store = ConfigurationStore(deployment.platform)
                await store.apply(text, "setup", None, 5.0)
                await test(deployment)
                nursery.cancel_scope.cancel()

        with _seeded_scheduler(seed):
            trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    return run


@contextlib.contextmanager
def _seeded_scheduler(seed: int):
    trio_run = trio._core._run
    previous = trio_run._r, trio_run._ALLOW_DETERMINISTIC_SCHEDULING
    trio_run._r = random.Random(seed)
    trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True
    try:
        yield
    finally:
        trio_run._r, trio_run._ALLOW_DETERMINISTIC_SCHEDULING = previous
