"""The capacity of a backend server shrinks and grows while it runs."""

import dataclasses
import math
import random

import pytest
import trio

from gooseberrylink.backends import incarnations
from gooseberrylink.backends.client import Announcement
from gooseberrylink.codes import Code
from gooseberrylink.metrics import Metrics
from gooseberrylink.resources import NO_RESOURCES, Resources
from gooseberrylink.standins.leased_backend import FakeLeasedBackend
from gooseberrylink.types import JobRequest, RerunPolicy, TaskSpec

FULL = Resources(8, 800, 8)
TASK = Resources(1, 100, 1)
LINK_SETTINGS = {"lease_s": 0.6, "busy_heartbeat_s": 0.15, "idle_heartbeat_s": 0.3}


class SlowlyStoppingBackend(FakeLeasedBackend):
    """Executes each request to stop a run 0.2 s after it received it."""

    async def stop(self, key, fencing_token):
        await trio.sleep(0.2)
        return await super().stop(key, fencing_token)


class CapacityTest:
    """Submits jobs to a deployment whose workers announce other capacities.

    Attributes:
        answers: Answers to the submitted jobs, by label.
        random: Chooses the entry of each job.
    """

    def __init__(self, deployment, nursery: trio.Nursery, seed: int):
        self.deployment = deployment
        self.random = random.Random(seed)
        self.answers = {}
        self._nursery = nursery
        self._resources_by_name: dict[str, Resources] = {}
        self._sequence = 0

    @property
    def agent(self):
        return self.deployment.agents["tank-1"]

    async def add_worker(self, name: str, make_backend=FakeLeasedBackend):
        worker = make_backend(name, self._nursery, FULL.units)
        self._nursery.start_soon(worker.advance_runs)
        await self.deployment.add_agent_with_leases(
            worker, memory_mb=FULL.memory_mb, gpus=FULL.gpus
        )
        await self.deployment.wait_connected()
        return worker

    def announce(
        self,
        capacity: Resources,
        sequence: int | None = None,
        is_draining: bool = False,
        **fields,
    ) -> None:
        """Sends the next heartbeat of tank-1 to its agent."""
        self._sequence += 1
        announcement = dataclasses.replace(
            make_announcement(capacity), service=self.deployment.service, **fields
        )
        self.deployment.incarnations["tank-1"].handle_announcement(
            announcement, self._sequence if sequence is None else sequence, is_draining
        )

    def submit(self, label: str, *run_s: float, resources: Resources = TASK) -> None:
        """Submits a job in the background."""
        tasks = []
        for index, seconds in enumerate(run_s):
            name = f"{label}.{index}"
            self._resources_by_name[name] = resources
            payload = {"name": name, "run_s": seconds, "units": resources.units}
            tasks.append(TaskSpec(payload, seconds, resources))
        job = JobRequest(
            customer="shops",
            service="dispatch",
            tasks=tasks,
            deadline_s=10.0,
            job_id=label,
            rerun_policy=RerunPolicy(2),
        )
        self._nursery.start_soon(self._submit, label, job)

    async def _submit(self, label: str, job: JobRequest) -> None:
        entry = self.random.choice(self.deployment.entries)
        self.answers[label] = await entry.submit(job)

    async def wait_for_answers(self, *labels: str) -> None:
        with trio.fail_after(5):
            while not self.answers.keys() >= set(labels):
                await trio.sleep(0.01)
        assert {self.answers[label].code for label in labels} == {Code.OK}

    def used_resources(self, worker, time_s: float) -> Resources:
        """Returns what the runs used that were not ended, by the worker's log."""
        used = NO_RESOURCES
        for run in worker.runs:
            if run.started_s <= time_s < run.ended_s:
                used = used.plus(self._resources_by_name[run.key.name])
        return used

    def used_at_starts(self, worker, since_s: float, until_s: float = math.inf):
        """Returns what was in use just after each start in a period."""
        starts = {run.started_s for run in worker.runs}
        return [
            self.used_resources(worker, start_s)
            for start_s in starts
            if since_s < start_s <= until_s
        ]


def make_announcement(capacity: Resources, **fields) -> Announcement:
    return Announcement(
        "dispatch",
        "fake:1",
        capacity.units,
        memory_mb=capacity.memory_mb,
        gpus=capacity.gpus,
        **fields,
    )


