"""Agrees with all routers on the shares of each pool's software versions, through the store.

A proposal is an append under the condition that nobody else appended. The shares with the highest
number hold, also after a rollback of the store: routers write again what it lost.

The shares' record states the store's era. A router that starts and reads an earlier era than the
present one knows that the store was rolled back and that no router has written again since what it
lost, neither shares nor records of streams.
"""

import math
from collections.abc import Callable, Mapping, Set
from random import Random

import trio
from loguru import logger

from railtide.configuration.errors import InvalidObject
from railtide.journal.errors import LogUnavailable
from railtide.journal.feed import Feed, FeedOptions
from railtide.journal.keyed import AppendConflict, KeyedRecord, KeyedStore
from railtide.streams.records import (
    MAX_SHARES_NUMBER,
    pool_key,
    shares_of_record,
    shares_value,
)
from railtide.streams.shares import VersionShares, shares_of, shift_between

__all__ = ["SHARES_TOPIC", "SharesAgreement"]

SHARES_TOPIC = "keyed.railtide-version-shares"
READ_WAIT_S = 2.0
"""How long a read waits for a record; bounds how late an unresponsive connection is noticed."""
MIN_SHIFT = 0.25
"""Least shift at which new shares are proposed: each change has streams recorded for a while."""
SETTLE_S = 5.0
"""How long a shift must last: a release replaces upstreams one after the other."""
MIN_RETENTION_S = 30.0
"""Least time for which shares are announced: a router that starts may not know any route yet."""
OWNER_LEAD_S = 1.0
"""How long other routers leave a proposal to the pool's owner, which may be cut off."""


