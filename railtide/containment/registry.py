"""Shares crash observations among all routers through one topic of the platform's store.

A router that detects a crash writes an observation for each of its contents that was in flight. All
routers follow the topic, and one that starts later reads what is there. A request that was never in
flight at a crash costs no call to the store. Observations merge as a set, so a lost or repeated
write changes nothing; one that is stored after it was cleared is cleared again by whichever router
had cleared it.
"""

import math
import time
from collections.abc import Callable, Sequence
from dataclasses import replace
from random import Random

import trio
from loguru import logger

from railtide.configuration.errors import InvalidObject
from railtide.containment.blame import Blame, assign_blame
from railtide.containment.content import PartDigests, identities, request_digests
from railtide.containment.crash_detection import BrokenAttempt
from railtide.containment.errors import ContentHeld
from railtide.containment.holding import MAX_CONTENTS, held_until, surplus_observations
from railtide.containment.observations import CrashObservation, ObservationSet, supersedes
from railtide.containment.records import (
    incarnation_digest,
    observation_of,
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
READ_WAIT_S = 2.0
"""How long a read waits for a record; bounds how late an unresponsive connection is noticed."""
BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.5
"""Between two tries of a write: all routers must know of a third crash within seconds."""
MAX_BATCH = 200
"""Observations in one append; one crash produces as many as requests were in flight."""
MAX_PENDING = 4_096
"""Observations that wait for an unreachable store."""
PRUNE_INTERVAL_S = 60.0
CRASH_ONSET_S = 1.0
"""An upstream that crashes later than this after the begin of an attempt was hardly crashed by it:
those that a request crashes do so within some 0.1 s."""
ROUND_TRIP_S = 0.003
"""An answer that breaks off within this time of the sending comes from an upstream that had crashed
before: a round trip within a region is 1 ms."""
MAX_CLOCK_LEAD_S = 60.0
"""By how much another router's time of day may be ahead. An observation from further ahead would be
kept for that much longer."""
COMPLETION_FRESH_S = 1.0
"""How old a complete answer may be to still clear an observation that was in transit meanwhile."""
MAX_COMPLETION_AGE_S = 10.0
"""The same of a part of prompts, if nothing was answered completely since: while all upstreams are
down, a part that all requests share is at each crash and can't be answered."""
MAX_COMPLETIONS = 4_096
TRIAL_ELSEWHERE_RETRY_S = 1.0
"""When a caller should retry a content whose trial another router makes."""


class CrashRegistry:
    """One router's view of the contents that crash upstreams.

    Parameters
    ----------
    store : KeyedStore
    router : str
        Name of this router's instance.
    rng : random.Random
    counters : Counters
    is_owner : callable
        Returns whether this router makes the trials of a content and removes its observations from
        the store.
    unix_time_s : callable, optional

    Attributes
    ----------
    on_held : callable
        Called with a content that becomes held.
    on_crash : callable
        Called with the digest of an incarnation that crashed.
    """

    def __init__(
        self,
        store: KeyedStore,
        router: str,
        rng: Random,
        counters: Counters,
        is_owner: Callable[[str], bool] = lambda content: True,
        unix_time_s: Callable[[], float] = time.time,
    ) -> None:
        self.on_crash: Callable[[str], None] = lambda incarnation: None
        self.on_held: Callable[[str], None] = lambda content: None
        self._store = store
        self._router = router
        self._counters = counters
        self._is_owner = is_owner
        self._unix_time_s = unix_time_s
        self._observations = ObservationSet()
        self._blame = Blame()
        self._held_since: dict[str, float] = {}
        self._known_incarnations: set[str] = set()
        self._pending: dict[str, bytes] = {}
        self._write_due = trio.Event()
        self._cleared_here: dict[str, bytes] = {}
        self._completed_at: dict[str, float] = {}
        self._last_completed_at = -math.inf
        self._unreadable_logged = False
        self._reconciling = False
        self._read_since_rise: dict[str, CrashObservation] = {}
        options = FeedOptions(wait_s=READ_WAIT_S)
        self._feed = Feed(store, TOPIC, options, rng, self.apply_records, self._rewrite_missing)
        store.on_era_rise(self._start_reconciling)
        self._backoff = Backoff(BACKOFF_S, MAX_BACKOFF_S, rng)

    async def run(self) -> None:
        """Follow the observations of all routers and write this one's, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._feed.run)
            nursery.start_soon(self._run_writes)
            nursery.start_soon(self._run_pruning)

    def refresh(self) -> trio.Event:
        """Read the topic again now; see `Feed.refresh`."""
        return self._feed.refresh()

    @property
    def caught_up(self) -> bool:
        """True once the observations of all routers were read to the end of the topic."""
        return self._feed.caught_up

    @property
    def read_at(self) -> float:
        """Trio time of the last read to the end of the topic."""
        return self._feed.freshness.read_at

    @property
    def held(self) -> frozenset[str]:
        """The contents that are held, including those that are due for a trial."""
        return frozenset(self._blame.held)

    # -- queries of the request path ----------------------------------------------------------

    def refusal_of(self, content: str, under_way: bool = False) -> ContentHeld | None:
        """Return why a content must not be sent, None if it may be.

        Parameters
        ----------
        content : str
        under_way : bool
            Whether it is in flight at this router already: one trial is made at a time.
        """
        if content not in self._blame.held:
            return None
        now = self._unix_time_s()
        left_s = self._held_until(content, now) - now
        if left_s > 0:
            return ContentHeld(f"upstreams crash under content {content}", retry_after=left_s)
        if under_way or not self._is_owner(content):
            return ContentHeld(
                f"a trial of content {content} is made elsewhere",
                retry_after=TRIAL_ELSEWHERE_RETRY_S,
            )
        return None

    def _held_until(self, content: str, now: float) -> float:
        return held_until(
            self._observations.of_content(content), now, self._observations.detection_times
        )

    def held_for_s(self, content: str) -> float:
        """Return for how many seconds this router has known a content to be held."""
        return trio.current_time() - self._held_since.get(content, trio.current_time())

    def suspect_crash_counts(self, content: str) -> dict[str, int]:
        """Return the crash counts of all suspects if a content is one of them, else none.

        A held content that is due for a trial is a suspect with all of its crashes.
        """
        crash_counts = self._blame.crash_count_by_content
        if content in self._blame.held:
            return crash_counts | {content: len(self._blame.held[content])}
        return crash_counts if content in crash_counts else {}

    # -- observations of this router ----------------------------------------------------------

    def note_crash(
        self, incarnation: str, upstream: str, broken_attempts: list[BrokenAttempt]
    ) -> None:
        """Record that an incarnation of an upstream crashed and broke attempts off."""
        digest = incarnation_digest(incarnation)
        self._note_incarnation(digest)
        for broken in broken_attempts:
            attempt = broken.attempt
            for content, source in identities(attempt.content, attempt.parts):
                if not self._completed_lately(content, is_part=bool(source)):
                    observation = self._observation_of_attempt(digest, broken, content, source)
                    self._note_observation(observation, upstream)
        self._update_blame()

    def _note_observation(self, observation: CrashObservation, upstream: str) -> None:
        if self._observations.add(observation):
            self._counters.add("contents_marked")
            self._write(record_key(observation), record_value(observation, upstream))

    def _observation_of_attempt(
        self, digest: str, broken: BrokenAttempt, content: str, source: str
    ) -> CrashObservation:
        attempt = broken.attempt
        at = self._unix_time_s() - (trio.current_time() - broken.at)
        elapsed_s = broken.at - attempt.sent_at
        begun_s = broken.at - (attempt.sent_at if attempt.head_at is None else attempt.head_at)
        weak = begun_s > CRASH_ONSET_S or elapsed_s < ROUND_TRIP_S
        return CrashObservation(
            content,
            digest,
            at,
            elapsed_s=elapsed_s,
            weak=weak,
            router=self._router,
            source=source,
        )

    def note_completed(self, content: str, parts: Sequence[PartDigests] = ()) -> None:
        """Record that a content and its parts were answered completely: they cause no crash."""
        completed = request_digests(content, parts)
        self._last_completed_at = trio.current_time()
        for key in completed:
            self._completed_at.pop(key, None)
            self._completed_at[key] = self._last_completed_at
        while len(self._completed_at) > MAX_COMPLETIONS:
            del self._completed_at[next(iter(self._completed_at))]
        if any([self._clear(key) for key in completed if key in self._observations]):
            self._update_blame()

    def _completed_lately(self, content: str, is_part: bool) -> bool:
        at = self._completed_at.get(content)
        if at is None:
            return False
        age_s = trio.current_time() - at
        if is_part and self._last_completed_at - at <= COMPLETION_FRESH_S:
            return age_s < MAX_COMPLETION_AGE_S
        return age_s <= COMPLETION_FRESH_S

    def _clear(self, content: str) -> bool:
        """Clear all observations of a content; return whether there were any."""
        observations = self._observations.of_content(content)
        for observation in observations:
            cleared = replace(observation, cleared=True)
            self._observations.add(cleared)
            key, value = record_key(observation), record_value(cleared, "")
            self._cleared_here[key] = value
            if len(self._cleared_here) > MAX_COMPLETIONS:
                del self._cleared_here[next(iter(self._cleared_here))]
            self._write(key, value)
        if observations:
            logger.bind(content=content, marks=len(observations)).info("content-cleared")
        return bool(observations)

    # -- observations of all routers ----------------------------------------------------------

    def apply_records(self, records: list[KeyedRecord]) -> None:
        """Merge the observations of all routers, in the order of the topic."""
        now = self._unix_time_s()
        for record in records:
            if not record.value:
                continue  # removed by its owner; each router forgets by itself
            try:
                observation = observation_of(record)
            except InvalidObject as err:
                self._log_unreadable(record.key, err.detail)
                continue
            self._apply_observation(
                replace(observation, at=min(observation.at, now + MAX_CLOCK_LEAD_S)), record
            )
        self._update_blame()

    def _apply_observation(self, observation: CrashObservation, record: KeyedRecord) -> None:
        if self._reconciling:
            self._read_since_rise[record.key] = observation
        if not observation.cleared and record.key in self._cleared_here:
            self._write(record.key, self._cleared_here[record.key])
            return
        known = self._observations.outranking(observation)
        if known and known.router == self._router and not known.cleared:
            self._write(record.key, record_value(known, upstream_of(record)))
        if not self._observations.add(observation) or observation.cleared:
            return
        self._note_incarnation(observation.incarnation)
        if self._completed_lately(observation.content, observation.is_part):
            self._clear(observation.content)

    def _note_incarnation(self, incarnation: str) -> None:
        if incarnation not in self._known_incarnations:
            self._known_incarnations.add(incarnation)
            self.on_crash(incarnation)

    def _log_unreadable(self, key: str, error: str) -> None:
        """Log, once, that something else writes records to the topic."""
        if not self._unreadable_logged:
            self._unreadable_logged = True
            logger.bind(key=key, error=error).error("mark-unreadable")

    def _update_blame(self) -> None:
        """Assign blame anew, and report the contents that became held or were released."""
        before = self._blame.held.keys()
        self._blame = assign_blame(self._observations.all(), self._observations.detection_times)
        for content in self._blame.held.keys() - before:
            now = self._unix_time_s()
            left_s = self._held_until(content, now) - now
            ends = len(self._blame.held[content])
            logger.bind(content=content, ends=ends, for_s=round(left_s)).warning("content-held")
            self._counters.add("contents_held")
            self._held_since[content] = trio.current_time()
            self.on_held(content)
        for content in before - self._blame.held.keys():
            del self._held_since[content]
            logger.bind(content=content).info("content-released")

    # -- a store that was rolled back ---------------------------------------------------------

    def _start_reconciling(self) -> None:
        self._reconciling = True
        self._read_since_rise.clear()

    def _rewrite_missing(self, keys: set[str]) -> None:
        """Write each observation that a rollback lost, whichever router had written it.

        The upstream's name, which a record holds for operators, isn't known any more.
        """
        if not self._reconciling:
            return
        self._reconciling = False
        for observation in self._observations.all():
            key = record_key(observation)
            if supersedes(observation, self._read_since_rise.get(key)):
                self._write(key, record_value(observation, ""))
        self._read_since_rise.clear()

    # -- writing and pruning ------------------------------------------------------------------

    def _write(self, key: str, value: bytes) -> None:
        self._pending.pop(key, None)
        self._pending[key] = value
        if len(self._pending) > MAX_PENDING:
            del self._pending[next(iter(self._pending))]
            self._counters.add("marks_dropped")
        self._write_due.set()

    async def _run_writes(self) -> None:
        """Write pending observations, each again until the store has acknowledged it."""
        while True:
            await self._write_due.wait()
            batch = dict(list(self._pending.items())[:MAX_BATCH])
            try:
                await self._store.append(TOPIC, batch)
            except LogUnavailable:
                await trio.sleep(self._backoff.next_wait())
                continue
            self._backoff.reset()
            for key, value in batch.items():
                if self._pending.get(key) == value:
                    del self._pending[key]
            if not self._pending:
                self._write_due = trio.Event()

    async def _run_pruning(self) -> None:
        while True:
            await trio.sleep(PRUNE_INTERVAL_S)
            self.prune()

    def prune(self, max_contents: int = MAX_CONTENTS) -> None:
        """Forget old and excess observations; their owner removes them from the store."""
        forgotten = surplus_observations(self._observations, self._unix_time_s(), max_contents)
        for observation in forgotten:
            self._observations.drop(observation)
            self._cleared_here.pop(record_key(observation), None)
            if self._is_owner(observation.content):
                self._write(record_key(observation), b"")
        self._known_incarnations = {seen.incarnation for seen in self._observations.all()}
        if forgotten:
            self._update_blame()
