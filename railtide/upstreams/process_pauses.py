"""Times in which this process did not run, so that its view of its connections was outdated."""

import math
from collections import deque
from collections.abc import Callable

import trio

__all__ = ["ProcessPauses"]

CHECK_S = 0.1
MIN_PAUSE_S = 0.25
"""Shorter pauses may go unnoticed: a process isn't replaced at its address in less time."""
REMEMBERED = 64
"""Pauses that are remembered; a request sees few."""


class ProcessPauses:
    """Detects pauses of this process by a timer that expires late.

    Examples
    --------
    >>> pauses = ProcessPauses()
    >>> pauses.note_pause(ended_at=5.0)
    >>> pauses.any_between(4.0, 6.0), pauses.any_between(5.0, 6.0), pauses.any_between(1.0, 4.0)
    (True, False, False)
    """

    def __init__(self) -> None:
        self._ended_at: deque[float] = deque(maxlen=REMEMBERED)

    def any_between(self, begin: float, end: float = math.inf) -> bool:
        """Return whether a pause ended after one trio time and not after another."""
        return any(begin < ended_at <= end for ended_at in self._ended_at)

    def note_pause(self, ended_at: float) -> None:
        """Record that a pause ended at a trio time."""
        self._ended_at.append(ended_at)

    async def run(self, on_pause: Callable[[], None]) -> None:
        """Detect pauses until cancelled, and call `on_pause` after each."""
        while True:
            due_at = trio.current_time() + CHECK_S
            await trio.sleep_until(due_at)
            if trio.current_time() - due_at >= MIN_PAUSE_S - CHECK_S:
                self.note_pause(trio.current_time())
                on_pause()
