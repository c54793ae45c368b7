"""Keeps the tasks of one service that wait for a slot, in order."""

import heapq
import itertools
import math
from collections.abc import Callable

from gooseberrylink.scheduling.sharing import MIN_SHARING_RANK, rank_of_started
from gooseberrylink.types import Job, Task, TaskState

# An entry of a heap: sort key, number of the entry, task.
_Node = tuple[tuple[int, float], int, Task]


class TaskQueue:
    """Heaps of waiting tasks, ordered by their sort keys.

    There is one for short and one for long tasks, and one for suspects, short or long:
    they wait for workers that may have capacity for other tasks. Tasks that left the
    queue stay in their heap until they reach its top. A task that was added again has
    several entries, of which the last is valid.

    Where ranks of sharing.py order the queue, the rest of a job goes first once it has
    begun, and jobs behind the head may have to be given up before those at the head.

    Attributes:
        on_turned_away: Called with each job that leaves before any task was taken.
        short_count: Number of waiting short tasks.
        long_count: Number of waiting long tasks.
        work_s: Expected run time of all waiting tasks together on a typical worker,
            in seconds (slowdown 1).
        units: Units (see Resources) that all waiting tasks need together.
    """

    def __init__(self):
        self._short: list[_Node] = []
        self._long: list[_Node] = []
        self._suspects: list[_Node] = []
        # Ordered by the time at which their jobs are given up.
        self._by_start_limit: list[tuple[float, int, Task]] = []
        self.on_turned_away: Callable[[Job], None] | None = None
        self._sequence = itertools.count()
        # Number of the valid entry of each waiting task.
        self._valid_numbers: dict[Task, int] = {}
        self._tasks_by_name: dict[str, list[Task]] = {}
        self.short_count = 0
        self.long_count = 0
        self.work_s = 0.0
        self.units = 0

    def __len__(self) -> int:
        return self.short_count + self.long_count

    def push(self, task: Task) -> None:
        """Adds a task, which must be in state QUEUED."""
        if _is_ranked(task) and task.attempts:
            task.sort_key = _sort_key_of_rest(task)
        heap = self._long if task.is_long else self._short
        if task.is_crash_suspect:
            heap = self._suspects
        number = next(self._sequence)
        self._valid_numbers[task] = number
        if task.spec.name:
            self._tasks_by_name.setdefault(task.spec.name, []).append(task)
        heapq.heappush(heap, (task.sort_key, number, task))
        if _is_ranked(task) and task.job.start_by_s < math.inf:
            limit_s = task.job.start_by_s
            heapq.heappush(self._by_start_limit, (limit_s, number, task))
        if task.is_long:
            self.long_count += 1
        else:
            self.short_count += 1
        self.work_s += task.expected_s
        self.units += task.spec.resources.units

    def candidates(self, count: int, now_s: float) -> list[Task]:
        """Returns the tasks to assign or give up next, in order.

        They are the first short and long tasks, suspects and expired tasks, up to count
        of each.
        """
        while self._by_start_limit and not self._is_valid(self._by_start_limit[0]):
            heapq.heappop(self._by_start_limit)
        nodes = [node for heap in self._heaps() for node in self._nodes(heap, count)]
        if self._by_start_limit and self._by_start_limit[0][0] <= now_s:
            nodes += [
                (task.sort_key, number, task)
                for limit_s, number, task in self._nodes(self._by_start_limit, count)
                if limit_s <= now_s
            ]
        return [node[2] for node in sorted(set(nodes), key=lambda node: node[:2])]

    def peek(self, is_long: bool) -> Task | None:
        """Returns the first short or long task, suspects aside, or None."""
        return self._first(self._long if is_long else self._short)

    def peek_many(self, is_long: bool, count: int) -> list[Task]:
        """Returns the first short or long tasks, suspects aside, up to count."""
        return self._first_many(self._long if is_long else self._short, count)

    def peek_suspects(self, count: int) -> list[Task]:
        """Returns the first suspects, short or long, up to count."""
        return self._first_many(self._suspects, count)

    def find(self, task_name: str) -> list[Task]:
        """Returns the waiting tasks that have a name, which must not be empty."""
        return list(self._tasks_by_name.get(task_name, ()))

    def _first(self, heap: list[_Node]) -> Task | None:
        while heap and not self._is_valid(heap[0]):
            heapq.heappop(heap)
        return heap[0][2] if heap else None

    def _first_many(self, heap: list[_Node], count: int) -> list[Task]:
        return [node[2] for node in self._nodes(heap, count)]

    def _nodes(self, heap: list[_Node], count: int) -> list[_Node]:
        if self._first(heap) is None:
            return []
        nodes = heapq.nsmallest(count, heap)
        return [node for node in nodes if self._is_valid(node)]

    def take(self, task: Task) -> None:
        """Removes a queued task for assignment and sets its state to ASSIGNED."""
        task.state = TaskState.ASSIGNED
        self._subtract_from_totals(task)
        if _is_ranked(task):
            self._advance_rest(task.job)

    def _advance_rest(self, job: Job) -> None:
        """Gives the waiting tasks of a job that has begun the rank of such tasks."""
        for task in job.tasks:
            sort_key = _sort_key_of_rest(task)
            if task not in self._valid_numbers or task.sort_key == sort_key:
                continue
            self._valid_numbers[task] = number = next(self._sequence)
            task.sort_key = sort_key
            heap = self._long if task.is_long else self._short
            if task.is_crash_suspect:
                heap = self._suspects
            heapq.heappush(heap, (sort_key, number, task))

    def drop(self, task: Task) -> None:
        """Removes a queued task and sets its state to NOT_STARTED."""
        if self.on_turned_away is not None and task.job.is_unassigned():
            self.on_turned_away(task.job)
        task.state = TaskState.NOT_STARTED
        self._subtract_from_totals(task)

    def in_order(self) -> list[Task]:
        """Returns all waiting tasks in order."""
        nodes = [n for heap in self._heaps() for n in heap if self._is_valid(n)]
        return [node[2] for node in sorted(nodes, key=lambda node: node[:2])]

    def head_priority(self) -> tuple[int, float]:
        """Returns precedence and due time of the first task; 0 and infinity if none."""
        heads = [self._first(heap) for heap in self._heaps()]
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
            node[2].expected_s
            for heap in self._heaps()
            for node in heap
            if node[0] < sort_key and self._is_valid(node)
        )

    def _heaps(self) -> tuple[list[_Node], ...]:
        return self._short, self._long, self._suspects

    def _is_valid(self, node: _Node) -> bool:
        """Returns whether a heap entry is that of a waiting task."""
        _, number, task = node
        return self._valid_numbers.get(task) == number

    def _subtract_from_totals(self, task: Task) -> None:
        del self._valid_numbers[task]
        if task.spec.name:
            tasks = self._tasks_by_name[task.spec.name]
            tasks.remove(task)
            if not tasks:
                del self._tasks_by_name[task.spec.name]
        if task.is_long:
            self.long_count -= 1
        else:
            self.short_count -= 1
        self.work_s = max(0.0, self.work_s - task.expected_s)
        self.units -= task.spec.resources.units
        if not len(self):
            self.work_s = 0.0


def _is_ranked(task: Task) -> bool:
    return -task.sort_key[0] >= MIN_SHARING_RANK


def _sort_key_of_rest(task: Task) -> tuple[int, float]:
    """Returns the sort key of a task whose job has begun."""
    return -rank_of_started(-task.sort_key[0]), task.sort_key[1]
