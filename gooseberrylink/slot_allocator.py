"""Divides a backend server's slots among entries, and short and long tasks."""

import dataclasses
import math

from gooseberrylink.peers.messages import EntryFrame
from gooseberrylink.resources import NO_RESOURCES, Resources
from gooseberrylink.scheduling.sharing import MIN_SHARING_RANK

_MAX_SHORT_RESERVE_TASKS = 3
_SHORT_AVERAGE_WINDOW_S = 2.0
_DUE_SOON_S = 0.5
# The margin for a grant where ranks of sharing decide; see AgentSettings.
_RANKED_GRANT_MARGIN_S = 0.1


@dataclasses.dataclass(slots=True)
class EntryAccount:
    """Credits and demand of one entry.

    Attributes:
        credits: Idle units set aside for the entry, which it may use without
            reporting demand first.
        demand: Units that the entry still requests here for short tasks.
        demand_long: Units that it still requests here for long tasks.
        precedence: Precedence of the first task in its queue.
        due_s: When that task is due, on the agent's clock.
        reported_s: When the entry reported its queue, on the agent's clock.
    """

    credits: int = 0
    demand: int = 0
    demand_long: int = 0
    precedence: int = 0
    due_s: float = math.inf
    reported_s: float = -math.inf


class SlotAllocator:
    """Counts the units in use and credits idle units to entries.

    Resources are counted in units (see Resources). The text below says "slot",
    which is the unit of a backend server that counts slots. An entry is identified
    by its incarnation.

    Each idle slot is credited to one entry. If every entry could use every idle
    slot, several would send tasks to the same one, and all but one of these would
    be refused. When a task ends, its credit returns with the result to the entry
    that assigned it, unless the first task in another entry's queue is clearly
    more urgent. An entry without credits reports its demand, and receives idle
    credits from the entry that has the most.

    Credits are hints for entries: a task that arrives without one is started, too,
    if a slot is idle.

    A few slots are reserved for short tasks while such tasks are frequent.

    Attributes:
        slots: Units of the backend server.
        task_limit: Maximum number of tasks that run at the same time; equal to
            slots if BackendHealth sets no lower limit.
        used_units: Units in use.
        used_units_long: Units in use by long tasks, including short tasks that ran
            for longer than expected.
        running_task_count: Number of running tasks.
        free_memory_and_gpus: Memory and accelerators that no task uses. Its field
            `units` is ignored; used_units counts the units.
    """

    def __init__(self, demand_valid_s: float, grant_margin_s: float):
        """Creates an allocator without slots and entries.

        Args:
            demand_valid_s: How long the demand that an entry reported is valid.
            grant_margin_s: How much earlier the first task of another entry must be
                due for that entry to receive the credit of a task that ended.
        """
        self._demand_valid_s = demand_valid_s
        self._grant_margin_s = grant_margin_s
        self.slots = 0
        self.task_limit = 0
        self.used_units = 0
        self.used_units_long = 0
        self.running_task_count = 0
        self.free_memory_and_gpus = NO_RESOURCES
        self._task_units = 1
        self._entries: dict[str, EntryAccount] = {}
        self._short_units_average = 0.0
        self._short_average_updated_s = 0.0

    def resize(self, slots: int, task_units: int = 1) -> None:
        """Sets the number of units and distributes the credits again.

        Args:
            slots: Units of the backend server.
            task_units: Units of a typical task.
        """
        self.slots = self.task_limit = slots
        self._task_units = task_units
        self._distribute_credits()

    def add_entry(self, entry: str) -> None:
        """Adds an entry and distributes the credits again."""
        self._entries[entry] = EntryAccount()
        self._distribute_credits()

    def remove_entry(self, entry: str) -> None:
        """Removes an entry and distributes the credits again."""
        self._entries.pop(entry, None)
        self._distribute_credits()

    def update_demand(self, entry: str, frame: EntryFrame, now_s: float) -> None:
        """Records the demand and the urgency of an entry's queue."""
        account = self._entries.setdefault(entry, EntryAccount())
        account.demand = frame.demand
        account.demand_long = frame.demand_long
        account.precedence = frame.precedence
        account.due_s = now_s + frame.due_in_s
        account.reported_s = now_s

    def idle_units(self) -> int:
        """Returns how many more units tasks may use now."""
        units_within_limit = (
            self.task_limit - self.running_task_count
        ) * self._task_units
        return max(0, min(self.slots - self.used_units, units_within_limit))

    def fits(self, resources: Resources) -> bool:
        """Returns whether a task that needs these resources may start now."""
        if (
            self.running_task_count >= self.task_limit
            or self.slots - self.used_units < resources.units
        ):
            return False
        return (
            self.free_memory_and_gpus.memory_mb >= resources.memory_mb
            and self.free_memory_and_gpus.gpus >= resources.gpus
        )

    def idle_units_for_long(self, now_s: float) -> int:
        """Returns how many more units long tasks may use now."""
        available_units = (
            self.slots - self._short_reserve_units(now_s) - self.used_units_long
        )
        return max(0, min(self.idle_units(), available_units))

    def free_units_for(self, entry: str) -> int:
        """Returns how many units an entry may use now."""
        account = self._entries.get(entry)
        return min(self.idle_units(), account.credits) if account else 0

    def allocate(
        self,
        entry: str,
        is_long: bool,
        now_s: float,
        resources: Resources = Resources(),
    ) -> None:
        """Allocates the resources for a task of an entry."""
        self._update_short_average(now_s)
        self.used_units += resources.units
        self.used_units_long += resources.units if is_long else 0
        self.running_task_count += 1
        self.free_memory_and_gpus = self.free_memory_and_gpus.minus(resources)
        account = self._entries.get(entry)
        if account is not None:
            account.credits -= min(account.credits, resources.units)
        # The task may have used units that are credited to other entries.
        while self._uncredited_units() < 0 and self._take_credits(
            entry, -self._uncredited_units()
        ):
            pass

    def mark_long(self, now_s: float, resources: Resources = Resources()) -> None:
        """Counts a running short task as a long one from now on."""
        self._update_short_average(now_s)
        self.used_units_long += resources.units

    def release(
        self,
        owner: str,
        is_long: bool,
        now_s: float,
        resources: Resources = Resources(),
    ) -> str | None:
        """Releases the resources of a task.

        Args:
            owner: Entry that assigned the task.
            is_long: Whether the task counts as long.
            now_s: Present time on the agent's clock.
            resources: Resources of the task.

        Returns:
            The more urgent entry that received the credit, or None if no entry
            other than the owner received it.
        """
        self._update_short_average(now_s)
        self.used_units -= resources.units
        self.used_units_long -= resources.units if is_long else 0
        self.running_task_count -= 1
        self.free_memory_and_gpus = self.free_memory_and_gpus.plus(resources)
        freed = min(resources.units, self._uncredited_units())
        if freed <= 0:
            return None
        more_urgent = self._find_more_urgent_entry(owner, now_s)
        receiver = self._entries.get(more_urgent or owner)
        if receiver is not None:
            receiver.credits += freed
        if more_urgent is not None:
            self._reduce_demand(receiver, freed)
        return more_urgent

    def grant_credits(self, entry: str, now_s: float) -> bool:
        """Moves idle credits to an entry that has reported demand.

        Returns:
            Whether the entry received any.
        """
        account = self._entries.get(entry)
        if account is None:
            return False
        wanted = account.demand + min(
            account.demand_long, self.idle_units_for_long(now_s)
        )
        wanted = min(wanted, self.idle_units()) - account.credits
        moved = 0
        while moved < wanted:
            missing = wanted - moved
            taken = min(missing, max(0, self._uncredited_units()))
            taken = taken or self._take_credits(entry, missing)
            if not taken:
                break
            account.credits += taken
            moved += taken
        self._reduce_demand(account, moved)
        return moved > 0

    def _uncredited_units(self) -> int:
        credits = sum(account.credits for account in self._entries.values())
        return self.slots - self.used_units - credits

    def _distribute_credits(self) -> None:
        """Credits the idle units to all entries in equal parts."""
        accounts = list(self._entries.values())
        idle = max(0, self.slots - self.used_units)
        for number, account in enumerate(accounts):
            account.credits = idle // len(accounts) + (number < idle % len(accounts))

    def _take_credits(self, entry: str, wanted: int) -> int:
        """Takes credits from the other entry that has the most credits.

        The other entry learns of it from the agent's next frame. If it uses a
        credit before that, the agent starts or refuses the task according to the
        slots that are idle at that time.

        Returns:
            How many were taken: at most as many as wanted, and at most half of the
            other entry's credits unless it has only one.
        """
        others = [account for name, account in self._entries.items() if name != entry]
        donor = max(others, key=lambda account: account.credits, default=None)
        if donor is None or donor.credits <= 0:
            return 0
        taken = min(wanted, max(1, donor.credits // 2))
        donor.credits -= taken
        return taken

    def _find_more_urgent_entry(self, owner: str, now_s: float) -> str | None:
        best, best_urgency = None, self._urgency_key(owner, now_s)
        if _is_ranked(best_urgency):
            best_urgency = best_urgency[0], best_urgency[1] - _RANKED_GRANT_MARGIN_S
        elif math.isfinite(best_urgency[1]):
            # The owner has a queue, too. An additional message is justified only
            # for a task that would be late without it.
            due_limit_s = (
                min(best_urgency[1], now_s + _DUE_SOON_S) - self._grant_margin_s
            )
            best_urgency = best_urgency[0], due_limit_s
        for name, account in self._entries.items():
            wants_long = account.demand_long > 0 and self.idle_units_for_long(now_s) > 0
            if name == owner or not (account.demand > 0 or wants_long):
                continue
            urgency = self._urgency_key(name, now_s)
            if urgency < best_urgency:
                best, best_urgency = name, urgency
        return best

    def _urgency_key(self, entry: str, now_s: float) -> tuple[int, float]:
        """Returns a sort key that is lower for a more urgent queue."""
        account = self._entries.get(entry)
        if account is None or now_s - account.reported_s > self._demand_valid_s:
            return 0, math.inf
        return -account.precedence, account.due_s

    def _reduce_demand(self, account: EntryAccount, units: int) -> None:
        short = min(units, account.demand)
        account.demand -= short
        account.demand_long = max(0, account.demand_long - (units - short))

    def _short_reserve_units(self, now_s: float) -> int:
        """Returns how many units are reserved for short tasks.

        The number is the moving average of the units that short tasks used in the
        last seconds, rounded up, and has an upper limit.
        """
        self._update_short_average(now_s)
        wanted = round(self._short_units_average + 0.5)
        max_reserve = _MAX_SHORT_RESERVE_TASKS * self._task_units
        return max(0, min(max_reserve, self.slots - self._task_units, wanted))

    def _update_short_average(self, now_s: float) -> None:
        elapsed_s = now_s - self._short_average_updated_s
        if elapsed_s <= 0:
            return
        weight = min(1.0, elapsed_s / _SHORT_AVERAGE_WINDOW_S)
        short = self.used_units - self.used_units_long
        self._short_units_average += weight * (short - self._short_units_average)
        self._short_average_updated_s = now_s


def _is_ranked(urgency: tuple[int, float]) -> bool:
    return -urgency[0] >= MIN_SHARING_RANK
