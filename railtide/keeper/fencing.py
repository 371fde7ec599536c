"""Fencing: proposes a fence for holders that are silent, or whose link is gone.

It only decides how soon budget and open requests come back. That a fence is harmless for a holder
that is alive after all is the fold's work.
"""

from collections.abc import Callable

import trio
from loguru import logger

from railtide.budgets.messages import Fence
from railtide.journal.state import State
from railtide.journal.writer import Writer
from railtide.keeper.appender import Appender
from railtide.keeper.leases import lapsed_holders
from railtide.keeper.options import KeeperOptions
from railtide.keeper.views import is_alive, rank_of

__all__ = ["Fencer"]

TICKS_PER_WAIT = 3
PAUSE_TICKS = 4


class Fencer:
    """Watches holders on this keeper's own clock.

    Parameters
    ----------
    options : KeeperOptions
    state : callable
        Returns the folded state.
    appender : Appender
        A holder with entries queued here is not silent.
    writer : callable
        Returns this keeper's own writer while it may fence, else None.
    """

    def __init__(
        self,
        options: KeeperOptions,
        state: Callable[[], State],
        appender: Appender,
        writer: Callable[[], Writer | None],
    ) -> None:
        self.fences = 0
        self._options = options
        self._state = state
        self._appender = appender
        self._writer = writer
        self._heard_by_holder: dict[str, float] = {}
        self._lost_at_by_holder: dict[str, float] = {}

    def hear(self, holder: str) -> None:
        """Note that an entry of a holder was folded."""
        self._heard_by_holder[holder] = trio.current_time()

    def hear_all(self) -> None:
        """Give every holder a whole lease again, after a time in which the log was not heard."""
        now = trio.current_time()
        self._heard_by_holder = {name: now for name in self._state().by_holder}

    def forget(self, holder: str) -> None:
        """Stop watching a holder that closed."""
        self._heard_by_holder.pop(holder, None)
        self._lost_at_by_holder.pop(holder, None)

    def link_lost(self, holder: str) -> None:
        """Note that a router's link to this keeper is gone."""
        self._lost_at_by_holder[holder] = trio.current_time()

    def link_back(self, holder: str) -> None:
        """Note that a router writes through this keeper."""
        self._lost_at_by_holder.pop(holder, None)

    async def run(self) -> None:
        """Watch for ever."""
        tick = min(self._options.lost_link_s, self._options.lease_s) / TICKS_PER_WAIT
        slept_at = trio.current_time()
        while True:
            await trio.sleep(tick)
            if trio.current_time() - slept_at > PAUSE_TICKS * tick:
                self.hear_all()
            slept_at = trio.current_time()
            writer = self._writer()
            if writer:
                self._fence_lapsed(writer)
                self._fence_lost_links(writer)

    def _fence_lapsed(self, writer: Writer) -> None:
        """Fence the silent; a keeper of higher rank waits longer, so that not all fence at once."""
        now = trio.current_time()
        by_holder = self._state().by_holder
        rank = rank_of(by_holder, writer.holder)
        lease_s = self._options.lease_s + rank * self._options.lost_link_s
        for holder in lapsed_holders(by_holder, self._heard_by_holder, now, lease_s):
            self._fence(writer, holder)
            self._heard_by_holder[holder] = now

    def _fence_lost_links(self, writer: Writer) -> None:
        now = trio.current_time()
        due = [
            holder
            for holder, lost_at in self._lost_at_by_holder.items()
            if now - lost_at > self._options.lost_link_s and not self._appender.pending_of(holder)
        ]
        for holder in due:
            del self._lost_at_by_holder[holder]
            if is_alive(self._state().by_holder, holder):
                self._fence(writer, holder)

    def _fence(self, writer: Writer, holder: str) -> None:
        self.fences += 1
        logger.info("fencing holder {}", holder)
        writer.submit(Fence(holder, self._state().by_holder[holder].last_seq))
