"""Remembers which tasks were lost with their backend servers.

A task may crash each backend server that starts it. Its runs look like those of the
tasks beside it, which are lost as well, so a task is given up only after several
crashes. Agents report each lost run to their entries, because the job may be submitted
again to an entry that has assigned none of its tasks. Entries pass on what concerns all
entries to their agents, and these to their other entries. At first a lost run only
shows that its backend server is silent; the report is repeated once a crash is certain.
"""

import collections
from collections.abc import Collection

from gooseberrylink.peers.messages import LostRun

# Crashes shortly after the confirmed start of a task after which it is given up. The
# tasks beside it rarely start just before a crash twice.
_MAX_SUSPECT_CRASHES = 2
# Crashes at any time after a confirmed start after which a task is given up. It may
# crash backend servers later than shortly after its start.
_MAX_CONFIRMED_CRASHES = 3
# Crashes after which a task is given up, also those after a start without a reply. Such
# a task may have crashed the backend server before the reply, or was sent to one that
# had crashed before.
_MAX_CRASHES = 4
# Losses of a task from which all entries are to know them, even if it is no suspect.
_MIN_SHARED_LOSSES = 2
# Longer than the time in which callers submit a job again.
_RETENTION_S = 120.0
_MAX_LOST_RUNS = 1000
# Time for which news is repeated on new links. It covers the detection of a broken link
# and the next attempts to connect. Far below the retention, so that no process gets
# repeated runs that it has forgotten.
_NEWS_S = 10.0
# Lost runs that wait for one link at most. If there are more, the oldest are left out.
MAX_LOST_RUNS_A_FRAME = 1000
# A rack of a large site can lose a thousand runs at once.
MAX_LOST_RUNS_AT_ENTRY = 10_000


class CrashHistory:
    """The runs that were lost lately with their backend servers, by task.

    They are kept for 120 s.

    Args:
        max_lost_runs: How many are kept at most. An agent sends all of its own on each
            new link; an entry keeps those of all agents.
    """

    def __init__(self, max_lost_runs: int = _MAX_LOST_RUNS):
        self._max_lost_runs = max_lost_runs
        self._recorded: collections.deque[tuple[float, LostRun]] = collections.deque()
        self._lost_runs: dict[str, dict[str, LostRun]] = {}
        # Times at which something new was learned of a task, oldest first.
        self._news: collections.deque[tuple[float, str]] = collections.deque(
            maxlen=max_lost_runs
        )

    def record(self, lost_run: LostRun, now_s: float) -> bool:
        """Adds a run whose task has a name, or adds to what is known of it.

        A run counts as suspect, as lost in a crash, or as started without a reply once
        any report says so.

        Returns:
            Whether this was not known before.
        """
        if not lost_run.task_name:
            return False
        self._forget_old(now_s)
        of_task = self._lost_runs.setdefault(lost_run.task_name, {})
        known = of_task.get(lost_run.assignment_id)
        if known is None:
            self._recorded.append((now_s, lost_run))
        else:
            lost_run = LostRun(
                lost_run.task_name,
                lost_run.assignment_id,
                known.is_suspect or lost_run.is_suspect,
                known.is_crash or lost_run.is_crash,
                known.is_start_unanswered or lost_run.is_start_unanswered,
            )
        if lost_run == known:
            return False
        of_task[lost_run.assignment_id] = lost_run
        self._news.append((now_s, lost_run.task_name))
        return True

    def recent(self, now_s: float) -> list[LostRun]:
        """Returns all runs that are kept, oldest first."""
        self._forget_old(now_s)
        return [
            self._lost_runs[lost_run.task_name][lost_run.assignment_id]
            for _, lost_run in self._recorded
        ]

    def to_share(self, lost_run: LostRun) -> list[LostRun]:
        """Returns the runs that other entries are to know, now that one was recorded.

        A task concerns all entries once it is a suspect or was lost twice. The many
        single losses of a rack that crashed are left to the agents' own reports.
        """
        if self._is_full() or not self._concerns_all_entries(lost_run.task_name):
            return []
        of_task = self._lost_runs[lost_run.task_name]
        if len(of_task) == _MIN_SHARED_LOSSES:
            return list(of_task.values())
        return [of_task[lost_run.assignment_id]]

    def to_repeat(self, now_s: float) -> list[LostRun]:
        """Returns the runs that other entries are to know, for a new link.

        What was shared within the last seconds may have been lost with the old link.
        """
        self._forget_old(now_s)
        if self._is_full():
            return []
        while self._news and self._news[0][0] < now_s - _NEWS_S:
            self._news.popleft()
        # In the order of the news, without repetitions.
        task_names = dict.fromkeys(task_name for _, task_name in self._news)
        return [
            lost_run
            for task_name in task_names
            if self._concerns_all_entries(task_name)
            for lost_run in self._lost_runs[task_name].values()
        ]

    def count_losses(self, task_name: str) -> int:
        """Returns how many runs of a task were lost."""
        return len(self._lost_runs.get(task_name, ()))

    def is_suspect(self, task_name: str) -> bool:
        """Returns whether a backend server was lost shortly after it started a task."""
        return any(lost_run.is_suspect for lost_run in self._losses_of(task_name))

    def is_to_be_given_up(self, task_name: str) -> bool:
        """Returns whether crashes show that a task must not be started again."""
        lost_runs = self._losses_of(task_name)
        return _are_too_many([lost_run for lost_run in lost_runs if lost_run.is_crash])

    def may_be_given_up_soon(self, task_name: str) -> bool:
        """Returns whether its losses would give a task up if they were crashes."""
        return _are_too_many(self._losses_of(task_name))

    def _is_full(self) -> bool:
        """Returns whether it forgets runs before their time.

        These would be new to it again, and never stop going round.
        """
        return len(self._recorded) >= self._max_lost_runs

    def _concerns_all_entries(self, task_name: str) -> bool:
        losses = self.count_losses(task_name)
        return losses >= _MIN_SHARED_LOSSES or self.is_suspect(task_name)

    def _losses_of(self, task_name: str) -> Collection[LostRun]:
        return self._lost_runs.get(task_name, {}).values()

    def _forget_old(self, now_s: float) -> None:
        while self._recorded and (
            self._recorded[0][0] < now_s - _RETENTION_S
            or len(self._recorded) >= self._max_lost_runs
        ):
            _, lost_run = self._recorded.popleft()
            of_task = self._lost_runs[lost_run.task_name]
            del of_task[lost_run.assignment_id]
            if not of_task:
                del self._lost_runs[lost_run.task_name]


def _are_too_many(crashes: Collection[LostRun]) -> bool:
    """Returns whether a task must not be started again after these crashes."""
    confirmed = [crash for crash in crashes if not crash.is_start_unanswered]
    return (
        sum(crash.is_suspect for crash in confirmed) >= _MAX_SUSPECT_CRASHES
        or len(confirmed) >= _MAX_CONFIRMED_CRASHES
        or len(crashes) >= _MAX_CRASHES
    )
