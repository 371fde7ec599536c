"""Writes records to a keyed topic in batches, each again until the store has acknowledged it."""

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from random import Random

import trio

from railtide.journal.backoff import Backoff
from railtide.journal.errors import LogUnavailable
from railtide.journal.keyed import KeyedStore

__all__ = ["RecordWriter"]

PROMPT_S = 0.05
"""An append that takes longer means that the store may be lost."""
SLOW_RETENTION_S = 2.0
"""How long after a slow or failed append the next one is assumed to be slow too."""
MAX_INTERVAL_S = 0.25
"""Longest interval of appends at which a record is stored within the time that a prompt takes."""
PROMPT_INTERVAL_S = 0.2
"""Longest interval of appends while they are prompt, so that a record is stored before the first
event of its stream is passed on."""
MAX_BATCH = 200
BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.2


@dataclass
class _PendingRecord:
    """A record that is not stored yet; an empty value removes its key."""

    value: bytes
    due_at: float
    stored: trio.Event


class RecordWriter:
    """Writes the records of one router to one topic.

    Parameters
    ----------
    store : KeyedStore
    topic : str
    interval_s_of : callable
        Returns this router's share of the appends of all, as the time between two, seconds. It
        applies while appends are slow or fail; otherwise `PROMPT_INTERVAL_S` at most.
    rng : random.Random
        Source of the jitter in retries.
    """

    def __init__(
        self, store: KeyedStore, topic: str, interval_s_of: Callable[[], float], rng: Random
    ) -> None:
        self._store = store
        self._topic = topic
        self._interval_s_of = interval_s_of
        self._backoff = Backoff(BACKOFF_S, MAX_BACKOFF_S, rng)
        self._pending: dict[str, _PendingRecord] = {}
        self._due = trio.Event()
        self._slow_until = -math.inf

    def write(self, key: str, value: bytes, delay_s: float = 0.0) -> None:
        """Write a record; with a delay it waits for so long to share an append with others."""
        former = self._pending.get(key)
        stored = former.stored if former else trio.Event()
        self._pending[key] = _PendingRecord(value, trio.current_time() + delay_s, stored)
        if not delay_s:
            self._due.set()

    def is_pending(self, key: str) -> bool:
        """Return whether a key has a record that is not stored yet."""
        return key in self._pending

    async def wait_until_stored(self, key: str, timeout_s: float) -> bool:
        """Wait for the record of a key, if one is pending; return whether it was stored in time."""
        pending = self._pending.get(key)
        if pending is None:
            return True
        with trio.move_on_after(timeout_s):
            await pending.stored.wait()
            return True
        return False

    def is_prompt(self) -> bool:
        """Return whether a record that is written now is probably stored within moments."""
        now = trio.current_time()
        interval_s = self._interval_s_of()
        oldest = min((pending.due_at for pending in self._pending.values()), default=now)
        is_late = now - oldest > PROMPT_S + interval_s
        return now >= self._slow_until and interval_s <= MAX_INTERVAL_S and not is_late

    def write_due(self) -> None:
        """Write the delayed records that are due; to be called about once a second."""
        now = trio.current_time()
        if any(pending.due_at <= now for pending in self._pending.values()):
            self._due.set()

    async def run(self) -> None:
        """Write pending records until cancelled."""
        while True:
            await self._due.wait()
            batch = dict(list(self._pending.items())[:MAX_BATCH])
            began = trio.current_time()
            try:
                await self._store.append(
                    self._topic, {key: pending.value for key, pending in batch.items()}
                )
            except LogUnavailable:
                self._slow_until = trio.current_time() + SLOW_RETENTION_S
                await trio.sleep(self._backoff.next_wait())
                continue
            self._backoff.reset()
            if trio.current_time() - began > PROMPT_S:
                self._slow_until = trio.current_time() + SLOW_RETENTION_S
            self._note_stored(batch)
            await trio.sleep(self._pause_s())

    def _pause_s(self) -> float:
        interval_s = self._interval_s_of()
        is_slow = trio.current_time() < self._slow_until
        return interval_s if is_slow else min(interval_s, PROMPT_INTERVAL_S)

    def _note_stored(self, batch: Mapping[str, _PendingRecord]) -> None:
        for key, stored in batch.items():
            if self._pending.get(key) is stored:
                del self._pending[key]
                stored.stored.set()
        if not any(pending.value for pending in self._pending.values()):
            self._due = trio.Event()
