"""What a router may send to upstreams that crash when they reject too many requests. Pure.

A brittle upstream states how many requests a second it may reject for want of room before it
crashes; its load then moves to the others, which may crash in turn. The rejections of all routers
count together, and routers don't ask one another. So each keeps to its share of the upstream's
slots, which are all the room that a brittle upstream is sure to have, and stops for a while after a
rejection, in proportion to its share of the rejections.
"""

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from railtide.membership.addresses import rendezvous_order
from railtide.membership.router_selection import RouterTraffic

__all__ = [
    "BrittleReport",
    "BrittleShares",
    "Brittleness",
    "apply_brittle_report",
    "note_rejection",
]

USED_SHARE = 0.4
"""Share of the stated rejections that active routers use, and a quarter of it the idle ones. The
rest is for routers that don't know yet that the upstream is brittle, and for crossing answers."""
IDLE_USED_SHARE = 0.1
IDLE_SLOT_SHARE = 0.1
MAX_IDLE_SLOT_SHARE = 0.25
"""Shares of the slots that are left to idle routers, which callers don't use yet: usually, and at
most where these are many."""
MAX_HOLD_S = 5.0
IDLE_MAX_HOLD_S = 30.0
"""Longest stops after rejections, so that an upstream with room is not left unused for long. Idle
routers are many, and lose little by it."""
UNANSWERED_S = 0.02
"""A request that is rejected is answered within this time: the upstream need not run it. Only so
many requests may be without an answer for less than that as may be rejected."""
GROWTH_DELAY_S = 2.0
"""A share that grows is used this much later, one that shrinks at once. Other routers learn of the
change up to a second later, and end the requests beyond their new share after that."""
MAX_CACHED_SHARES = 16_384
"""Shares that are cached, more than the upstreams of any planned pool."""
POOL_RETENTION_S = 10.0
"""How long the statement of one upstream counts for those of its pool that have not answered yet,
such as one that has just restarted."""


@dataclass(frozen=True)
class BrittleReport:
    """What one answer of an upstream states.

    Attributes
    ----------
    per_s : int or None
        Requests a second that it may reject for want of room; None if it states nothing.
    sent_at : float
        Trio time at which the request was sent.
    """

    per_s: int | None
    sent_at: float


@dataclass
class Brittleness:
    """How brittle an upstream is, as this router knows it.

    Attributes
    ----------
    per_s : int or None
        Rejections a second; None if it is not brittle.
    told_at : float
        When the request was sent whose answer stated that; minus infinity before any answer.
    held_until : float
        Until when this router sends nothing because of rejections.
    """

    per_s: int | None = None
    told_at: float = -math.inf
    held_until: float = -math.inf


def apply_brittle_report(state: Brittleness, report: BrittleReport) -> bool:
    """Apply an answer's statement, unless it is older than the known one; return if that changed.

    Answers on several connections overtake one another.

    Examples
    --------
    >>> state = Brittleness()
    >>> apply_brittle_report(state, BrittleReport(4, sent_at=2.0))
    True
    >>> apply_brittle_report(state, BrittleReport(None, sent_at=1.0)), state.per_s
    (False, 4)
    """
    if report.sent_at < state.told_at:
        return False
    before, state.per_s, state.told_at = state.per_s, report.per_s, report.sent_at
    return before != report.per_s


def note_rejection(state: Brittleness, hold_s: float, max_hold_s: float, now: float) -> None:
    """Stop for the time in which this router may cause one rejection, at most for `max_hold_s`.

    Examples
    --------
    >>> state = Brittleness(per_s=4)
    >>> for _ in range(3):
    ...     note_rejection(state, hold_s=2.0, max_hold_s=5.0, now=1.0)
    >>> state.held_until
    6.0
    """
    state.held_until = min(max(state.held_until, now) + hold_s, now + max_hold_s)


@dataclass
class _TrafficView:
    """Which routers callers use, as known until a trio time, and the shares that follow."""

    traffic: RouterTraffic
    replaced_at: float = math.inf
    slots_by_key: dict[tuple[str, int, tuple[str, ...]], int] = field(default_factory=dict)


