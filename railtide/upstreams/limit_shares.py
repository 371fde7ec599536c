"""How routers share the rate that an upstream states, without asking one another. Pure.

Of the routers that callers come to, a few share it in equal parts; all routers work out the same
ones. Each sends at a pace and saves nothing up, so that all of them together stay within the rate
but for one request each. They hear of the limit's end from their own answers. Of a high rate the
routers that nobody has come to yet have a small part too. All others send nothing. When no answer
has told of the limit for long they ask for themselves, one after the other, so that an upstream is
not given up where those that share it have no work for it.
"""

import math
from collections.abc import Callable, Sequence

from railtide.membership.addresses import rendezvous_order
from railtide.membership.router_selection import RouterTraffic

__all__ = ["LimitShares", "routers_sharing"]

EXTRA_ROUTERS = 2
"""Routers that share an upstream beyond one for each request a second. More of them serve callers
of more routers where every upstream states a limit, and may send at the same moment."""
IDLE_SHARE = 0.1
"""Part of the rate that is left to the routers that callers have not come to."""
MOST_IDLE_PAUSE_S = 2.0
"""They have none where it gives each of them less than a request in this time."""
QUIET_S = 10.0
"""How long no answer has told of a limit when the first router without a part asks for itself."""
TURN_S = 3.0
"""From one such router's turn to the next one's: its answer has come by then, and another router's
record that tells of it."""


def routers_sharing(upstream: str, routers: Sequence[str], per_s: float) -> list[str]:
    """Return the routers that share what an upstream takes.

    Examples
    --------
    >>> len(routers_sharing("e1", ["r1", "r2", "r3", "r4", "r5"], per_s=1.5))
    3
    """
    return rendezvous_order(upstream, routers)[: int(per_s) + EXTRA_ROUTERS]


class LimitShares:
    """One router's part of what upstreams with a limit are sent.

    Parameters
    ----------
    own : str
        Name of this router.
    traffic : callable
        Returns which routers callers come to, as this one knows them.

    Examples
    --------
    >>> traffic = RouterTraffic(("r1", "r2"), ("r3",))
    >>> LimitShares("r1", lambda: traffic).pause_s("e1", per_s=4.0)
    0.5
    >>> other = LimitShares("r3", lambda: traffic)
    >>> other.pause_s("e1", per_s=4.0), other.patience_s("e1", per_s=4.0)
    (inf, 10.0)
    >>> other.pause_s("e1", per_s=20.0)
    0.5
    """

    def __init__(self, own: str, traffic: Callable[[], RouterTraffic]) -> None:
        self._own = own
        self._traffic = traffic
        self._known = RouterTraffic()
        self._pause_by_limit: dict[tuple[str, float], float] = {}

    def pause_s(self, upstream: str, per_s: float) -> float:
        """Return the time between two requests of this router; infinite if others send them."""
        traffic = self._traffic()
        if traffic is not self._known:
            self._known = traffic
            self._pause_by_limit.clear()
        limit = (upstream, per_s)
        pause = self._pause_by_limit.get(limit)
        if pause is None:
            pause = self._pause_by_limit[limit] = self._new_pause_s(upstream, per_s)
        return pause

    def _new_pause_s(self, upstream: str, per_s: float) -> float:
        active, idle = self._known.active, self._known.idle
        idle_pause_s = len(idle) / (IDLE_SHARE * per_s)
        has_idle_part = 0 < idle_pause_s <= MOST_IDLE_PAUSE_S
        if self._own in idle:
            return idle_pause_s if has_idle_part else math.inf
        shared = (1 - IDLE_SHARE) * per_s if has_idle_part else per_s
        sharing = routers_sharing(upstream, active, per_s)
        return len(sharing) / shared if self._own in sharing else math.inf

    def patience_s(self, upstream: str, per_s: float) -> float:
        """Return for how long nothing is heard of a limit before this router asks for itself."""
        known = self._traffic()
        sharing = set(routers_sharing(upstream, known.active, per_s))
        others = {*known.active, *known.idle} - sharing | {self._own}
        return QUIET_S + TURN_S * rendezvous_order(upstream, sorted(others)).index(self._own)
