"""Knows which data centres are evacuated, and which waiting jobs then have no room.

Load pattern: an operator empties a data centre. A third of the room is gone at once,
often at peak load and when its workers have just become cold, while jobs that count on
it are queued; it comes back as suddenly, empty, when the request is taken back.
Meanwhile processes restart, freeze, or lose the store, and must not undo either.
"""

import math
from collections.abc import Callable, Iterable

from gooseberrylink.codes import Code
from gooseberrylink.exceptions import RefusedError
from gooseberrylink.logs import log_event
from gooseberrylink.operators.configuration import Configuration
from gooseberrylink.peers.messages import EvacuationState
from gooseberrylink.types import Job, Task

# Sources of evacuations. The first is the operator's table in the store, the second the
# rules of the configuration.
OPERATOR = "operator"
RULES = "rules"

# How many tasks may run at once at a worker whose data centre was taken back, until its
# first success or the end of the slow start. It may have become cold.
RETURN_SLOW_START_TASKS = 2

# An evacuation is to last for minutes, but the operator may take it back at any time.
_EVACUATED_RETRY_AFTER_S = 5.0
_MIN_RETRY_AFTER_S = 1.0
_MAX_RETRY_AFTER_S = 30.0


class Evacuations:
    """The data centres that are evacuated, as far as this process knows.

    Each source has versions of its own. A state is replaced as a whole by one with a
    higher version and never by one with a lower version, so that a process that was cut
    off or frozen can't bring back what has changed since.

    Attributes:
        data_centres: The evacuated data centres of all sources together.
    """

    def __init__(self, on_change: Callable[[frozenset[str]], None] | None = None):
        """Creates the register of a process that knows of no source yet.

        Args:
            on_change: Called after `data_centres` changed, with the former value.
        """
        self.data_centres: frozenset[str] = frozenset()
        self._on_change = on_change
        self._states: dict[str, EvacuationState] = {}

    def version(self, source: str) -> int:
        """Returns the version of a source up to which it is known; 0 if unknown."""
        state = self._states.get(source)
        return state.version if state else 0

    def of_source(self, source: str) -> frozenset[str]:
        """Returns the data centres that one source evacuates."""
        state = self._states.get(source)
        return state.data_centres if state else frozenset()

    def states(self) -> list[EvacuationState]:
        """Returns the newest known state of each source."""
        return list(self._states.values())

    def adopt(self, state: EvacuationState, learnt_from: str) -> None:
        """Adopts a state if it is newer than what is known of its source.

        Args:
            state: State of one source; one without a version is ignored.
            learnt_from: Who told it, for the log: "store", "configuration", "entry" or
                "agent".
        """
        known = self._states.get(state.source)
        state = _join(known, state)
        if state is known or not state.version:
            return
        self._states[state.source] = state
        if known is None or known.data_centres != state.data_centres:
            log_event(
                "evacuation_adopted",
                source=state.source,
                version=state.version,
                data_centres=",".join(sorted(state.data_centres)),
                learnt_from=learnt_from,
            )
        former = self.data_centres
        self.data_centres = frozenset().union(*(s.data_centres for s in self.states()))
        if self.data_centres != former and self._on_change is not None:
            self._on_change(former)

    def adopt_rules(self, configuration: Configuration) -> None:
        """Adopts what the rules of a configuration evacuate."""
        names = configuration.declarations.rules.evacuated_data_centres
        state = EvacuationState(RULES, configuration.version, frozenset(names))
        self.adopt(state, "configuration")


class EvacuationLink:
    """What the peer at the other end of one link knows of evacuations.

    The first frame on a link carries all that is known, and later ones what is new.
    """

    def __init__(self, evacuations: Evacuations):
        self._evacuations = evacuations
        self._peer_states: dict[str, EvacuationState] = {}

    def is_peer_wrong(self) -> bool:
        """Returns whether the peer takes other data centres for evacuated.

        What it does not know beyond that can wait for the next frame.
        """
        return any(
            state.data_centres != self._peer_data_centres(state.source)
            for state in self._unknown_to_peer()
        )

    def take_updates(self) -> list[EvacuationState]:
        """Returns the states that the peer does not know, for the next frame."""
        updates = self._unknown_to_peer()
        for state in updates:
            self._record(state)
        return updates

    def receive(self, states: list[EvacuationState], learnt_from: str) -> None:
        """Adopts the states in a frame of the peer."""
        for state in states:
            self._record(state)
            self._evacuations.adopt(state, learnt_from)

    def _peer_data_centres(self, source: str) -> frozenset[str]:
        state = self._peer_states.get(source)
        return state.data_centres if state else frozenset()

    def _record(self, state: EvacuationState) -> None:
        self._peer_states[state.source] = _join(
            self._peer_states.get(state.source), state
        )

    def _unknown_to_peer(self) -> list[EvacuationState]:
        peer_states = self._peer_states
        return [
            state
            for state in self._evacuations.states()
            if _join(peer_states.get(state.source), state)
            is not peer_states.get(state.source)
        ]


def _join(known: EvacuationState | None, state: EvacuationState) -> EvacuationState:
    """Returns what is known of a source after a state was heard.

    The higher version counts. Processes that read the same version differ only if one
    could not read a row or does not know a data centre; then all that is evacuated for
    any of them counts.
    """
    if known is None or state.version > known.version:
        return state
    if state.version < known.version or state.data_centres <= known.data_centres:
        return known
    data_centres = state.data_centres | known.data_centres
    return EvacuationState(state.source, state.version, data_centres)


def find_jobs_without_room(
    queued: Iterable[Task], parallelism: float, slowdown: float, now_s: float
) -> list[tuple[Job, float]]:
    """Returns the queued jobs that the remaining room can't start in time.

    Jobs of which a task was assigned before are left alone. A job that is returned
    leaves its place to those behind it.

    Args:
        queued: The waiting tasks in their order.
        parallelism: How many tasks run at once in the remaining room; 0 if none is
            left.
        slowdown: Run time over expected run time at the fastest workers.
        now_s: Time on the entry's clock.

    Returns:
        Each job with the wait that is expected for it, in seconds.
    """
    without_room: dict[Job, float] = {}
    work_s = 0.0
    for task in queued:
        job = task.job
        if job in without_room:
            continue
        wait_s = slowdown * work_s / parallelism if parallelism else math.inf
        is_too_late = now_s + wait_s > min(job.start_by_s, job.expires_s)
        if (is_too_late or not parallelism) and job.is_unassigned():
            without_room[job] = wait_s
        else:
            work_s += task.expected_s
    return list(without_room.items())


def refusal_for_lack_of_room(
    service: str, data_centres: Iterable[str], wait_s: float
) -> RefusedError:
    """Returns the refusal of a job for which an evacuation left too little room.

    Args:
        service: Service of the job.
        data_centres: The evacuated data centres.
        wait_s: Expected wait in seconds; infinite if no room is left.
    """
    names = ", ".join(sorted(data_centres))
    if math.isinf(wait_s):
        return RefusedError(
            Code.EVACUATED,
            f"all backend servers of service {service} that this entry reaches are in"
            f" evacuated data centres ({names})",
            _EVACUATED_RETRY_AFTER_S,
        )
    return RefusedError(
        Code.OVERLOADED,
        f"after the evacuation of {names} the first task would wait about"
        f" {wait_s:.2f} s, too long for the job",
        min(_MAX_RETRY_AFTER_S, max(_MIN_RETRY_AFTER_S, 2 * wait_s)),
    )
