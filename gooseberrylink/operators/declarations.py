"""Defines and validates the operators' declarations: inventory and rules.

The models accept whatever a desired state on a platform may hold, such as no customer.
find_errors() finds what is a mistake in a file of declarations.
"""

import re
from typing import Annotated

from pydantic import Field

from gooseberrylink.settings import NAME_PATTERN, Name, Seconds
from gooseberrylink.yaml_file import StrictModel, parse_model

DEFAULT_MAX_TASKS_PER_JOB = 140
DEFAULT_LONG_AFTER_S = 1.0
# A file with a lower max_body_bytes is refused, as it would refuse nearly all jobs.
_MIN_BODY_BYTES = 1024

# Path of the field, and a message; see StrictModel.find_errors.
FieldError = tuple[tuple[str | int, ...], str]


class DataCentre(StrictModel):
    """A data centre of a site."""

    name: Name


class Site(StrictModel):
    """A site, which is one region of the deployment."""

    name: Name
    data_centres: list[DataCentre] = Field(min_length=1)


class Service(StrictModel):
    """A type of work that backend servers run.

    Attributes:
        never_repeat: Whether a job runs at most once, however often it is submitted,
            even if the caller declares it repeatable.
        long_after_s: Run time from which a task counts as long. A part of the slots
            is reserved for short tasks.
        default_deadline_s: Deadline of a job without a deadline of its own.
        max_deadline_s: Longest deadline that a job may have.
    """

    name: str
    never_repeat: bool = False
    long_after_s: Seconds = DEFAULT_LONG_AFTER_S
    default_deadline_s: Seconds = 30.0
    max_deadline_s: Seconds = 120.0


class Worker(StrictModel):
    """A host with a backend server.

    Attributes:
        slots: Tasks that its backend server runs concurrently.
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
    """The sites, services and workers of the deployment.

    Operators derive it from their asset register.

    Attributes:
        workers: The workers; if empty, every worker that announces itself is used.
    """

    sites: list[Site] = Field(min_length=1)
    services: list[Service]
    workers: list[Worker] = []


class Customer(StrictModel):
    """A customer, or a team within a customer.

    Attributes:
        quota_starts_per_s: Task starts per second that the customer may use over all
            entries; None for no limit.
        burst_s: Seconds of quota that may accumulate and be used at once.
        weight: Share relative to other customers when capacity is short.
        precedence: Customers with a higher value are served first.
    """

    name: str
    quota_starts_per_s: Annotated[float, Field(gt=0)] | None = None
    burst_s: Seconds = 2.0
    weight: float = Field(default=1.0, gt=0)
    precedence: int = Field(default=0, ge=0, le=9)


class Queue(StrictModel):
    """A queue of jobs, selected by the host and path of a request.

    A job is on time if it is answered within `stretch` times the run time of its
    longest task plus `target_latency_s`.

    Attributes:
        name: Name of the queue, and of the customer that its jobs belong to.
        host: Host header of its requests.
        path_prefix: Prefix of the paths of its requests; the longest match applies.
        service: Service that runs its tasks.
        max_failures: Failed runs of a task after which its job fails.
        stretch: Factor on the run time of the longest task.
        target_latency_s: Seconds added to the stretched run time.
        priority: When demand exceeds the room, jobs of queues with a lower value go
            first, within floors for the others. No effect if all queues of a service
            have the same.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    max_failures: int = Field(default=1, ge=1)
    stretch: float = Field(default=1.0, gt=0)
    target_latency_s: float = Field(default=0.0, ge=0)
    priority: int = Field(default=0, ge=0, le=9)


class Limits(StrictModel):
    """Limits that apply at each entry.

    Attributes:
        max_queued_tasks: Most tasks that an entry queues for one service.
    """

    max_tasks_per_job: int = Field(default=DEFAULT_MAX_TASKS_PER_JOB, ge=1, le=1000)
    max_body_bytes: int = Field(default=4 * 1024 * 1024, ge=0)
    max_queued_tasks: int = Field(default=20_000, ge=1)


class Rules(StrictModel):
    """Rules on customers, queues and limits.

    Attributes:
        evacuated_data_centres: Data centres where no task is started.
    """

    customers: list[Customer]
    queues: list[Queue] = []
    limits: Limits = Limits()
    evacuated_data_centres: list[Name] = []