@pytest.fixture
def run_with_worker(run_on_deployment):
    """Returns a function that runs a test with entries and the worker tank-1."""

    def run(
        test,
        make_backend=FakeLeasedBackend,
        entries: int = 1,
        seed: int = 0,
        **entry_settings,
    ):
        async def main(deployment):
            async with trio.open_nursery() as nursery:
                for number in range(entries):
                    await deployment.add_entry(
                        f"entry-{number}", **LINK_SETTINGS, **entry_settings
                    )
                capacity_test = CapacityTest(deployment, nursery, seed)
                worker = await capacity_test.add_worker("tank-1", make_backend)
                await test(capacity_test, worker)
                nursery.cancel_scope.cancel()

        run_on_deployment(main, seed)

    return run


class FakeAgent:
    """Records the announcements that are applied."""

    def __init__(self):
        self.metrics = Metrics("agent", "tank-1")
        self.announcements: list[Announcement] = []
        self.detach_reasons: list[str] = []

    def attach_backend(self, backend, announcement):
        self.announcements.append(announcement)

    def update_announcement(self, announcement):
        self.announcements.append(announcement)

    def detach_backend(self, reason):
        self.detach_reasons.append(reason)


@pytest.mark.parametrize(
    "shrunk",
    [Resources(4, 800, 8), Resources(8, 400, 8), Resources(8, 800, 4)],
    ids=["units", "memory", "gpus"],
)
def test_no_start_exceeds_a_capacity_that_shrank(run_with_worker, shrunk):
    # The agent used the capacity of the first heartbeat for as long as the backend
    # server ran. More is in use at the shrink than the new capacity.
    async def test(capacity, worker):
        (link,) = capacity.deployment.network.find_open_connections("tank-1")
        for number in range(4):
            capacity.submit(f"j{number}", *[0.3 + 0.02 * n for n in range(8)])
        await trio.sleep(0.1)
        assert capacity.used_resources(worker, trio.current_time()) == FULL
        capacity.announce(shrunk)
        shrunk_s = trio.current_time()
        await capacity.wait_for_answers("j0", "j1", "j2", "j3")
        used = capacity.used_at_starts(worker, shrunk_s)
        assert [each for each in used if not shrunk.covers(each)] == []
        assert max(resources.units for resources in used) == 4
        assert {run.end_kind.value for run in worker.runs} == {"done"}
        assert capacity.deployment.network.find_open_connections("tank-1") == [link]

    run_with_worker(test)


@pytest.mark.parametrize("seed", range(6))
def test_no_start_exceeds_a_capacity_that_changes_often(run_with_worker, seed):
    async def test(capacity, worker):
        rng = capacity.random
        # Each capacity, with the time of its heartbeat.
        changes = [(0.0, FULL)]
        for number in range(60):
            resources = Resources(rng.randint(1, 2), 100 * rng.randint(0, 2), 0)
            run_s = [rng.uniform(0.05, 0.3) for _ in range(rng.randint(1, 3))]
            capacity.submit(f"j{number}", *run_s, resources=resources)
            await trio.sleep(rng.expovariate(10))
            if rng.random() < 0.3:
                size = rng.randint(3, 8)
                changed = Resources(size, 100 * rng.randint(3, 8), rng.randint(0, 8))
                capacity.announce(changed)
                changes.append((trio.current_time(), changed))
        capacity.announce(FULL)
        changes.append((trio.current_time(), FULL))
        await capacity.wait_for_answers(*[f"j{number}" for number in range(60)])
        assert len(changes) > 10
        ends_s = [since_s for since_s, _ in changes[1:]] + [math.inf]
        over = []
        for run in worker.runs:
            used = capacity.used_resources(worker, run.started_s)
            # A start takes 1 ms, in which the capacity may change.
            limits = [
                limit
                for (since_s, limit), end_s in zip(changes, ends_s, strict=True)
                if since_s <= run.started_s <= end_s + 0.002
            ]
            if not any(limit.covers(used) for limit in limits):
                over.append((used, limits))
        assert over == []

    run_with_worker(test, entries=2, seed=seed)


