"""Defines the messages between entries and agents, and their encoding.

A frame is one message on the wire: a header and any number of items. The header
reports the sender's load, so no separate messages are needed for that. Times on the
wire are seconds on the agent's monotonic clock, or durations in seconds.
"""

import enum
import math
from typing import Any

import msgspec

from gooseberrylink.resources import Resources


class Status(enum.IntEnum):
    """What an agent knows about an assigned task.

    STOPPED means that the task was started and was ended before it was done.
    """

    DONE = 1
    FAILED = 2
    NOT_STARTED = 3
    RUNNING = 4
    MAY_HAVE_RUN = 5
    STOPPED = 6


class Host(msgspec.Struct, array_like=True, frozen=True):
    """Where a backend server runs.

    Attributes:
        hardware: Hardware type; hosts of one type are equally fast. "" if unknown.
        rack: Name of the host's rack; "" if unknown.
        born_ms: When the backend server started, Unix time in milliseconds; 0 if
            unknown. Hosts are replaced under their old names.
    """

    hardware: str = ""
    rack: str = ""
    born_ms: int = 0


class AgentHello(msgspec.Struct, tag="ah", array_like=True):
    """First frame of an agent on a new link.

    Attributes:
        incarnation: Random id of this run of the agent. The records of its
            assignments are lost when the run ends.
        slots: Units of the backend server (see Resources); 0 if there is none.
        clock_s: The agent's monotonic clock.
        entries: Addresses of entries that the agent knows.
        speed_hint: Speed of the worker relative to a typical one; 1.0 if unknown.
        earlier_runs_left_s: Longest time that runs of the agent's earlier incarnations
            may still take, in seconds.
    """

    worker: str
    incarnation: str
    data_centre: str
    service: str
    slots: int
    clock_s: float
    entries: list[str]
    config_version: int = 0
    speed_hint: float = 1.0
    earlier_runs_left_s: float = 0.0


class EntryHello(msgspec.Struct, tag="eh", array_like=True):
    """Reply of an entry to an agent's hello.

    Attributes:
        incarnation: Random id of this run of the entry.
        address: host:port at which agents connect to the entry.
        entries: Addresses of all entries that the entry knows.
    """

    entry: str
    incarnation: str
    address: str
    entries: list[str]
    config_version: int = 0


class Assign(msgspec.Struct, tag="a", array_like=True):
    """Asks the agent to start a task.

    Attributes:
        assignment_id: Identifies this assignment of the task. A task that an
            agent refused may be assigned to it again under another id.
        remaining_s: Time left until the task may no longer be started.
        is_long: Whether the task may only use units that are open to long tasks.
        is_holdable: Whether the agent may hold the task until its resources are
            free. Otherwise the agent refuses it, or holds it for a short time if it
            is not long and few tasks are held.
        is_customer_reliable: Whether most of the customer's jobs succeed elsewhere,
            so that a failure is evidence against the backend server.
        resources: What the task uses at the backend server.
        attempt: Number of this assignment among all those of the task, from 1.
        expected_s: Expected run time on a typical worker, in seconds (slowdown 1).
        task_name: Name that the task has in all submissions of its job; "" if none.
    """

    assignment_id: str
    task_id: str
    job_id: str
    customer: str
    payload: Any
    remaining_s: float
    is_long: bool = False
    is_holdable: bool = False
    is_customer_reliable: bool = False
    resources: Resources = Resources()
    attempt: int = 1
    expected_s: float = 0.0
    task_name: str = ""


class Revoke(msgspec.Struct, tag="r", array_like=True):
    """Asks the agent never to start these tasks; it answers each with a Result.

    Attributes:
        stop_running: Whether to stop tasks that are already running, too, if the
            backend server can stop a task.
    """

    assignment_ids: list[str]
    stop_running: bool = False


class Ack(msgspec.Struct, tag="k", array_like=True):
    """Acknowledges results, so that the agent can discard them."""

    assignment_ids: list[str]


class Result(msgspec.Struct, tag="s", array_like=True):
    """Reports what the agent knows about an assigned task.

    Attributes:
        reason: snake_case reason of a refusal or failure, else "".
        run_s: Run time at the backend server, in seconds.
    """

    assignment_id: str
    status: Status
    value: Any = None
    reason: str = ""
    run_s: float = 0.0


class LostRun(msgspec.Struct, array_like=True, frozen=True):
    """A run that ended because its backend server crashed or fell silent.

    Attributes:
        task_name: See Assign.
        assignment_id: Identifies the run.
        is_suspect: Whether the backend server was lost shortly after it started the
            run, so that the task may have crashed it.
        is_crash: Whether a newer incarnation shows that the backend server crashed.
        is_start_unanswered: Whether the backend server did not confirm the start, so
            that it may have crashed before it received the request.
    """

    task_name: str
    assignment_id: str
    is_suspect: bool
    is_crash: bool = False
    is_start_unanswered: bool = False


class UnconfirmedStart(msgspec.Struct, array_like=True, frozen=True):
    """A start without a known confirmation that may still take effect.

    Either its agent is away, or the agent gets no reply to the start and its stop.

    Attributes:
        task_name: See Assign.
        assignment_id: Identifies the assignment.
        worker: Worker of the agent.
        incarnation: Incarnation of the agent that was to start the task.
        left_s: Time for which it may still take effect; 0 if it no longer can.
    """

    task_name: str
    assignment_id: str
    worker: str
    incarnation: str
    left_s: float


class EvacuationState(msgspec.Struct, array_like=True, frozen=True):
    """Which data centres one source evacuates, as of one of its versions.

    Attributes:
        source: Where the evacuations are requested; see scheduling/evacuation.py.
        version: Version of the source up to which this is complete, at least 1.
    """

    source: str
    version: int
    data_centres: frozenset[str]


