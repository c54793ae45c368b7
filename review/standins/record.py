"""Keeps what was sent, answered and run in record.txt."""

import pathlib
import time


class Record:
    """Lines with the time since the start, written when the case ends."""

    def __init__(self, path: pathlib.Path):
        self._path = path
        self._started_s = time.monotonic()
        self._lines: list[str] = []

    def add(self, text: str) -> None:
        """Adds a line."""
        self._lines.append(f"{time.monotonic() - self._started_s:8.3f} {text}")

    def write(self) -> None:
        """Writes the file."""
        self._path.write_text("\n".join(self._lines) + "\n")
