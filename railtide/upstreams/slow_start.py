"""Slow start: bounds the rate of all routers at an upstream that has just started. Pure.

A cold upstream can serve a few requests per second and crashes under many more. Routers don't
coordinate for it: each computes, from the routers that callers are sent to, which of them may send
to the upstream and how often. Only a few routers share one upstream, so that the bound holds even
if all of them send within the same second. Each of them keeps a minimum interval between its
requests, without bursts after idle time. The other routers send nothing while it is cold.

A cold upstream still gets requests, because it serves them and they fill its cache.

Notes
-----
While routers join and leave, two routers may compute different sets of routers that share an
upstream. Each router of both sets keeps its interval, so at most twice the bound is sent for as
long as their views differ.
"""

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from railtide.membership.addresses import rendezvous_order

__all__ = ["SlowStart", "SlowStartShares", "interval_s", "slow_start_routers"]

INTERVAL_MARGIN = 1.01
"""Requests may arrive slightly closer to one another than they were sent."""


@dataclass(frozen=True)
class SlowStart:
    """Rate that the upstreams of a pool can serve while they are cold.

    Attributes
    ----------
    per_s : float
        Requests per second of all routers together; 0 for no bound.
    for_s : float
        Seconds after its start for which an upstream is cold.
    """

    per_s: float = 0.0
    for_s: float = 0.0


def slow_start_routers(upstream: str, routers: Sequence[str], per_s: float) -> list[str]:
    """Return the routers that may send to a cold upstream, at most one per request per second.

    Examples
    --------
    >>> len(slow_start_routers("e1", ["r1", "r2", "r3", "r4", "r5"], per_s=3.5))
    3
    >>> first = slow_start_routers("e1", ["r1", "r2"], per_s=3.5)
    >>> first == slow_start_routers("e1", ["r2", "r1"], per_s=3.5)
    True
    """
    return rendezvous_order(upstream, routers)[: max(1, int(per_s))]


def interval_s(routers: int, per_s: float) -> float:
    """Return the minimum seconds between two requests of one router to a cold upstream.

    Examples
    --------
    >>> [round(interval_s(routers, per_s=7.7), 2) for routers in (1, 3, 7)]
    [0.14, 0.51, 1.01]
    >>> round(interval_s(1, per_s=0.5), 2)
    2.02
    """
    if per_s < 1:
        return INTERVAL_MARGIN / per_s
    return INTERVAL_MARGIN / max(1, int(per_s / routers))


class SlowStartShares:
    """One router's share of the rate of cold upstreams.

    Parameters
    ----------
    own : str
        Name of this router.
    routers : callable
        Returns the names of the routers that callers are sent to, as this router knows them.

    Examples
    --------
    >>> shares = SlowStartShares("r1", lambda: ["r1", "r2"])
    >>> round(shares.interval_s("e1", per_s=8.0), 2)
    0.25
    >>> SlowStartShares("r3", lambda: ["r1", "r2"]).interval_s("e1", per_s=8.0)
    inf
    """

    def __init__(self, own: str, routers: Callable[[], Sequence[str]]) -> None:
        self._own = own
        self._routers = routers
        self._known_routers: Sequence[str] = ()
        self._interval_by_upstream: dict[str, float] = {}

    def interval_s(self, upstream: str, per_s: float) -> float:
        """Return the minimum seconds between this router's requests; infinite without a share."""
        routers = self._routers()
        if routers != self._known_routers:
            self._known_routers = routers
            self._interval_by_upstream.clear()
        interval = self._interval_by_upstream.get(upstream)
        if interval is None:
            interval = self._interval_by_upstream[upstream] = self._compute_interval_s(
                upstream, per_s
            )
        return interval

    def _compute_interval_s(self, upstream: str, per_s: float) -> float:
        sharing = slow_start_routers(upstream, self._known_routers, per_s)
        return interval_s(len(sharing), per_s) if self._own in sharing else math.inf
