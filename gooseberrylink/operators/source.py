"""Brings new versions of the configuration to an entry."""

from typing import Protocol

import trio

from gooseberrylink.operators.store import ConfigurationStore, StoredConfiguration
from gooseberrylink.platform.client import Platform
from gooseberrylink.platform.results import Trouble


class ConfigurationTaker(Protocol):
    """What a source needs of an entry."""

    @property
    def version(self) -> int:
        """Version in force; 0 for none."""

    def adopt(self, version: int, text: str, source: str) -> None:
        """Brings a version into force unless a newer one is."""

    def confirm(self) -> None:
        """Notes that the version in force is surely not out of date."""

    def source_failed(self, reason: str) -> None:
        """Counts that the source could not be reached."""


class ConfigurationSource(Protocol):
    """Where accepted configurations come from."""

    async def run(self, taker: ConfigurationTaker) -> None:
        """Hands versions to an entry until cancelled."""


class PollingSource:
    """Asks the platform's table again and again; see ConfigurationSource."""

    def __init__(self, platform: Platform, poll_s: float):
        self._store = ConfigurationStore(platform)
        self._poll_s = poll_s

    async def run(self, taker: ConfigurationTaker) -> None:
        """See ConfigurationSource."""
        while True:
            await self.poll_once(taker)
            await trio.sleep(self._poll_s)

    async def poll_once(self, taker: ConfigurationTaker) -> None:
        """Asks the platform for a newer configuration."""
        found = await self._store.read_newer(taker.version)
        if isinstance(found, Trouble):
            taker.source_failed(found.name.lower())
            return
        if isinstance(found, StoredConfiguration):
            taker.adopt(found.version, found.text, "platform")
        taker.confirm()
