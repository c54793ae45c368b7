"""Explains to operators what an entry would do with a job now."""

from typing import Any

from gooseberrylink.callers.models import answer_body
from gooseberrylink.codes import Code
from gooseberrylink.entry import Entry
from gooseberrylink.exceptions import RefusedError
from gooseberrylink.peers.agent_peer import AgentPeer
from gooseberrylink.routing import remote_factor
from gooseberrylink.run_times import WorkerIdentity
from gooseberrylink.scheduling.trial import ConsideredWorker, Placement, Trial
from gooseberrylink.types import Answer, JobRequest, Task


def explain_job(entry: Entry, request: JobRequest) -> dict[str, Any]:
    """Returns where each task of a job would go now and why, ready for JSON.

    Nothing is sent and no state of the entry changes. The field `code` is 0 for a job
    that would be admitted, and else that of its refusal.
    """
    explanation = {
        "entry": entry.settings.entry,
        "config_version": entry.configuration.version,
        "customer": request.customer,
        "service": request.service,
        **_describe_customer(entry, request.customer),
    }
    try:
        trial = entry.try_out(request)
    except RefusedError as error:
        answer = Answer(error.code, error.detail, None, error.retry_after_s)
        return explanation | answer_body(answer)
    return explanation | {
        "code": int(Code.OK),
        "name": Code.OK.name,
        "expected_wait_s": round(trial.expected_wait_s, 3),
        "wait_limit_s": round(trial.wait_limit_s, 3),
        "tasks": [_describe_placement(entry, trial, p) for p in trial.placements],
    }


def _describe_customer(entry: Entry, name: str) -> dict[str, Any]:
    """Returns a customer's precedence, and its share of this entry's running work."""
    customer = entry.configuration.customer(name)
    tasks = [t for p in entry.peers.values() for t in p.tasks_in_flight.values()]
    units = sum(task.spec.resources.units for task in tasks)
    own_units = sum(
        task.spec.resources.units for task in tasks if task.job.request.customer == name
    )
    return {
        "precedence": customer.precedence if customer else None,
        "share_in_use": round(own_units / units, 3) if units else 0.0,
    }


def _describe_placement(
    entry: Entry, trial: Trial, placement: Placement
) -> dict[str, Any]:
    task = placement.task
    return {
        "task": task.index,
        "expected_s": round(task.expected_s, 3),
        "is_long": task.is_long,
        "worker": placement.worker or None,
        "workers": [
            _describe_worker(entry, task, considered, placement.worker)
            for considered in placement.considered
        ],
    }


def _describe_worker(
    entry: Entry, task: Task, considered: ConsideredWorker, chosen: str
) -> dict[str, Any]:
    peer = considered.peer
    factor = remote_factor(task.spec, peer.host, entry.settings)
    return {
        "worker": peer.worker,
        "data_centre": peer.data_centre,
        "rack": peer.host.rack,
        "state": "chosen" if peer.worker == chosen else considered.state,
        "free_units": considered.free_units,
        "run_s": round(task.expected_s * _slowdown(entry, peer) * factor, 3),
        "is_remote": factor > 1.0,
    }


def _slowdown(entry: Entry, peer: AgentPeer) -> float:
    identity = WorkerIdentity(peer.worker, peer.host.hardware)
    return entry.dispatcher.run_times.slowdown(identity)
