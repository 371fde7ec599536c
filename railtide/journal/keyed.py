"""Keyed topics of the platform's store: records by key, the newest of each kept for good.

A topic has numbered partitions; offsets order the records of one partition. An append may name
the offset at which the partition must end, which makes it a compare-and-swap.

A store may come back from a copy that is older than what it had acknowledged. It then tells of a
new era: offsets, ends and records that were read in a former one say nothing about it.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

from railtide.journal.errors import JournalError
from railtide.journal.read_progress import ReadProgress

__all__ = ["AppendConflict", "KeyedPage", "KeyedRecord", "KeyedStore"]


class AppendConflict(JournalError):
    """Others appended since: nothing was written.

    Parameters
    ----------
    end : int
        The partition's end now.
    """

    code = "append-conflict"

    def __init__(self, end: int) -> None:
        super().__init__(f"the partition ends at {end}")
        self.end = end


@dataclass(frozen=True)
class KeyedRecord:
    """A key and its value at an offset; an empty value removes the key."""

    key: str
    value: bytes
    offset: int


@dataclass(frozen=True)
class KeyedPage:
    """Records in the order of their offsets.

    Attributes
    ----------
    end : int
        Where the partition ended.
    next_offset : int
        After the last record that was read, whether it is among `records` or unreadable.
    unreadable : int
        Records that another writer left and that are no key and value; they are passed over.
    """

    records: list[KeyedRecord]
    end: int
    next_offset: int = 0
    unreadable: int = 0


class KeyedStore(ABC):
    """A way to the keyed topics.

    Each call raises `EraRisen` where it was sent in one era and not answered in it.
    """

    @property
    def era(self) -> int | None:
        """The era of the newest answer; None for a store that tells none, and before the first."""
        return None

    def on_era_rise(self, listener: Callable[[], None]) -> None:  # noqa: B027 - not each has eras
        """Have a listener told of each rise of the era; without eras there is none."""

    @abstractmethod
    async def newest(
        self, topic: str, partition: int = 0, progress: ReadProgress | None = None
    ) -> KeyedPage:
        """Return the newest record of each key.

        The pages after it are no snapshot: the records from the page's `end` on are to be read
        after it. `progress` is told how far the answer has come.

        Raises
        ------
        LogUnavailable
            No answer.
        """

    @abstractmethod
    async def read(
        self,
        topic: str,
        start: int,
        wait_s: float,
        partition: int = 0,
        progress: ReadProgress | None = None,
    ) -> KeyedPage:
        """Return records from `start` on, waiting up to `wait_s` seconds for the first.

        Of an answer that breaks off, the records that came whole are returned. `progress` is told
        where the partition ends once an answer begins, and how far it has come.

        Raises
        ------
        LogUnavailable
            No answer.
        RecordsExpired
            The store does not keep `start` any more.
        """

    @abstractmethod
    async def append(
        self,
        topic: str,
        values_by_key: dict[str, bytes],
        expected_end: int | None = None,
        partition: int = 0,
    ) -> int:
        """Append records, all or none, and return the partition's end after them.

        Raises
        ------
        AppendConflict
            The partition does not end at `expected_end`.
        LogUnavailable
            The records may or may not be there, or come to be there as long as the condition
            holds.
        """
