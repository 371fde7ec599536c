"""How current a feed's view of its topic is."""

import math

import trio

from railtide.journal.read_progress import ReadProgress

__all__ = ["Freshness"]


class Freshness:
    """When a topic was last read to its end, and since when newer records are known.

    Attributes
    ----------
    read_at : float
        Trio time of the store's answer to the latest read that reached the topic's end.
    unread_since : float or None
        Trio time since which records are known to exist that were not processed yet; None if there
        are none.
    """

    def __init__(self) -> None:
        self.read_at = -math.inf
        self.unread_since: float | None = None
        self._progress: ReadProgress | None = None
        self._answered_at: float | None = None

    def watch(self, progress: ReadProgress | None) -> None:
        """Set the current read; None after its end."""
        if self._progress and self._progress.began_at is not None:
            self._answered_at = self._progress.began_at
        self._progress = progress

    def is_reading(self) -> bool:
        """Return whether the answer of the current read has begun."""
        return self._progress is not None and self._progress.began_at is not None

    def note_newer(self) -> None:
        """Record that the topic has records that were not processed yet."""
        if self.unread_since is None:
            self.unread_since = trio.current_time()

    def note_complete(self) -> None:
        """Record that the last read reached the topic's end and its records were processed."""
        answered_at = self._answered_at
        self.read_at = trio.current_time() if answered_at is None else answered_at
        self.unread_since = None

    def remaining_s(self) -> float | None:
        """Return the estimated remaining seconds of the current read; None while unknown."""
        return self._progress.remaining_s() if self._progress else None
