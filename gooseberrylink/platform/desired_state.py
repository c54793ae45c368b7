"""Reads the operator's desired state from the store as declarations."""

from typing import Any

import msgspec

from gooseberrylink.counters import Counters
from gooseberrylink.logs import log_event
from gooseberrylink.operators.configuration_source import ConfigurationReceiver
from gooseberrylink.store import RowStore, StoredRow, watch_table

_TABLE = "op"
_KEY = "config"
# A version must be in force 2 s after the store confirmed it, also if the
# connection to the store has fallen silent.
_LONG_POLL_S = 1.0
_UNLIMITED_S = 86_400.0


class _Route(msgspec.Struct, rename="camel"):
    """A queue. `target_latency_ms` comes on top of `stretch` times its work."""

    name: str
    host: str
    path_prefix: str
    service: str
    max_attempts: int = 1
    stretch: float = 1.0
    target_latency_ms: float = 0.0


class _Service(msgspec.Struct):
    name: str


class _Limits(msgspec.Struct, rename="camel"):
    max_body_bytes: int = 262_144


class _DesiredState(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)


class ChangeFeedSource:
    """See ConfigurationSource: follows the changes of the operator's table."""

    def __init__(self, store: RowStore, regions: dict[str, str], counters: Counters):
        self._store = store
        self._regions = regions
        self._counters = counters

    async def run(self, receiver: ConfigurationReceiver) -> None:
        """See ConfigurationSource."""

        def adopt_rows(rows: list[StoredRow]) -> None:
            for row in rows:
                if row.key == _KEY and row.value is not None:
                    self._adopt(receiver, row.value)
            if receiver.version:
                receiver.confirm()

        await watch_table(self._store, _TABLE, _LONG_POLL_S, self._counters, adopt_rows)

    def _adopt(self, receiver: ConfigurationReceiver, value: bytes) -> None:
        try:
            state = msgspec.json.decode(value, type=_DesiredState)
        except msgspec.MsgspecError as error:
            log_event("config_unreadable", "ERROR", error=error)
            self._counters.add("config_polls_failed", "unreadable")
            return
        if state.version > receiver.version:
            text = msgspec.json.encode(_to_declarations(state, self._regions)).decode()
            receiver.adopt(state.version, text, "store")


def _to_declarations(state: _DesiredState, regions: dict[str, str]) -> dict[str, Any]:
    """Returns the declarations that a desired state stands for."""
    sites: dict[str, list[dict[str, str]]] = {}
    for data_centre, region in regions.items():
        sites.setdefault(region, []).append({"name": data_centre})
    return {
        "inventory": {
            "sites": [
                {"name": region, "data_centres": centres}
                for region, centres in sites.items()
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
    }
