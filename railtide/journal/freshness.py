"""How fresh what a feed has told is: when its topic was last read to the end, and what is due."""

import math

import trio

from railtide.journal.read_progress import ReadProgress

__all__ = ["Freshness"]


class Freshness:
    """What is known of a topic's newest records.

    Attributes
    ----------
    read_at : float
        Trio time of the store's answer to the newest read that came to the topic's end.
    unread_since : float or None
        Trio time since which a record is known of that was not taken yet.
    """

    def __init__(self) -> None:
        self.read_at = -math.inf
        self.unread_since: float | None = None
        self._progress: ReadProgress | None = None
        self._answered_at: float | None = None

    def watch(self, progress: ReadProgress | None) -> None:
        """Take the read that is under way now, None after its end."""
        if self._progress and self._progress.began_at is not None:
            self._answered_at = self._progress.began_at
        self._progress = progress

    def is_reading(self) -> bool:
        """Return whether the answer of the read under way has begun."""
        return self._progress is not None and self._progress.began_at is not None

    def note_newer(self) -> None:
        """Record that there are records that are not taken yet."""
        if self.unread_since is None:
            self.unread_since = trio.current_time()

    def note_complete(self) -> None:
        """Record that the read that has ended came to the topic's end, and was taken."""
        answered_at = self._answered_at
        self.read_at = trio.current_time() if answered_at is None else answered_at
        self.unread_since = None

    def remaining_s(self) -> float | None:
        """Return about how many seconds the read under way still takes, None while unknown."""
        return self._progress.remaining_s() if self._progress else None
