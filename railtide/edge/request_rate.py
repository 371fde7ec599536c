"""How many requests a second a router is asked, held for a while after a peak."""

import math
from collections.abc import Callable

import trio

__all__ = ["RequestRate"]

WINDOW_S = 4.0
"""Over which requests are averaged: a burst shows within seconds, and a second without one does
not."""
HOLD_S = 30.0
"""In which a peak fades. Callers move to other addresses when fewer routers are named, so that
number falls more slowly than it rises."""


class RequestRate:
    """The rate of one router's requests.

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
        if self._rate > self._held(now):
            self._peak, self._peak_at = self._rate, now

    def per_second(self) -> float:
        """Return the rate, no less than what is left of its last peak."""
        return self._held(self._clock())

    def _held(self, now: float) -> float:
        return self._peak * math.exp((self._peak_at - now) / HOLD_S)
