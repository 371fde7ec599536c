"""Structured logs on standard error, one JSON object a line; only changes of state are logged."""

import sys

import msgspec
from loguru import logger

__all__ = ["set_up_logs"]


def set_up_logs(service: str, level: str = "INFO") -> None:
    """Log to standard error as JSON.

    Parameters
    ----------
    service : str
        Name of this process in its lines.
    level : str
        Lowest level that is logged.
    """

    def write(message) -> None:
        record = message.record
        line = {
            "time": record["time"].isoformat(),
            "level": record["level"].name,
            "service": service,
            "event": record["message"],
            "module": record["name"],
        }
        if record["exception"]:
            line["exception"] = repr(record["exception"].value)
        sys.stderr.write(msgspec.json.encode(line).decode() + "\n")

    logger.remove()
    logger.add(write, level=level, catch=False)
    logger.enable("railtide")
