"""Whether what a router knows of the configuration is as new as a refusal by it claims.

A refusal such as "no route leads there" is final to its caller. It is a statement on the
configuration in force, so a router makes it only while it has no reason to think that there may be
a newer one; else it says that the request did not run and may come again.
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
    "MAX_BEHIND_S",
    "READ_OVERDUE_S",
    "DEFAULT_RETRY_S",
    "Doubt",
    "ConfigurationFreshness",
    "ages_s",
]

MAX_BEHIND_S = 2.0
"""How long a router may know of a newer configuration and serve by an older one before others are
used in its place: the shortest time in which users ask for a change to be in force everywhere."""
READ_OVERDUE_S = 0.25
"""How long an answer of the store may be under way before it counts as overdue: it takes 4 ms, and
240 ms when the store is slow."""
REWRITE_GRACE_S = 2.0
"""How long after a rise of the store's era what its writers wrote in the lost seconds may still be
missing, as the pages say of engines' entries after an outage."""
MAX_REWRITE_GRACE_S = 20.0
"""The same where the store shows an older version than the one in force: the longest history on the
users' sheets. An operator that has not written it again by then does not know of it."""
DEFAULT_RETRY_S = 0.4
"""When a caller should come back where nothing is known: half of the longest time between two tries
of a feed that has lost the store, which is how long its return goes unnoticed on average. The
caller's new connection may also lead to a router that knows."""


class Doubt(StrEnum):
    """Why a view may be old.

    Attributes
    ----------
    NEWER_KNOWN
        A newer record is known of and was not taken yet.
    STORE_LOST
        The store does not answer.
    READ_LATE
        An answer is overdue, and the store does not count as lost yet.
    REREAD
        All is being read again, as after a suspension.
    STORE_OLDER
        The store came back older, and what was written in the lost seconds may be missing.
    """

    NEWER_KNOWN = "newer-known"
    STORE_LOST = "store-lost"
    READ_LATE = "read-late"
    REREAD = "reread"
    STORE_OLDER = "store-older"


class ConfigurationFreshness:
    """How new one router's view of the configuration is, and what it says when it may be old.

    Parameters
    ----------
    feed : Feed
        Of the configuration.
    wait_s : float
        How long a read of it waits for news.
    most_retry_s : float
        Longest time after which a caller is told to come back: for how long callers keep the
        addresses of routers, the current ones of which they are told first.
    is_store_heard : callable, optional
        Returns whether the store answers this router on any topic; the feed's own word if not
        given.
    """

    def __init__(
        self,
        feed: Feed,
        wait_s: float,
        most_retry_s: float,
        is_store_heard: Callable[[], bool] | None = None,
    ) -> None:
        self._feed = feed
        self._wait_s = wait_s
        self._most_retry_s = most_retry_s
        self._is_store_heard = is_store_heard or (lambda: feed.reachable)
        self._old_since: float | None = None
        self._answers = 0
        self._risen_at = -math.inf
        self._shows_older = False

    def is_current(self) -> bool:
        """Return whether nothing speaks for a configuration newer than the one in force."""
        is_read = self._feed.is_current() and not self._is_read_late()
        return is_read and not self._is_store_older()

    def note_rise(self) -> None:
        """Record that the store came back older."""
        self._risen_at = trio.current_time()

    def note_shown(self, is_older: bool) -> None:
        """Record whether the store shows an older version than the one in force."""
        self._shows_older = is_older

    def _is_store_older(self) -> bool:
        since = trio.current_time() - self._risen_at
        return since < (MAX_REWRITE_GRACE_S if self._shows_older else REWRITE_GRACE_S)

    def is_behind(self) -> bool:
        """Return whether a newer configuration was known of for longer than may be.

        A store that is away says nothing of a newer one, and is away for all routers alike; also
        where it went away within the answer that brought one. One whose other topics are read is
        not away.
        """
        return self._is_store_heard() and self._known_s() > MAX_BEHIND_S

    def outdated(self, refusal: RailtideError, version: int | None) -> ConfigurationOutdated:
        """Return what a caller is told in place of a refusal by a view that may be old."""
        retry_after = self.note_outdated(version)
        detail = f"{refusal.code} by version {version}, and there may be a newer one"
        return ConfigurationOutdated(detail, retry_after=retry_after)

    def replaced(self, version: int | None) -> ConfigurationOutdated:
        """Return what a caller is told that others serve by a newer version."""
        retry_after = self.note_outdated(version)
        detail = f"version {version} has been replaced, and other routers have the newer one"
        return ConfigurationOutdated(detail, retry_after=retry_after)

    def note_outdated(self, version: int | None) -> float:
        """Count an answer that the view was too old for; return when its caller may come back."""
        self._begin(version)
        self._answers += 1
        left_s = self._feed.freshness.left_s()
        return DEFAULT_RETRY_S if left_s is None else min(left_s, self._most_retry_s)

    def look(self, version: int | None) -> None:
        """Say when an old view begins to matter to callers, and when it has ended."""
        if self._old_since is None:
            if self.is_behind():
                self._begin(version)
        elif self.is_current():
            self._end(version)

    def _is_read_late(self) -> bool:
        return trio.current_time() - self._feed.freshness.read_at > self._wait_s + READ_OVERDUE_S

    def _known_s(self) -> float:
        since = self._feed.freshness.behind_since
        return 0.0 if since is None else trio.current_time() - since

    def _doubt(self) -> Doubt:
        if self._feed.freshness.behind_since is not None:
            return Doubt.NEWER_KNOWN
        if not self._feed.reachable:
            return Doubt.STORE_LOST
        if self._is_store_older():
            return Doubt.STORE_OLDER
        return Doubt.READ_LATE if self._is_read_late() else Doubt.REREAD

    def _begin(self, version: int | None) -> None:
        if self._old_since is not None:
            return
        now = trio.current_time()
        self._old_since = (
            self._feed.freshness.read_at if math.isfinite(self._feed.freshness.read_at) else now
        )
        self._answers = 0
        left_s = self._feed.freshness.left_s()
        logger.bind(
            version=version,
            reason=self._doubt(),
            read_age_s=round(now - self._old_since, 3),
            known_s=round(self._known_s(), 3),
            left_s=None if left_s is None else round(left_s, 3),
        ).warning("configuration-behind")

    def _end(self, version: int | None) -> None:
        for_s = round(trio.current_time() - self._old_since, 3)
        logger.bind(version=version, for_s=for_s, answers=self._answers).info(
            "configuration-current"
        )
        self._old_since = None


def ages_s(read_at_by_topic: Mapping[str, float], began_at: float) -> dict[str, float]:
    """Return the seconds since each topic was last read to its end.

    A topic that was never read so counts from `began_at`, the start of the process.
    """
    now = trio.current_time()
    return {topic: now - max(read_at, began_at) for topic, read_at in read_at_by_topic.items()}
