"""Fetches new versions of the configuration for an entry."""

from typing import Protocol

import trio

from gooseberrylink.operators.configuration_store import (
    ConfigurationStore,
    StoredConfiguration,
)
from gooseberrylink.platform.table_service import TableServiceClient
from gooseberrylink.platform.table_service_types import PlatformErrorKind
from gooseberrylink.scheduling.evacuation import Evacuations


class ConfigurationReceiver(Protocol):
    """Receives configurations from a source; implemented by the entry.

    Attributes:
        evacuations: Receives evacuations that the source knows beside configurations.
    """

    evacuations: Evacuations

    @property
    def config_version(self) -> int:
        """Adopted version; 0 if there is none yet."""

    def adopt(self, version: int, text: str, source: str) -> None:
        """Adopts a version if it is newer than the current one."""

    def confirm_configuration(self) -> None:
        """Records that the adopted version is known to be the newest."""

    def handle_source_failure(self, reason: str) -> None:
        """Counts a failed attempt to reach the source."""


class ConfigurationSource(Protocol):
    """Delivers accepted configurations to an entry."""

    async def run(self, receiver: ConfigurationReceiver) -> None:
        """Passes newer versions to an entry until cancelled."""


class PollingSource:
    """Polls the platform's table service; see ConfigurationSource."""

    def __init__(self, platform: TableServiceClient, poll_interval_s: float):
        self._store = ConfigurationStore(platform)
        self._poll_interval_s = poll_interval_s

    async def run(self, receiver: ConfigurationReceiver) -> None:
        """See ConfigurationSource."""
        while True:
            await self.poll_once(receiver)
            await trio.sleep(self._poll_interval_s)

    async def poll_once(self, receiver: ConfigurationReceiver) -> None:
        """Reads the configuration once and passes the result to the receiver."""
        found = await self._store.read_newer(receiver.config_version)
        if isinstance(found, PlatformErrorKind):
            receiver.handle_source_failure(found.name.lower())
            return
        if isinstance(found, StoredConfiguration):
            receiver.adopt(found.version, found.text, "platform")
        receiver.confirm_configuration()
