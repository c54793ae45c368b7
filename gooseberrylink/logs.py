"""Logs events as key=value lines and never waits for a slow reader."""

import atexit
import collections
import functools
import re
import sys
import threading
import time

from loguru import logger

# log_event builds the whole line, as loguru's own format takes twice as long.
_FORMAT = "{message}"
# About a megabyte of lines, queued while the reader is slow.
_MAX_QUEUED_LINES = 4000
# Bounds the log volume under load: a process that handles 100 jobs/s logs two lines
# per job and two per task.
_MAX_LINES_PER_S = 1000
_BATCH_LINES = 200
# A process that is killed loses the lines that it logged within this time.
_BATCH_DELAY_S = 0.02
_FLUSH_TIMEOUT_S = 0.5
_NEEDS_QUOTES = re.compile('[ "=\\n]')


class _Writer:
    """Writes lines to standard output on a thread of its own.

    Lines beyond the limits are dropped, and their number is written before the
    next line. The thread waits for _BATCH_DELAY_S and then writes all queued lines,
    as switching threads takes longer than writing a line.
    """

    def __init__(self):
        self._queue: collections.deque[str] = collections.deque()
        self._has_lines = threading.Event()
        self._dropped = 0
        self._current_second = 0
        self._lines_this_second = 0
        threading.Thread(target=self._run, name="logs", daemon=True).start()
        atexit.register(self.flush)

    def put(self, line: str) -> None:
        """Queues a line; drops it if the line rate or the queue is at its limit."""
        second = int(time.monotonic())
        if second != self._current_second:
            self._current_second, self._lines_this_second = second, 0
        self._lines_this_second += 1
        exceeds_rate = self._lines_this_second > _MAX_LINES_PER_S
        if exceeds_rate or len(self._queue) >= _MAX_QUEUED_LINES:
            self._dropped += 1
            return
        if self._dropped:
            line = (
                f"level=WARNING event=log_lines_dropped count={self._dropped}\n{line}"
            )
            self._dropped = 0
        self._queue.append(line)
        if not self._has_lines.is_set():
            self._has_lines.set()

    def flush(self) -> None:
        """Waits until all lines are written, at most _FLUSH_TIMEOUT_S."""
        deadline_s = time.monotonic() + _FLUSH_TIMEOUT_S
        while self._has_lines.is_set() and time.monotonic() < deadline_s:
            time.sleep(0.005)

    def _run(self) -> None:
        while True:
            self._has_lines.wait()
            time.sleep(_BATCH_DELAY_S)
            while self._queue:
                count = min(len(self._queue), _BATCH_LINES)
                lines = [self._queue.popleft() for _ in range(count)]
                try:
                    sys.stdout.write("".join(lines))
                    sys.stdout.flush()
                except (OSError, ValueError):
                    # Standard output is closed; the process must work without logs.
                    pass
            self._has_lines.clear()
            if self._queue:
                # A line was queued just before the flag was cleared.
                self._has_lines.set()


_writer: _Writer | None = None


def configure_logs(level: str = "INFO") -> None:
    """Directs events to standard output, one key=value line each."""
    global _writer
    if _writer is None:
        _writer = _Writer()
    logger.remove()
    logger.add(_writer.put, format=_FORMAT, level=level)


def log_event(event: str, level: str = "INFO", **fields: object) -> None:
    """Logs an event.

    Args:
        event: snake_case name of the event.
        level: Name of a loguru level.
        **fields: Values that describe the event; never a task's payload.
    """
    pairs = [f"time={_format_now()} level={level} event={event}"]
    pairs += [f"{name}={_format_value(value)}" for name, value in fields.items()]
    # Without arguments loguru does not interpret braces in the text.
    logger.log(level, " ".join(pairs))


def _format_now() -> str:
    """Returns the current UTC time in ISO 8601 format, to the millisecond."""
    second, part_ns = divmod(time.time_ns(), 1_000_000_000)
    return f"{_format_second(second)}.{part_ns // 1_000_000:03d}+00:00"


@functools.lru_cache(maxsize=1)
def _format_second(second: int) -> str:
    return time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(second))


def _format_value(value: object) -> str:
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    if not text or _NEEDS_QUOTES.search(text):
        escaped = text.replace('"', '\\"').replace("\n", "\\n")
        return f'"{escaped}"'
    return text
