"""Defines the declarations: the operators' inventory and rules."""

import collections
from typing import Annotated, Self

from pydantic import Field, model_validator

from gooseberrylink.config import Name, Seconds
from gooseberrylink.yaml_file import StrictModel, parse_model

MAX_TASKS_PER_JOB = 140
DEFAULT_LONG_AFTER_S = 1.0


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
    """What there is, as the asset register says."""

    sites: list[Site] = Field(min_length=1)
    services: list[Service] = Field(min_length=1)
    workers: list[Worker] = Field(min_length=1)


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


class Limits(StrictModel):
    """Bounds that hold for each entry.

    Attributes:
        max_queued_tasks: Tasks that an entry queues for one service.
    """

    max_tasks_per_job: int = Field(default=MAX_TASKS_PER_JOB, ge=1, le=1000)
    max_body_bytes: int = Field(default=4 * 1024 * 1024, ge=1024)
    max_queued_tasks: int = Field(default=20_000, ge=1)


class Rules(StrictModel):
    """What the operators want."""

    customers: list[Customer] = Field(min_length=1)
    limits: Limits = Limits()


class Declarations(StrictModel):
    """The whole declaration file."""

    inventory: Inventory
    rules: Rules

    @model_validator(mode="after")
    def _check_references(self) -> Self:
        inventory = self.inventory
        centres = [dc.name for site in inventory.sites for dc in site.data_centres]
        services = [service.name for service in inventory.services]
        problems = _twice("data centre", centres) + _twice("service", services)
        problems += _twice("worker", [w.name for w in inventory.workers])
        problems += _twice("customer", [c.name for c in self.rules.customers])
        for worker in inventory.workers:
            if worker.data_centre not in centres:
                problems.append(
                    f"worker {worker.name}: unknown data centre {worker.data_centre},"
                    f" expected one of {', '.join(centres)}"
                )
            if worker.service not in services:
                problems.append(
                    f"worker {worker.name}: unknown service {worker.service},"
                    f" expected one of {', '.join(services)}"
                )
        for service in inventory.services:
            if service.default_deadline_s > service.max_deadline_s:
                problems.append(
                    f"service {service.name}: default_deadline_s is over max_deadline_s"
                )
        if problems:
            raise ValueError("; ".join(problems))
        return self

    def customer(self, name: str) -> Customer | None:
        """Returns a customer by name."""
        return next((c for c in self.rules.customers if c.name == name), None)

    def service(self, name: str) -> Service | None:
        """Returns a service by name."""
        return next((s for s in self.inventory.services if s.name == name), None)

    def worker_count(self, service: str) -> int:
        """Returns how many workers the inventory has for a service."""
        return sum(worker.service == service for worker in self.inventory.workers)


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


def _twice(kind: str, names: list[str]) -> list[str]:
    counts = collections.Counter(names)
    return [f"{kind} {name} stands twice" for name, n in counts.items() if n > 1]
