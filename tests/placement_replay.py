"""Replays uneven load against the code that places tasks, without network or clock.

Entries, agents and links are reduced to queues, credits and delays. The decisions are
those of the product: TaskPicker, the routing policy, ServicePool, RunTimeModel and
SlotAllocator.
"""

import dataclasses
import heapq
import itertools
import math
import random
import statistics
from collections import deque

from gooseberrylink.peers.messages import EntryFrame, Host
from gooseberrylink.resources import Resources
from gooseberrylink.routing import LateBindingPolicy, remote_factor
from gooseberrylink.run_times import RunTimeModel, WorkerIdentity
from gooseberrylink.scheduling.task_picker import TaskPicker
from gooseberrylink.service_pool import ServicePool
from gooseberrylink.settings import EntrySettings
from gooseberrylink.slot_allocator import SlotAllocator
from gooseberrylink.types import (
    Job,
    JobRequest,
    LatencyTarget,
    Task,
    TaskSpec,
    TaskState,
)
from gooseberrylink.wait_limits import wait_limit_s

TARGET = LatencyTarget(stretch=1.6, latency_s=0.0634)
UNITS = 3500
LINK_S = 0.0015
RUN_OVERHEAD_S = 0.006
REPORT_INTERVAL_S = 0.25
CHECK_INTERVAL_S = 0.05
# Younger runs say nothing about a worker's speed.
MIN_MEASURED_S = 0.2


@dataclasses.dataclass(frozen=True)
class Kind:
    name: str
    rate_per_s: float
    width: int
    work_s: float


KINDS = (
    Kind("wide", 103.0, 8, 0.12),
    Kind("heavy", 18.8, 4, 1.8),
    Kind("pair", 300.0, 2, 0.4),
)


@dataclasses.dataclass(frozen=True)
class Load:
    """A load and a fleet.

    Attributes:
        load: Work that is offered, as a share of what all workers do near the data.
        swing: Relative amplitude of the load, over a period of half the duration.
        hot_share: Share of the jobs of the first kind whose data is on one rack.
        turned_slow: Workers that run at a fifth of their speed between two times.
    """

    load: float = 0.8
    swing: float = 0.3
    hot_share: float = 0.6
    duration_s: float = 12.0
    worker_count: int = 75
    entry_count: int = 10
    links_per_agent: int = 4
    rack_size: int = 8
    slowdowns: tuple[float, ...] = (0.7, 0.7, 1.7)
    capacities: tuple[int, ...] = (32_000, 48_000)
    declared_error: float = 0.4
    turned_slow: frozenset[int] = frozenset()
    slow_from_s: float = math.inf
    slow_until_s: float = math.inf
    joining: int = 0
    joins_s: float = math.inf
    cut_entry: int = -1
    cut_from_s: float = math.inf


class ReplayJob(Job):
    """A job with its true figures."""


class Peer:
    """One agent as an entry sees it; has what the decisions read of an AgentPeer."""

    def __init__(self, worker, entry):
        self.at, self.entry = worker, entry
        self.worker, self.host = worker.name, worker.host
        self.worker_identity = WorkerIdentity(worker.name, worker.host.hardware)
        self.data_centre = worker.data_centre
        self.slots = worker.allocator.slots
        self.capacity = self.largest_capacity = Resources(self.slots, 1 << 30, 8)
        self.can_serve = self.is_connected = True
        self.is_quarantined = self.is_evacuated = False
        self.free_memory_mb, self.free_gpus = 1 << 30, 8
        self.units_in_flight = 0
        self.last_frame_s = -math.inf
        self.tasks_in_flight = {}
        self.reported = self.sent = self.received = 0
        self.frame_speed, self.speed_s = None, -math.inf
        self.demand, self.demand_s = 0, -math.inf
        self.idle_reported = 0

    @property
    def free_units(self):
        return self.reported - (self.sent - self.received)

    free_long_units = free_units

    @property
    def idle_units(self):
        return self.idle_reported - (self.sent - self.received)

    def has_free_resources_for(self, task):
        return self.free_units >= task.spec.resources.units

    def recent_speed(self, now_s):
        return self.frame_speed if now_s - self.speed_s <= 2.0 else None

    def is_on_trial(self, now_s):
        return False

    def may_have_crashed(self, now_s):
        return False

    def unexpired_demand(self, now_s):
        return self.demand if now_s - self.demand_s <= 2.0 else 0

    def set_advertised_demand(self, demand, now_s):
        self.demand, self.demand_s = demand, now_s


