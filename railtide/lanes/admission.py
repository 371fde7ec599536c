"""Whether one router may send to an upstream now, and if not, from when on.

What may keep a request from an upstream: it leaves, its failure domain is drained, it asked for a
rest, it states a limit, it is cold.
"""

import math
from collections.abc import Callable
from enum import StrEnum

from railtide.membership.router_selection import RouterTraffic
from railtide.upstreams.limit_shares import QUIET_S, LimitShares
from railtide.upstreams.load import Upstream, is_cold, is_leaving
from railtide.upstreams.slow_start import SlowStart

__all__ = ["Admission", "ColdPause", "Hold"]

ALONE = ""
"""Name of a router that knows of no others."""
ColdPause = Callable[[str, float], float]
"""Returns the seconds between two requests of this router to a cold upstream, by its name and the
requests a second that it bears; infinite where the router is to send it none."""


class Hold(StrEnum):
    """What keeps a router's requests from an upstream."""

    LEAVING = "leaving"
    DRAINED = "drained"
    RESTING = "resting"
    LIMITED = "limited"
    COLD = "cold"


def _every_router_alone(upstream: str, per_s: float) -> float:
    return 1 / per_s if per_s else 0.0


class Admission:
    """Keeps what one router has been told that holds for its requests to upstreams."""

    def __init__(self) -> None:
        self._drained: frozenset[str] = frozenset()
        self._slow_start = SlowStart()
        self._cold_pause_s: ColdPause = _every_router_alone
        self._limit_shares = LimitShares(ALONE, lambda: RouterTraffic((ALONE,)))

    def set_slow_start(self, slow_start: SlowStart, cold_pause_s: ColdPause) -> None:
        """Take what cold upstreams bear, and this router's part of it."""
        self._slow_start = slow_start
        self._cold_pause_s = cold_pause_s

    def set_limit_shares(self, shares: LimitShares) -> None:
        """Take this router's part of what upstreams with a limit are sent."""
        self._limit_shares = shares

    def set_drained(self, domains: frozenset[str]) -> frozenset[str]:
        """Take the failure domains that are drained; return those whose drain ends."""
        ended = self._drained - domains
        self._drained = domains
        return ended

    def note_cold(self, upstream: Upstream, now: float) -> None:
        """Record that an upstream has just started, or comes back without its caches."""
        upstream.cold_until = max(upstream.cold_until, now + self._slow_start.for_s)

    def is_paced(self, upstream: Upstream, now: float) -> bool:
        """Return whether requests to an upstream have to be some time apart."""
        return upstream.limit.in_force or self._is_slow(upstream, now)

    def opens_at(self, upstream: Upstream, now: float) -> float:
        """Return from when on this router may send to an upstream; infinite for not by itself."""
        if self._is_closed(upstream):
            return math.inf
        if upstream.limit.per_s == math.inf and not self._is_slow(upstream, now):
            return upstream.rests_until
        pause_s = self.pause_s(upstream, now)
        if math.isinf(pause_s):
            return math.inf
        return max(upstream.rests_until, upstream.sent_at + pause_s)

    def hold_of(self, upstream: Upstream, now: float) -> Hold | None:
        """Return what keeps this router's requests from an upstream now."""
        if now >= self.opens_at(upstream, now):
            return None
        if is_leaving(upstream):
            return Hold.LEAVING
        if self._is_closed(upstream):
            return Hold.DRAINED
        if now < upstream.rests_until:
            return Hold.RESTING
        return Hold.LIMITED if upstream.limit.in_force else Hold.COLD

    def _is_closed(self, upstream: Upstream) -> bool:
        return is_leaving(upstream) or upstream.instance.failure_domain in self._drained

    def looked_at_again(self, upstream: Upstream, now: float) -> float:
        """Return when time alone may have opened an upstream that is not open now."""
        opens_at = self.opens_at(upstream, now)
        if not self._is_slow(upstream, now):
            return opens_at
        return min(opens_at, max(upstream.rests_until, upstream.cold_until))

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
        return is_cold(upstream, now) and self._slow_start.per_s > 0

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