class ClassCounts(msgspec.Struct, array_like=True, frozen=True):
    """Jobs of a class that callers sent lately; see scheduling/sharing.py.

    Attributes:
        data_centre: Data centre of the entry that the callers reached.
        band: Band of the jobs' sizes.
        requested: Tenths of jobs that were sent, decayed exponentially.
        turned_away: Tenths of those that were refused or given up.
    """

    customer: str
    data_centre: str
    band: int
    requested: int
    turned_away: int


class ConfigUpdate(msgspec.Struct, tag="c", array_like=True):
    """Carries an accepted configuration to a peer that has an older one.

    Attributes:
        packed: The declarations in canonical form, compressed with zlib.
    """

    version: int
    packed: bytes


class EntryFrame(msgspec.Struct, tag="ef", array_like=True):
    """A message from entry to agent.

    Attributes:
        sent_s: The entry's estimate of the agent's clock at sending, never later
            than the true value, and earlier if its event loop lags. The entry's lease
            is counted from it.
        demand: How many more units of resources (see Resources) the entry would
            use here for short tasks.
        demand_long: How many more units it would use here for long tasks.
        precedence: Precedence of the first task in the entry's queue. Tasks with a
            higher value are served first.
        due_in_s: Time until that task is due; infinite if the queue is empty.
        quarantined_share: Share of the service's agents in quarantine.
        customer_demands_per_s: Demand at this entry, in tasks per second, of
            customers that are close to their quota. Only customers for which this
            agent sums up the demand of all entries are included.
        lost_runs: Lost runs that concern all entries and are new to this one. The
            agent reports those that it did not know to its other entries.
        unconfirmed_starts: Starts of this entry that may take effect late, or no
            longer can. The agent passes them on to its other entries.
        evacuations: States that the agent may not know; it then handles them before
            the items.
        class_counts: Jobs that this entry's callers sent, by class, while jobs are
            turned away. Only some agents get them, which sum them up.
    """

    sent_s: float
    demand: int = 0
    demand_long: int = 0
    precedence: int = 0
    due_in_s: float = math.inf
    quarantined_share: float = 0.0
    config_version: int = 0
    customer_demands_per_s: dict[str, float] = {}
    items: list[Assign | Revoke | Ack | ConfigUpdate] = []
    lost_runs: list[LostRun] = []
    unconfirmed_starts: list[UnconfirmedStart] = []
    evacuations: list[EvacuationState] = []
    class_counts: list[ClassCounts] = []


class AgentFrame(msgspec.Struct, tag="af", array_like=True):
    """A message from agent to entry.

    Attributes:
        clock_s: The agent's monotonic clock at sending.
        free_units: Units of resources (see Resources) that this entry may use now.
        free_long_units: Units that this entry may use now for long tasks.
        units_received: Units of all Assign items received on this link so far.
        slots: Units of the backend server; 0 if there is none or it is leaving.
        service: Service of the backend server; another backend server at the same
            agent may have another service.
        is_quarantined: Whether the agent accepts only single probe tasks.
        total_customer_demands_per_s: Demand at all entries together, in tasks per
            second, of the customers that this entry reported.
        free_memory_mb: Memory of the backend server that no task uses.
        free_gpus: Accelerators of the backend server that no task uses.
        memory_mb: Memory of the backend server.
        gpus: Accelerators of the backend server.
        speed: Speed at which tasks run at the backend server now, relative to a
            typical worker; 0 if unknown.
        host: Host of the backend server; None if it is the same as last sent on
            this link.
        lost_runs: Runs of all entries that were lost with the backend server, and
            that were not sent on this link yet.
        started_ids: Ids of this entry's assignments that are running and whose start
            the backend server has confirmed, each once on a link.
        unconfirmed_starts: Those that other entries sent; see EntryFrame.
        evacuations: States that the entry may not know.
        class_counts: Sums of the counts of all other entries, by class, if any has
            reported new ones.
        idle_units: Units that no task uses, also those credited to other entries; 0
            if the agent accepts only single tasks.
    """

    clock_s: float
    free_units: int
    free_long_units: int
    units_received: int
    slots: int = 0
    service: str = ""
    is_quarantined: bool = False
    config_version: int = 0
    total_customer_demands_per_s: dict[str, float] = {}
    items: list[Result | ConfigUpdate] = []
    free_memory_mb: int = 0
    free_gpus: int = 0
    memory_mb: int = 0
    gpus: int = 0
    speed: float = 0.0
    host: Host | None = None
    lost_runs: list[LostRun] = []
    started_ids: list[str] = []
    unconfirmed_starts: list[UnconfirmedStart] = []
    evacuations: list[EvacuationState] = []
    class_counts: list[ClassCounts] = []
    idle_units: int = 0


_encoder = msgspec.msgpack.Encoder()
_agent_side_decoder = msgspec.msgpack.Decoder(EntryHello | EntryFrame)
_entry_side_decoder = msgspec.msgpack.Decoder(AgentHello | AgentFrame)


def encode(frame: AgentHello | EntryHello | EntryFrame | AgentFrame) -> bytes:
    """Encodes a frame as MessagePack."""
    return _encoder.encode(frame)


def decode_at_agent(data: bytes) -> EntryHello | EntryFrame:
    """Decodes a frame from an entry.

    Raises:
        msgspec.DecodeError: The data is malformed or is no frame of an entry.
    """
    return _agent_side_decoder.decode(data)


def decode_at_entry(data: bytes) -> AgentHello | AgentFrame:
    """Decodes a frame from an agent.

    Raises:
        msgspec.DecodeError: The data is malformed or is no frame of an agent.
    """
    return _entry_side_decoder.decode(data)
