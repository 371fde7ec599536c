"""What a router does when its machine wakes from a suspension: it reads anew what it believed."""

from collections.abc import Callable, Sequence

import trio
from loguru import logger

from railtide.clocks import Suspensions

__all__ = ["WakeHandler"]

MAX_REREAD_WAIT_S = 0.3
"""Longest wait of a request, after a suspension, for what is read anew: four reads of a store that
answers in milliseconds, with a lost opening packet of a connection of some milliseconds."""


class WakeHandler:
    """Notices suspensions and has what was believed before read anew.

    Parameters
    ----------
    suspensions : Suspensions
    refreshes : sequence of callable
        Each begins to read one thing anew, and returns what is set once it was read.
    on_woken : callable
        Told of each suspension.
    """

    def __init__(
        self,
        suspensions: Suspensions,
        refreshes: Sequence[Callable[[], trio.Event]],
        on_woken: Callable[[], None],
    ) -> None:
        self._suspensions = suspensions
        self._refreshes = refreshes
        self._on_woken = on_woken
        self._rereads: list[trio.Event] = []
        self._reread_until = 0.0

    def look(self) -> None:
        """Read anew what was believed before a suspension, and say so."""
        suspended_s = self._suspensions.look()
        if not suspended_s:
            return
        logger.bind(for_s=round(suspended_s, 3)).warning("woken")
        self._on_woken()
        self._rereads = [refresh() for refresh in self._refreshes]
        self._reread_until = trio.current_time() + MAX_REREAD_WAIT_S

    async def wait_until_current(self) -> None:
        """Wait for what is read anew; a store that is away is not waited for long.

        Without, the first requests after a suspension go where routes and upstreams were before.
        """
        self.look()
        if not self._rereads:
            return
        with trio.move_on_at(self._reread_until):
            for reread in self._rereads:
                await reread.wait()
        self._rereads = []
