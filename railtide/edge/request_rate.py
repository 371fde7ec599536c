"""The request rate of a router, with a slowly decaying peak."""

import math
from collections.abc import Callable

import trio

__all__ = ["RequestRate"]

WINDOW_S = 4.0
"""Averaging window: a burst shows within seconds, and one second without requests hardly does."""
PEAK_DECAY_S = 30.0
"""Time constant with which a peak decays. Callers move to other addresses when fewer routers are
advertised, so the number of advertised routers must fall more slowly than it rises."""


class RequestRate:
    """The exponentially weighted request rate of one router.

    Parameters
    ----------
    clock : callable
        Returns the time, seconds.

    Examples
    --------
    >>> rate = RequestRate(clock=lambda: 100.0)
    >>> for _ in range(8):
    ...     rate.note()
    >>> rate.per_second()
    2.0
    """

    def __init__(self, clock: Callable[[], float] = trio.current_time) -> None:
        self._clock = clock
        self._rate = 0.0
        self._rate_at = 0.0
        self._peak = 0.0
        self._peak_at = 0.0

    def note(self) -> None:
        """Count a request."""
        now = self._clock()
        self._rate = self._rate * math.exp((self._rate_at - now) / WINDOW_S) + 1 / WINDOW_S
        self._rate_at = now
        if self._rate > self._decayed_peak(now):
            self._peak, self._peak_at = self._rate, now

    def per_second(self) -> float:
        """Return the decayed peak of the rate, which is never below the current rate."""
        return self._decayed_peak(self._clock())

    def _decayed_peak(self, now: float) -> float:
        return self._peak * math.exp((self._peak_at - now) / PEAK_DECAY_S)