def test_capacity_that_grows_again_is_used(run_with_worker):
    async def test(capacity, worker):
        capacity.announce(Resources(2, 200, 2))
        await trio.sleep(0.1)
        shrunk_s = trio.current_time()
        for number in range(4):
            capacity.submit(f"j{number}", *[0.3] * 8)
        await trio.sleep(1.0)
        capacity.announce(FULL)
        grown_s = trio.current_time()
        await capacity.wait_for_answers("j0", "j1", "j2", "j3")
        before = capacity.used_at_starts(worker, shrunk_s, grown_s)
        after = capacity.used_at_starts(worker, grown_s)
        assert max(resources.units for resources in before) == 2
        assert max(resources.units for resources in after) == 8

    run_with_worker(test)


def test_tasks_that_are_being_stopped_count_against_a_shrunk_capacity(run_with_worker):
    async def test(capacity, worker):
        with trio.move_on_after(0.1):
            async with trio.open_nursery() as nursery:
                former, capacity._nursery = capacity._nursery, nursery
                capacity.submit("withdrawn", *[9.0] * 8)
                capacity._nursery = former
        await trio.sleep(0.05)
        assert all(record.is_stopping for record in capacity.agent._running.values())
        shrunk = Resources(4, 400, 4)
        capacity.announce(shrunk)
        shrunk_s = trio.current_time()
        assert capacity.used_resources(worker, shrunk_s) == FULL
        capacity.submit("next", *[0.2] * 8)
        await capacity.wait_for_answers("next")
        used = capacity.used_at_starts(worker, shrunk_s)
        assert used
        assert [each for each in used if not shrunk.covers(each)] == []

    run_with_worker(test, SlowlyStoppingBackend)


def test_capacity_of_nothing_starts_nothing_until_it_grows(run_with_worker):
    async def test(capacity, worker):
        capacity.announce(NO_RESOURCES)
        await trio.sleep(0.1)
        assert (await submit_and_wait(capacity, "refused")).code is (
            Code.NO_BACKEND_SERVER
        )
        capacity.announce(FULL)
        await trio.sleep(0.1)
        assert (await submit_and_wait(capacity, "accepted")).code is Code.OK
        assert {run.key.name for run in worker.runs} == {"accepted.0"}

    run_with_worker(test)


async def submit_and_wait(capacity, label: str, resources: Resources = TASK):
    capacity.submit(label, 0.1, resources=resources)
    with trio.fail_after(5):
        while label not in capacity.answers:
            await trio.sleep(0.01)
    return capacity.answers[label]


class SilentBackendClient:
    """Client of a backend server that has not replied."""

    confirmed_born_ms = None
    is_lost = False


def test_only_the_newest_heartbeat_changes_the_capacity():
    agent = FakeAgent()
    tracker = incarnations.IncarnationTracker(agent, lambda _: SilentBackendClient())

    def announce(incarnation: str, born_ms: int, sequence: int, units: int):
        announcement = make_announcement(
            Resources(units), incarnation=incarnation, born_ms=born_ms
        )
        tracker.handle_announcement(announcement, sequence, False)

    announce("i-2", 200, 5, 8)
    announce("i-2", 200, 7, 4)
    announce("i-2", 200, 6, 8)
    announce("i-2", 200, 7, 8)
    announce("i-1", 100, 9, 2)
    assert [announcement.slots for announcement in agent.announcements] == [8, 4]
    announce("i-2", 200, 8, 6)
    assert tracker.newest_announcement.slots == 6


def test_heartbeat_changes_nothing_but_the_capacity_of_an_incarnation():
    # The client sends its requests to the address of the first heartbeat.
    agent = FakeAgent()
    tracker = incarnations.IncarnationTracker(agent, lambda _: SilentBackendClient())
    first = make_announcement(FULL, incarnation="i-1", born_ms=100, rack="r-1")
    tracker.handle_announcement(first, 1, False)
    tracker.handle_announcement(
        dataclasses.replace(first, slots=4, task_units=2, address="other:1"), 2, False
    )
    assert agent.announcements == [
        first,
        dataclasses.replace(first, slots=4, task_units=2),
    ]


