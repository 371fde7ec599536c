"""An in-memory keyed store with the faults of the platform's store."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import trio

from railtide.journal.errors import EraRisen, LogUnavailable, RecordsExpired
from railtide.journal.keyed import AppendConflict, KeyedPage, KeyedRecord, KeyedStore
from railtide.journal.read_progress import ReadProgress

__all__ = ["MemoryStore", "MemoryTopic"]


@dataclass
class MemoryTopic:
    """The records of one topic from `first` on, and the newest of each key.

    Attributes
    ----------
    raw_by_offset : dict of int to bytes
        Content sent in place of a record, for records that readers can't decode.
    """

    first: int = 0
    records: list[KeyedRecord] = field(default_factory=list)
    newest_by_key: dict[str, KeyedRecord] = field(default_factory=dict)
    raw_by_offset: dict[int, bytes] = field(default_factory=dict)
    changed: trio.Event = field(default_factory=trio.Event)

    @property
    def end(self) -> int:
        """Offset of the next record."""
        return self.first + len(self.records)

    def add(self, key: str, value: bytes) -> None:
        """Append a record; an empty value removes its key."""
        record = KeyedRecord(key, value, self.end)
        self.records.append(record)
        if value:
            self.newest_by_key[key] = record
        else:
            self.newest_by_key.pop(key, None)

    def add_raw(self, content: bytes) -> None:
        """Append a record with raw content, which readers may be unable to decode."""
        self.raw_by_offset[self.end] = content
        self.records.append(KeyedRecord("", b"", self.end))

    def compact(self) -> None:
        """Drop the history; the newest record of each key stays."""
        self.first = self.end
        self.records.clear()

    def copy(self) -> "MemoryTopic":
        """Return a copy of the records; readers that wait on this topic don't wait on the copy."""
        return MemoryTopic(
            self.first, list(self.records), dict(self.newest_by_key), dict(self.raw_by_offset)
        )


StoreCopy = Mapping[tuple[str, int], MemoryTopic]


