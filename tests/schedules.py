"""Plays schedules of events for test_schedules.py.

One long task, two entries, two agents and their workers run as processes on the
simulated clock. Times are relative to the submission of the job.
"""

import collections
import contextvars
import dataclasses
import functools
import itertools
import math

import trio
import trio.testing
from test_overlapping_runs import RESUBMIT_AFTER_S, freeze

from gooseberrylink.backends.client import Announcement
from gooseberrylink.backends.runs import ControlReply, RunKey, StartReply
from gooseberrylink.bench.runner import seeded_scheduler
from gooseberrylink.callers.disconnects import run_until_disconnect
from gooseberrylink.codes import Code
from gooseberrylink.entry import Entry
from gooseberrylink.resources import Resources
from gooseberrylink.standins.leased_backend import POLL_INTERVAL_S
from gooseberrylink.standins.processes import (
    Process,
    ProcessBackend,
    ProcessDeployment,
    TaskFreezer,
)
from gooseberrylink.types import Answer, JobRequest, RerunPolicy, TaskSpec

SERVICE = "dispatch"
ENTRIES = ["entry-0", "entry-1"]
WORKERS = ["tank-1", "tank-2"]
RUN_S = 8.0
PLAY_S = 4.5
HEARTBEAT_INTERVAL_S = 1.5
ENTRY_RESTART_S = 0.5
# How long after the links of an entry the disconnect of a caller arrives.
LATE_DISCONNECT_S = 1.0
REPLY_TIMEOUT_S = 0.25
# Any worker may run tasks of the service.
DECLARATIONS = """
inventory:
  sites: [{name: coast, data_centres: [{name: dc-1}, {name: north}]}]
  workers: []
  services: [{name: dispatch, long_after_s: 1.0}]
rules:
  customers: [{name: shops}]
"""

_expected_instance = contextvars.ContextVar("expected_instance")


@dataclasses.dataclass(frozen=True)
class Fate:
    """What happens to requests without a reply.

    Attributes:
        until_s: When requests get replies again.
        delay_s: When they are executed; infinite for never.
    """

    until_s: float
    delay_s: float


class InstanceClient:
    """Sends requests to one incarnation of a worker; see RunClient."""

    def __init__(self, worker: "Worker", instance: str):
        self._worker = worker
        self._instance = instance

    def make_run_key(self, payload, attempt: int) -> RunKey:
        return self._worker.make_run_key(payload, attempt)

    async def start(self, *arguments) -> StartReply:
        _expected_instance.set(self._instance)
        return await self._worker.start(*arguments)

    async def stop(self, *arguments) -> ControlReply:
        _expected_instance.set(self._instance)
        return await self._worker.stop(*arguments)

    async def renew(self, renewal):
        _expected_instance.set(self._instance)
        return await self._worker.renew(renewal)


class Worker(ProcessBackend):
    """A ProcessBackend that may return under another id, and loses chosen requests.

    Attributes:
        instance: Id of its incarnation, which refuses requests for another one.
        fates: What happens to requests, by kind: start, stop or renew.
        is_start_requested: Whether it has received a request to start a run.
    """

    def __init__(self, name: str, nursery: trio.Nursery):
        super().__init__(name, nursery)
        self.instance = name
        self.fates: dict[str, Fate] = {}
        self.is_start_requested = False

    def make_client(self, incarnation: str) -> InstanceClient:
        return InstanceClient(self, incarnation)

    async def _execute(self, request, timeout_reply, is_renewal=False):
        is_start = isinstance(timeout_reply, StartReply)
        self.is_start_requested |= is_start
        kind = "start" if is_start else "renew" if is_renewal else "stop"
        expected = _expected_instance.get()

        def execute(is_late: bool):
            if self.instance != expected:
                return type(timeout_reply).OTHER_INCARNATION
            return request(is_late)

        fate = self.fates.get(kind)
        if fate is None or trio.current_time() > fate.until_s or self.is_unresponsive:
            return await super()._execute(execute, timeout_reply, is_renewal)
        if fate.delay_s < math.inf:
            late_request = functools.partial(execute, fate.delay_s > REPLY_TIMEOUT_S)
            self._nursery.start_soon(self._execute_later, late_request, fate.delay_s)
        await trio.sleep(REPLY_TIMEOUT_S)
        return timeout_reply


