"""Orders the tasks of one service that wait for a slot."""

import heapq
import itertools
import math

from gooseberrylink.types import Task, TaskState


class TaskQueue:
    """Waiting tasks, short and long ones apart, each by their order key.

    Attributes:
        short_count: Waiting short tasks.
        long_count: Waiting long tasks.
        work_s: Expected run time of all waiting tasks, in seconds.
        units: Room (see Room) that all waiting tasks would take up.
    """

    def __init__(self):
        self._short: list[tuple[tuple[int, float], int, Task]] = []
        self._long: list[tuple[tuple[int, float], int, Task]] = []
        self._sequence = itertools.count()
        self.short_count = 0
        self.long_count = 0
        self.work_s = 0.0
        self.units = 0

    def __len__(self) -> int:
        return self.short_count + self.long_count

    def push(self, task: Task) -> None:
        """Adds a task; it must be in state QUEUED."""
        heap = self._long if task.is_long else self._short
        heapq.heappush(heap, (task.sort_key, next(self._sequence), task))
        if task.is_long:
            self.long_count += 1
        else:
            self.short_count += 1
        self.work_s += task.expected_s
        self.units += task.spec.resources.units

    def peek(self, is_long: bool) -> Task | None:
        """Returns the first short or long task without removing it."""
        heap = self._long if is_long else self._short
        while heap and heap[0][2].state is not TaskState.QUEUED:
            heapq.heappop(heap)
        return heap[0][2] if heap else None

    def first(self, is_long: bool, count: int) -> list[Task]:
        """Returns the first short or long tasks in order, without removing them."""
        if self.peek(is_long) is None:
            return []
        heap = self._long if is_long else self._short
        entries = heapq.nsmallest(count, heap)
        return [task for _, _, task in entries if task.state is TaskState.QUEUED]

    def take(self, task: Task) -> None:
        """Takes a task out that is to be assigned; it must be in state QUEUED."""
        task.state = TaskState.ASSIGNED
        self._forget(task)

    def drop(self, task: Task) -> None:
        """Takes a waiting task out, which ends in state NOT_STARTED."""
        task.state = TaskState.NOT_STARTED
        self._forget(task)

    def most_urgent(self) -> tuple[int, float]:
        """Returns precedence and due time of the first task; infinite if none."""
        heads = [self.peek(is_long=False), self.peek(is_long=True)]
        sort_keys = [task.sort_key for task in heads if task is not None]
        if not sort_keys:
            return 0, math.inf
        sort_key, due_s = min(sort_keys)
        return -sort_key, due_s

    def work_before_s(self, sort_key: tuple[int, float]) -> float:
        """Returns the expected run time of the tasks that come before a key."""
        return sum(
            task.expected_s
            for heap in (self._short, self._long)
            for key, _, task in heap
            if key < sort_key and task.state is TaskState.QUEUED
        )

    def _forget(self, task: Task) -> None:
        if task.is_long:
            self.long_count -= 1
        else:
            self.short_count -= 1
        self.work_s = max(0.0, self.work_s - task.expected_s)
        self.units -= task.spec.resources.units
        if not len(self):
            self.work_s = 0.0
