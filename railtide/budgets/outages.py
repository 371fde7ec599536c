"""Estimates the remaining duration of a store outage from earlier ones. Pure."""

import math
from dataclasses import dataclass, field

__all__ = ["OutageHistory", "record_reachability", "remaining_s"]

MAX_REMEMBERED = 5
"""Number of outages averaged: enough for a mean, few enough to follow a change."""
MIN_RETRY_AFTER_S = 0.5
"""Minimum Retry-After for callers: each retry costs a new connection."""
MAX_RETRY_AFTER_S = 30.0
"""Maximum Retry-After for callers."""


@dataclass
class OutageHistory:
    """The outages of one store as observed by one process.

    Attributes
    ----------
    initial_estimate_s : float
        Assumed duration of an outage; counts as one observation.
    lost_at : float
        When the current outage was noticed; infinite while there is none.
    recent_s : list of float
        Durations of the latest outages, oldest first.
    """

    initial_estimate_s: float
    lost_at: float = math.inf
    recent_s: list[float] = field(default_factory=list)


def record_reachability(outages: OutageHistory, reached: bool, now: float) -> None:
    """Record whether the store is reachable.

    Examples
    --------
    >>> outages = OutageHistory(initial_estimate_s=10.0)
    >>> for reached, now in ((False, 5.0), (False, 6.0), (True, 9.0)):
    ...     record_reachability(outages, reached, now)
    >>> outages.recent_s
    [4.0]
    """
    if not reached:
        outages.lost_at = min(outages.lost_at, now)
    elif outages.lost_at <= now:
        outages.recent_s = [*outages.recent_s, now - outages.lost_at][-MAX_REMEMBERED:]
        outages.lost_at = math.inf


def remaining_s(outages: OutageHistory, now: float) -> float:
    """Return the expected remaining duration of the current outage, seconds.

    An outage that has lasted longer than the average is expected to last as long again.

    Examples
    --------
    >>> outages = OutageHistory(initial_estimate_s=10.0, lost_at=20.0, recent_s=[6.0])
    >>> remaining_s(outages, 23.0), remaining_s(outages, 32.0), remaining_s(outages, 27.9)
    (5.0, 12.0, 0.5)
    """
    lengths = [outages.initial_estimate_s, *outages.recent_s]
    usual_s = sum(lengths) / len(lengths)
    elapsed_s = max(0.0, now - outages.lost_at)
    left_s = usual_s - elapsed_s if elapsed_s < usual_s else elapsed_s
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, left_s))
