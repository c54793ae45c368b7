"""Runs a whole deployment on loopback, from callers to backend servers."""

import httpcore
import msgspec
import trio

from gooseberrylink.agent_daemon import AgentDaemon
from gooseberrylink.bench.replay import (
    Replay,
    Scenario,
    read_declarations,
)
from gooseberrylink.bench.runner import (
    REPOSITORY_ROOT,
    BenchRun,
    evaluate_replay,
    load_trace,
)
from gooseberrylink.bench.trace import Trace
from gooseberrylink.codes import Code
from gooseberrylink.entry_daemon import EntryDaemon
from gooseberrylink.http_server import serve_http
from gooseberrylink.peers.grpc_link import GrpcDialer, GrpcListener, GrpcThread
from gooseberrylink.settings import AgentSettings, EntrySettings
from gooseberrylink.standins.backend import BackendApi, FakeBackend
from gooseberrylink.standins.deployment import Deployment
from gooseberrylink.standins.platform import PlatformApi
from gooseberrylink.types import Answer

_WORKER_COUNT = 5
_ENTRY_COUNT = 2
_JOB_COUNT = 300
_LOAD = 0.5
_EPHEMERAL_ADDRESS = "127.0.0.1:0"


class DemoDeployment(Deployment):
    """A deployment in which every connection goes over loopback."""

    def __init__(self, nursery: trio.Nursery, service: str):
        super().__init__(nursery, None, service)
        self.entry_daemons: list[EntryDaemon] = []
        self._grpc_thread = GrpcThread()
        self._platform_address = ""

    async def start(self, trace: Trace, declarations_text: str) -> None:
        """Starts fakes, entries and agents, and waits until they are connected.

        Args:
            trace: Trace whose header lists the workers.
            declarations_text: Configuration to apply (YAML).
        """
        self._platform_address = await self._serve(PlatformApi(self.platform).app)
        await self.configure(declarations_text)
        for number in range(1, _ENTRY_COUNT + 1):
            await self._start_entry(f"entry-{number}", trace)
        for worker in trace.header.workers:
            await self._start_agent(worker)
        await self.wait_connected()

    def stop(self) -> None:
        """Stops the gRPC thread."""
        self._grpc_thread.stop()

    async def _serve(self, app) -> str:
        return await self._nursery.start(
            serve_http, app, _EPHEMERAL_ADDRESS, trio.sleep_forever
        )

    async def _start_entry(self, name: str, trace: Trace) -> None:
        settings = EntrySettings(
            entry=name,
            data_centre=trace.header.workers[0].data_centre,
            platform=self._platform_address,
            ready_peers=1,
        )
        daemon = EntryDaemon(settings, GrpcListener(self._grpc_thread))
        await self._nursery.start(daemon.run)
        self.entry_daemons.append(daemon)
        self.entries.append(daemon.entry)

    async def _start_agent(self, worker) -> None:
        settings = AgentSettings(
            worker=worker.name,
            data_centre=worker.data_centre,
            entries=[entry.address_for_agents for entry in self.entries],
        )
        daemon = AgentDaemon(settings, GrpcDialer(self._grpc_thread))
        await self._nursery.start(daemon.run)
        backend = FakeBackend(worker.name, worker.speed)
        self.backends.append(backend)
        api = BackendApi(backend, self.service, worker.slots)
        address = await self._serve(api.app)
        self._nursery.start_soon(api.announce_forever, daemon.address, address)
        self.agents[worker.name] = daemon.agent


class DemoReplay(Replay):
    """Replays a trace through the HTTP API for callers."""

    async def _start_deployment(self) -> None:
        await self._deployment.start(self._trace, self._declarations_text)
        self._pool = httpcore.AsyncConnectionPool(max_connections=200)

    async def _send_request(self, entry_number: int, request) -> Answer:
        body = {
            "customer": request.customer,
            "service": request.service,
            "deadline_s": request.deadline_s,
            "tasks": [
                {"payload": task.payload, "declared_s": task.declared_s}
                for task in request.tasks
            ],
        }
        address = self._deployment.entry_daemons[entry_number].callers_address
        response = await self._pool.request(
            "POST", f"http://{address}/v1/jobs", content=msgspec.json.encode(body)
        )
        answer = msgspec.json.decode(response.content)
        return Answer(
            Code(answer["code"]), answer.get("detail", ""), answer.get("results")
        )


def run_demo() -> BenchRun:
    """Runs the demo and returns its result and figures."""
    trace = _shorten_for_demo(load_trace("bennani"))
    declarations_text = read_declarations(trace, REPOSITORY_ROOT / "examples")
    scenario = Scenario("demo", _LOAD, entry_weights=(0.5, 0.5))

    async def main():
        async with trio.open_nursery() as nursery:
            deployment = DemoDeployment(nursery, trace.header.service)
            replay = DemoReplay(
                trace, scenario, "late-binding", declarations_text, seed=1
            )
            try:
                result = await replay.run_on(deployment)
            finally:
                deployment.stop()
            nursery.cancel_scope.cancel()
        return result

    return evaluate_replay(trace, trio.run(main))


def _shorten_for_demo(trace: Trace) -> Trace:
    """Returns the trace cut to the workers and jobs of the demo."""
    header = msgspec.structs.replace(
        trace.header, workers=trace.header.workers[:_WORKER_COUNT]
    )
    return Trace(header, trace.jobs[:_JOB_COUNT])