class Play:
    """A deployment with one job, and the events of a schedule."""

    def __init__(self, nursery: trio.Nursery, deployment: ProcessDeployment, settings):
        self.nursery = nursery
        self.deployment = deployment
        self.entry_settings, self.agent_settings = settings
        self.workers = [Worker(name, nursery) for name in WORKERS]
        self.entries: dict[str, Entry] = {}
        self.isolated_until_s: dict[str, float] = dict.fromkeys(ENTRIES, 0.0)
        self.caller_lost = trio.Event()
        self.caller_entry = ENTRIES[0]
        self.channels_reset = trio.Event()
        # Cuts in progress, by pair of worker and entry and by id of a link's end.
        self.cuts: collections.Counter = collections.Counter()
        self.codes: list[Code] = []
        self.submitted_s = 0.0

    async def run(self, schedule: "Schedule") -> None:
        for name in ENTRIES:
            await self.start_entry(name)
        self.nursery.start_soon(self.advance_runs)
        for worker in self.workers:
            await self.start_agent(worker)
            self.nursery.start_soon(self.send_heartbeats, worker)
        await self.deployment.wait_connected()
        await trio.sleep_until(0.5)
        self.submitted_s = trio.current_time()
        for event in schedule:
            self.nursery.start_soon(self.run_event, event)
        self.nursery.start_soon(self.call)
        last_s = max(event.at_s for event in schedule)
        await trio.sleep(max(0.0, last_s) + PLAY_S)

    async def run_event(self, event: "Event") -> None:
        await trio.sleep_until(self.submitted_s + event.at_s)
        function, *arguments = KINDS[event.kind]
        await function(self, *arguments)

    # Processes.

    async def advance_runs(self) -> None:
        while True:
            await trio.sleep(4 * POLL_INTERVAL_S)
            for worker in self.workers * 4:
                worker.advance_runs_once()

    async def start_entry(self, name: str) -> None:
        entry = await self.deployment.start_entry(name, self.entry_settings)
        self.entries[name] = entry

    async def start_agent(self, worker: Worker) -> None:
        addresses = [f"{name}:1" for name in ENTRIES]
        settings = self.agent_settings.model_copy(update={"entries": addresses})
        await self.deployment.start_agent(worker, settings)

    async def send_heartbeats(self, worker: Worker, after_s: float = 0.0) -> None:
        """Sends heartbeats of one incarnation until it crashes."""
        born_ms = worker.born_ms
        await trio.sleep(after_s)
        for sequence in itertools.count():
            if worker.born_ms != born_ms:
                return
            self.deliver_heartbeat(worker, worker.instance, born_ms, sequence)
            await trio.sleep(HEARTBEAT_INTERVAL_S)

    def deliver_heartbeat(
        self,
        worker: Worker,
        instance: str,
        born_ms: int,
        sequence: int,
        is_draining: bool = False,
    ) -> None:
        process = self.process_of_agent(worker)
        if process is None:
            return
        announcement = Announcement(
            SERVICE,
            "fake:1",
            worker.capacity_units,
            incarnation=instance,
            born_ms=born_ms,
        )
        process.call_soon(
            self.deployment.incarnations[worker.name].handle_announcement,
            announcement,
            sequence,
            is_draining,
        )

    def holder(self) -> Worker:
        """Returns the worker that received the first start."""
        return next((w for w in self.workers if w.is_start_requested), self.workers[0])

    def process_of_agent(self, worker: Worker | None = None) -> Process | None:
        name = (worker or self.holder()).name
        return self.deployment.processes.get(self.deployment.agents.get(name))

    def process_of_entry(self) -> Process | None:
        return self.deployment.processes.get(self.entries.get(ENTRIES[0]))

    # The caller.

    async def call(self) -> None:
        """Sends the job, and again to the other entry until it gets its results."""
        for submission in itertools.count():
            names = ENTRIES if submission % 2 == 0 else ENTRIES[::-1]
            name = next((name for name in names if self.is_reachable(name)), None)
            if name is not None:
                answer = await self.submit(name)
                if answer is not None:
                    self.codes.append(answer.code)
                    if answer.code is Code.OK:
                        return
            await trio.sleep(RESUBMIT_AFTER_S)

    def is_reachable(self, name: str) -> bool:
        entry = self.entries.get(name)
        return (
            entry is not None
            and entry.is_ready
            and not self.deployment.processes[entry].is_frozen
            and trio.current_time() >= self.isolated_until_s[name]
        )

    async def submit(self, name: str) -> Answer | None:
        """Returns the answer; None if the connection broke."""
        process = self.deployment.processes[self.entries[name]]
        send, receive = trio.open_memory_channel(1)
        self.caller_lost, self.caller_entry = trio.Event(), name
        answers: list[Answer] = []
        entry, lost = self.entries[name], self.caller_lost
        spec = TaskSpec(
            {"name": "job.0", "run_s": RUN_S}, RUN_S, Resources(1), name="job.0"
        )
        job = JobRequest(
            "shops", SERVICE, [spec], 30.0, job_id="job", rerun_policy=RerunPolicy(3)
        )

        async def run():
            answers.append(await run_until_disconnect(entry, job, receive.receive))
            lost.set()

        process.nursery.start_soon(run)
        await lost.wait()
        if not answers:
            self.nursery.start_soon(self.disconnect, name, send)
        return answers[0] if answers else None

    async def disconnect(self, name: str, send) -> None:
        """Tells an entry that its caller has left, once it can be reached."""
        until_s = self.isolated_until_s[name]
        if trio.current_time() < until_s:
            with trio.move_on_at(until_s + LATE_DISCONNECT_S):
                await self.channels_reset.wait()
        send.send_nowait({"type": "http.disconnect"})

    # Events.

    async def break_channel(self) -> None:
        self.caller_lost.set()

    async def kill_entry(self) -> None:
        process = self.process_of_entry()
        if process is None or process.is_frozen:
            return
        process.freeze()
        await self.deployment.kill_entry(self.entries.pop(ENTRIES[0]))
        if self.caller_entry == ENTRIES[0]:
            self.caller_lost.set()
        await trio.sleep(ENTRY_RESTART_S)
        await self.start_entry(ENTRIES[0])

    async def freeze_entry(self, duration_s: float) -> None:
        await freeze(self.process_of_entry(), duration_s)

    async def slow_entry(self, duration_s: float) -> None:
        await slow_down(self.process_of_entry(), duration_s)

    async def reset_entry(self) -> None:
        for link in self.links(None, ENTRIES[0]):
            link.entry_end.close()
        if self.caller_entry == ENTRIES[0]:
            self.caller_lost.set()
        self.channels_reset.set()

    async def kill_agent(self, restart_s: float) -> None:
        process, worker = self.process_of_agent(), self.holder()
        if process is None or process.is_frozen:
            return
        process.freeze()
        self.deployment.kill_agent(worker.name)
        for link in self.links(worker.name, None):
            link.agent_end.close()
        await trio.sleep(restart_s)
        await self.start_agent(worker)
        if not worker.is_unresponsive:
            # As restored from the store.
            self.deliver_heartbeat(worker, worker.instance, worker.born_ms, -1)

    async def freeze_agent(self, duration_s: float) -> None:
        await freeze(self.process_of_agent(), duration_s)

    async def slow_agent(self, duration_s: float) -> None:
        await slow_down(self.process_of_agent(), duration_s)

    def links(self, worker: str | None, entry: str | None) -> list:
        return self.deployment.network.find_open_connections(
            worker or "", f"{entry}:1" if entry else ""
        )

    async def close_link(self) -> None:
        for link in self.links(self.holder().name, ENTRIES[0]):
            link.entry_end.close()

    async def cut_entry(self, ends: str, is_lossy: bool, duration_s: float) -> None:
        self.isolated_until_s[ENTRIES[0]] = trio.current_time() + duration_s
        await self.cut(WORKERS, ENTRIES[:1], ends, is_lossy, duration_s)

    async def cut_agent(self, ends: str, is_lossy: bool, duration_s: float) -> None:
        await self.cut([self.holder().name], ENTRIES, ends, is_lossy, duration_s)

    async def cut_link(self, ends: str, is_lossy: bool, duration_s: float) -> None:
        await self.cut([self.holder().name], ENTRIES[:1], ends, is_lossy, duration_s)

    async def cut(
        self,
        workers: list[str],
        entries: list[str],
        ends: str,
        is_lossy: bool,
        duration_s: float,
    ) -> None:
        """Cuts links; their frames are lost, or arrive when the links are healed.

        Args:
            workers: Workers of the agents.
            entries: Entries.
            ends: Senders whose frames don't arrive: agent, entry or both.
            is_lossy: Whether the frames are lost, and the links with them.
            duration_s: Time after which new links can be opened.
        """
        network = self.deployment.network
        links = [
            link
            for worker, entry in itertools.product(workers, entries)
            for link in self.links(worker, entry)
        ]
        cut_ends = [link.agent_end for link in links if ends in ("agent", "both")]
        cut_ends += [link.entry_end for link in links if ends in ("entry", "both")]
        pairs = list(itertools.product(workers, [f"{name}:1" for name in entries]))
        network.partitioned_pairs.update(pairs)
        self.cuts.update([*pairs, *map(id, cut_ends)])
        for end in cut_ends:
            if is_lossy:
                end.is_partitioned = True
            else:
                end.peer.pause_delivery()
        await trio.sleep(duration_s)
        # Another cut of the same links may last longer.
        self.cuts.subtract([*pairs, *map(id, cut_ends)])
        for end in cut_ends:
            if not self.cuts[id(end)]:
                end.peer.resume_delivery()
        network.partitioned_pairs.difference_update(
            pair for pair in pairs if not self.cuts[pair]
        )

    async def silence_worker(self, duration_s: float) -> None:
        worker = self.holder()
        worker.is_unresponsive = True
        await trio.sleep(duration_s)
        worker.is_unresponsive = worker.is_down

    async def crash_worker(
        self,
        down_s: float,
        is_new_id: bool,
        announced_s: float,
        old_heartbeat_s: float = math.inf,
    ) -> None:
        worker = self.holder()
        if worker.is_down:
            return
        born_ms, instance = worker.born_ms, worker.instance
        worker.go_down()
        await trio.sleep(down_s)
        if is_new_id:
            worker.instance = f"{worker.name}-{worker.born_ms}"
        worker.come_back()
        self.nursery.start_soon(self.send_heartbeats, worker, announced_s)
        if old_heartbeat_s < math.inf:
            await trio.sleep(old_heartbeat_s)
            self.deliver_heartbeat(worker, instance, born_ms, 1000)

    async def drain_worker(self, left_s: float, ended_s: float) -> None:
        """The worker announces that it drains, leaves, ends and is replaced."""
        worker = self.holder()
        instance, born_ms = worker.instance, worker.born_ms
        self.deliver_heartbeat(worker, instance, born_ms, 1000, is_draining=True)
        await trio.sleep(left_s)
        process = self.process_of_agent()
        if process is not None:
            process.call_soon(
                self.deployment.incarnations[worker.name].handle_deregistration,
                instance,
            )
        await trio.sleep(ended_s)
        if worker.born_ms == born_ms:
            await self.crash_worker(0.2, True, 0.0)

    async def hang_worker(self, duration_s: float) -> None:
        worker = self.holder()
        worker.is_hung = True
        await trio.sleep(duration_s)
        worker.is_hung = False

    async def leave_unanswered(
        self,
        kinds: str,
        duration_s: float,
        delay_s: float,
        counts_lease_from_arrival: bool = False,
    ) -> None:
        """Leaves requests to the holder without a reply, before the first start to all.

        Args:
            kinds: Kinds of requests.
            duration_s: For how long.
            delay_s: Time after which they are executed; infinite for never.
            counts_lease_from_arrival: See FakeLeasedBackend.
        """
        worker = self.holder()
        for other in [worker] if worker.is_start_requested else self.workers:
            other.counts_lease_from_arrival = counts_lease_from_arrival
            fate = Fate(trio.current_time() + duration_s, delay_s)
            other.fates |= dict.fromkeys(kinds.split(), fate)