class SharesAgreement:
    """The agreed shares of each pool's software versions.

    Parameters
    ----------
    store : KeyedStore
    rng : random.Random
    is_owner : callable
        Returns whether this router makes the proposals for a pool.
    start_soon : callable
        Runs an async function in the background.

    Attributes
    ----------
    by_pool : dict of str to VersionShares
    longest_stream_s : float
        Longest duration of a stream over all attempts of its caller, as far as routes are known.
    """

    def __init__(
        self,
        store: KeyedStore,
        rng: Random,
        is_owner: Callable[[str], bool],
        start_soon: Callable[..., None],
    ) -> None:
        self.by_pool: dict[str, VersionShares] = {}
        self.longest_stream_s = 0.0
        self._store = store
        self._rng = rng
        self._is_owner = is_owner
        self._start_soon = start_soon
        self._known_at: dict[str, float] = {}
        self._due_at: dict[str, float] = {}
        self._stored_number_by_pool: dict[str, int] = {}
        self._stored_era_by_pool: dict[str, int | None] = {}
        self._outdated_at_by_pool: dict[str, float] = {}
        self._is_proposing = False
        self._feed = Feed(store, SHARES_TOPIC, FeedOptions(READ_WAIT_S), rng, self._apply_records)
        store.on_era_rise(self._stored_number_by_pool.clear)

    async def run(self) -> None:
        """Follow the agreed shares until cancelled."""
        await self._feed.run()

    def refresh(self) -> trio.Event:
        """Read the topic again now; see `Feed.refresh`."""
        return self._feed.refresh()

    @property
    def retention_s(self) -> float:
        """How long a stream and its record are remembered, seconds."""
        return max(MIN_RETENTION_S, self.longest_stream_s)

    @property
    def caught_up(self) -> bool:
        """True once the shares were read to the end of the topic."""
        return self._feed.caught_up

    @property
    def reachable(self) -> bool:
        """Whether the store answered the last read."""
        return self._feed.reachable

    @property
    def is_current(self) -> bool:
        """Whether the shares were read up to the store's last answer, and are not being reread."""
        return self._feed.is_current()

    @property
    def restored_at(self) -> float:
        """Trio time of the store's latest return after a loss; see `Feed.restored_at`."""
        return self._feed.restored_at if math.isfinite(self._feed.lost_at) else -math.inf

    def only_version_of(self, pool: str, listed: Set[str]) -> str | None:
        """Return the version of all streams of a pool without a record, None if they may differ.

        Before any shares were agreed, the pool never had upstreams of two versions if all listed
        ones are of the same.
        """
        shares = self.by_pool.get(pool)
        if shares:
            return shares.only_version
        return next(iter(listed)) if self.caught_up and len(listed) == 1 else None

    def is_outdated(self, pool: str) -> bool:
        """Return whether the store lost records that no router has written again.

        This ends after the longest stream, or when a router that knows them has written them.
        """
        return pool in self._outdated_at_by_pool

    def _apply_records(self, records: list[KeyedRecord]) -> None:
        for record in records:
            if not record.value:
                continue
            try:
                pool, shares, era = shares_of_record(record)
            except InvalidObject as err:
                logger.bind(key=record.key, error=err.detail).error("version-shares-unreadable")
                continue
            self._stored_number_by_pool[pool] = shares.number
            self._note_era(pool, era)
            self._adopt(pool, shares)

    def _note_era(self, pool: str, era: int | None) -> None:
        """Note the era of a pool's record; one that was read before a rollback stays known."""
        self._stored_era_by_pool[pool] = era
        if era in (None, self._store.era):
            self._outdated_at_by_pool.pop(pool, None)
        elif pool not in self.by_pool:
            self._outdated_at_by_pool[pool] = trio.current_time()

    def _adopt(self, pool: str, shares: VersionShares) -> None:
        known = self.by_pool.get(pool)
        if known and known.number >= shares.number:
            return
        self.by_pool[pool] = shares
        self._known_at[pool] = trio.current_time()
        self._due_at.pop(pool, None)
        logger.bind(
            pool=pool, number=shares.number, shares=shares.shares, next=shares.next_shares
        ).info("version-shares")

    # -- proposals ----------------------------------------------------------------------------

    def check(self, slots_by_pool: Mapping[str, Mapping[str, int]]) -> None:
        """Propose new shares where they are due, given the slots of each pool's versions."""
        if not self.caught_up or not self.reachable or self._is_proposing:
            return
        for pool, slots_by_version in slots_by_pool.items():
            proposal = self._proposal(pool, shares_of(slots_by_version))
            if proposal is None:
                self._due_at.pop(pool, None)
            elif self._is_due(pool, proposal):
                self._is_proposing = True
                self._start_soon(self._propose, pool, proposal)
                return

    def _proposal(self, pool: str, present: dict[str, float]) -> VersionShares | None:
        """Return the shares that should replace the agreed ones, None if these may stay."""
        known = self.by_pool.get(pool)
        if known is None:
            return VersionShares(1, present) if present else None
        if pool in self._outdated_at_by_pool:
            age_s = trio.current_time() - self._outdated_at_by_pool[pool]
            return known if age_s >= self.retention_s else None
        is_stored = self._stored_number_by_pool.get(pool, 0) >= known.number
        if not is_stored or self._stored_era_by_pool.get(pool) != self._store.era:
            return known
        if known.number >= MAX_SHARES_NUMBER:
            return None
        if known.next_shares is not None:
            age_s = trio.current_time() - self._known_at[pool]
            is_over = age_s >= self.retention_s
            return VersionShares(known.number + 1, known.next_shares) if is_over else None
        if present and shift_between(known.shares, present) >= MIN_SHIFT:
            return VersionShares(known.number + 1, known.shares, present)
        return None

    def _is_due(self, pool: str, proposal: VersionShares) -> bool:
        """Return whether this router should propose now: the pool's owner does so first."""
        now = trio.current_time()
        if pool not in self._due_at:
            is_shift = bool(proposal.next_shares) and proposal is not self.by_pool.get(pool)
            self._due_at[pool] = now + (SETTLE_S if is_shift else 0.0)
        lead_s = 0.0 if self._is_owner(pool) else OWNER_LEAD_S * (1 + self._rng.random())
        return now >= self._due_at[pool] + lead_s

    async def _propose(self, pool: str, proposal: VersionShares) -> None:
        era = self._store.era
        values = {pool_key(pool): shares_value(pool, proposal, era)}
        try:
            await self._store.append(SHARES_TOPIC, values, self._feed.next_offset)
        except (AppendConflict, LogUnavailable):
            return  # the feed reads what was appended; the next check decides again
        else:
            self._stored_number_by_pool[pool] = proposal.number
            self._due_at.pop(pool, None)
            self._note_era(pool, era)
            self._adopt(pool, proposal)
        finally:
            self._is_proposing = False
