"""How long an outage of the store is likely to last, by those that were observed. Pure."""

import math
from dataclasses import dataclass, field

__all__ = ["Outages", "note_reached", "remaining_s"]

MOST_SEEN = 5
"""Outages remembered: enough for a mean, few enough to follow a change."""
LEAST_S = 0.5
"""Least time after which a caller is asked to come back: it connects anew, which has a price."""
MOST_S = 30.0
"""Most time; beyond it callers have other things to do than to wait."""


@dataclass
class Outages:
    """The outages of one store as one process saw them.

    Attributes
    ----------
    prior_s : float
        Length of an outage before any was seen; it counts as one of those seen.
    lost_at : float
        When the outage under way was noticed; infinite while there is none.
    seen_s : list of float
        Lengths of the latest, oldest first.
    """

    prior_s: float
    lost_at: float = math.inf
    seen_s: list[float] = field(default_factory=list)


def note_reached(outages: Outages, reached: bool, now: float) -> None:
    """Take whether the store answers.

    Examples
    --------
    >>> outages = Outages(prior_s=10.0)
    >>> for reached, now in ((False, 5.0), (False, 6.0), (True, 9.0)):
    ...     note_reached(outages, reached, now)
    >>> outages.seen_s
    [4.0]
    """
    if not reached:
        outages.lost_at = min(outages.lost_at, now)
    elif outages.lost_at <= now:
        outages.seen_s = [*outages.seen_s, now - outages.lost_at][-MOST_SEEN:]
        outages.lost_at = math.inf


def remaining_s(outages: Outages, now: float) -> float:
    """Return how long the outage under way is likely to go on, seconds.

    One that has lasted longer than usual is taken to last as long again.

    Examples
    --------
    >>> outages = Outages(prior_s=10.0, lost_at=20.0, seen_s=[6.0])
    >>> remaining_s(outages, 23.0), remaining_s(outages, 32.0), remaining_s(outages, 27.9)
    (5.0, 12.0, 0.5)
    """
    lengths = [outages.prior_s, *outages.seen_s]
    usual_s = sum(lengths) / len(lengths)
    elapsed_s = max(0.0, now - outages.lost_at)
    left_s = usual_s - elapsed_s if elapsed_s < usual_s else elapsed_s
    return min(MOST_S, max(LEAST_S, left_s))