def test_draining_heartbeat_with_another_capacity_drains(run_with_worker):
    async def test(capacity, worker):
        capacity.submit("before", 0.3)
        await trio.sleep(0.1)
        capacity.announce(Resources(4, 400, 4), is_draining=True)
        capacity.announce(FULL)
        assert not capacity.agent.allocator.slots
        await trio.sleep(0.1)
        assert (await submit_and_wait(capacity, "after")).code is (
            Code.NO_BACKEND_SERVER
        )
        await capacity.wait_for_answers("before")
        assert {run.key.name for run in worker.runs} == {"before.0"}

    run_with_worker(test)


def test_unchanged_heartbeats_send_and_log_nothing(run_with_worker, monkeypatch):
    lines = []
    monkeypatch.setattr(
        incarnations, "log_event", lambda event, **fields: lines.append((event, fields))
    )

    async def test(capacity, worker):
        await trio.sleep(0.5)
        lines.clear()
        frames = capacity.agent.metrics.get("frames_sent", "control")
        for _ in range(20):
            capacity.announce(FULL)
            await trio.sleep(0.01)
        assert capacity.agent.metrics.get("frames_sent", "control") == frames
        assert lines == []
        capacity.announce(Resources(4, 400, 2))
        await trio.sleep(0.01)
        assert capacity.agent.metrics.get("frames_sent", "control") == frames + 1
        fields = {
            "incarnation": "",
            "slots": 4,
            "memory_mb": 400,
            "gpus": 2,
            "previous_slots": 8,
            "previous_memory_mb": 800,
            "previous_gpus": 8,
        }
        assert lines == [("backend_capacity_changed", fields)]

    run_with_worker(test)


def test_held_task_larger_than_a_shrunk_capacity_runs_elsewhere(run_with_worker):
    # It was started over the capacity; with the capacity observed, it would keep the
    # tasks held behind it waiting until its deadline.
    async def test(capacity, worker):
        capacity.submit("first", *[0.5] * 8)
        await trio.sleep(0.1)
        capacity.submit("wide", 0.1, resources=Resources(6, 100, 1))
        await trio.sleep(0.05)
        capacity.submit("small", 0.1)
        await trio.sleep(0.05)
        assert len(capacity.agent._held) == 2
        other = await capacity.add_worker("tank-2")
        shrunk = Resources(4, 400, 4)
        capacity.announce(shrunk)
        shrunk_s = trio.current_time()
        await capacity.wait_for_answers("first", "wide", "small")
        assert trio.current_time() - shrunk_s < 1.0
        assert [run.key.name for run in other.runs] == ["wide.0"]
        used = capacity.used_at_starts(worker, shrunk_s)
        assert used
        assert [each for each in used if not shrunk.covers(each)] == []

    run_with_worker(test, policy="least-in-flight")


def test_held_tasks_start_when_the_capacity_grows(run_with_worker):
    async def test(capacity, worker):
        capacity.announce(Resources(4, 400, 4))
        await trio.sleep(0.1)
        capacity.submit("a", *[1.0] * 8)
        await trio.sleep(0.25)
        assert capacity.used_resources(worker, trio.current_time()).units == 4
        capacity.announce(FULL)
        await trio.sleep(0.01)
        assert capacity.used_resources(worker, trio.current_time()) == FULL

    run_with_worker(test, policy="least-in-flight")


def test_task_too_large_for_a_shrunk_capacity_may_be_sent_again(run_with_worker):
    # The refusal said that a larger worker is needed.
    async def test(capacity, worker):
        wide = Resources(6, 600, 6)
        capacity.announce(Resources(4, 800, 8))
        await trio.sleep(0.1)
        refused = await submit_and_wait(capacity, "refused", wide)
        assert (refused.code, refused.execution_status.value) == (
            Code.TASK_TOO_LARGE,
            "not run",
        )
        assert refused.retry_after_s
        too_large = await submit_and_wait(capacity, "too-large", Resources(9))
        assert (too_large.code, too_large.retry_after_s) == (Code.TASK_TOO_LARGE, None)
        capacity.announce(FULL)
        await trio.sleep(0.1)
        assert (await submit_and_wait(capacity, "accepted", wide)).code is Code.OK

    run_with_worker(test)
