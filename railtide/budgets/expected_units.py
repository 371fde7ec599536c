"""When units that were asked for are expected, and whether a request waits for them. Pure."""

import math
from dataclasses import dataclass

__all__ = ["UpdateDuration", "expected_end", "note_duration", "next_check_at"]

INITIAL_S = 0.1
"""Expected duration of an update before one was seen: the wait of a request without this rule."""
WEIGHT = 0.2
"""Weight of the latest update in the average: five updates, some seconds under contention."""
MIN_RECHECK_S = 0.01
"""Least time between two checks of a waiting request: about the time of a fast store call."""


@dataclass
class UpdateDuration:
    """Running average of how long an update of a partition takes, with lost compare-and-swaps."""

    mean_s: float = INITIAL_S


def note_duration(duration: UpdateDuration, elapsed_s: float) -> None:
    """Record how long an update took.

    Examples
    --------
    >>> duration = UpdateDuration(mean_s=0.1)
    >>> note_duration(duration, 0.6)
    >>> round(duration.mean_s, 3)
    0.2
    """
    duration.mean_s += WEIGHT * (elapsed_s - duration.mean_s)


def expected_end(duration: UpdateDuration, began_at: float, now: float) -> float:
    """Return when an update that is under way is expected to end.

    An update that takes longer than usual is expected to take as long again as it is late; under
    contention the duration has a long tail.

    Examples
    --------
    >>> duration = UpdateDuration(mean_s=0.1)
    >>> expected_end(duration, began_at=1.0, now=1.05)
    1.1
    >>> round(expected_end(duration, began_at=1.0, now=1.3), 3)
    1.5
    """
    usual_end = began_at + duration.mean_s
    return usual_end if now < usual_end else now + (now - usual_end)


def next_check_at(expected_at: float, until: float, now: float) -> float | None:
    """Return until when a request waits before it checks again; None if it is refused.

    Parameters
    ----------
    expected_at : float
        When its units are expected; infinite if none are under way.
    until : float
        Latest start at which it usually meets its goal.
    now : float

    Examples
    --------
    >>> next_check_at(expected_at=1.2, until=1.5, now=1.0)
    1.2
    >>> next_check_at(expected_at=1.6, until=1.5, now=1.0) is None
    True
    """
    if now >= until or math.isinf(expected_at) or expected_at > until:
        return None
    return min(until, max(expected_at, now + MIN_RECHECK_S))
