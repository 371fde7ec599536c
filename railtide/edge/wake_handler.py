"""Recovery after a suspension of the machine: everything read before is read again."""

from collections.abc import Callable, Sequence

import trio
from loguru import logger

from railtide.clocks import SuspensionDetector

__all__ = ["WakeHandler"]

MAX_REREAD_WAIT_S = 0.3
"""Longest wait of a request, after a suspension, for the rereads: four reads of a store that
answers in milliseconds, with one lost opening packet of a connection of some milliseconds."""


class WakeHandler:
    """Detects suspensions and has all state that may be outdated read again.

    Parameters
    ----------
    suspensions : SuspensionDetector
    refreshes : sequence of callable
        Each starts a reread, and returns an event that is set once it is done.
    on_woken : callable
        Called at each suspension.
    """

    def __init__(
        self,
        suspensions: SuspensionDetector,
        refreshes: Sequence[Callable[[], trio.Event]],
        on_woken: Callable[[], None],
    ) -> None:
        self._suspensions = suspensions
        self._refreshes = refreshes
        self._on_woken = on_woken
        self._rereads: list[trio.Event] = []
        self._reread_until = 0.0

    def check(self) -> None:
        """Start the rereads if the machine was suspended since the last call, and log it."""
        suspended_s = self._suspensions.poll()
        if not suspended_s:
            return
        logger.bind(for_s=round(suspended_s, 3)).warning("woken")
        self._on_woken()
        self._rereads = [refresh() for refresh in self._refreshes]
        self._reread_until = trio.current_time() + MAX_REREAD_WAIT_S

    async def wait_until_current(self) -> None:
        """Wait for rereads in progress, for at most `MAX_REREAD_WAIT_S` after the suspension.

        Without this wait, the first requests after a suspension are sent by outdated routes to
        outdated upstreams.
        """
        self.check()
        if not self._rereads:
            return
        with trio.move_on_at(self._reread_until):
            for reread in self._rereads:
                await reread.wait()
        self._rereads = []
