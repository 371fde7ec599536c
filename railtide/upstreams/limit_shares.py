"""How routers share the rate limit that an upstream advertises, without coordination. Pure.

Of the routers that callers use, a few share the limit equally; all routers compute the same ones.
Each keeps a minimum interval between its requests, without bursts after idle time, so that
together they exceed the limit by at most one request each. They learn from their own answers that
the limit has ended. Of a high limit, idle routers get a small share too. All other routers send
nothing. If no answer has mentioned the limit for a while, they probe the upstream with a request
of their own, one router after the other, so that an upstream is not abandoned if the routers that
share its limit have no requests for it.
"""

import math
from collections.abc import Callable, Sequence

from railtide.membership.addresses import rendezvous_order
from railtide.membership.router_selection import RouterTraffic

__all__ = ["LimitShares", "limit_routers"]

EXTRA_ROUTERS = 2
"""Routers that share an upstream in addition to one per request per second of its limit. With more
of them, more routers can serve callers when all upstreams advertise limits, but more of them may
send at the same moment."""
IDLE_SHARE = 0.1
"""Share of the limit that is left to idle routers, which callers don't use yet."""
MAX_IDLE_INTERVAL_S = 2.0
"""Idle routers get no share if each could send less than one request in this time."""
PROBE_AFTER_S = 10.0
"""Time without an answer about the limit after which the first router without a share probes."""
PROBE_STAGGER_S = 3.0
"""Time between the probes of two such routers: by then the answer to the first probe has come, and
other routers have read of it in that router's record."""


def limit_routers(upstream: str, routers: Sequence[str], per_s: float) -> list[str]:
    """Return the routers that share an upstream's limit.

    Examples
    --------
    >>> len(limit_routers("e1", ["r1", "r2", "r3", "r4", "r5"], per_s=1.5))
    3
    """
    return rendezvous_order(upstream, routers)[: int(per_s) + EXTRA_ROUTERS]


class LimitShares:
    """One router's shares of the limits that upstreams advertise.

    Parameters
    ----------
    own : str
        Name of this router.
    traffic : callable
        Returns which routers callers use, as this router knows them.

    Examples
    --------
    >>> traffic = RouterTraffic(("r1", "r2"), ("r3",))
    >>> LimitShares("r1", lambda: traffic).interval_s("e1", per_s=4.0)
    0.5
    >>> other = LimitShares("r3", lambda: traffic)
    >>> other.interval_s("e1", per_s=4.0), other.probe_after_s("e1", per_s=4.0)
    (inf, 10.0)
    >>> other.interval_s("e1", per_s=20.0)
    0.5
    """

    def __init__(self, own: str, traffic: Callable[[], RouterTraffic]) -> None:
        self._own = own
        self._traffic = traffic
        self._known_traffic = RouterTraffic()
        self._interval_by_limit: dict[tuple[str, float], float] = {}

    def interval_s(self, upstream: str, per_s: float) -> float:
        """Return the minimum seconds between this router's requests; infinite without a share."""
        traffic = self._traffic()
        if traffic is not self._known_traffic:
            self._known_traffic = traffic
            self._interval_by_limit.clear()
        limit = (upstream, per_s)
        interval = self._interval_by_limit.get(limit)
        if interval is None:
            interval = self._interval_by_limit[limit] = self._compute_interval_s(upstream, per_s)
        return interval

    def _compute_interval_s(self, upstream: str, per_s: float) -> float:
        active, idle = self._known_traffic.active, self._known_traffic.idle
        idle_interval_s = len(idle) / (IDLE_SHARE * per_s)
        has_idle_share = 0 < idle_interval_s <= MAX_IDLE_INTERVAL_S
        if self._own in idle:
            return idle_interval_s if has_idle_share else math.inf
        shared = (1 - IDLE_SHARE) * per_s if has_idle_share else per_s
        sharing = limit_routers(upstream, active, per_s)
        return len(sharing) / shared if self._own in sharing else math.inf

    def probe_after_s(self, upstream: str, per_s: float) -> float:
        """Return after how many seconds without an answer about a limit this router probes."""
        known = self._traffic()
        sharing = set(limit_routers(upstream, known.active, per_s))
        others = {*known.active, *known.idle} - sharing | {self._own}
        return PROBE_AFTER_S + PROBE_STAGGER_S * rendezvous_order(upstream, sorted(others)).index(
            self._own
        )
