"""A keyed store in memory, and the faults that the real one shows."""

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
        What stands on the wire in place of a record that no reader can read.
    """

    first: int = 0
    records: list[KeyedRecord] = field(default_factory=list)
    newest_by_key: dict[str, KeyedRecord] = field(default_factory=dict)
    raw_by_offset: dict[int, bytes] = field(default_factory=dict)
    moved: trio.Event = field(default_factory=trio.Event)

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
        """Append a record as another writer may, its content as it is."""
        self.raw_by_offset[self.end] = content
        self.records.append(KeyedRecord("", b"", self.end))

    def compact(self) -> None:
        """Drop the history; the newest records stay."""
        self.first = self.end
        self.records.clear()

    def copy(self) -> "MemoryTopic":
        """Return the records as they are now; nobody waits in the copy."""
        return MemoryTopic(
            self.first, list(self.records), dict(self.newest_by_key), dict(self.raw_by_offset)
        )


Copy = Mapping[tuple[str, int], MemoryTopic]


class MemoryStore(KeyedStore):
    """Keyed topics in memory.

    Attributes
    ----------
    down : bool
        Every call fails, nothing is done.
    down_partitions : set of int
        Calls to these fail in every topic.
    lose_answers : int
        So many coming appends are done and not answered.
    late_appends : int
        So many coming appends are not answered, and done only when `apply_late_appends` is called.
    delay_s : float
        Time that a call takes.
    max_call_bytes : float
        An append of more bytes of keys and values is refused, nothing is done.
    era : int or None
        Rises with each rollback; None for a store that tells none.
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
        """Have a listener told; see `KeyedStore.on_era_rise`."""
        self._listeners.append(listener)

    def copy(self) -> Copy:
        """Return all topics as they are now."""
        return {key: topic.copy() for key, topic in self._topic_by_name.items()}

    def roll_back(self, copy: Copy) -> None:
        """Come back from a copy, in the next era; a copy serves for several times."""
        before = self._topic_by_name
        self._topic_by_name = {key: topic.copy() for key, topic in copy.items()}
        self.era = (self.era or 0) + 1
        for topic in before.values():
            topic.moved.set()
        for listener in self._listeners:
            listener()

    def topic(self, name: str, partition: int = 0) -> MemoryTopic:
        """Return a partition of a topic, made on first use."""
        return self._topic_by_name.setdefault((name, partition), MemoryTopic())

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a record as others would."""
        self._write(topic, 0, {key: value})

    def put_raw(self, topic: str, content: bytes, partition: int = 0) -> None:
        """Append a record that need not be one that can be read."""
        known = self.topic(topic, partition)
        known.add_raw(content)
        self._wake(known)

    async def newest(
        self, topic: str, partition: int = 0, progress: ReadProgress | None = None
    ) -> KeyedPage:
        """Return the newest records; see `KeyedStore.newest`."""
        await self._call(partition)
        known = self.topic(topic, partition)
        records = sorted(known.newest_by_key.values(), key=lambda record: record.offset)
        return KeyedPage(records, known.end)

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
        known = self.topic(topic, partition)
        self._check_start(known, start)
        if start >= known.end and wait_s:
            with trio.move_on_after(wait_s):
                await known.moved.wait()
            await self._call(partition)
            if self.era != era:
                raise EraRisen("the store came back from a copy meanwhile")
            self._check_start(known, start)
        records = known.records[start - known.first :]
        if progress:
            progress.begin(known.end, sum(len(record.value) for record in records))
        return KeyedPage(records, known.end, known.end)

    def _check_start(self, known: MemoryTopic, start: int) -> None:
        """Refuse an offset that is not there: one forgotten, or given out in a former era."""
        if start < known.first or (self.era is not None and start > known.end):
            raise RecordsExpired(known.first)

    async def append(
        self,
        topic: str,
        values_by_key: dict[str, bytes],
        expected_end: int | None = None,
        partition: int = 0,
    ) -> int:
        """Append records; see `KeyedStore.append`."""
        await self._call(partition)
        if sum(map(len, [*values_by_key, *values_by_key.values()])) > self.max_call_bytes:
            raise LogUnavailable("the append is too large")
        known = self.topic(topic, partition)
        if self.late_appends:
            self.late_appends -= 1
            self._late.append((topic, partition, values_by_key, expected_end))
            raise LogUnavailable("no answer")
        if expected_end is not None and expected_end != known.end:
            raise AppendConflict(known.end)
        self._write(topic, partition, values_by_key)
        if self.lose_answers:
            self.lose_answers -= 1
            raise LogUnavailable("the answer was lost")
        return known.end

    def apply_late_appends(self) -> None:
        """Do the appends that were late, where their condition still holds."""
        for topic, partition, values, expected_end in self._late:
            if expected_end is None or expected_end == self.topic(topic, partition).end:
                self._write(topic, partition, values)
        self._late.clear()

    def apply_late_appends_to(self, topic: str) -> None:
        """Do the conditional appends to a topic that were late and would be done now."""
        for late in list(self._late):
            name, partition, values, expected_end = late
            if name == topic and expected_end == self.topic(name, partition).end:
                self._late.remove(late)
                self._write(name, partition, values)

    def _write(self, topic: str, partition: int, values_by_key: dict[str, bytes]) -> None:
        known = self.topic(topic, partition)
        for key, value in values_by_key.items():
            known.add(key, value)
        self._wake(known)

    @staticmethod
    def _wake(known: MemoryTopic) -> None:
        known.moved.set()
        known.moved = trio.Event()

    async def _call(self, partition: int) -> None:
        self.calls += 1
        era = self.era
        await trio.sleep(self.delay_s)
        if self.era != era:
            raise EraRisen("the store came back from a copy meanwhile")
        if self.down or partition in self.down_partitions:
            raise LogUnavailable("the store is down")
