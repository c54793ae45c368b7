"""Holds the configuration in force in one process; versions only rise."""

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
    """The newest accepted declarations that this process has heard of.

    Attributes:
        version: Number given when it was accepted; 0 for none.
        text: The declarations in canonical form, to be handed on to peers.
        declarations: The same, parsed; None for none.
        adopted: Set anew whenever a version comes into force.
    """

    def __init__(self):
        self.version = 0
        self.text = ""
        self.declarations: Declarations | None = None
        self.adopted = trio.Event()
        self._customers: dict[str, Customer] = {}
        self._services: dict[str, Service] = {}
        self._queues: dict[str, list[Queue]] = {}

    def adopt(self, version: int, text: str, source: str) -> bool:
        """Brings a version into force unless a newer one is.

        Args:
            version: Its number.
            text: The declarations in canonical form.
            source: "platform", "entry", "agent" or "operator", for the log.

        Returns:
            Whether it is in force now and was not before.
        """
        if version <= self.version:
            return False
        try:
            declarations = Declarations.model_validate_json(text)
        except pydantic.ValidationError as error:
            # A newer release wrote fields that this one does not know. Going
            # on with the last version is better than stopping all work.
            log_event(
                "config_unreadable", "ERROR", version=version, error=error.error_count()
            )
            return False
        self.version = version
        self.text = text
        self.declarations = declarations
        self._customers = {c.name: c for c in declarations.rules.customers}
        self._services = {s.name: s for s in declarations.inventory.services}
        self._queues = {}
        for queue in declarations.rules.queues:
            self._queues.setdefault(queue.host.lower(), []).append(queue)
        for queues in self._queues.values():
            queues.sort(key=lambda queue: -len(queue.path_prefix))
        self.adopted.set()
        self.adopted = trio.Event()
        log_event("config_adopted", version=version, source=source)
        return True

    def customer(self, name: str) -> Customer | None:
        """Returns a customer of the version in force."""
        return self._customers.get(name)

    def service(self, name: str) -> Service | None:
        """Returns a service of the version in force."""
        return self._services.get(name)

    def queue(self, host: str, path: str) -> Queue | None:
        """Returns the queue with the longest prefix that a path begins with."""
        for queue in self._queues.get(host.lower(), ()):
            if path.startswith(queue.path_prefix):
                return queue
        return None

    def long_after_s(self, service: str) -> float:
        """Returns the run time from which a service's task counts as long."""
        known = self._services.get(service)
        return known.long_after_s if known else DEFAULT_LONG_AFTER_S
