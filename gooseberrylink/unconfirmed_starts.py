"""Remembers starts that may still take effect although nothing can stop them.

A backend server may execute a start without a reply seconds later. If the agent that
requested it is killed, frozen or cut off, or can't reach the backend server, nothing
stops that run, and the job may meanwhile be submitted again. The entry that assigned
the task, or the agent, therefore tells the other entries through the agents; none
accepts the job before the start can have no effect.
"""

import collections
from collections.abc import Iterable

import msgspec

from gooseberrylink.codes import Code
from gooseberrylink.exceptions import RefusedError
from gooseberrylink.peers.messages import UnconfirmedStart

# Starts that wait for one link at most. If there are more, the oldest are left out.
MAX_STARTS_A_FRAME = 1000
# A rack of a large site can lose a thousand at once.
_MAX_STARTS = 10_000
# An agent that was killed or frozen, or a silent worker, is usually back within
# seconds, long before a late start can be ruled out without it.
_MAX_RETRY_AFTER_PENDING_S = 2.0


class UnconfirmedStarts:
    """The starts of all processes that may still take effect, by task."""

    def __init__(self):
        # Starts with the times by which they can have no effect, by assignment.
        self._recorded: collections.OrderedDict[str, tuple[UnconfirmedStart, float]] = (
            collections.OrderedDict()
        )
        self._ids_by_task: dict[str, set[str]] = {}

    def record(self, start: UnconfirmedStart, now_s: float) -> bool:
        """Adds a start, or changes the time by which it can have no effect.

        Returns:
            Whether it was not known that the start may have an effect, or that it can
            have none.
        """
        self._forget_old(now_s)
        known = self._recorded.get(start.assignment_id)
        was_pending = known is not None and known[1] > now_s
        self._recorded[start.assignment_id] = (start, now_s + start.left_s)
        self._ids_by_task.setdefault(start.task_name, set()).add(start.assignment_id)
        return was_pending != (start.left_s > 0)

    def handle_agent_restart(
        self, worker: str, incarnation: str, left_s: float, now_s: float
    ) -> None:
        """Shortens the wait for the starts of an agent's earlier incarnations.

        Args:
            worker: Worker of the agent.
            incarnation: Its present incarnation.
            left_s: Time after which runs of earlier ones have ended.
            now_s: Time on the entry's clock.
        """
        for assignment_id, (start, end_s) in self._recorded.items():
            if start.worker == worker and start.incarnation != incarnation:
                end_s = min(end_s, now_s + left_s)
                self._recorded[assignment_id] = (start, end_s)

    def left_s(self, task_names: Iterable[str], now_s: float) -> float:
        """Returns how long a start of any of these tasks may still take effect."""
        ends_s = [
            self._recorded[assignment_id][1]
            for task_name in task_names
            for assignment_id in self._ids_by_task.get(task_name, ())
        ]
        return max(0.0, max(ends_s, default=now_s) - now_s)

    def _forget_old(self, now_s: float) -> None:
        while self._recorded:
            assignment_id, (start, end_s) = next(iter(self._recorded.items()))
            if end_s > now_s and len(self._recorded) < _MAX_STARTS:
                return
            del self._recorded[assignment_id]
            of_task = self._ids_by_task[start.task_name]
            of_task.remove(assignment_id)
            if not of_task:
                del self._ids_by_task[start.task_name]


class AnnouncedStarts:
    """The starts that a process has announced and not withdrawn."""

    def __init__(self):
        # Starts with the times by which they can have no effect, by assignment.
        self._announced: dict[str, tuple[UnconfirmedStart, float]] = {}

    def add(self, start: UnconfirmedStart, now_s: float) -> None:
        """Adds a start that was announced now."""
        self._announced[start.assignment_id] = start, now_s + start.left_s

    def withdraw(
        self, assignment_id: str, left_s: float = 0.0
    ) -> UnconfirmedStart | None:
        """Removes a start; returns the notice that withdraws it.

        Args:
            assignment_id: Identifies the assignment of the start.
            left_s: Time after which it can take no effect.

        Returns:
            The notice; None if the start was not announced.
        """
        announced = self._announced.pop(assignment_id, None)
        if announced is None:
            return None
        return msgspec.structs.replace(announced[0], left_s=left_s)

    def pending(self, now_s: float) -> list[UnconfirmedStart]:
        """Returns notices of the starts that may still take effect."""
        self._announced = {
            assignment_id: (start, end_s)
            for assignment_id, (start, end_s) in self._announced.items()
            if end_s > now_s
        }
        return [
            msgspec.structs.replace(start, left_s=end_s - now_s)
            for start, end_s in self._announced.values()
        ]


def earlier_start_pending(left_s: float) -> RefusedError:
    """Returns the refusal of a job while an earlier start may still take effect."""
    return RefusedError(
        Code.EARLIER_START_PENDING,
        "a task of an earlier submission may still start, at a worker that has not"
        f" confirmed it, within the next {left_s:.1f} s",
        min(left_s, _MAX_RETRY_AFTER_PENDING_S),
    )
