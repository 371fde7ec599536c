"""The appender: appends queued entries to the log in batches until each has been folded."""

import math
from collections.abc import Callable
from contextlib import AbstractContextManager, nullcontext
from random import Random

import trio
from opentelemetry import trace

from railtide.journal.backoff import Backoff
from railtide.journal.client import LogClient
from railtide.journal.entries import Entry, batch_to_bytes
from railtide.journal.errors import LogUnavailable
from railtide.keeper.follower import Follower
from railtide.keeper.options import KeeperOptions
from railtide.telemetry.traceparent import context_of

__all__ = ["Appender"]

FOLD_WAIT_S = 5.0
"""Seconds between two checks for entries to send while the fold lags behind the log."""
APPEND_BYTES = 262_144
"""Bytes of records at which a batch is closed: 0.6 s on a link of 5 Mbit/s in base64.
A batch that was appended need not be sent again if a later one fails."""

_tracer = trace.get_tracer("railtide.keeper")


class Appender:
    """Appends entries in batches for the writers of a keeper's instance.

    Notes
    -----
    An entry leaves the queue only once the fold has decided on it, not when an append was
    answered: a lost answer and an append that never arrived are thus repaired by appending again,
    and the fold skips an entry that arrived twice. While the fold has not reached the offset of an
    answered append, its entries are not sent again: that would lengthen the log for all its readers
    and delay the fold further. Entries of a holder that the fold does not know even after the
    append (its `OpenHolder` was too old) are passed to `on_refused`.
    """

    def __init__(
        self,
        log: LogClient,
        follower: Follower,
        options: KeeperOptions,
        rng: Random,
        on_refused: Callable[[list[Entry]], None],
    ) -> None:
        self.appends = 0
        self.failures = 0
        self.answers_lost = 0
        self.bytes_appended = 0
        self._log = log
        self._follower = follower
        self._options = options
        self._on_refused = on_refused
        self._backoff = Backoff(options.backoff_s, options.backoff_max_s, rng)
        self._entries_by_holder: dict[str, dict[int, Entry]] = {}
        self._entry_added = trio.Event()
        self._in_flight: set[tuple[str, int]] = set()
        self._append_offset_by_key: dict[tuple[str, int], int] = {}
        self._append_scope = trio.CancelScope()
        self._spans_by_holder_and_seq: dict[tuple[str, int], trace.Span] = {}

    def add(self, entry: Entry, traceparent: str = "") -> None:
        """Queue an entry; with a traceparent, a span covers the time until it is folded."""
        self._entries_by_holder.setdefault(entry.holder, {})[entry.seq] = entry
        if traceparent:
            self._start_span(entry, traceparent)
        self._entry_added.set()

    def _start_span(self, entry: Entry, traceparent: str) -> None:
        span = _tracer.start_span("keeper.entry", context_of(traceparent))
        self._spans_by_holder_and_seq[(entry.holder, entry.seq)] = span

    def discard_decided(self, holder: str, seq: int) -> None:
        """Drop the holder's entries up to `seq`: the fold has decided on them."""
        queue = self._entries_by_holder.get(holder)
        if queue is None:
            return
        while queue and (old := next(iter(queue))) <= seq:
            del queue[old]
            self._in_flight.discard((holder, old))
            self._append_offset_by_key.pop((holder, old), None)
            span = self._spans_by_holder_and_seq.pop((holder, old), None)
            if span:
                span.end()
        if not queue:
            del self._entries_by_holder[holder]
        if not self._in_flight:
            self._append_scope.cancel()

    def has_pending(self, holder: str) -> bool:
        """Return whether entries of the holder are queued."""
        return holder in self._entries_by_holder

    def pending(self) -> int:
        """Return how many entries are queued."""
        return sum(len(queue) for queue in self._entries_by_holder.values())

    async def run(self) -> None:
        """Append batches until cancelled."""
        while True:
            batch = await self._wait_for_batch()
            try:
                await self._append(batch)
            except LogUnavailable:
                self.failures += 1
                await trio.sleep(self._backoff.next_wait())

    async def _wait_for_batch(self) -> list[Entry]:
        while not (batch := self._next_batch()):
            self._entry_added = trio.Event()
            with trio.move_on_after(FOLD_WAIT_S if self._entries_by_holder else math.inf):
                await self._entry_added.wait()
        return batch

    def _is_ahead_of_fold(self, entry: Entry) -> bool:
        """Return whether an entry was appended at an offset that the fold has not reached yet."""
        offset = self._append_offset_by_key.get((entry.holder, entry.seq), -1)
        return offset > self._follower.state.offset

    def _next_batch(self) -> list[Entry]:
        """Return the entries to send next, each holder's in order of sequence number."""
        batch: list[Entry] = []
        size = 0
        for queue in self._entries_by_holder.values():
            for seq in sorted(queue):
                if self._is_ahead_of_fold(queue[seq]):
                    continue
                batch.append(queue[seq])
                size += memoryview(queue[seq].record).nbytes
                if len(batch) >= self._options.append_batch or size >= APPEND_BYTES:
                    return batch
        return batch

    async def _append(self, batch: list[Entry]) -> None:
        data = batch_to_bytes(batch)
        began = trio.current_time()
        self.appends += 1
        self.bytes_appended += len(data)
        offset = await self._append_until_folded(batch, data)
        self._backoff.reset()
        self._append_offset_by_key |= {
            (entry.holder, entry.seq): offset
            for entry in batch
            if entry.seq in self._entries_by_holder.get(entry.holder, ())
        }
        with trio.move_on_after(FOLD_WAIT_S):
            await self._follower.wait_for(offset)
            self._refuse_unknown(batch)
        remaining_s = began + self._options.append_interval_s - trio.current_time()
        if remaining_s > 0:
            await trio.sleep(remaining_s)

    async def _append_until_folded(self, batch: list[Entry], data: bytes) -> int:
        """Append and return the offset; stop waiting once the whole batch has been folded.

        So an answer that is lost after the append took effect does not cost a timeout.
        """
        self._in_flight = {(entry.holder, entry.seq) for entry in batch}
        with trio.CancelScope() as self._append_scope, self._log_span(batch):
            return await self._log.append(self._options.stream, data)
        self.answers_lost += 1
        return self._follower.state.offset

    def _log_span(self, batch: list[Entry]) -> AbstractContextManager[object]:
        """Return a span of the append, a child of the first traced entry's span in the batch."""
        for entry in batch:
            span = self._spans_by_holder_and_seq.get((entry.holder, entry.seq))
            if span:
                context = trace.set_span_in_context(span)
                return _tracer.start_as_current_span("log.append", context)
        return nullcontext()

    def _refuse_unknown(self, batch: list[Entry]) -> None:
        known = self._follower.state.by_holder
        for holder in sorted({entry.holder for entry in batch} - known.keys()):
            refused = self._entries_by_holder.pop(holder, {})
            for seq in refused:
                self._append_offset_by_key.pop((holder, seq), None)
            self._on_refused(list(refused.values()))