class Declarations(StrictModel):
    """The contents of a declarations file."""

    inventory: Inventory
    rules: Rules

    def find_errors(self) -> list[FieldError]:
        """See StrictModel."""
        return [
            *self._find_values_out_of_bounds(),
            *self._find_duplicate_names(),
            *self._find_unknown_names(),
            *self._find_invalid_deadlines(),
        ]

    def _find_values_out_of_bounds(self) -> list[FieldError]:
        errors: list[FieldError] = []
        for path, items in (
            (("inventory", "services"), self.inventory.services),
            (("rules", "customers"), self.rules.customers),
        ):
            if not items:
                errors.append((path, "is empty, expected at least one"))
            for index, item in enumerate(items):
                if not re.fullmatch(NAME_PATTERN, item.name):
                    message = f"invalid name {item.name!r}, expected {NAME_PATTERN}"
                    errors.append(((*path, index, "name"), message))
        max_body_bytes = self.rules.limits.max_body_bytes
        if max_body_bytes < _MIN_BODY_BYTES:
            errors.append(
                (
                    ("rules", "limits", "max_body_bytes"),
                    f"{max_body_bytes} bytes, expected at least {_MIN_BODY_BYTES}",
                )
            )
        return errors

    def _find_duplicate_names(self) -> list[FieldError]:
        inventory = self.inventory
        services = [service.name for service in inventory.services]
        workers = [worker.name for worker in inventory.workers]
        customers = [customer.name for customer in self.rules.customers]
        errors = _duplicate_name_errors(("inventory", "services"), services)
        errors += _duplicate_name_errors(("inventory", "workers"), workers)
        errors += _duplicate_name_errors(("rules", "customers"), customers)
        data_centres = self._data_centre_names()
        if len(set(data_centres)) < len(data_centres):
            errors.append(
                (
                    ("inventory", "sites"),
                    f"duplicate data centre name among {', '.join(data_centres)}",
                )
            )
        return errors

    def _find_unknown_names(self) -> list[FieldError]:
        services = [service.name for service in self.inventory.services]
        data_centres = self._data_centre_names()
        errors: list[FieldError] = []
        for index, worker in enumerate(self.inventory.workers):
            path = ("inventory", "workers", index)
            if worker.data_centre not in data_centres:
                message = _unknown_name_message(worker.data_centre, data_centres)
                errors.append(((*path, "data_centre"), message))
            if worker.service not in services:
                message = _unknown_name_message(worker.service, services)
                errors.append(((*path, "service"), message))
        for index, name in enumerate(self.rules.evacuated_data_centres):
            if name not in data_centres:
                message = _unknown_name_message(name, data_centres)
                errors.append((("rules", "evacuated_data_centres", index), message))
        return errors

    def _find_invalid_deadlines(self) -> list[FieldError]:
        return [
            (
                ("inventory", "services", index, "default_deadline_s"),
                f"{service.default_deadline_s:g} s exceeds max_deadline_s"
                f" ({service.max_deadline_s:g} s)",
            )
            for index, service in enumerate(self.inventory.services)
            if service.default_deadline_s > service.max_deadline_s
        ]

    def _data_centre_names(self) -> list[str]:
        sites = self.inventory.sites
        return [centre.name for site in sites for centre in site.data_centres]

    def customer(self, name: str) -> Customer | None:
        """Returns a customer by name; None if it is not declared."""
        return next((c for c in self.rules.customers if c.name == name), None)

    def service(self, name: str) -> Service | None:
        """Returns a service by name; None if it is not declared."""
        return next((s for s in self.inventory.services if s.name == name), None)

    def worker(self, name: str) -> Worker | None:
        """Returns a worker by name; None if it is not declared."""
        return next((w for w in self.inventory.workers if w.name == name), None)


def to_canonical(text: str, name: str) -> str:
    """Validates declarations and converts them to JSON, the canonical form.

    Processes exchange JSON because it parses in some milliseconds, while the
    operators' YAML takes a second with 810 workers.

    Args:
        text: Declarations in YAML.
        name: File name for error messages.

    Raises:
        ConfigError: With one line for each error.
    """
    return parse_model(text, name, Declarations).model_dump_json(indent=1)


def _duplicate_name_errors(path: tuple[str, ...], names: list[str]) -> list[FieldError]:
    seen: set[str] = set()
    errors: list[FieldError] = []
    for index, name in enumerate(names):
        if name in seen:
            errors.append(((*path, index, "name"), f"duplicate name {name}"))
        seen.add(name)
    return errors


def _unknown_name_message(name: str, expected: list[str]) -> str:
    return f"unknown name {name}, expected one of {', '.join(expected)}"