class BrittleShares:
    """One router's shares of the slots and the rejections of brittle upstreams.

    Parameters
    ----------
    own : str
        Name of this router.
    traffic : callable
        Returns which routers callers use, as this router knows them.

    Examples
    --------
    >>> shares = BrittleShares("r1", lambda: RouterTraffic(("r1", "r2"), ("r3",)))
    >>> others = BrittleShares("r2", lambda: RouterTraffic(("r1", "r2"), ("r3",)))
    >>> shares.slots("e1", 21, ["e1", "e2"], 0.0) + others.slots("e1", 21, ["e1", "e2"], 0.0)
    19
    >>> round(shares.rejections_per_s(10), 2)
    2.0
    """

    def __init__(self, own: str, traffic: Callable[[], RouterTraffic]) -> None:
        self._own = own
        self._traffic = traffic
        self._views: list[_TrafficView] = []

    def slots(self, upstream: str, slots: int, pool: Sequence[str], now: float) -> int:
        """Return how many requests this router may have open at an upstream.

        Active routers share its slots, but for some that idle routers share. While routers learn
        that callers use others, the least share of the last `GROWTH_DELAY_S` applies, so that the
        shares of all still add up to the slots.

        Parameters
        ----------
        upstream : str
        slots : int
            Of the upstream.
        pool : sequence of str
            Names of all upstreams of the pool.
        now : float
        """
        key = (upstream, slots, tuple(pool))
        return min(self._share(view, key) for view in self._recent_views(now))

    def _recent_views(self, now: float) -> list[_TrafficView]:
        """Return the present view, and those that were replaced lately."""
        traffic = self._traffic()
        views = self._views
        if not views or views[-1].traffic != traffic:
            if views:
                views[-1].replaced_at = now
            views.append(_TrafficView(traffic))
        if views[0].replaced_at <= now - GROWTH_DELAY_S:
            views[:] = [view for view in views if view.replaced_at > now - GROWTH_DELAY_S]
        return views

    def _share(self, view: _TrafficView, key: tuple[str, int, tuple[str, ...]]) -> int:
        share = view.slots_by_key.get(key)
        if share is None:
            if len(view.slots_by_key) >= MAX_CACHED_SHARES:
                view.slots_by_key.clear()
            share = view.slots_by_key[key] = self._compute_slots(view.traffic, *key)
        return share

    def _compute_slots(
        self, traffic: RouterTraffic, upstream: str, slots: int, pool: Sequence[str]
    ) -> int:
        """Return this router's slots at an upstream, or one at one upstream if it has none at any.

        Such a router seldom uses it, and refusing all its callers would be worse.
        """
        if any(self._part_of(traffic, name, slots, len(pool)) for name in pool):
            return self._part_of(traffic, upstream, slots, len(pool))
        return int(rendezvous_order(self._own, list(pool))[0] == upstream)

    def _part_of(self, traffic: RouterTraffic, upstream: str, slots: int, upstreams: int) -> int:
        """Return this router's part of the slots for the group of routers that it is in.

        The order of the group differs for each upstream and does not depend on the other ones, so
        that the loss of an upstream moves no slots at the others.
        """
        left_to_idle = _left_to_idle(len(traffic.idle), slots, upstreams)
        if self._own in traffic.idle:
            group, shared = traffic.idle, left_to_idle
        else:
            group, shared = traffic.active or (self._own,), slots - left_to_idle
        each, extra = divmod(shared, len(group))
        return each + (self._own in rendezvous_order(upstream, group)[:extra])

    def rejections_per_s(self, per_s: int) -> float:
        """Return how many rejections a second this router may cause at an upstream."""
        traffic = self._traffic()
        if self._own in traffic.active:
            return USED_SHARE * per_s / len(traffic.active)
        return IDLE_USED_SHARE * per_s / max(1, len(traffic.idle))

    @property
    def max_hold_s(self) -> float:
        """Longest stop of this router after rejections."""
        return IDLE_MAX_HOLD_S if self._own in self._traffic().idle else MAX_HOLD_S

    def max_unanswered(self, per_s: int) -> int:
        """Return how many requests may be without an answer for less than `UNANSWERED_S`."""
        return max(1, int(self.rejections_per_s(per_s)))


def _left_to_idle(idle: int, slots: int, upstreams: int) -> int:
    """Return the slots of an upstream that are left to idle routers, enough for one each."""
    if not idle:
        return 0
    wanted = max(math.ceil(idle / upstreams), int(slots * IDLE_SLOT_SHARE))
    return min(wanted, math.ceil(slots * MAX_IDLE_SLOT_SHARE))
