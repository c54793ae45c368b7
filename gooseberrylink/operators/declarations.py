"""Defines the declarations: the operators' inventory and rules."""

from typing import Annotated

from pydantic import Field

from gooseberrylink.config import Name, Seconds
from gooseberrylink.yaml_file import StrictModel, parse_model

DEFAULT_MAX_TASKS_PER_JOB = 140
DEFAULT_LONG_AFTER_S = 1.0

FieldError = tuple[tuple[str | int, ...], str]


class DataCentre(StrictModel):
    """A data centre of a site."""

    name: Name


class Site(StrictModel):
    """A site; one region of the deployment."""

    name: Name
    data_centres: list[DataCentre] = Field(min_length=1)


class Service(StrictModel):
    """A kind of work that backend servers offer.

    Attributes:
        never_repeat: Whether each of its requests runs at most once across
            submissions, whatever the caller says.
        long_after_s: Run time from which a task counts as long.
        default_deadline_s: Deadline of a job that names none.
        max_deadline_s: Longest deadline that a job may name.
    """

    name: Name
    never_repeat: bool = False
    long_after_s: Seconds = DEFAULT_LONG_AFTER_S
    default_deadline_s: Seconds = 30.0
    max_deadline_s: Seconds = 120.0


class Worker(StrictModel):
    """A machine with a backend server.

    Attributes:
        slots: Tasks that its backend server runs at once.
        connections: Connections that its backend server accepts.
    """

    name: Name
    data_centre: Name
    rack: Name
    service: Name
    slots: int = Field(default=8, ge=1, le=1024)
    connections: int = Field(default=64, ge=1)
    accelerators: int = Field(default=0, ge=0)


class Inventory(StrictModel):
    """What there is, as the asset register says.

    Attributes:
        workers: The workers; none if any that announces itself may serve.
    """

    sites: list[Site] = Field(min_length=1)
    services: list[Service] = Field(min_length=1)
    workers: list[Worker] = []


class Customer(StrictModel):
    """A customer, or a team of one.

    Attributes:
        quota_starts_per_s: Task starts a second that the customer may use,
            over all entries; None for no limit.
        burst_s: Seconds of quota that may be saved up and used at once.
        weight: Share relative to other customers when there is too little.
        precedence: Customers with a higher one are served first.
    """

    name: Name
    quota_starts_per_s: Annotated[float, Field(gt=0)] | None = None
    burst_s: Seconds = 2.0
    weight: float = Field(default=1.0, gt=0)
    precedence: int = Field(default=0, ge=0, le=9)


class Queue(StrictModel):
    """A kind of job that callers name by host and path.

    Attributes:
        name: Also the name of the customer whose jobs they are.
        host: Host header of its requests.
        path_prefix: What their paths begin with; the longest one counts.
        service: Service that runs its tasks.
        max_failures: Failed runs of a task after which its job fails.
        stretch: How many times its longest task's run time a prompt job takes.
        target_latency_s: How much longer a prompt job may take.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    max_failures: int = Field(default=1, ge=1)
    stretch: float = Field(default=1.0, gt=0)
    target_latency_s: float = Field(default=0.0, ge=0)


class Limits(StrictModel):
    """Bounds that hold for each entry.

    Attributes:
        max_queued_tasks: Tasks that an entry queues for one service.
    """

    max_tasks_per_job: int = Field(default=DEFAULT_MAX_TASKS_PER_JOB, ge=1, le=1000)
    max_body_bytes: int = Field(default=4 * 1024 * 1024, ge=1024)
    max_queued_tasks: int = Field(default=20_000, ge=1)


class Rules(StrictModel):
    """What the operators want."""

    customers: list[Customer] = Field(min_length=1)
    queues: list[Queue] = []
    limits: Limits = Limits()


class Declarations(StrictModel):
    """The whole declaration file."""

    inventory: Inventory
    rules: Rules

    def find_errors(self) -> list[FieldError]:
        """See StrictModel."""
        return [
            *self._find_repeated_names(),
            *self._find_unknown_names(),
            *self._find_invalid_deadlines(),
        ]

    def _find_repeated_names(self) -> list[FieldError]:
        inventory = self.inventory
        services = [service.name for service in inventory.services]
        workers = [worker.name for worker in inventory.workers]
        customers = [customer.name for customer in self.rules.customers]
        errors = _repeated_name_errors(("inventory", "services"), services)
        errors += _repeated_name_errors(("inventory", "workers"), workers)
        errors += _repeated_name_errors(("rules", "customers"), customers)
        centres = self._data_centre_names()
        if len(set(centres)) < len(centres):
            errors.append((("inventory", "sites"), "a data centre's name stands twice"))
        return errors

    def _find_unknown_names(self) -> list[FieldError]:
        services = [service.name for service in self.inventory.services]
        centres = self._data_centre_names()
        errors: list[FieldError] = []
        for index, worker in enumerate(self.inventory.workers):
            path = ("inventory", "workers", index)
            if worker.data_centre not in centres:
                message = _unknown_name_message(worker.data_centre, centres)
                errors.append(((*path, "data_centre"), message))
            if worker.service not in services:
                message = _unknown_name_message(worker.service, services)
                errors.append(((*path, "service"), message))
        return errors

    def _find_invalid_deadlines(self) -> list[FieldError]:
        return [
            (
                ("inventory", "services", index, "default_deadline_s"),
                f"is over max_deadline_s ({service.max_deadline_s:g} s)",
            )
            for index, service in enumerate(self.inventory.services)
            if service.default_deadline_s > service.max_deadline_s
        ]

    def _data_centre_names(self) -> list[str]:
        sites = self.inventory.sites
        return [centre.name for site in sites for centre in site.data_centres]

    def customer(self, name: str) -> Customer | None:
        """Returns a customer by name."""
        return next((c for c in self.rules.customers if c.name == name), None)

    def service(self, name: str) -> Service | None:
        """Returns a service by name."""
        return next((s for s in self.inventory.services if s.name == name), None)

    def worker(self, name: str) -> Worker | None:
        """Returns a worker by name."""
        return next((w for w in self.inventory.workers if w.name == name), None)


def to_canonical(text: str, name: str) -> str:
    """Returns checked declarations in the form in which processes exchange them.

    Operators write YAML, which takes a second to parse at the size of 810
    workers; processes exchange JSON, which takes some milliseconds.

    Args:
        text: Declarations as YAML.
        name: Stands for the file in faults.

    Raises:
        ConfigError: With one line for each fault.
    """
    return parse_model(text, name, Declarations).model_dump_json(indent=1)


def _repeated_name_errors(path: tuple[str, ...], names: list[str]) -> list[FieldError]:
    seen: set[str] = set()
    errors: list[FieldError] = []
    for index, name in enumerate(names):
        if name in seen:
            errors.append(((*path, index, "name"), f"{name} stands twice"))
        seen.add(name)
    return errors


def _unknown_name_message(name: str, expected: list[str]) -> str:
    return f"unknown name {name}, expected one of {', '.join(expected)}"
