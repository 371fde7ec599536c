"""Rate limit that an overloaded upstream advertises in its answers, as a router knows it. Pure.

The limit applies to all routers together, for as long as answers advertise it. Answers on several
connections may overtake one another, so an answer without a limit ends it only if its request was
sent after the limit was last advertised: only then is it certainly newer. The same applies to an
answer with a higher limit.

Routers share what their own answers advertised, with its age. So a router that sends an upstream
nothing because of the limit learns that it has ended.
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
"""Lower limits are raised to this, since without requests no router would learn of the end."""
UPDATE_PERIOD_S = 15.0
"""How long a router shares its answers' limits after one that advertised a limit or ended it."""
UPDATE_LAG_S = 3.0
"""How much older than its age field an update may be when it is read: it is written and read
meanwhile."""
MAX_PER_S = 1e9
"""Higher limits count as no limit, and are invalid in a record."""
MAX_AGE_S = 60.0
"""Higher ages are invalid in a record."""
NO_LIMIT = 0.0


@dataclass(frozen=True)
class LimitReport:
    """The limit that one answer of an upstream advertises.

    Attributes
    ----------
    per_s : float
        Requests per second of all routers together; infinite if the answer advertises no limit.
    sent_at : float
        Trio time at which the request was sent.
    """

    per_s: float
    sent_at: float


class LimitUpdate(msgspec.Struct, frozen=True, array_like=True):
    """What one router shares with the others of an upstream's limit.

    Attributes
    ----------
    upstream, incarnation : str
        Name and incarnation of the upstream.
    per_s : float
        Requests per second that an answer to this router advertised; 0 if the limit has ended.
    age_s : float
        Time from that answer to the writing of the record, seconds.
    """

    upstream: str
    incarnation: str
    per_s: Annotated[float, msgspec.Meta(ge=0, le=MAX_PER_S)]
    age_s: Annotated[float, msgspec.Meta(ge=0, le=MAX_AGE_S)]


@dataclass
class AdvertisedLimit:
    """The limit of one upstream, as this router knows it.

    Attributes
    ----------
    per_s : float
        Requests per second of all routers together; infinite without a limit.
    advertised_at : float
        Trio time of the last answer to any router that advertised no more than this.
    own_per_s, own_at : float
        Limit in the last answer to this router, and the time at which it came.
    updates_until : float
        Until when this router shares it.
    """

    per_s: float = math.inf
    advertised_at: float = -math.inf
    own_per_s: float = math.inf
    own_at: float = -math.inf
    updates_until: float = -math.inf

    @property
    def in_force(self) -> bool:
        """Whether the upstream limits the rate of requests."""
        return math.isfinite(self.per_s)


def apply_report(limit: AdvertisedLimit, report: LimitReport, now: float) -> bool:
    """Apply the report of an answer; return whether the limit changed.

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
    """Return the update to share on an upstream's limit, or None if there is none.

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


def apply_update(limit: AdvertisedLimit, update: LimitUpdate, received_at: float) -> bool:
    """Apply another router's update if it is certainly newer; return whether the limit changed.

    Examples
    --------
    >>> limit = AdvertisedLimit()
    >>> apply_update(limit, LimitUpdate("e1", "e1", 1.5, age_s=0.5), received_at=10.0), limit.per_s
    (True, 1.5)
    >>> apply_update(limit, LimitUpdate("e1", "e1", 0.0, age_s=0.5), received_at=12.0), limit.per_s
    (False, 1.5)
    >>> apply_update(limit, LimitUpdate("e1", "e1", 0.0, age_s=0.5), received_at=13.5), limit.per_s
    (True, inf)
    """
    at = received_at - update.age_s
    if at - UPDATE_LAG_S < limit.advertised_at:
        return False
    per_s = max(MIN_PER_S, update.per_s) if update.per_s else math.inf
    changed = per_s != limit.per_s
    limit.per_s = per_s
    if limit.in_force or changed:
        limit.advertised_at = at
    return changed
