"""Reads the settings file that the platform writes for each process."""

import os
import pathlib

import pydantic
import yaml
from pydantic import ConfigDict, Field
from pydantic.alias_generators import to_camel

from gooseberrylink.exceptions import ConfigError

SETTINGS_PATH_VARIABLE = "GOOSEBERRYLINK_BOOT"


class _Section(pydantic.BaseModel):
    """A part of the file; fields that are not known here are ignored."""

    # Sections that a program has no use for are then never built.
    model_config = ConfigDict(
        alias_generator=to_camel, extra="ignore", frozen=True, defer_build=True
    )


class BindAddresses(_Section):
    """Where the process listens; `control` takes the heartbeats of workers."""

    front: str = ""
    readiness: str = ""
    control: str = ""


class Bounds(_Section):
    """Times that the platform promises or asks for.

    Attributes:
        hold_max_ms: Longest lease that a worker grants.
        stop_ms: Time that a stop of a run takes at most.
        grace_s: Time from SIGTERM to SIGKILL.
        remote_factor: How many times as long a task takes away from its data.
    """

    hold_max_ms: int = Field(default=1000, gt=0)
    stop_ms: int = Field(default=50, gt=0)
    remote_factor: float = Field(default=1.0, ge=1)
    grace_s: float = Field(default=6.0, gt=0)


class StoreEndpoint(_Section):
    """Where the platform's store is."""

    address: str = Field(pattern=r"^.+:\d+$")


class Settings(_Section):
    """What the platform tells a process.

    Attributes:
        zone: Data centre of this host.
        zones: Region of each data centre.
        internal_ports: First and last port for links between our processes.
        seeds: Control addresses of a few hosts; they may be out of date.
        app: On a worker's host, where the worker takes orders.
        service: On a worker's host, the worker's service.
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
        """Port on which entries take links."""
        return self.internal_ports[0]

    @property
    def seed_link_addresses(self) -> list[str]:
        """Addresses for links of the seed hosts."""
        hosts = [seed.rpartition(":")[0] for seed in self.seeds]
        return [f"{host}:{self.link_port}" for host in hosts]


def settings_path() -> pathlib.Path:
    """Returns the path of the settings file.

    Raises:
        ConfigError: The environment names none.
    """
    path = os.environ.get(SETTINGS_PATH_VARIABLE)
    if not path:
        raise ConfigError([f"environment variable {SETTINGS_PATH_VARIABLE} is not set"])
    return pathlib.Path(path)


def read_settings(path: pathlib.Path) -> Settings:
    """Reads and checks the file.

    Raises:
        ConfigError: With one line for each fault, naming the field.
    """
    try:
        data = yaml.load(path.read_text(encoding="utf-8"), Loader=_Loader)
        return Settings.model_validate(data)
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
        raise ConfigError([f"{path}: can't be read: {error}"]) from None
    except pydantic.ValidationError as error:
        raise ConfigError(
            [_format_error(path, item) for item in error.errors()]
        ) from None


def _format_error(path: pathlib.Path, error: dict) -> str:
    field = ".".join(str(part) for part in error["loc"]) or "(file)"
    return f"{path}: {field}: {error['msg']} (found {error['input']!r:.60})"


_Loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
