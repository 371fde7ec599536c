"""When one router may send to an upstream that is cold, states a limit, or asked for a rest."""

import math
from collections.abc import Callable

from railtide.membership.entrance_set import Visits
from railtide.upstreams.limit_shares import QUIET_S, LimitShares
from railtide.upstreams.load import Upstream, is_cold
from railtide.upstreams.slow_start import SlowStart

__all__ = ["ColdPause", "Pacing"]

ALONE = ""
"""Name of a router that knows of no others."""
ColdPause = Callable[[str, float], float]
"""Returns the seconds between two requests of this router to a cold upstream, by its name and the
requests a second that it bears; infinite where the router is to send it none."""


def _every_router_alone(upstream: str, per_s: float) -> float:
    return 1 / per_s if per_s else 0.0


class Pacing:
    """The pauses of this router's requests to upstreams that are cold, state a limit, or rest."""

    def __init__(self) -> None:
        self._slow_start = SlowStart()
        self._cold_pause_s: ColdPause = _every_router_alone
        self._limit_shares = LimitShares(ALONE, lambda: Visits((ALONE,)))

    def set_slow_start(self, slow_start: SlowStart, cold_pause_s: ColdPause) -> None:
        """Take what cold upstreams bear, and this router's part of it."""
        self._slow_start = slow_start
        self._cold_pause_s = cold_pause_s

    def set_limit_shares(self, shares: LimitShares) -> None:
        """Take this router's part of what upstreams with a limit are sent."""
        self._limit_shares = shares

    def note_cold(self, upstream: Upstream, now: float) -> None:
        """Record that an upstream has just started, or comes back without its caches."""
        upstream.cold_until = max(upstream.cold_until, now + self._slow_start.for_s)

    def is_paced(self, upstream: Upstream, now: float) -> bool:
        """Return whether requests to an upstream have to be some time apart."""
        return upstream.limit.in_force or self._is_slow(upstream, now)

    def may_send(self, upstream: Upstream, now: float) -> bool:
        """Return whether this router may send to an upstream, at once or in a while."""
        return not self.is_paced(upstream, now) or math.isfinite(self.pause_s(upstream, now))

    def due_at(self, upstream: Upstream, now: float) -> float:
        """Return from when on this router may send to an upstream."""
        if not self.is_paced(upstream, now):
            return upstream.rests_until
        return max(upstream.rests_until, upstream.sent_at + self.pause_s(upstream, now))

    def looked_at_again(self, upstream: Upstream, now: float) -> float:
        """Return when an upstream that is not due may have become so by time alone."""
        due_at = self.due_at(upstream, now)
        if not self._is_slow(upstream, now):
            return due_at
        return min(due_at, max(upstream.rests_until, upstream.cold_until))

    def pause_s(self, upstream: Upstream, now: float) -> float:
        """Return the least time between two requests of this router to a paced upstream.

        Infinite where others send them.
        """
        cold_s = limit_s = 0.0
        if self._is_slow(upstream, now):
            cold_s = self._cold_pause_s(upstream.instance.name, self._slow_start.per_s)
        if upstream.limit.in_force:
            limit_s = self._limit_pause_s(upstream, now)
        return max(cold_s, limit_s)

    def _is_slow(self, upstream: Upstream, now: float) -> bool:
        return bool(self._slow_start.per_s) and is_cold(upstream, now)

    def _limit_pause_s(self, upstream: Upstream, now: float) -> float:
        name, per_s = upstream.instance.name, upstream.limit.per_s
        pause = self._limit_shares.pause_s(name, per_s)
        if math.isfinite(pause):
            return pause
        quiet_s = now - max(upstream.limit.told_at, upstream.sent_at)
        if quiet_s < QUIET_S:
            return math.inf
        patience = self._limit_shares.patience_s(name, per_s)
        return patience if quiet_s >= patience else math.inf