async def slow_down(process: Process | None, duration_s: float) -> None:
    """Lets a process run for short moments only."""
    end_s = trio.current_time() + duration_s
    while trio.current_time() < end_s:
        await freeze(process, 0.3)
        await trio.sleep(0.01)


NEVER = math.inf
# Each kind of event, with the function that plays it and its arguments.
KINDS = {
    "caller's channel breaks": (Play.break_channel,),
    "entry killed": (Play.kill_entry,),
    "entry frozen 1.2": (Play.freeze_entry, 1.2),
    "entry frozen 3.0": (Play.freeze_entry, 3.0),
    "entry slow": (Play.slow_entry, 3.0),
    "entry reset": (Play.reset_entry,),
    "entry cut 1.2": (Play.cut_entry, "both", False, 1.2),
    "entry cut 3.0": (Play.cut_entry, "both", False, 3.0),
    "entry cut lossy": (Play.cut_entry, "both", True, 1.2),
    "link reset": (Play.close_link,),
    "link cut": (Play.cut_link, "both", False, 1.6),
    "link cut from agent": (Play.cut_link, "agent", False, 1.6),
    "link cut from entry": (Play.cut_link, "entry", False, 1.6),
    "link lossy from agent": (Play.cut_link, "agent", True, 0.5),
    "link lossy from entry": (Play.cut_link, "entry", True, 0.5),
    "agent killed 0.5": (Play.kill_agent, 0.5),
    "agent killed 4.0": (Play.kill_agent, 4.0),
    "agent frozen 0.6": (Play.freeze_agent, 0.6),
    "agent frozen 1.2": (Play.freeze_agent, 1.2),
    "agent frozen 3.2": (Play.freeze_agent, 3.2),
    "agent slow": (Play.slow_agent, 3.0),
    "agent cut 1.2": (Play.cut_agent, "both", False, 1.2),
    "agent cut 4.0": (Play.cut_agent, "both", False, 4.0),
    "agent cut lossy": (Play.cut_agent, "both", True, 4.0),
    "worker silent 0.4": (Play.silence_worker, 0.4),
    "worker silent 1.2": (Play.silence_worker, 1.2),
    "worker silent 4.0": (Play.silence_worker, 4.0),
    "worker reborn at once": (Play.crash_worker, 0.01, False, 0.0),
    "worker reborn, late heartbeat": (Play.crash_worker, 0.2, False, 1.4),
    "worker reborn, old heartbeat": (Play.crash_worker, 0.01, False, 0.0, 0.1),
    "worker replaced at once": (Play.crash_worker, 0.01, True, 0.0),
    "worker replaced, late heartbeat": (Play.crash_worker, 0.2, True, 1.4),
    "worker replaced, old heartbeat": (Play.crash_worker, 0.01, True, 0.0, 0.1),
    "worker drains": (Play.drain_worker, 0.3, 0.4),
    "worker hung": (Play.hang_worker, 1.0),
    "starts lost": (Play.leave_unanswered, "start", 0.3, NEVER),
    "start replies lost": (Play.leave_unanswered, "start", 0.3, 0.0),
    "starts 0.4 late": (Play.leave_unanswered, "start", 0.3, 0.4),
    "starts 1.5 late, fresh": (Play.leave_unanswered, "start", 0.3, 1.5, True),
    "starts 3.0 late, fresh": (Play.leave_unanswered, "start", 0.3, 3.0, True),
    "starts 5.5 late, fresh": (Play.leave_unanswered, "start", 0.3, 5.5, True),
    "stops lost": (Play.leave_unanswered, "stop", 1.0, NEVER),
    "stops 2.0 late": (Play.leave_unanswered, "stop", 1.0, 2.0),
    "renewals lost": (Play.leave_unanswered, "renew", 0.6, NEVER),
    "renewals 0.5 late, fresh": (Play.leave_unanswered, "renew", 0.3, 0.5, True),
    "renewals 2.0 late, fresh": (Play.leave_unanswered, "renew", 0.3, 2.0, True),
    "renewal replies lost": (Play.leave_unanswered, "renew", 0.6, 0.0),
    "all 2.0 late, fresh": (Play.leave_unanswered, "start stop renew", 0.4, 2.0, True),
}


@dataclasses.dataclass(frozen=True)
class Event:
    """One event.

    Attributes:
        kind: Key of KINDS.
        at_s: When it begins, after the submission of the job.
    """

    kind: str
    at_s: float


Schedule = tuple[Event, ...]


def play(schedule: Schedule, settings) -> Play:
    """Plays a schedule until the end or two runs of the task at the same time."""
    freezer = TaskFreezer()
    plays: list[Play] = []

    async def main():
        async with trio.open_nursery() as nursery:
            deployment = ProcessDeployment(nursery, SERVICE, freezer)
            await deployment.configure(DECLARATIONS)
            plays.append(Play(nursery, deployment, settings))
            await plays[0].run(schedule)
            freezer.resume_all()
            nursery.cancel_scope.cancel()

    clock = trio.testing.MockClock(autojump_threshold=0)
    with seeded_scheduler(0):
        trio.run(main, clock=clock, instruments=[freezer])
    return plays[0]
