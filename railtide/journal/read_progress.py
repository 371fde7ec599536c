"""How far an answer of a store has come: where its partition ended, and its bytes."""

from collections.abc import Callable

import trio

from railtide.journal.errors import LogUnavailable

__all__ = ["ReadProgress"]


class ReadProgress:
    """The progress of one read.

    Parameters
    ----------
    on_begun : callable, optional
        Told once the answer has begun and its partition's end is known. What it raises ends the
        read.
    first_only : bool, optional
        Whether the read ends with the first record that has come whole.
    on_unresponsive : callable, optional
        Told why the store counts as silent while the read goes on.

    Attributes
    ----------
    end : int or None
        Where the partition ended when the store answered.
    size : int or None
        Bytes of the answer, if it says so.
    received : int
        Bytes that have come.
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
        """Take the beginning of an answer, or of its next page, and the bytes that came with it.

        These tell no rate: they had all the time before.
        """
        self.end = end
        self.size = size
        self.received = initial
        self._initial = initial
        self.began_at = trio.current_time()
        self._on_begun(self)

    def add_received(self, count: int) -> None:
        """Record that some bytes more have come."""
        self.received += count

    def remaining_s(self) -> float | None:
        """Return about how many seconds are left, None while too little is known."""
        moved = self.received - self._initial
        if self.began_at is None or not self.size or not moved:
            return None
        took_s = trio.current_time() - self.began_at
        return max(0.0, self.size - self.received) * took_s / moved
