"""Fencing: proposes a fence for holders whose lease has expired or whose link is lost.

This only decides how soon the holder's budget and open requests are recovered. The fold ensures
that fencing a holder that is still alive does no harm.
"""

from collections.abc import Callable

import trio
from loguru import logger

from railtide.budgets.messages import Fence
from railtide.journal.state import State
from railtide.journal.writer import Writer
from railtide.keeper.appender import Appender
from railtide.keeper.leases import expired_holders
from railtide.keeper.options import KeeperOptions
from railtide.keeper.views import is_alive, keeper_rank

__all__ = ["Fencer"]

TICKS_PER_TIMEOUT = 3
SUSPENSION_TICKS = 4
"""A sleep of more ticks than this means that the process was suspended: all leases are renewed."""


class Fencer:
    """Fences unresponsive holders by this keeper's own monotonic clock.

    Parameters
    ----------
    options : KeeperOptions
    state : callable
        Returns the folded state.
    appender : Appender
        A holder with entries queued here is not fenced for a lost link.
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
        self._last_heard_by_holder: dict[str, float] = {}
        self._lost_at_by_holder: dict[str, float] = {}

    def note_entry(self, holder: str) -> None:
        """Renew a holder's lease: an entry of it was folded."""
        self._last_heard_by_holder[holder] = trio.current_time()

    def renew_all(self) -> None:
        """Renew the leases of all holders, after a time in which the log could not be read."""
        now = trio.current_time()
        self._last_heard_by_holder = {name: now for name in self._state().by_holder}

    def forget(self, holder: str) -> None:
        """Stop watching a holder that closed."""
        self._last_heard_by_holder.pop(holder, None)
        self._lost_at_by_holder.pop(holder, None)

    def note_link_lost(self, holder: str) -> None:
        """Note that a router's link to this keeper is lost."""
        self._lost_at_by_holder[holder] = trio.current_time()

    def note_link_restored(self, holder: str) -> None:
        """Note that a router writes through this keeper (again)."""
        self._lost_at_by_holder.pop(holder, None)

    async def run(self) -> None:
        """Check leases and links until cancelled."""
        tick = min(self._options.lost_link_s, self._options.lease_s) / TICKS_PER_TIMEOUT
        slept_at = trio.current_time()
        while True:
            await trio.sleep(tick)
            if trio.current_time() - slept_at > SUSPENSION_TICKS * tick:
                self.renew_all()
            slept_at = trio.current_time()
            writer = self._writer()
            if writer:
                self._fence_expired(writer)
                self._fence_lost_links(writer)

    def _fence_expired(self, writer: Writer) -> None:
        """Fence expired holders; keepers of higher rank wait longer, so not all fence at once."""
        now = trio.current_time()
        by_holder = self._state().by_holder
        rank = keeper_rank(by_holder, writer.holder)
        lease_s = self._options.lease_s + rank * self._options.lost_link_s
        for holder in expired_holders(by_holder, self._last_heard_by_holder, now, lease_s):
            self._fence(writer, holder)
            self._last_heard_by_holder[holder] = now

    def _fence_lost_links(self, writer: Writer) -> None:
        now = trio.current_time()
        due = [
            holder
            for holder, lost_at in self._lost_at_by_holder.items()
            if now - lost_at > self._options.lost_link_s and not self._appender.has_pending(holder)
        ]
        for holder in due:
            del self._lost_at_by_holder[holder]
            if is_alive(self._state().by_holder, holder):
                self._fence(writer, holder)

    def _fence(self, writer: Writer, holder: str) -> None:
        self.fences += 1
        logger.info("fencing holder {}", holder)
        writer.submit(Fence(holder, self._state().by_holder[holder].last_seq))