class Worker:
    def __init__(self, name, speed, units, host, data_centre):
        self.name, self.speed, self.host = name, speed, host
        self.data_centre = data_centre
        self.allocator = SlotAllocator(2.0, 0.5)
        self.allocator.resize(units)
        self.allocator.free_memory_and_gpus = Resources(0, 1 << 30, 8)
        self.peers = {}
        self.held = deque()
        self.running = {}


class Replay:
    def __init__(self, load: Load, make_policy=LateBindingPolicy, seed=1):
        self.load, self.now_s = load, 0.0
        self.random = random.Random(seed)
        self._events, self._numbers = [], itertools.count()
        rng = random.Random(seed + 1000)
        settings = EntrySettings(
            entry="e", data_centre="d0", platform="127.0.0.1:1", remote_factor=1.5
        )
        self.settings = settings
        self.entries = []
        for _ in range(load.entry_count):
            run_times = RunTimeModel()
            policy = make_policy(run_times, settings)
            pool = ServicePool("s")
            self.entries.append((pool, TaskPicker(policy), run_times, policy))
        self.weights = [rng.uniform(0.4, 1.6) for _ in self.entries]
        self.workers = [self._make_worker(i, rng) for i in range(load.worker_count)]
        for i, worker in enumerate(self.workers):
            if i < load.worker_count - load.joining:
                self._connect(worker, rng)
            else:
                self.at(load.joins_s, self._connect, worker, rng)
        self.racks = sorted({w.host.rack for w in self.workers})
        self.done, self.refused = [], []
        self.stranded_s = self.free_s = self.queued_s = 0.0
        self.refused_starts, self.starts = 0, []

    def _make_worker(self, i, rng):
        slowdown = self.load.slowdowns[rng.randrange(len(self.load.slowdowns))]
        units = self.load.capacities[rng.randrange(len(self.load.capacities))]
        rack = i // self.load.rack_size
        hardware = "b" if slowdown > 1 else "a"
        return Worker(
            f"w{i}", 1 / slowdown, units, Host(hardware, f"r{rack}"), f"d{rack % 3}"
        )

    def _connect(self, worker, rng):
        for number in rng.sample(
            range(len(self.entries)), min(self.load.links_per_agent, len(self.entries))
        ):
            peer = Peer(worker, number)
            worker.peers[number] = peer
            self.entries[number][0].peers.append(peer)
            worker.allocator.add_entry(str(number))
        for peer in worker.peers.values():
            self.report(peer)
        self.at(self.now_s + REPORT_INTERVAL_S * rng.random(), self._heartbeat, worker)

    def at(self, time_s, function, *args):
        heapq.heappush(
            self._events, (max(time_s, self.now_s), next(self._numbers), function, args)
        )

    # Load.

    def run(self):
        load = self.load
        capacity = sum(w.allocator.slots // UNITS * w.speed for w in self.workers)
        work = sum(k.rate_per_s * k.width * k.work_s for k in KINDS)
        scale = load.load * capacity / work
        for kind in KINDS:
            time_s = 0.0
            while time_s < load.duration_s:
                phase = 4 * math.pi * time_s / load.duration_s
                rate = kind.rate_per_s * scale * (1 + load.swing * math.sin(phase))
                time_s += self.random.expovariate(rate)
                self.at(time_s, self._submit, kind, self._draw_job(kind))
        self.at(0.0, self._check)
        while self._events:
            self.now_s, _, function, args = heapq.heappop(self._events)
            if self.now_s > load.duration_s + 20:
                break
            function(*args)
        return self

    def _draw_job(self, kind):
        rng = self.random
        size = kind.work_s * rng.lognormvariate(-0.08, 0.4)
        works = [size * max(0.3, rng.gauss(1.0, 0.15)) for _ in range(kind.width)]
        declared_s = size * rng.lognormvariate(-0.08, self.load.declared_error)
        is_hot = kind is KINDS[0] and rng.random() < self.load.hot_share
        rack = self.racks[0] if is_hot else rng.choice(self.racks)
        number = rng.choices(range(len(self.entries)), self.weights)[0]
        return number, works, declared_s, rack

    def _submit(self, kind, drawn):
        number, works, declared_s, rack = drawn
        pool, picker, run_times, policy = self.entries[number]
        now_s = self.now_s
        specs = [
            TaskSpec(work_s, declared_s, Resources(UNITS), rack) for work_s in works
        ]
        deadline_s = 3 * (TARGET.stretch * kind.work_s * 1.5 + TARGET.latency_s)
        request = JobRequest(kind.name, "s", specs, deadline_s, latency_target=TARGET)
        pool.min_slowdown = policy.min_slowdown(pool.peers)
        expected_s = run_times.predict_run_s(kind.name, "s", declared_s)
        limit_s = wait_limit_s(request, expected_s, pool.min_slowdown)
        job = ReplayJob("j", request, now_s, now_s + deadline_s)
        job.longest_task_s, job.start_by_s = expected_s, now_s + limit_s
        job.kind, job.objective_s = (
            kind.name,
            TARGET.stretch * max(works) + TARGET.latency_s,
        )
        job.size_s, job.waited_s = sum(works), 0.0
        job.entry = number
        key = (0, now_s + limit_s)
        wait_s = pool.min_slowdown * pool.expected_wait_s(key)
        if wait_s > limit_s:
            self.refused.append(job)
            return
        job.tasks = [
            Task(f"t{i}", job, i, spec, expected_s, key, False)
            for i, spec in enumerate(specs)
        ]
        job.unfinished_count = len(specs)
        for task in job.tasks:
            pool.record_task_units(UNITS)
            pool.queue.push(task)
        self.assign(number)
        for decision in picker.pick_of_new_job(job, pool, now_s):
            self._assign(number, decision)

    # Entry.

    def assign(self, number):
        pool, picker, _, _ = self.entries[number]
        while len(pool.queue):
            decision = picker.pick_next(pool, self.now_s)
            if decision is None:
                break
            if decision.peer is None:
                self._give_up(pool, decision.task.job)
            else:
                self._assign(number, decision)
        if not pool.in_flight_count:
            self._advertise(pool)

    def _give_up(self, pool, job):
        for task in job.tasks:
            pool.queue.drop(task)
        self.refused.append(job)

    def _assign(self, number, decision):
        pool, task, peer = self.entries[number][0], decision.task, decision.peer
        pool.queue.take(task)
        task.assigned_s = self.now_s
        pool.in_flight_count += 1
        task.job.waited_s = max(task.job.waited_s, self.now_s - task.job.submitted_s)
        peer.sent += UNITS
        peer.units_in_flight += UNITS
        peer.tasks_in_flight[task] = task
        self.send_frame(number, peer, task)

    def send_frame(self, number, peer, task=None):
        if number == self.load.cut_entry and self.now_s > self.load.cut_from_s:
            return
        pool = self.entries[number][0]
        demand, _ = pool.demand_to_advertise(peer, self.now_s)
        peer.set_advertised_demand(demand, self.now_s)
        precedence, due_s = pool.queue.head_priority()
        frame = EntryFrame(0.0, demand, 0, precedence, due_s - self.now_s)
        self.at(self.now_s + LINK_S, self._receive, peer, frame, task)

    def _advertise(self, pool):
        for peer in pool.peers_to_notify(self.now_s):
            peer.set_advertised_demand(math.ceil(pool.mean_task_units), self.now_s)
            self.at(self.now_s, self.send_frame, peer.entry, peer)

    def _check(self):
        for number, (pool, _, _, _) in enumerate(self.entries):
            if not len(pool.queue):
                pool.queue_nonempty_since_s = None
                continue
            since_s = pool.queue_nonempty_since_s
            if since_s is None:
                pool.queue_nonempty_since_s = self.now_s
            elif (
                pool.queue.head_priority()[1] < self.now_s + 0.3
                or self.now_s - since_s > 1.0
            ):
                self._advertise(pool)
            self.assign(number)
        self._count_stranded()
        if self.now_s < self.load.duration_s:
            self.at(self.now_s + CHECK_INTERVAL_S, self._check)

    def _count_stranded(self):
        """Counts room that is free while work waits, and its part that fits no task."""
        waiting = sum(len(pool.queue) for pool, _, _, _ in self.entries)
        if not waiting:
            return
        self.queued_s += CHECK_INTERVAL_S
        for worker in self.workers:
            idle = worker.allocator.slots - worker.allocator.used_units
            self.free_s += CHECK_INTERVAL_S * idle
            if idle < UNITS:
                self.stranded_s += CHECK_INTERVAL_S * idle

    # Agent.

    def _receive(self, peer, frame, task):
        worker, entry = peer.at, str(peer.entry)
        worker.allocator.update_demand(entry, frame, self.now_s)
        if task is not None:
            peer.received_at_agent = getattr(peer, "received_at_agent", 0) + UNITS
            if worker.allocator.fits(task.spec.resources):
                self._start(peer, task)
            elif len(worker.held) < 2:
                worker.held.append((peer, task))
            else:
                self.refused_starts += 1
                self.report(peer, task, None)
        if worker.allocator.grant_credits(entry, self.now_s):
            self.report(peer)

    def _speed(self, worker):
        index = self.workers.index(worker)
        is_slow = index in self.load.turned_slow and (
            self.load.slow_from_s <= self.now_s < self.load.slow_until_s
        )
        return worker.speed / 5 if is_slow else worker.speed

    def _start(self, peer, task):
        worker = peer.at
        worker.allocator.allocate(
            str(peer.entry), False, self.now_s, task.spec.resources
        )
        self.starts.append((self.now_s, worker.name))
        factor = remote_factor(task.spec, worker.host, self.settings)
        run_s = task.spec.payload * factor / self._speed(worker) + RUN_OVERHEAD_S
        worker.running[task] = (self.now_s, run_s, task.expected_s)
        self.at(self.now_s + run_s, self._end, peer, task, run_s)

    def _end(self, peer, task, run_s):
        worker = peer.at
        del worker.running[task]
        other = worker.allocator.release(
            str(peer.entry), False, self.now_s, task.spec.resources
        )
        if other is not None:
            self.report(worker.peers[int(other)])
        self.report(peer, task, run_s)
        while worker.held and worker.allocator.fits(worker.held[0][1].spec.resources):
            self._start(*worker.held.popleft())

    def report(self, peer, task=None, run_s=None):
        worker = peer.at
        free = worker.allocator.free_units_for(str(peer.entry))
        speeds = [
            expected_s / run_s
            for started_s, run_s, expected_s in worker.running.values()
            if self.now_s - started_s >= MIN_MEASURED_S
        ]
        speed = statistics.median(speeds) if len(speeds) > 1 else None
        received = getattr(peer, "received_at_agent", 0)
        idle = worker.allocator.idle_units()
        if peer.entry == self.load.cut_entry and self.now_s > self.load.cut_from_s:
            return
        self.at(
            self.now_s + LINK_S,
            self._handle,
            peer,
            free,
            received,
            speed,
            idle,
            task,
            run_s,
        )

    def _heartbeat(self, worker):
        for peer in worker.peers.values():
            self.report(peer)
        if self.now_s < self.load.duration_s:
            self.at(self.now_s + REPORT_INTERVAL_S, self._heartbeat, worker)

    def _handle(self, peer, free, received, speed, idle, task, run_s):
        pool, _, run_times, _ = self.entries[peer.entry]
        peer.reported, peer.received, peer.idle_reported = free, received, idle
        peer.last_frame_s = self.now_s
        if speed is not None:
            peer.frame_speed, peer.speed_s = speed, self.now_s
        if task is not None:
            del peer.tasks_in_flight[task]
            peer.units_in_flight -= UNITS
            pool.in_flight_count -= 1
            if run_s is None:
                task.state = TaskState.QUEUED
                pool.queue.push(task)
            else:
                self._complete(run_times, peer, task, run_s)
        self.assign(peer.entry)

    def _complete(self, run_times, peer, task, run_s):
        job = task.job
        run_times.record_run(
            job.request.customer,
            "s",
            task.spec.declared_s,
            peer.worker_identity,
            run_s / remote_factor(task.spec, peer.host, self.settings),
            math.inf,
            self.now_s,
        )
        job.unfinished_count -= 1
        if not job.unfinished_count:
            job.response_s = self.now_s - job.submitted_s
            self.done.append(job)

    # Figures.

    def figures(self, warmup_s=2.0):
        done = [job for job in self.done if job.submitted_s >= warmup_s]
        refused = [job for job in self.refused if job.submitted_s >= warmup_s]
        on_time = {id(j) for j in done if j.response_s <= j.objective_s}
        jobs = done + refused
        figures = {"on_time": len(on_time) / len(jobs)}
        figures["late"] = (len(done) - len(on_time)) / len(jobs)
        figures["refused"] = len(refused) / len(jobs)
        for kind in KINDS:
            own = [j for j in jobs if j.kind == kind.name]
            figures[kind.name] = sum(id(j) in on_time for j in own) / len(own)
        jobs.sort(key=lambda job: -job.size_s)
        tenth = len(jobs) // 10
        figures["largest"] = sum(id(j) in on_time for j in jobs[:tenth]) / tenth
        figures["next"] = sum(id(j) in on_time for j in jobs[tenth : 3 * tenth]) / (
            2 * tenth
        )
        ratios = sorted(j.response_s / j.objective_s for j in done)
        figures["p99"] = ratios[int(0.99 * len(ratios))]
        waits = sorted(j.waited_s for j in jobs[:tenth])
        figures["largest_wait_p99_s"] = waits[int(0.99 * len(waits))]
        figures["stranded"] = self.stranded_s / self.free_s if self.free_s else 0.0
        figures["refused_starts"] = self.refused_starts / len(self.starts)
        return figures
