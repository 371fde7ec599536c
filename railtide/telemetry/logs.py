"""Structured logs: one JSON object a line on standard error, for changes of state only."""

import sys

import msgspec
from loguru import logger

__all__ = ["set_up_logs"]


def set_up_logs(service: str, level: str = "INFO") -> None:
    """Send log lines to standard error as JSON.

    Parameters
    ----------
    service : str
        Name of this process in its lines.
    level : str
        Least level that is written.
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
