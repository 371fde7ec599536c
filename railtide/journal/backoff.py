"""Exponential backoff with jitter."""

from random import Random

__all__ = ["Backoff"]

GROWTH = 2.0


class Backoff:
    """The waits between the attempts of one sequence.

    Each wait is random, between half its bound and its bound.

    Parameters
    ----------
    first_s, max_s : float
        Bound of the wait after the first failure, and the limit to which the bound grows.
    rng : random.Random
        Source of the jitter.

    References
    ----------
    M. Brooker, "Exponential backoff and jitter", AWS Architecture Blog, 2015.
    """

    def __init__(self, first_s: float, max_s: float, rng: Random) -> None:
        self._first_s = first_s
        self._max_s = max_s
        self._rng = rng
        self._failures = 0

    def reset(self) -> None:
        """Restart from the first bound after a success."""
        self._failures = 0

    def next_wait(self) -> float:
        """Return the seconds to wait after one more failure."""
        bound = min(self._max_s, self._first_s * GROWTH**self._failures)
        self._failures = min(self._failures + 1, 32)
        return self._rng.uniform(bound / 2, bound)
