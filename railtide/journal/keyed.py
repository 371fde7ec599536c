"""Keyed topics of the platform's store, which keep the newest record of each key forever.

A topic has numbered partitions; offsets order the records of one partition. An append may state
the offset at which the partition must end, which makes it a compare-and-swap.

A store may be restored from a copy that lacks records it had acknowledged. It then states a new
era: offsets, ends and records that were read in a former era are no longer valid.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

from railtide.errors import ExecutionStatus
from railtide.journal.errors import JournalError
from railtide.journal.read_progress import ReadProgress

__all__ = [
    "MAX_KEY_BYTES",
    "MAX_OFFSET",
    "MAX_RECORD_BYTES",
    "AppendConflict",
    "InvalidRecord",
    "KeyedPage",
    "KeyedRecord",
    "KeyedStore",
]

KEY_LENGTH_BYTES = 1
MAX_KEY_BYTES = 255
"""Longest key of a record, whose length takes `KEY_LENGTH_BYTES`."""
MAX_RECORD_BYTES = 262_144
"""Largest record, where a store states no other limit."""
MAX_OFFSET = 2**63 - 1
"""Largest valid offset: sums of a few of them can still be written."""


class InvalidRecord(JournalError):
    """A record that the store can't hold; nothing was sent."""

    code = "invalid-record"
    run = ExecutionStatus.NOT_RUN


class AppendConflict(JournalError):
    """Another process appended to the partition in the meantime; nothing was written.

    Parameters
    ----------
    end : int
        The partition's present end.
    """

    code = "append-conflict"

    def __init__(self, end: int) -> None:
        super().__init__(f"the partition now ends at offset {end}")
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
        End offset of the partition.
    next_offset : int
        Offset after the last record that was read, including unreadable ones.
    unreadable : int
        Number of skipped records: those of other writers that are not a key and a value.
    """

    records: list[KeyedRecord]
    end: int
    next_offset: int = 0
    unreadable: int = 0


class KeyedStore(ABC):
    """Client of the keyed topics.

    A call raises `EraRisen` if the era rose between its sending and its answer.

    Attributes
    ----------
    max_record_bytes : int
        Largest record that the store holds: its key with a length, and its value.
    """

    max_record_bytes = MAX_RECORD_BYTES

    @property
    def era(self) -> int | None:
        """The era of the latest answer; None before the first, and for a store without eras."""
        return None

    def on_era_rise(self, listener: Callable[[], None]) -> None:  # noqa: B027 - not each has eras
        """Register a listener that is called on each rise of the era; a no-op without eras."""

    def check_record(self, key: str, value: bytes) -> None:
        """Raise unless the store can hold a record.

        Raises
        ------
        InvalidRecord
            The key or the record is too long.
        """
        key_bytes = len(key.encode())
        if key_bytes > MAX_KEY_BYTES:
            raise InvalidRecord(f"a key of {key_bytes} bytes, {MAX_KEY_BYTES} allowed")
        size = KEY_LENGTH_BYTES + key_bytes + len(value)
        if size > self.max_record_bytes:
            raise InvalidRecord(f"a record of {size} bytes, {self.max_record_bytes} allowed")

    @abstractmethod
    async def newest(
        self, topic: str, partition: int = 0, progress: ReadProgress | None = None
    ) -> KeyedPage:
        """Return the newest record of each key.

        The page is not a snapshot: records from its `end` on must be read afterwards. `progress`
        receives the progress of the answer.

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

        If an answer breaks off, its complete records are returned. `progress` receives the
        partition's end once an answer begins, and the progress of the answer.

        Raises
        ------
        LogUnavailable
            No answer.
        RecordsExpired
            The store no longer keeps `start`.
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
        InvalidRecord
            See `check_record`.
        AppendConflict
            The partition does not end at `expected_end`.
        LogUnavailable
            The records may have been written, or may still be written while the condition holds.
        """
