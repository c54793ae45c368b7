"""Holds the configuration that one process has adopted."""

import pydantic
import trio

from gooseberrylink.logs import log_event
from gooseberrylink.operators.declarations import (
    DEFAULT_LONG_AFTER_S,
    Customer,
    Declarations,
    Queue,
    Service,
)


class Configuration:
    """The newest accepted declarations that this process has received.

    Its version never decreases.

    Attributes:
        version: Version of the declarations; 0 if there are none yet.
        text: The declarations in canonical form, for forwarding to peers.
        declarations: The parsed declarations; None if there are none yet.
        adopted: Set when the next version is adopted, and then replaced by a new
            event.
    """

    def __init__(self):
        self.version = 0
        self.text = ""
        self.declarations: Declarations | None = None
        self.adopted = trio.Event()
        self._customers: dict[str, Customer] = {}
        self._services: dict[str, Service] = {}
        self._queues: dict[str, list[Queue]] = {}
        self._priorities: dict[str, dict[str, int]] = {}

    def adopt(self, version: int, text: str, source: str) -> bool:
        """Adopts a version in this process if it is newer than the current one.

        Args:
            version: Version of the declarations.
            text: The declarations in canonical form.
            source: Where it came from, for the log: "platform" (table service),
                "store" (change feed of the table store), "entry", "agent" or
                "operator".

        Returns:
            Whether the version was adopted. An older, equal or unreadable version is
            not.
        """
        if version <= self.version:
            return False
        try:
            declarations = Declarations.model_validate_json(text)
        except pydantic.ValidationError as error:
            # A newer release may have written fields that this one does not know.
            # Keeping the last version is better than stopping all work.
            log_event(
                "config_unreadable",
                "ERROR",
                version=version,
                errors=error.error_count(),
            )
            return False
        self.version = version
        self.text = text
        self.declarations = declarations
        self._customers = {c.name: c for c in declarations.rules.customers}
        self._services = {s.name: s for s in declarations.inventory.services}
        self._queues = {}
        self._priorities = {}
        for queue in declarations.rules.queues:
            priorities = self._priorities.setdefault(queue.service, {})
            priorities[queue.name] = queue.priority
            self._queues.setdefault(queue.host.lower(), []).append(queue)
        for queues in self._queues.values():
            queues.sort(key=lambda queue: -len(queue.path_prefix))
        self.adopted.set()
        self.adopted = trio.Event()
        log_event("config_adopted", version=version, source=source)
        return True

    def customer(self, name: str) -> Customer | None:
        """Returns a customer by name; None if it is not declared."""
        return self._customers.get(name)

    def service(self, name: str) -> Service | None:
        """Returns a service by name; None if it is not declared."""
        return self._services.get(name)

    def queue(self, host: str, path: str) -> Queue | None:
        """Returns the queue of a host with the longest prefix that matches a path.

        Returns None if no prefix matches.
        """
        for queue in self._queues.get(host.lower(), ()):
            if path.startswith(queue.path_prefix):
                return queue
        return None

    def priorities(self, service: str) -> dict[str, int]:
        """Returns the priorities of the customers with queues of a service."""
        return self._priorities.get(service, {})

    def long_threshold_s(self, service: str) -> float:
        """Returns the run time from which a task of a service counts as long."""
        known = self._services.get(service)
        return known.long_after_s if known else DEFAULT_LONG_AFTER_S
