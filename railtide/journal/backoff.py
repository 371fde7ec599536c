"""Waits between tries: exponential, with full jitter."""

from random import Random

__all__ = ["Backoff"]

GROWTH = 2.0


class Backoff:
    """The waits of one sequence of tries.

    Parameters
    ----------
    first_s, most_s : float
        Bounds of the wait after the first and after many failures.
    rng : random.Random
        Source of the jitter.

    References
    ----------
    M. Brooker, "Exponential backoff and jitter", AWS Architecture Blog, 2015.
    """

    def __init__(self, first_s: float, most_s: float, rng: Random) -> None:
        self._first_s = first_s
        self._most_s = most_s
        self._rng = rng
        self._failures = 0

    def reset(self) -> None:
        """Begin again after a success."""
        self._failures = 0

    def next_wait(self) -> float:
        """Return the seconds to wait after one more failure."""
        bound = min(self._most_s, self._first_s * GROWTH**self._failures)
        self._failures = min(self._failures + 1, 32)
        return self._rng.uniform(bound / 2, bound)
