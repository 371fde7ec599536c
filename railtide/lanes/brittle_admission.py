"""Decides what one router may send to the brittle upstreams of a pool."""

import math

from railtide.membership.router_selection import RouterTraffic
from railtide.upstreams.brittleness import (
    POOL_RETENTION_S,
    UNANSWERED_S,
    Brittleness,
    BrittleReport,
    BrittleShares,
    apply_brittle_report,
    note_rejection,
)
from railtide.upstreams.upstream_state import Upstream

__all__ = ["BrittleAdmission"]

STANDALONE = ""
"""Name of a router that runs alone."""


class BrittleAdmission:
    """Holds what the upstreams of a pool state of their brittleness.

    Attributes
    ----------
    shares : BrittleShares
        This router's shares of slots and rejections.
    pool : tuple of str
        Names of the pool's upstreams.
    """

    def __init__(self) -> None:
        self.shares = BrittleShares(STANDALONE, lambda: RouterTraffic((STANDALONE,)))
        self.pool: tuple[str, ...] = ()
        self._newest = Brittleness()

    def apply_report(self, upstream: Upstream, report: BrittleReport, now: float) -> bool:
        """Apply what an answer states; return whether that changed for the upstream."""
        apply_brittle_report(self._newest, report)
        return apply_brittle_report(upstream.brittleness, report)

    def note_rejection(self, upstream: Upstream, now: float) -> bool:
        """Record that an upstream rejected a request; return whether that stops this router."""
        per_s = self._per_s(upstream, now)
        if per_s is None:
            return False
        hold_s = 1 / self.shares.rejections_per_s(per_s)
        note_rejection(upstream.brittleness, hold_s, self.shares.max_hold_s, now)
        return True

    def _per_s(self, upstream: Upstream, now: float) -> int | None:
        """Return how many requests a second an upstream may reject, None if it is not brittle."""
        if upstream.brittleness.told_at > -math.inf:
            return upstream.brittleness.per_s
        is_recent = now - self._newest.told_at <= POOL_RETENTION_S
        return self._newest.per_s if is_recent else None

    def max_open(self, upstream: Upstream, now: float) -> int:
        """Return how many requests this router may have open at an upstream."""
        slots = upstream.instance.slots
        if self._per_s(upstream, now) is None:
            return slots
        return self.shares.slots(upstream.instance.name, slots, self.pool, now)

    def available_at(self, upstream: Upstream, now: float) -> float:
        """Return from when on this router may send to an upstream."""
        per_s = self._per_s(upstream, now)
        if per_s is None:
            return -math.inf
        unanswered = [at for at in upstream.opened_at if at > now - UNANSWERED_S]
        most = self.shares.max_unanswered(per_s)
        if len(unanswered) < most:
            return upstream.brittleness.held_until
        return max(upstream.brittleness.held_until, unanswered[-most] + UNANSWERED_S)
