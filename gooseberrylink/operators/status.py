"""Builds the status report of an entry for operators."""

from typing import Any

from gooseberrylink.entry import Entry
from gooseberrylink.peers.agent_peer import AgentPeer
from gooseberrylink.service_pool import ServicePool


def entry_status(entry: Entry) -> dict[str, Any]:
    """Returns the state of an entry and of its known agents, ready for JSON.

    `slots` and `free_slots` count units (see Resources).
    """
    return {
        "entry": entry.settings.entry,
        "incarnation": entry.incarnation,
        "config_version": entry.configuration.version,
        "evacuations": {
            state.source: {
                "version": state.version,
                "data_centres": sorted(state.data_centres),
            }
            for state in entry.evacuations.states()
        },
        "is_ready": entry.is_ready,
        "is_draining": entry.dispatcher.is_draining,
        "jobs": len(entry.dispatcher.jobs),
        # The service pools; operators know them by this key. The pool without a service
        # holds agents that have not had a backend server yet.
        "lanes": [
            _pool_status(pool) for pool in entry.dispatcher.pools() if pool.service
        ],
        "agents": [
            _agent_status(entry, peer) for _, peer in sorted(entry.peers.items())
        ],
    }


def _pool_status(pool: ServicePool) -> dict[str, Any]:
    return {
        "service": pool.service,
        "queued_tasks": len(pool.queue),
        "queued_work_s": round(pool.queue.work_s, 3),
        "in_flight_tasks": pool.in_flight_count,
        "slots": pool.total_units(),
    }


def _agent_status(entry: Entry, peer: AgentPeer) -> dict[str, Any]:
    return {
        "worker": peer.worker,
        "service": peer.service,
        "data_centre": peer.data_centre,
        "config_version": peer.config_version,
        "is_connected": peer.is_connected,
        "is_quarantined": peer.is_quarantined,
        "is_evacuated": peer.is_evacuated,
        "slots": peer.slots,
        "free_slots": max(0, peer.free_units),
        "in_flight_tasks": len(peer.tasks_in_flight),
        "relative_speed": round(entry.dispatcher.run_times.speed(peer.worker), 3),
    }
