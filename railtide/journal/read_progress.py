"""Progress of reading one answer of a store."""

from collections.abc import Callable

import trio

from railtide.journal.errors import LogUnavailable

__all__ = ["ReadProgress"]


class ReadProgress:
    """The progress of one read.

    Parameters
    ----------
    on_begun : callable, optional
        Called once the answer has begun and its partition's end is known. An exception that it
        raises ends the read.
    first_only : bool, optional
        Whether the read ends with the first complete record.
    on_unresponsive : callable, optional
        Called with the reason when the store counts as unresponsive although the read continues.

    Attributes
    ----------
    end : int or None
        End offset of the partition when the store answered.
    size : int or None
        Size of the answer in bytes, if known.
    received : int
        Bytes received so far.
    began_at : float or None
        Trio time at which the answer began.
    """

    def __init__(
        self,
        on_begun: Callable[["ReadProgress"], None] = lambda progress: None,
        first_only: bool = False,
        on_unresponsive: Callable[[LogUnavailable], None] = lambda err: None,
    ) -> None:
        self.note_unresponsive = on_unresponsive
        self.first_only = first_only
        self.end: int | None = None
        self.size: int | None = None
        self.received = 0
        self.began_at: float | None = None
        self._initial = 0
        self._on_begun = on_begun

    def begin(self, end: int | None, size: int | None, initial: int = 0) -> None:
        """Record the start of an answer, or of its next page, and the bytes received with it.

        These initial bytes don't count for the rate, since they arrived before the start.
        """
        self.end = end
        self.size = size
        self.received = initial
        self._initial = initial
        self.began_at = trio.current_time()
        self._on_begun(self)

    def add_received(self, count: int) -> None:
        """Record that `count` further bytes were received."""
        self.received += count

    def remaining_s(self) -> float | None:
        """Return the estimated remaining time in seconds; None while too little is known."""
        counted = self.received - self._initial
        if self.began_at is None or not self.size or not counted:
            return None
        took_s = trio.current_time() - self.began_at
        return max(0.0, self.size - self.received) * took_s / counted
