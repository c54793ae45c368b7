"""Shares the slots of one backend server among the entries and task classes."""

import dataclasses
import math

from gooseberrylink.peers.messages import EntryFrame

_SHORT_RESERVE_MAX = 3
_SHORT_BUSY_DECAY_S = 2.0


@dataclasses.dataclass(slots=True)
class EntryDemand:
    """What an entry last said of its queue.

    Attributes:
        demand: Slots that the entry still wants here for short tasks.
        demand_long: Slots that it still wants here for long tasks.
        precedence: Precedence of the first task in its queue.
        due_s: When that task is due, on the agent's clock.
        stated_s: When it said so, on the agent's clock.
        grant_ends_s: When the slot reserved for it is free again; 0 if none.
    """

    demand: int = 0
    demand_long: int = 0
    precedence: int = 0
    due_s: float = math.inf
    stated_s: float = 0.0
    grant_ends_s: float = 0.0


class SlotLedger:
    """Counts the slots in use and decides which entry gets a freed one.

    A freed slot goes to the entry whose task ended, unless the first task in
    another entry's queue is markedly more urgent. Then the slot is reserved
    for that entry for a short time. So the queues of all entries are served
    nearly as one, in order of urgency.

    Long tasks never take the last few slots, as long as short tasks come by.

    Attributes:
        slots: Slots of the backend server.
        running: Slots in use.
        running_long: Slots in use by long tasks, overruns included.
    """

    def __init__(self, grant_s: float, demand_valid_s: float, grant_margin_s: float):
        self._grant_s = grant_s
        self._demand_valid_s = demand_valid_s
        self._grant_margin_s = grant_margin_s
        self.slots = 0
        self.limit = 0
        self.running = 0
        self.running_long = 0
        self._entries: dict[str, EntryDemand] = {}
        self._short_busy = 0.0
        self._short_busy_s = 0.0

    def state_demand(self, entry: str, frame: EntryFrame, now_s: float) -> None:
        """Notes what an entry says of its queue."""
        state = self._entries.setdefault(entry, EntryDemand())
        state.demand = frame.demand
        state.demand_long = frame.demand_long
        state.precedence = frame.precedence
        state.due_s = now_s + frame.due_in_s
        state.stated_s = now_s
        if frame.is_grant_returned:
            state.grant_ends_s = 0.0

    def has_room_for(self, entry: str, now_s: float) -> bool:
        """Says whether a slot is free for what the entry wants here."""
        state = self._entries.get(entry)
        if state is None:
            return False
        if state.demand > 0 and self.free_for(entry, now_s) > 0:
            return True
        return state.demand_long > 0 and self.free_long_for(entry, now_s) > 0

    def remove_entry(self, entry: str) -> None:
        """Frees what was reserved for an entry that is gone."""
        self._entries.pop(entry, None)

    def free_for(self, entry: str, now_s: float) -> int:
        """Returns how many slots an entry may use now."""
        reserved = sum(
            state.grant_ends_s > now_s
            for name, state in self._entries.items()
            if name != entry
        )
        return max(0, min(self.slots, self.limit) - self.running - reserved)

    def free_long_for(self, entry: str, now_s: float) -> int:
        """Returns how many slots an entry may use now for long tasks."""
        room = self.slots - self._short_reserve(now_s) - self.running_long
        return max(0, min(self.free_for(entry, now_s), room))

    def start(self, entry: str, is_long: bool, now_s: float) -> None:
        """Takes a slot for a task of an entry, and its grant if it has one."""
        self._note_short_busy(now_s)
        self.running += 1
        self.running_long += is_long
        state = self._entries.get(entry)
        if state is not None:
            state.grant_ends_s = 0.0

    def overrun(self, now_s: float) -> None:
        """Counts a running short task as long from now on."""
        self._note_short_busy(now_s)
        self.running_long += 1

    def end(self, is_long: bool, now_s: float) -> None:
        """Gives back the slot of a task that ended."""
        self._note_short_busy(now_s)
        self.running -= 1
        self.running_long -= is_long

    def grant_freed_slot(self, owner: str, now_s: float) -> str | None:
        """Chooses who gets a slot that the owner's task just left.

        Returns:
            The entry that the slot is now reserved for, or None if the slot
            stays open to all, first of all to the owner.
        """
        if self.free_for("", now_s) <= 0:
            return None
        best = None
        best_urgency = self._urgency(owner, now_s, self._grant_margin_s)
        for name, state in self._entries.items():
            if name == owner or state.grant_ends_s > now_s:
                continue
            urgency = self._urgency(name, now_s)
            is_pressing = urgency[1] < now_s + 0.3 or not math.isfinite(best_urgency[1])
            if (
                is_pressing
                and urgency < best_urgency
                and self.has_room_for(name, now_s)
            ):
                best, best_urgency = name, urgency
        if best is None:
            return None
        state = self._entries[best]
        if state.demand > 0:
            state.demand -= 1
        else:
            state.demand_long -= 1
        state.grant_ends_s = now_s + self._grant_s
        return best

    def has_grant(self, entry: str, now_s: float) -> bool:
        """Says whether a slot is reserved for the entry."""
        state = self._entries.get(entry)
        return state is not None and state.grant_ends_s > now_s

    def _urgency(
        self, entry: str, now_s: float, margin_s: float = 0.0
    ) -> tuple[int, float]:
        """Returns a key that is lower for more urgent queues.

        Args:
            entry: Incarnation of the entry.
            now_s: The agent's clock.
            margin_s: Time by which the entry counts as more urgent than it is.
        """
        state = self._entries.get(entry)
        if state is None or now_s - state.stated_s > self._demand_valid_s:
            return 0, math.inf
        return -state.precedence, state.due_s - margin_s

    def _short_reserve(self, now_s: float) -> int:
        """Slots kept from long tasks: as many as short tasks used lately."""
        self._note_short_busy(now_s)
        wanted = round(self._short_busy + 0.5)
        return max(0, min(_SHORT_RESERVE_MAX, self.slots - 1, wanted))

    def _note_short_busy(self, now_s: float) -> None:
        elapsed_s = now_s - self._short_busy_s
        if elapsed_s <= 0:
            return
        weight = min(1.0, elapsed_s / _SHORT_BUSY_DECAY_S)
        short = self.running - self.running_long
        self._short_busy += weight * (short - self._short_busy)
        self._short_busy_s = now_s
