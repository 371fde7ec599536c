"""How a process reaches the platform's log: the interface."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

__all__ = ["LogClient", "LogRecord", "Page"]


@dataclass(frozen=True)
class LogRecord:
    """One record: its offset, the log's time in milliseconds, its bytes."""

    offset: int
    stamp: int
    data: bytes


@dataclass(frozen=True)
class Page:
    """Records in order, and the offset that the next append will get."""

    records: list[LogRecord]
    head: int


class LogClient(ABC):
    """A way to the log."""

    @abstractmethod
    async def append(self, stream: str, data: bytes) -> int:
        """Append a record and return its offset.

        Raises
        ------
        LogUnavailable
            The record may or may not be in the log.
        """

    @abstractmethod
    async def read(self, stream: str, start: int, limit: int, wait_s: float) -> Page:
        """Return records from `start` on, waiting up to `wait_s` seconds for the first.

        Raises
        ------
        LogUnavailable
            No answer.
        RecordsExpired
            The log does not keep `start` any more.
        """
