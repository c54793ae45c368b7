"""Reads the settings file that the platform writes for each process."""

import os
import pathlib

import pydantic
import yaml
from pydantic import ConfigDict, Field
from pydantic.alias_generators import to_camel

from gooseberrylink.addresses import split_address
from gooseberrylink.exceptions import ConfigError, MalformedAddressError
from gooseberrylink.logs import log_event
from gooseberrylink.settings import Address

SETTINGS_PATH_VARIABLE = "GOOSEBERRYLINK_BOOT"


class _Section(pydantic.BaseModel):
    """A section of the file; unknown fields are ignored."""

    # With defer_build, validators of unused sections are never built, which shortens
    # the startup.
    model_config = ConfigDict(
        alias_generator=to_camel, extra="ignore", frozen=True, defer_build=True
    )


class BindAddresses(_Section):
    """Addresses the process listens on.

    Attributes:
        front: For callers' jobs.
        readiness: For the load balancer's readiness probes.
        control: For the heartbeats of the backend server.
    """

    front: str = ""
    readiness: str = ""
    control: str = ""


class Bounds(_Section):
    """Limits and times that the platform guarantees or requires.

    Attributes:
        hold_max_ms: Longest lease that a backend server grants.
        stop_ms: Maximum time until a stopped run has ended.
        remote_factor: Factor by which a task takes longer on another rack than that
            of its data.
        grace_s: Time from SIGTERM to SIGKILL.
    """

    hold_max_ms: int = Field(default=1000, gt=0)
    stop_ms: int = Field(default=50, gt=0)
    remote_factor: float = Field(default=1.0, ge=1)
    grace_s: float = Field(default=6.0, gt=0)


class StoreEndpoint(_Section):
    """Address of the platform's table store, as host:port."""

    address: Address


class Settings(_Section):
    """Contents of the settings file.

    Attributes:
        node: Name of this host.
        ip: IP address of this host.
        zone: Data centre of this host.
        zones: Site of each data centre.
        internal_ports: First and last port for links between entries and agents.
        seeds: Control addresses of a few hosts. Only the host parts are used, to
            find entries. May be out of date.
        platform: Endpoint of the platform's table store.
        app: On a worker, the address at which its backend server accepts runs.
        service: On a worker, the service of its backend server.
    """

    node: str = Field(min_length=1)
    ip: str = Field(min_length=1)
    zone: str = Field(min_length=1)
    zones: dict[str, str] = Field(min_length=1)
    bind_addresses: BindAddresses
    internal_ports: tuple[int, int]
    seeds: list[str] = []
    bounds: Bounds = Bounds()
    platform: StoreEndpoint
    app: str = ""
    service: str = ""

    @property
    def link_port(self) -> int:
        """Port on which entries accept links from agents."""
        return self.internal_ports[0]

    @property
    def seed_link_addresses(self) -> list[str]:
        """Link addresses of the seed hosts."""
        addresses = []
        for seed in self.seeds:
            try:
                host, _ = split_address(seed)
            except MalformedAddressError as error:
                # The other seeds and the entries' table are enough to find entries.
                log_event("seed_malformed", "WARNING", error=error)
                continue
            addresses.append(f"{host}:{self.link_port}")
        return addresses


def settings_path() -> pathlib.Path:
    """Returns the path of the settings file.

    Raises:
        ConfigError: The environment variable is not set.
    """
    path = os.environ.get(SETTINGS_PATH_VARIABLE)
    if not path:
        raise ConfigError(
            [
                f"environment variable {SETTINGS_PATH_VARIABLE} is not set; it must"
                " hold the path of the settings file"
            ]
        )
    return pathlib.Path(path)


def read_settings(path: pathlib.Path) -> Settings:
    """Reads and validates the settings file.

    Raises:
        ConfigError: With one line for each error, naming the field.
    """
    try:
        data = yaml.load(path.read_text(encoding="utf-8"), Loader=_Loader)
        return Settings.model_validate(data)
    except pydantic.ValidationError as error:
        raise ConfigError(format_settings_errors(path, error)) from None
    except (OSError, yaml.YAMLError, ValueError, RecursionError) as error:
        # YAML gives a ValueError for a date such as 2026-13-01.
        raise ConfigError([f"{path}: can't be read: {error}"]) from None


def format_settings_errors(
    path: pathlib.Path, error: pydantic.ValidationError
) -> list[str]:
    """Returns one line for each error, naming the file and the field."""
    return [_format_error(path, item) for item in error.errors()]


def _format_error(path: pathlib.Path, error: dict) -> str:
    field = ".".join(str(part) for part in error["loc"]) or "(file)"
    return f"{path}: {field}: {error['msg']} (found {error['input']!r:.60})"


_Loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
