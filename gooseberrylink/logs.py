"""Writes one key=value line for each event."""

import sys

from loguru import logger

_FORMAT = "time={time:YYYY-MM-DDTHH:mm:ss.SSSZ} level={level} {message}"


def configure_logs(level: str = "INFO") -> None:
    """Sends events to standard output, one key=value line each."""
    logger.remove()
    logger.add(sys.stdout, format=_FORMAT, level=level)


def log_event(event: str, level: str = "INFO", **fields: object) -> None:
    """Logs an event.

    Args:
        event: snake_case name of what happened.
        level: Name of a loguru level.
        **fields: What identifies it; never a payload.
    """
    pairs = [f"event={event}"]
    pairs += [f"{name}={_quote(value)}" for name, value in fields.items()]
    logger.opt(depth=1).log(level, "{}", " ".join(pairs))


def _quote(value: object) -> str:
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    if not text or any(char in text for char in ' "=\n'):
        escaped = text.replace('"', '\\"').replace("\n", "\\n")
        return f'"{escaped}"'
    return text
