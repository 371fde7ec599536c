"""The appender: puts waiting entries into the log in groups, until the fold has seen each."""

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
"""Between two looks for entries to send while the fold is behind."""
APPEND_BYTES = 262_144
"""Bytes of records from which on an append takes no more: 0.6 s of a link of 5 Mbit/s in base64.
What was appended is done, whatever becomes of the rest."""

_tracer = trace.get_tracer("railtide.keeper")


class Appender:
    """Group append for the writers beside a keeper.

    Notes
    -----
    An entry leaves the queue only when the fold has passed it, not when an append was answered:
    so a lost answer, an append that never arrived and one that arrived twice are all cured by
    appending again. While the fold is behind an append that was answered, its entries are not sent
    again: the log would grow by that for all who read it, and the fold fall behind further.
    Entries of a holder that the fold does not know even after the append (its `OpenHolder` was too
    old) are handed to `on_refused`.
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
        self._waiting = trio.Event()
        self._in_flight: set[tuple[str, int]] = set()
        self._offset_by_sent: dict[tuple[str, int], int] = {}
        self._append_scope = trio.CancelScope()
        self._spans_by_holder_and_seq: dict[tuple[str, int], trace.Span] = {}

    def add(self, entry: Entry, traceparent: str = "") -> None:
        """Queue an entry; with a traceparent its way into the log is a span."""
        self._entries_by_holder.setdefault(entry.holder, {})[entry.seq] = entry
        if traceparent:
            self._start_span(entry, traceparent)
        self._waiting.set()

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
            self._offset_by_sent.pop((holder, old), None)
            span = self._spans_by_holder_and_seq.pop((holder, old), None)
            if span:
                span.end()
        if not queue:
            del self._entries_by_holder[holder]
        if not self._in_flight:
            self._append_scope.cancel()

    def pending_of(self, holder: str) -> bool:
        """Return whether entries of the holder are queued."""
        return holder in self._entries_by_holder

    def pending(self) -> int:
        """Return how many entries are queued."""
        return sum(len(queue) for queue in self._entries_by_holder.values())

    async def run(self) -> None:
        """Append for ever."""
        while True:
            batch = await self._wait_for_batch()
            try:
                await self._append(batch)
            except LogUnavailable:
                self.failures += 1
                await trio.sleep(self._backoff.next_wait())

    async def _wait_for_batch(self) -> list[Entry]:
        while not (batch := self._next_batch()):
            self._waiting = trio.Event()
            with trio.move_on_after(FOLD_WAIT_S if self._entries_by_holder else math.inf):
                await self._waiting.wait()
        return batch

    def _is_ahead_of_fold(self, entry: Entry) -> bool:
        """Return whether an entry is in the log where the fold has not come to yet."""
        offset = self._offset_by_sent.get((entry.holder, entry.seq), -1)
        return offset > self._follower.state.offset

    def _next_batch(self) -> list[Entry]:
        """Return the oldest entries of each holder that are to be sent, in each holder's order."""
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
        offset = await self._append_or_see_it_folded(batch, data)
        self._backoff.reset()
        self._offset_by_sent |= {
            (entry.holder, entry.seq): offset
            for entry in batch
            if entry.seq in self._entries_by_holder.get(entry.holder, ())
        }
        with trio.move_on_after(FOLD_WAIT_S):
            await self._follower.wait_for(offset)
            self._refuse_unknown(batch)
        rest = began + self._options.append_interval_s - trio.current_time()
        if rest > 0:
            await trio.sleep(rest)

    async def _append_or_see_it_folded(self, batch: list[Entry], data: bytes) -> int:
        """Append and return the offset; stop waiting once the fold has passed the whole batch.

        An answer that is lost after the append took effect so costs no timeout.
        """
        self._in_flight = {(entry.holder, entry.seq) for entry in batch}
        with trio.CancelScope() as self._append_scope, self._log_span(batch):
            return await self._log.append(self._options.stream, data)
        self.answers_lost += 1
        return self._follower.state.offset

    def _log_span(self, batch: list[Entry]) -> AbstractContextManager[object]:
        """Return a span of the group append, below the first traced entry in it."""
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
                self._offset_by_sent.pop((holder, seq), None)
            self._on_refused(list(refused.values()))
