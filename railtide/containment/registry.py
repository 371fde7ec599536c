"""How all routers know which contents end upstreams: marks in one topic of the platform's store.

A router that saw an end writes a mark for each of its contents that was under way; all follow the
topic, and one that starts later reads what is there. A request that was never near an end costs no
call. Marks are a union, so a lost or repeated write changes nothing; one that lands after its own
clearing is cleared again by whoever cleared it.
"""

import time
from collections.abc import Callable
from dataclasses import replace
from random import Random

import trio
from loguru import logger

from railtide.configuration.errors import InvalidObject
from railtide.containment.blame import Blame, assign_blame
from railtide.containment.crash_detection import BrokenAttempt
from railtide.containment.errors import ContentHeld
from railtide.containment.holding import MOST_CONTENTS, held_until, surplus
from railtide.containment.observations import CrashObservation, ObservationSet, supersedes
from railtide.containment.records import (
    incarnation_digest,
    mark_of,
    record_key,
    record_value,
    upstream_of,
)
from railtide.journal.backoff import Backoff
from railtide.journal.errors import LogUnavailable
from railtide.journal.feed import Feed, FeedOptions
from railtide.journal.keyed import KeyedRecord, KeyedStore
from railtide.telemetry.counters import Counters

__all__ = ["CrashRegistry", "TOPIC"]

TOPIC = "keyed.railtide-crashes"
WAIT_S = 2.0
"""How long a read waits for a mark; bounds how late a connection that fell silent is noticed."""
BACKOFF_S = 0.05
BACKOFF_MOST_S = 0.5
"""Between two tries of a write: all routers are to know of a third end within seconds."""
MOST_BATCH = 200
"""Marks in one append; one end has as many as requests were under way."""
MOST_WAITING = 4_096
"""Marks that wait for a store that is away."""
TEND_S = 60.0
"""Between two looks for marks that are to be forgotten."""
BEGUN_S = 1.0
"""An upstream that ends so long after the begin of a request is hardly ended by it: those that are
end within some 0.1 s."""
ROUND_TRIP_S = 0.003
"""An answer that breaks off within this time of the sending comes from an upstream that had ended
already: a round trip within a region is 1 ms."""
AHEAD_S = 60.0
"""By how much another router's time of day may be ahead; a mark from further on would be kept for
as much longer."""
SOUND_FRESH_S = 1.0
"""How old a sound answer may be that still clears a mark which was on its way meanwhile."""
MOST_SOUND = 1_024
ELSEWHERE_S = 1.0
"""When to come back for a trial that another router makes."""


