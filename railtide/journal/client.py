"""Interface of clients of the platform's log."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

__all__ = ["LogClient", "LogRecord", "Page"]


@dataclass(frozen=True)
class LogRecord:
    """One record: its offset, the log's time of the append in milliseconds, and its payload."""

    offset: int
    stamp: int
    data: bytes


@dataclass(frozen=True)
class Page:
    """Records in order, and the head: the offset that the next append will get."""

    records: list[LogRecord]
    head: int


class LogClient(ABC):
    """Client of the platform's log."""

    @abstractmethod
    async def append(self, stream: str, data: bytes) -> int:
        """Append a record and return its offset.

        Raises
        ------
        LogUnavailable
            The record may or may not have been appended.
        """

    @abstractmethod
    async def read(self, stream: str, start: int, limit: int, wait_s: float) -> Page:
        """Return records from `start` on, waiting up to `wait_s` seconds for the first.

        Raises
        ------
        LogUnavailable
            No answer.
        RecordsExpired
            The log no longer keeps `start`.
        """
