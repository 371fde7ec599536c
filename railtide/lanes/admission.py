"""Decides whether one router may send to an upstream now, and if not, from when on.

A router may not send to an upstream that is leaving, whose failure domain is drained, that no
router reaches, that asked for a rest, that advertises a rate limit (between two requests), that is
cold (likewise), or that is brittle and has rejected requests.
"""

import math
from collections.abc import Callable
from enum import StrEnum

from railtide.lanes.brittle_admission import BrittleAdmission
from railtide.membership.router_selection import RouterTraffic
from railtide.upstreams.limit_shares import PROBE_AFTER_S, LimitShares
from railtide.upstreams.slow_start import SlowStart
from railtide.upstreams.upstream_state import Upstream, is_cold, is_leaving, is_unreachable

__all__ = ["Admission", "BlockReason", "ColdInterval"]

STANDALONE = ""
"""Name of a router that runs alone."""
ColdInterval = Callable[[str, float], float]
"""Returns the minimum seconds between two requests of this router to a cold upstream, by its name
and the requests per second that it can serve; infinite if this router may send it none."""


class BlockReason(StrEnum):
    """Why a router may not send to an upstream now."""

    LEAVING = "leaving"
    DRAINED = "drained"
    UNREACHABLE = "unreachable"
    RESTING = "resting"
    LIMITED = "limited"
    COLD = "cold"
    BRITTLE = "brittle"


def _unshared_interval_s(upstream: str, per_s: float) -> float:
    return 1 / per_s if per_s else 0.0


class Admission:
    """Holds the restrictions on one router's requests to the upstreams of a pool.

    Attributes
    ----------
    brittle : BrittleAdmission
    """

    def __init__(self) -> None:
        self.brittle = BrittleAdmission()
        self._drained: frozenset[str] = frozenset()
        self._slow_start = SlowStart()
        self._cold_interval_s: ColdInterval = _unshared_interval_s
        self._limit_shares = LimitShares(STANDALONE, lambda: RouterTraffic((STANDALONE,)))

    def set_slow_start(self, slow_start: SlowStart, cold_interval_s: ColdInterval) -> None:
        """Set the rate that cold upstreams can serve, and this router's share of it."""
        self._slow_start = slow_start
        self._cold_interval_s = cold_interval_s

    def set_limit_shares(self, shares: LimitShares) -> None:
        """Set this router's shares of the limits that upstreams advertise."""
        self._limit_shares = shares

    def set_drained(self, domains: frozenset[str]) -> frozenset[str]:
        """Set the drained failure domains; return those that are no longer drained."""
        ended = self._drained - domains
        self._drained = domains
        return ended

    def mark_cold(self, upstream: Upstream, now: float) -> None:
        """Record that an upstream has just started, or returns with empty caches."""
        upstream.cold_until = max(upstream.cold_until, now + self._slow_start.for_s)

    def is_paced(self, upstream: Upstream, now: float) -> bool:
        """Return whether requests to an upstream need a minimum interval."""
        return upstream.limit.in_force or self._is_slow_starting(upstream, now)

    def available_at(self, upstream: Upstream, now: float) -> float:
        """Return from when on this router may send to an upstream; infinite if time alone won't."""
        if self._is_excluded(upstream):
            return math.inf
        available_at = max(upstream.resting_until, self.brittle.available_at(upstream, now))
        if upstream.limit.per_s == math.inf and not self._is_slow_starting(upstream, now):
            return available_at
        interval_s = self.interval_s(upstream, now)
        if math.isinf(interval_s):
            return math.inf
        return max(available_at, upstream.sent_at + interval_s)

    def block_reason(self, upstream: Upstream, now: float) -> BlockReason | None:
        """Return why this router may not send to an upstream now, or None if it may."""
        if now >= self.available_at(upstream, now):
            return None
        if is_leaving(upstream):
            return BlockReason.LEAVING
        if is_unreachable(upstream):
            return BlockReason.UNREACHABLE
        if self._is_excluded(upstream):
            return BlockReason.DRAINED
        if now < upstream.resting_until:
            return BlockReason.RESTING
        if now < self.brittle.available_at(upstream, now):
            return BlockReason.BRITTLE
        return BlockReason.LIMITED if upstream.limit.in_force else BlockReason.COLD

    def _is_excluded(self, upstream: Upstream) -> bool:
        is_drained = upstream.instance.failure_domain in self._drained
        return is_leaving(upstream) or is_unreachable(upstream) or is_drained

    def next_check_at(self, upstream: Upstream, now: float) -> float:
        """Return when to check an unavailable upstream again; time alone may free it by then."""
        available_at = self.available_at(upstream, now)
        if not self._is_slow_starting(upstream, now):
            return available_at
        return min(available_at, max(upstream.resting_until, upstream.cold_until))

    def interval_s(self, upstream: Upstream, now: float) -> float:
        """Return the minimum seconds between two requests of this router to a paced upstream.

        Infinite if only other routers may send to it.
        """
        cold_s = limit_s = 0.0
        if self._is_slow_starting(upstream, now):
            cold_s = self._cold_interval_s(upstream.instance.name, self._slow_start.per_s)
        if upstream.limit.in_force:
            limit_s = self._limit_interval_s(upstream, now)
        return max(cold_s, limit_s)

    def _is_slow_starting(self, upstream: Upstream, now: float) -> bool:
        return is_cold(upstream, now) and self._slow_start.per_s > 0

    def _limit_interval_s(self, upstream: Upstream, now: float) -> float:
        name, per_s = upstream.instance.name, upstream.limit.per_s
        interval = self._limit_shares.interval_s(name, per_s)
        if math.isfinite(interval):
            return interval
        unheard_s = now - max(upstream.limit.advertised_at, upstream.sent_at)
        if unheard_s < PROBE_AFTER_S:
            return math.inf
        probe_after = self._limit_shares.probe_after_s(name, per_s)
        return probe_after if unheard_s >= probe_after else math.inf