class CrashRegistry:
    """What this router knows of contents that end upstreams.

    Parameters
    ----------
    store : KeyedStore
    router : str
        Name of this router's instance.
    rng : random.Random
    counters : Counters
    is_owner : callable
        Returns whether this router is the one that makes trials of a content and forgets it.
    day_s : callable, optional
        Returns Unix seconds.

    Attributes
    ----------
    on_held : callable
        Told of a content that is held from now on.
    on_life_ended : callable
        Told of the digest of a life that ended.
    """

    def __init__(
        self,
        store: KeyedStore,
        router: str,
        rng: Random,
        counters: Counters,
        is_owner: Callable[[str], bool] = lambda content: True,
        day_s: Callable[[], float] = time.time,
    ) -> None:
        self.on_crash: Callable[[str], None] = lambda incarnation: None
        self.on_held: Callable[[str], None] = lambda content: None
        self._store = store
        self._router = router
        self._counters = counters
        self._is_owner = is_owner
        self._day_s = day_s
        self._evidence = ObservationSet()
        self._blame = Blame()
        self._held_at: dict[str, float] = {}
        self._known_lives: set[str] = set()
        self._waiting: dict[str, bytes] = {}
        self._due = trio.Event()
        self._cleared_here: dict[str, bytes] = {}
        self._sound_at: dict[str, float] = {}
        self._told_unreadable = False
        self._is_risen = False
        self._shown: dict[str, CrashObservation] = {}
        options = FeedOptions(wait_s=WAIT_S)
        self._feed = Feed(store, TOPIC, options, rng, self.take, self._compare)
        store.on_rise(self._note_rise)
        self._backoff = Backoff(BACKOFF_S, BACKOFF_MOST_S, rng)

    async def run(self) -> None:
        """Follow the marks of all routers and write this one's, for ever."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._feed.run)
            nursery.start_soon(self._run_writes)
            nursery.start_soon(self._run_tending)

    def refresh(self) -> trio.Event:
        """Read what is there now; see `Feed.refresh`."""
        return self._feed.refresh()

    @property
    def caught_up(self) -> bool:
        """True once the marks of all routers were read to their end."""
        return self._feed.caught_up

    @property
    def read_at(self) -> float:
        """Trio time of the last read of the marks to their end."""
        return self._feed.freshness.read_at

    @property
    def held(self) -> frozenset[str]:
        """The contents that are held, or tried again."""
        return frozenset(self._blame.held)

    # -- what requests ask --------------------------------------------------------------------

    def refusal_of(self, content: str, under_way: bool = False) -> ContentHeld | None:
        """Return why a content is not to be sent, None if it may be.

        Parameters
        ----------
        content : str
        under_way : bool
            Whether it runs at this router already: one trial is made at a time.
        """
        if content not in self._blame.held:
            return None
        now = self._day_s()
        left_s = self._held_until(content, now) - now
        if left_s > 0:
            return ContentHeld(f"upstreams end under content {content}", retry_after=left_s)
        if under_way or not self._is_owner(content):
            return ContentHeld(f"content {content} is tried elsewhere", retry_after=ELSEWHERE_S)
        return None

    def _held_until(self, content: str, now: float) -> float:
        return held_until(self._evidence.marks_of(content), now, self._evidence.moments)

    def held_for_s(self, content: str) -> float:
        """Return for how long a content has been held by what is known here, seconds."""
        return trio.current_time() - self._held_at.get(content, trio.current_time())

    def suspect_crash_counts(self, content: str) -> dict[str, int]:
        """Return the ends that suspects have to answer for, if a content is one of them.

        A content that was held and is tried again counts with all of its own.
        """
        strikes = self._blame.crash_count_by_content
        if content in self._blame.held:
            return strikes | {content: len(self._blame.held[content])}
        return strikes if content in strikes else {}

    # -- what this router saw -----------------------------------------------------------------

    def note_crash(self, incarnation: str, upstream: str, breaks: list[BrokenAttempt]) -> None:
        """Record that a life of an upstream ended and broke runs off."""
        life = incarnation_digest(incarnation)
        self._note_life(life)
        for broken in breaks:
            if self._was_sound_lately(broken.run.content):
                continue
            mark = self._mark(life, broken)
            if self._evidence.add(mark):
                self._counters.add("contents_marked")
                self._write(record_key(mark), record_value(mark, upstream))
        self._judge()

    def _mark(self, life: str, broken: BrokenAttempt) -> CrashObservation:
        run = broken.run
        at = self._day_s() - (trio.current_time() - broken.at)
        elapsed_s = broken.at - run.sent_at
        begun_s = broken.at - (run.sent_at if run.head_at is None else run.head_at)
        weak = begun_s > BEGUN_S or elapsed_s < ROUND_TRIP_S
        return CrashObservation(
            run.content, life, at, elapsed_s=elapsed_s, weak=weak, router=self._router
        )

    def note_completed(self, content: str) -> None:
        """Record that a content was answered soundly: it is not why anything ended."""
        self._sound_at.pop(content, None)
        self._sound_at[content] = trio.current_time()
        if len(self._sound_at) > MOST_SOUND:
            del self._sound_at[next(iter(self._sound_at))]
        if content in self._evidence and self._clear(content):
            self._judge()

    def _was_sound_lately(self, content: str) -> bool:
        at = self._sound_at.get(content)
        return at is not None and trio.current_time() - at <= SOUND_FRESH_S

    def _clear(self, content: str) -> bool:
        """Clear a content of all its marks; return whether there were any."""
        marks = self._evidence.marks_of(content)
        for mark in marks:
            cleared = replace(mark, cleared=True)
            self._evidence.add(cleared)
            key, value = record_key(mark), record_value(cleared, "")
            self._cleared_here[key] = value
            if len(self._cleared_here) > MOST_SOUND:
                del self._cleared_here[next(iter(self._cleared_here))]
            self._write(key, value)
        if marks:
            logger.bind(content=content, marks=len(marks)).info("content-cleared")
        return bool(marks)

    # -- what all saw -------------------------------------------------------------------------

    def take(self, records: list[KeyedRecord]) -> None:
        """Take marks of all routers, in the order of the topic."""
        now = self._day_s()
        for record in records:
            if not record.value:
                continue  # forgotten by its owner; each router forgets by itself
            try:
                mark = mark_of(record)
            except InvalidObject as err:
                self._tell_unreadable(record.key, err.detail)
                continue
            self._take_mark(replace(mark, at=min(mark.at, now + AHEAD_S)), record)
        self._judge()

    def _take_mark(self, mark: CrashObservation, record: KeyedRecord) -> None:
        if self._is_risen:
            self._shown[record.key] = mark
        if not mark.cleared and record.key in self._cleared_here:
            self._write(record.key, self._cleared_here[record.key])
            return
        known = self._evidence.outranking(mark)
        if known and known.router == self._router and not known.cleared:
            self._write(record.key, record_value(known, upstream_of(record)))
        if not self._evidence.add(mark) or mark.cleared:
            return
        self._note_life(mark.incarnation)
        if self._was_sound_lately(mark.content):
            self._clear(mark.content)

    def _note_life(self, life: str) -> None:
        if life not in self._known_lives:
            self._known_lives.add(life)
            self.on_crash(life)

    def _tell_unreadable(self, key: str, error: str) -> None:
        """Say once that another writer leaves records in the topic."""
        if not self._told_unreadable:
            self._told_unreadable = True
            logger.bind(key=key, error=error).error("mark-unreadable")

    def _judge(self) -> None:
        """Work out whose fault the ends are, and say what has changed."""
        before = self._blame.held.keys()
        self._blame = assign_blame(self._evidence.marks(), self._evidence.moments)
        for content in self._blame.held.keys() - before:
            now = self._day_s()
            left_s = self._held_until(content, now) - now
            ends = len(self._blame.held[content])
            logger.bind(content=content, ends=ends, for_s=round(left_s)).warning("content-held")
            self._counters.add("contents_held")
            self._held_at[content] = trio.current_time()
            self.on_held(content)
        for content in before - self._blame.held.keys():
            del self._held_at[content]
            logger.bind(content=content).info("content-released")

    # -- a store that comes back older --------------------------------------------------------

    def _note_rise(self) -> None:
        self._is_risen = True
        self._shown.clear()

    def _compare(self, keys: set[str]) -> None:
        """Write again what the newest records after a rise don't say, whoever said it before.

        The upstream's name, which stands in a mark for people, is not known any more.
        """
        if not self._is_risen:
            return
        self._is_risen = False
        for mark in self._evidence.marks():
            key = record_key(mark)
            if supersedes(mark, self._shown.get(key)):
                self._write(key, record_value(mark, ""))
        self._shown.clear()

    # -- writing and forgetting ---------------------------------------------------------------

    def _write(self, key: str, value: bytes) -> None:
        self._waiting.pop(key, None)
        self._waiting[key] = value
        if len(self._waiting) > MOST_WAITING:
            del self._waiting[next(iter(self._waiting))]
            self._counters.add("marks_dropped")
        self._due.set()

    async def _run_writes(self) -> None:
        """Write marks until the store has said that they are there."""
        while True:
            await self._due.wait()
            batch = dict(list(self._waiting.items())[:MOST_BATCH])
            try:
                await self._store.append(TOPIC, batch)
            except LogUnavailable:
                await trio.sleep(self._backoff.next_wait())
                continue
            self._backoff.reset()
            for key, value in batch.items():
                if self._waiting.get(key) == value:
                    del self._waiting[key]
            if not self._waiting:
                self._due = trio.Event()

    async def _run_tending(self) -> None:
        while True:
            await trio.sleep(TEND_S)
            self.forget_surplus()

    def forget_surplus(self, most: int = MOST_CONTENTS) -> None:
        """Forget marks that are old or too many; their owner takes them out of the store."""
        forgotten = surplus(self._evidence, self._day_s(), most)
        for mark in forgotten:
            self._evidence.drop(mark)
            self._cleared_here.pop(record_key(mark), None)
            if self._is_owner(mark.content):
                self._write(record_key(mark), b"")
        self._known_lives = {mark.incarnation for mark in self._evidence.marks()}
        if forgotten:
            self._judge()
