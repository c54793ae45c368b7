"""Converts the operator's desired state in the platform's store to declarations."""

from typing import Annotated, Any

import msgspec

from gooseberrylink.logs import log_event
from gooseberrylink.metrics import Metrics
from gooseberrylink.operators.configuration_source import ConfigurationReceiver
from gooseberrylink.platform.evacuation_rows import EvacuationRows
from gooseberrylink.store import Rows, RowStore, watch_table

_TABLE = "op"
_KEY = "config"
# A version must be adopted within 2 s of its commit in the store, even if the
# connection to the store broke without being closed.
_LONG_POLL_S = 1.0
# One day. It serves as a limit of run times and deadlines, because a desired state
# defines none.
_UNLIMITED_S = 86_400.0


# Larger numbers would not fit into the frames between entries and agents.
Version = Annotated[int, msgspec.Meta(ge=0, le=2**53)]


class _Route(msgspec.Struct, rename="camel"):
    """A queue of jobs, selected by host and path prefix.

    A job is on time if it is answered within `stretch` times the run time of its
    longest task plus `target_latency_ms`.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    max_attempts: int = 1
    stretch: float = 1.0
    target_latency_ms: float = 0.0
    priority: int = 0


class _Service(msgspec.Struct):
    name: str


class _Limits(msgspec.Struct, rename="camel"):
    max_body_bytes: int = 262_144


class _DesiredState(msgspec.Struct):
    version: Version
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)


class ChangeFeedSource:
    """Watches the operator's table through its change feed; see ConfigurationSource."""

    def __init__(
        self, store: RowStore, site_by_data_centre: dict[str, str], metrics: Metrics
    ):
        self._store = store
        self._site_by_data_centre = site_by_data_centre
        self._evacuation_rows = EvacuationRows(site_by_data_centre, metrics)
        self._metrics = metrics

    async def run(self, receiver: ConfigurationReceiver) -> None:
        """See ConfigurationSource."""

        def adopt_rows(rows: Rows) -> None:
            # First, as an entry with a configuration assigns tasks.
            self._evacuation_rows.apply(rows, receiver.evacuations)
            for row in rows.rows:
                if row.key == _KEY and row.value is not None:
                    self._adopt(receiver, row.value)
            if receiver.config_version:
                receiver.confirm_configuration()

        await watch_table(self._store, _TABLE, _LONG_POLL_S, self._metrics, adopt_rows)

    def _adopt(self, receiver: ConfigurationReceiver, value: bytes) -> None:
        try:
            state = msgspec.json.decode(value, type=_DesiredState)
        except msgspec.MsgspecError as error:
            log_event("config_unreadable", "ERROR", error=error)
            self._metrics.add("config_polls_failed", "unreadable")
            return
        if state.version > receiver.config_version:
            text = msgspec.json.encode(
                _to_declarations(state, self._site_by_data_centre)
            ).decode()
            receiver.adopt(state.version, text, "store")


def _to_declarations(
    state: _DesiredState, site_by_data_centre: dict[str, str]
) -> dict[str, Any]:
    """Converts a desired state to declarations.

    The data centres are grouped by site. Each route becomes a queue and a customer of
    the same name.
    """
    sites: dict[str, list[dict[str, str]]] = {}
    for data_centre, site in site_by_data_centre.items():
        sites.setdefault(site, []).append({"name": data_centre})
    return {
        "inventory": {
            "sites": [
                {"name": site, "data_centres": data_centres}
                for site, data_centres in sites.items()
            ],
            "services": [
                {
                    "name": service.name,
                    "long_after_s": _UNLIMITED_S,
                    "default_deadline_s": _UNLIMITED_S,
                    "max_deadline_s": _UNLIMITED_S,
                }
                for service in state.services
            ],
        },
        "rules": {
            "customers": [{"name": route.name} for route in state.routes],
            "queues": [_to_queue(route) for route in state.routes],
            "limits": {
                "max_body_bytes": state.limits.max_body_bytes,
                "max_tasks_per_job": 1000,
            },
        },
    }


def _to_queue(route: _Route) -> dict[str, Any]:
    return {
        "name": route.name,
        "host": route.host,
        "path_prefix": route.path_prefix,
        "service": route.service,
        "max_failures": route.max_attempts,
        "stretch": route.stretch,
        "target_latency_s": route.target_latency_ms / 1000,
        "priority": min(9, max(0, route.priority)),
    }
