"""Whether a router's configuration is recent enough for a final refusal.

A refusal such as "no route matches" is final to its caller. It is a statement about the
configuration in force, so a router makes it only while it has no reason to assume that a newer one
exists. Otherwise it answers that the request did not run and may be retried.
"""

import math
from collections.abc import Callable, Mapping
from enum import StrEnum

import trio
from loguru import logger

from railtide.configuration.errors import ConfigurationOutdated
from railtide.errors import RailtideError
from railtide.journal.feed import Feed

__all__ = [
    "DEFAULT_RETRY_S",
    "MAX_BEHIND_S",
    "READ_OVERDUE_S",
    "ConfigurationFreshness",
    "StalenessReason",
    "ages_s",
]

MAX_BEHIND_S = 2.0
"""How long a router may know of a newer configuration and serve by an older one before others are
used in its place: the shortest time in which users ask for a change to take effect everywhere."""
READ_OVERDUE_S = 0.25
"""How long an answer of the store may take before it counts as overdue: it takes 4 ms, and 240 ms
when the store is slow."""
REWRITE_GRACE_S = 2.0
"""How long after a rollback of the store the writes of the lost seconds may still be missing: what
the platform documents for engines' entries after an outage."""
MAX_REWRITE_GRACE_S = 20.0
"""The same where the store shows an older version than the one in force: the longest history that
the users expect a rollback to lose. An operator that has not repeated its write by then doesn't
know of it."""
DEFAULT_RETRY_S = 0.4
"""Retry time where nothing better is known: half of the longest time between two tries of a feed
that has lost the store, which is how long the store's return goes unnoticed on average. The
caller's new connection may also reach a router that has the newer configuration."""


class StalenessReason(StrEnum):
    """Why the configuration in force may be outdated.

    Attributes
    ----------
    NEWER_KNOWN
        A newer record is known to exist and was not read yet.
    STORE_LOST
        The store does not answer.
    READ_LATE
        An answer is overdue, and the store does not count as lost yet.
    REREAD
        Everything is being read again, as after a suspension.
    STORE_OLDER
        The store was rolled back, and writes of the lost seconds may be missing.
    """

    NEWER_KNOWN = "newer-known"
    STORE_LOST = "store-lost"
    READ_LATE = "read-late"
    REREAD = "reread"
    STORE_OLDER = "store-older"


class ConfigurationFreshness:
    """How recent one router's configuration is, and its answers while it may be outdated.

    Parameters
    ----------
    feed : Feed
        Feed of the configuration.
    read_wait_s : float
        How long a read of it waits for new records.
    max_retry_s : float
        Upper bound of the retry time given to callers: how long they keep the addresses of routers,
        so that they learn the current ones before they retry.
    is_store_reachable : callable, optional
        Returns whether the store answers this router on any topic; by default whether it answers
        the feed.
    """

    def __init__(
        self,
        feed: Feed,
        read_wait_s: float,
        max_retry_s: float,
        is_store_reachable: Callable[[], bool] | None = None,
    ) -> None:
        self._feed = feed
        self._read_wait_s = read_wait_s
        self._max_retry_s = max_retry_s
        self._is_store_reachable = is_store_reachable or (lambda: feed.reachable)
        self._outdated_since: float | None = None
        self._answers = 0
        self._rolled_back_at = -math.inf
        self._store_shows_older = False

    def is_current(self) -> bool:
        """Return whether nothing suggests that a newer configuration exists."""
        is_read = self._feed.is_current() and not self._is_read_late()
        return is_read and not self._is_store_older()

    def note_rise(self) -> None:
        """Record that the store was rolled back."""
        self._rolled_back_at = trio.current_time()

    def note_version_read(self, is_older: bool) -> None:
        """Record whether the store shows an older version than the one in force."""
        self._store_shows_older = is_older

    def _is_store_older(self) -> bool:
        since = trio.current_time() - self._rolled_back_at
        return since < (MAX_REWRITE_GRACE_S if self._store_shows_older else REWRITE_GRACE_S)

    def is_behind(self) -> bool:
        """Return whether a newer configuration has been known of for longer than allowed.

        An unreachable store doesn't count: it is unreachable for all routers alike, also where it
        went away during the answer that announced a newer record. A store whose other topics are
        read is not unreachable.
        """
        return self._is_store_reachable() and self._behind_s() > MAX_BEHIND_S

    def outdated(self, refusal: RailtideError, version: int | None) -> ConfigurationOutdated:
        """Return the error for a caller in place of a refusal that may be outdated."""
        retry_after = self.note_outdated(version)
        detail = f"{refusal.code} by version {version}, and there may be a newer one"
        return ConfigurationOutdated(detail, retry_after=retry_after)

    def superseded(self, version: int | None) -> ConfigurationOutdated:
        """Return the error for a caller whom other routers serve by a newer version."""
        retry_after = self.note_outdated(version)
        detail = f"version {version} has been replaced, and other routers have the newer one"
        return ConfigurationOutdated(detail, retry_after=retry_after)

    def note_outdated(self, version: int | None) -> float:
        """Count an answer affected by outdated configuration; return the retry time, seconds."""
        self._begin_episode(version)
        self._answers += 1
        left_s = self._feed.freshness.remaining_s()
        return DEFAULT_RETRY_S if left_s is None else min(left_s, self._max_retry_s)

    def check(self, version: int | None) -> None:
        """Log when outdated configuration begins to affect callers, and when it no longer does."""
        if self._outdated_since is None:
            if self.is_behind():
                self._begin_episode(version)
        elif self.is_current():
            self._end_episode(version)

    def _is_read_late(self) -> bool:
        return (
            trio.current_time() - self._feed.freshness.read_at > self._read_wait_s + READ_OVERDUE_S
        )

    def _behind_s(self) -> float:
        since = self._feed.freshness.unread_since
        return 0.0 if since is None else trio.current_time() - since

    def _reason(self) -> StalenessReason:
        if self._feed.freshness.unread_since is not None:
            return StalenessReason.NEWER_KNOWN
        if not self._feed.reachable:
            return StalenessReason.STORE_LOST
        if self._is_store_older():
            return StalenessReason.STORE_OLDER
        return StalenessReason.READ_LATE if self._is_read_late() else StalenessReason.REREAD

    def _begin_episode(self, version: int | None) -> None:
        if self._outdated_since is not None:
            return
        now = trio.current_time()
        self._outdated_since = (
            self._feed.freshness.read_at if math.isfinite(self._feed.freshness.read_at) else now
        )
        self._answers = 0
        left_s = self._feed.freshness.remaining_s()
        logger.bind(
            version=version,
            reason=self._reason(),
            read_age_s=round(now - self._outdated_since, 3),
            known_s=round(self._behind_s(), 3),
            left_s=None if left_s is None else round(left_s, 3),
        ).warning("configuration-behind")

    def _end_episode(self, version: int | None) -> None:
        for_s = round(trio.current_time() - self._outdated_since, 3)
        logger.bind(version=version, for_s=for_s, answers=self._answers).info(
            "configuration-current"
        )
        self._outdated_since = None


def ages_s(read_at_by_topic: Mapping[str, float], began_at: float) -> dict[str, float]:
    """Return the seconds since each topic was last read to its end.

    For a topic that was never read to its end the age counts from `began_at`, the start of the
    process.
    """
    now = trio.current_time()
    return {topic: now - max(read_at, began_at) for topic, read_at in read_at_by_topic.items()}
