"""Decodes the operator's requests to evacuate data centres in the platform's store."""

from collections.abc import Collection

import msgspec

from gooseberrylink.logs import log_event
from gooseberrylink.metrics import Metrics
from gooseberrylink.peers.messages import EvacuationState
from gooseberrylink.scheduling.evacuation import OPERATOR, Evacuations
from gooseberrylink.store import Rows

_KEY_PREFIX = "evacuate/"
# Lowest version, which any other knowledge replaces.
_UNSURE_VERSION = 1


class EvacuationRows:
    """The rows of the operator's table that request evacuations.

    A row that names a data centre evacuates it until the row is removed. A row that
    can't be read changes nothing: what was in force for its data centre stays.
    """

    def __init__(self, data_centres: Collection[str], metrics: Metrics):
        self._data_centres = data_centres
        self._metrics = metrics
        # By data centre, whether the row that is there can be read.
        self._is_readable: dict[str, bool] = {}

    def apply(self, rows: Rows, evacuations: Evacuations) -> None:
        """Applies all rows of the table, or those that changed, to the register."""
        if rows.is_full:
            self._is_readable.clear()
        # The version of a store that was empty when it was read does not count.
        has_changed = rows.is_full or not evacuations.version(OPERATOR)
        changes = [(row.key, row.value) for row in rows.rows]
        changes += [(key, b"") for key in rows.unreadable_keys]
        for key, value in changes:
            if key.startswith(_KEY_PREFIX):
                has_changed = True
                self._record(key, value)
        if has_changed:
            state = self._make_state(rows.version, evacuations)
            evacuations.adopt(state, "store")

    def _record(self, key: str, value: bytes | None) -> None:
        data_centre = key.removeprefix(_KEY_PREFIX)
        if value is None:
            self._is_readable.pop(data_centre, None)
        elif data_centre not in self._data_centres:
            expected = f"a data centre among {', '.join(self._data_centres)}"
            self._reject(key, data_centre, expected)
        elif _is_request(value):
            self._is_readable[data_centre] = True
        else:
            self._is_readable[data_centre] = False
            self._reject(key, value.decode(errors="replace"), "a JSON object")

    def _reject(self, key: str, value: str, expected: str) -> None:
        self._metrics.add("evacuation_rows_rejected")
        log_event(
            "evacuation_row_rejected",
            "ERROR",
            key=key,
            value=value[:80],
            expected=expected,
        )

    def _make_state(self, version: int, evacuations: Evacuations) -> EvacuationState:
        in_force = evacuations.of_source(OPERATOR)
        data_centres = frozenset(
            name
            for name, is_readable in self._is_readable.items()
            if is_readable or name in in_force
        )
        # What was in force before an unreadable row, a process that has just started
        # can only learn from its peers, if any knows.
        is_unsure = not (
            all(self._is_readable.values()) or evacuations.version(OPERATOR)
        )
        return EvacuationState(
            OPERATOR, _UNSURE_VERSION if is_unsure else version, data_centres
        )


def _is_request(value: bytes) -> bool:
    try:
        return isinstance(msgspec.json.decode(value), dict)
    except msgspec.MsgspecError:
        return False
