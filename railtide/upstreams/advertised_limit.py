"""The rate that an upstream in need states in its answers, as one router knows it. Pure.

The limit holds for all routers together, for as long as answers state it. Answers of several
connections overtake one another, so one without a limit ends it only if its request was sent after
the limit was last stated: it was certainly made later. The same goes for one that states more.

Routers tell one another what their own answers said, with its age: those that send an upstream
nothing while it states a limit hear of the end from those that do.
"""

import math
from dataclasses import dataclass
from typing import Annotated

import msgspec

__all__ = [
    "AdvertisedLimit",
    "LimitReport",
    "LimitUpdate",
    "apply_report",
    "apply_update",
    "limit_update_for",
]

MIN_PER_S = 0.05
"""A lower limit counts as this one: without any request nobody would learn that it has ended."""
UPDATE_PERIOD_S = 15.0
"""How long a router tells others what its answers say after one that stated a limit or ended it."""
UPDATE_LAG_S = 3.0
"""By how much news may be older than it says when it is read: the time to write and to read it."""
MAX_PER_S = 1e9
"""A higher limit is none, and no rate in a record."""
MAX_AGE_S = 60.0
"""Beyond this a record's figure is no age of news."""
NO_LIMIT = 0.0


@dataclass(frozen=True)
class LimitReport:
    """What one answer of an upstream says of its limit.

    Attributes
    ----------
    per_s : float
        Requests a second, of all routers together; infinite where the answer states no limit.
    sent_at : float
        Trio time at which the request was sent.
    """

    per_s: float
    sent_at: float


class LimitUpdate(msgspec.Struct, frozen=True, array_like=True):
    """What one router tells the others of an upstream's limit.

    Attributes
    ----------
    upstream, incarnation : str
        Name and life.
    per_s : float
        Requests a second that an answer to this router stated, 0 for no limit any more.
    age_s : float
        How long before the record that answer came.
    """

    upstream: str
    incarnation: str
    per_s: Annotated[float, msgspec.Meta(ge=0, le=MAX_PER_S)]
    age_s: Annotated[float, msgspec.Meta(ge=0, le=MAX_AGE_S)]


@dataclass
class AdvertisedLimit:
    """The limit of one upstream.

    Attributes
    ----------
    per_s : float
        Requests a second, of all routers together; infinite without a limit.
    advertised_at : float
        Trio time of the last answer that stated no more than this, to any router.
    own_per_s, own_at : float
        What the last answer to this router said, and when it came.
    updates_until : float
        Up to when others are told of it.
    """

    per_s: float = math.inf
    advertised_at: float = -math.inf
    own_per_s: float = math.inf
    own_at: float = -math.inf
    updates_until: float = -math.inf

    @property
    def in_force(self) -> bool:
        """Whether the upstream takes only so many requests a second."""
        return math.isfinite(self.per_s)


def apply_report(limit: AdvertisedLimit, report: LimitReport, now: float) -> bool:
    """Take what an answer says; return whether the limit changed.

    Examples
    --------
    >>> limit = AdvertisedLimit()
    >>> apply_report(limit, LimitReport(1.5, sent_at=0.0), now=1.0)
    True
    >>> apply_report(limit, LimitReport(math.inf, sent_at=0.5), now=1.1), limit.per_s
    (False, 1.5)
    >>> apply_report(limit, LimitReport(math.inf, sent_at=1.2), now=1.3), limit.per_s
    (True, inf)
    """
    per_s = max(MIN_PER_S, report.per_s) if report.per_s <= MAX_PER_S else math.inf
    if per_s > limit.per_s and report.sent_at <= limit.advertised_at:
        return False
    changed = per_s != limit.per_s
    limit.per_s = per_s
    if limit.in_force or changed:
        limit.advertised_at = now
        limit.updates_until = now + UPDATE_PERIOD_S
    if now < limit.updates_until:
        limit.own_per_s = per_s
        limit.own_at = now
    return changed


def limit_update_for(
    limit: AdvertisedLimit, upstream: str, incarnation: str, now: float
) -> LimitUpdate | None:
    """Return what other routers are to be told of an upstream's limit, None for nothing.

    Examples
    --------
    >>> limit = AdvertisedLimit()
    >>> changed = apply_report(limit, LimitReport(1.5, sent_at=0.0), now=1.0)
    >>> limit_update_for(limit, "e1", "e1/7", now=3.0)
    LimitUpdate(upstream='e1', incarnation='e1/7', per_s=1.5, age_s=2.0)
    """
    if now >= limit.updates_until:
        return None
    per_s = limit.own_per_s if math.isfinite(limit.own_per_s) else NO_LIMIT
    return LimitUpdate(upstream, incarnation, per_s, round(now - limit.own_at, 2))


def apply_update(limit: AdvertisedLimit, news: LimitUpdate, heard_at: float) -> bool:
    """Take what another router tells, if it is certainly newer; return whether the limit changed.

    Examples
    --------
    >>> limit = AdvertisedLimit()
    >>> apply_update(limit, LimitUpdate("e1", "e1", 1.5, age_s=0.5), heard_at=10.0), limit.per_s
    (True, 1.5)
    >>> apply_update(limit, LimitUpdate("e1", "e1", 0.0, age_s=0.5), heard_at=12.0), limit.per_s
    (False, 1.5)
    >>> apply_update(limit, LimitUpdate("e1", "e1", 0.0, age_s=0.5), heard_at=13.5), limit.per_s
    (True, inf)
    """
    at = heard_at - news.age_s
    if at - UPDATE_LAG_S < limit.advertised_at:
        return False
    per_s = max(MIN_PER_S, news.per_s) if news.per_s else math.inf
    changed = per_s != limit.per_s
    limit.per_s = per_s
    if limit.in_force or changed:
        limit.advertised_at = at
    return changed
