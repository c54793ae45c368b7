"""Keeps the tasks of one service that wait for a slot, in order."""

import heapq
import itertools
import math

from gooseberrylink.types import Task, TaskState


class TaskQueue:
    """Two heaps of waiting tasks, short and long ones, ordered by their sort keys.

    Tasks that left the queue stay in their heap until they reach its top; their
    state is not QUEUED any more.

    Attributes:
        short_count: Number of waiting short tasks.
        long_count: Number of waiting long tasks.
        work_s: Expected run time of all waiting tasks together on a typical worker,
            in seconds (slowdown 1).
        units: Units (see Resources) that all waiting tasks need together.
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
        """Adds a task, which must be in state QUEUED."""
        heap = self._long if task.is_long else self._short
        heapq.heappush(heap, (task.sort_key, next(self._sequence), task))
        if task.is_long:
            self.long_count += 1
        else:
            self.short_count += 1
        self.work_s += task.expected_s
        self.units += task.spec.resources.units

    def peek(self, is_long: bool) -> Task | None:
        """Returns the first short or long task without removing it, or None."""
        heap = self._long if is_long else self._short
        while heap and heap[0][2].state is not TaskState.QUEUED:
            heapq.heappop(heap)
        return heap[0][2] if heap else None

    def peek_many(self, is_long: bool, count: int) -> list[Task]:
        """Returns the first short or long tasks, up to count, without removing them."""
        if self.peek(is_long) is None:
            return []
        heap = self._long if is_long else self._short
        nodes = heapq.nsmallest(count, heap)
        return [task for _, _, task in nodes if task.state is TaskState.QUEUED]

    def take(self, task: Task) -> None:
        """Removes a queued task for assignment and sets its state to ASSIGNED."""
        task.state = TaskState.ASSIGNED
        self._subtract_from_totals(task)

    def drop(self, task: Task) -> None:
        """Removes a queued task and sets its state to NOT_STARTED."""
        task.state = TaskState.NOT_STARTED
        self._subtract_from_totals(task)

    def head_priority(self) -> tuple[int, float]:
        """Returns precedence and due time of the first task; 0 and infinity if none."""
        heads = [self.peek(is_long=False), self.peek(is_long=True)]
        sort_keys = [task.sort_key for task in heads if task is not None]
        if not sort_keys:
            return 0, math.inf
        negated_precedence, due_s = min(sort_keys)
        return -negated_precedence, due_s

    def work_before_s(self, sort_key: tuple[int, float]) -> float:
        """Returns the expected run time of all tasks before a sort key together.

        It is the time on a typical worker, in seconds (slowdown 1).
        """
        return sum(
            task.expected_s
            for heap in (self._short, self._long)
            for key, _, task in heap
            if key < sort_key and task.state is TaskState.QUEUED
        )

    def _subtract_from_totals(self, task: Task) -> None:
        if task.is_long:
            self.long_count -= 1
        else:
            self.short_count -= 1
        self.work_s = max(0.0, self.work_s - task.expected_s)
        self.units -= task.spec.resources.units
        if not len(self):
            self.work_s = 0.0
