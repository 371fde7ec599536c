"""The rate that an upstream in need states in its answers, as one router knows it. Pure.

The limit holds for all routers together, for as long as answers state it. Answers of several
connections overtake one another, so one without a limit ends it only if its request was sent after
the limit was last stated: it was certainly made later. The same goes for one that states more.
"""

import math
from dataclasses import dataclass

__all__ = ["LimitReport", "StatedLimit", "note_report"]

LEAST_PER_S = 0.05
"""A lower limit counts as this one: without any request nobody would learn that it has ended."""


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


@dataclass
class StatedLimit:
    """The limit of one upstream.

    Attributes
    ----------
    per_s : float
        Requests a second, of all routers together; infinite without a limit.
    told_at : float
        Trio time of the last answer that stated no more than this.
    """

    per_s: float = math.inf
    told_at: float = -math.inf

    @property
    def in_force(self) -> bool:
        """Whether the upstream takes only so many requests a second."""
        return math.isfinite(self.per_s)


def note_report(limit: StatedLimit, report: LimitReport, now: float) -> bool:
    """Take what an answer says; return whether the limit changed.

    Examples
    --------
    >>> limit = StatedLimit()
    >>> note_report(limit, LimitReport(1.5, sent_at=0.0), now=1.0)
    True
    >>> note_report(limit, LimitReport(math.inf, sent_at=0.5), now=1.1), limit.per_s
    (False, 1.5)
    >>> note_report(limit, LimitReport(math.inf, sent_at=1.2), now=1.3), limit.per_s
    (True, inf)
    """
    per_s = max(LEAST_PER_S, report.per_s)
    if per_s > limit.per_s and report.sent_at <= limit.told_at:
        return False
    changed = per_s != limit.per_s
    limit.per_s = per_s
    if limit.in_force or changed:
        limit.told_at = now
    return changed