class MemoryStore(KeyedStore):
    """Keyed topics in memory.

    Attributes
    ----------
    down : bool
        Every call fails without effect.
    down_partitions : set of int
        Calls to these partitions fail in every topic.
    lose_answers : int
        Number of coming appends that take effect but get no answer.
    late_appends : int
        Number of coming appends that get no answer and take effect only at
        `apply_late_appends`.
    delay_s : float
        Duration of a call.
    max_call_bytes : float
        An append with more bytes of keys and values fails without effect.
    era : int or None
        Rises with each rollback; None for a store that reports no era.
    """

    era: int | None = None

    def __init__(self, era: int | None = None) -> None:
        self.era = era
        self.down = False
        self.down_partitions: set[int] = set()
        self.lose_answers = 0
        self.late_appends = 0
        self.delay_s = 0.0
        self.max_call_bytes = float("inf")
        self.calls = 0
        self._topic_by_name: dict[tuple[str, int], MemoryTopic] = {}
        self._late: list[tuple[str, int, dict[str, bytes], int | None]] = []
        self._listeners: list[Callable[[], None]] = []

    def on_era_rise(self, listener: Callable[[], None]) -> None:
        """Register a listener; see `KeyedStore.on_era_rise`."""
        self._listeners.append(listener)

    def copy(self) -> StoreCopy:
        """Return a copy of all topics, for `roll_back`."""
        return {key: topic.copy() for key, topic in self._topic_by_name.items()}

    def roll_back(self, copy: StoreCopy) -> None:
        """Restore a copy and raise the era; the same copy can be restored again."""
        before = self._topic_by_name
        self._topic_by_name = {key: topic.copy() for key, topic in copy.items()}
        self.era = (self.era or 0) + 1
        for topic in before.values():
            topic.changed.set()
        for listener in self._listeners:
            listener()

    def topic(self, name: str, partition: int = 0) -> MemoryTopic:
        """Return a partition of a topic; an unknown one is created."""
        return self._topic_by_name.setdefault((name, partition), MemoryTopic())

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a record as another writer, at once and without faults."""
        self._write(topic, 0, {key: value})

    def put_raw(self, topic: str, content: bytes, partition: int = 0) -> None:
        """Append a record with raw content, which readers may be unable to decode."""
        partition_log = self.topic(topic, partition)
        partition_log.add_raw(content)
        self._wake(partition_log)

    async def newest(
        self, topic: str, partition: int = 0, progress: ReadProgress | None = None
    ) -> KeyedPage:
        """Return the newest records; see `KeyedStore.newest`."""
        await self._call(partition)
        partition_log = self.topic(topic, partition)
        records = sorted(partition_log.newest_by_key.values(), key=lambda record: record.offset)
        return KeyedPage(records, partition_log.end)

    async def read(
        self,
        topic: str,
        start: int,
        wait_s: float,
        partition: int = 0,
        progress: ReadProgress | None = None,
    ) -> KeyedPage:
        """Return records; see `KeyedStore.read`."""
        era = self.era
        await self._call(partition)
        partition_log = self.topic(topic, partition)
        self._check_start(partition_log, start)
        if start >= partition_log.end and wait_s:
            with trio.move_on_after(wait_s):
                await partition_log.changed.wait()
            await self._call(partition)
            if self.era != era:
                raise EraRisen("the store came back from a copy meanwhile")
            self._check_start(partition_log, start)
        records = partition_log.records[start - partition_log.first :]
        if progress:
            progress.begin(partition_log.end, sum(len(record.value) for record in records))
        return KeyedPage(records, partition_log.end, partition_log.end)

    def _check_start(self, partition_log: MemoryTopic, start: int) -> None:
        """Raise RecordsExpired for an offset that was compacted, or exists only in a former era."""
        if start < partition_log.first or (self.era is not None and start > partition_log.end):
            raise RecordsExpired(partition_log.first)

    async def append(
        self,
        topic: str,
        values_by_key: dict[str, bytes],
        expected_end: int | None = None,
        partition: int = 0,
    ) -> int:
        """Append records; see `KeyedStore.append`."""
        for key, value in values_by_key.items():
            self.check_record(key, value)
        await self._call(partition)
        if sum(map(len, [*values_by_key, *values_by_key.values()])) > self.max_call_bytes:
            raise LogUnavailable("append exceeds max_call_bytes")
        partition_log = self.topic(topic, partition)
        if self.late_appends:
            self.late_appends -= 1
            self._late.append((topic, partition, values_by_key, expected_end))
            raise LogUnavailable("no answer")
        if expected_end is not None and expected_end != partition_log.end:
            raise AppendConflict(partition_log.end)
        self._write(topic, partition, values_by_key)
        if self.lose_answers:
            self.lose_answers -= 1
            raise LogUnavailable("append took effect, answer lost")
        return partition_log.end

    def apply_late_appends(self) -> None:
        """Apply the late appends whose `expected_end` still matches; drop the others."""
        for topic, partition, values, expected_end in self._late:
            if expected_end is None or expected_end == self.topic(topic, partition).end:
                self._write(topic, partition, values)
        self._late.clear()

    def apply_late_appends_to(self, topic: str) -> None:
        """Apply the late appends to a topic whose `expected_end` matches now; keep the rest."""
        for late in list(self._late):
            name, partition, values, expected_end = late
            if name == topic and expected_end == self.topic(name, partition).end:
                self._late.remove(late)
                self._write(name, partition, values)

    def _write(self, topic: str, partition: int, values_by_key: dict[str, bytes]) -> None:
        partition_log = self.topic(topic, partition)
        for key, value in values_by_key.items():
            partition_log.add(key, value)
        self._wake(partition_log)

    @staticmethod
    def _wake(partition_log: MemoryTopic) -> None:
        partition_log.changed.set()
        partition_log.changed = trio.Event()

    async def _call(self, partition: int) -> None:
        self.calls += 1
        era = self.era
        await trio.sleep(self.delay_s)
        if self.era != era:
            raise EraRisen("the store came back from a copy meanwhile")
        if self.down or partition in self.down_partitions:
            raise LogUnavailable("the store is down")
