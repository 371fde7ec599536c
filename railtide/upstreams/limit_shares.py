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
from railtide.membership.entrance_set import Visits

__all__ = ["LimitShares", "limit_routers"]

EXTRA_ROUTERS = 2
"""Routers that share an upstream beyond one for each request a second. More of them serve callers
of more routers where every upstream states a limit, and may send at the same moment."""
IDLE_SHARE = 0.1
"""Part of the rate that is left to the routers that callers have not come to."""
MAX_IDLE_INTERVAL_S = 2.0
"""They have none where it gives each of them less than a request in this time."""
PROBE_AFTER_S = 10.0
"""How long no answer has told of a limit when the first router without a part asks for itself."""
PROBE_STAGGER_S = 3.0
"""From one such router's turn to the next one's: its answer has come by then, and another router's
record that tells of it."""


def limit_routers(upstream: str, routers: Sequence[str], per_s: float) -> list[str]:
    """Return the routers that share what an upstream takes.

    Examples
    --------
    >>> len(limit_routers("e1", ["r1", "r2", "r3", "r4", "r5"], per_s=1.5))
    3
    """
    return rendezvous_order(upstream, routers)[: int(per_s) + EXTRA_ROUTERS]


class LimitShares:
    """One router's part of what upstreams with a limit are sent.

    Parameters
    ----------
    own : str
        Name of this router.
    visits : callable
        Returns which routers callers come to, as this one knows them.

    Examples
    --------
    >>> visits = Visits(("r1", "r2"), ("r3",))
    >>> LimitShares("r1", lambda: visits).interval_s("e1", per_s=4.0)
    0.5
    >>> other = LimitShares("r3", lambda: visits)
    >>> other.interval_s("e1", per_s=4.0), other.probe_after_s("e1", per_s=4.0)
    (inf, 10.0)
    >>> other.interval_s("e1", per_s=20.0)
    0.5
    """

    def __init__(self, own: str, visits: Callable[[], Visits]) -> None:
        self._own = own
        self._visits = visits
        self._known = Visits()
        self._pause_by_limit: dict[tuple[str, float], float] = {}

    def interval_s(self, upstream: str, per_s: float) -> float:
        """Return the time between two requests of this router; infinite if others send them."""
        visits = self._visits()
        if visits is not self._known:
            self._known = visits
            self._pause_by_limit.clear()
        limit = (upstream, per_s)
        pause = self._pause_by_limit.get(limit)
        if pause is None:
            pause = self._pause_by_limit[limit] = self._compute_interval_s(upstream, per_s)
        return pause

    def _compute_interval_s(self, upstream: str, per_s: float) -> float:
        visited, idle = self._known.visited, self._known.idle
        idle_interval_s = len(idle) / (IDLE_SHARE * per_s)
        has_idle_share = 0 < idle_interval_s <= MAX_IDLE_INTERVAL_S
        if self._own in idle:
            return idle_interval_s if has_idle_share else math.inf
        shared = (1 - IDLE_SHARE) * per_s if has_idle_share else per_s
        sharing = limit_routers(upstream, visited, per_s)
        return len(sharing) / shared if self._own in sharing else math.inf

    def probe_after_s(self, upstream: str, per_s: float) -> float:
        """Return for how long nothing is heard of a limit before this router asks for itself."""
        known = self._visits()
        sharing = set(limit_routers(upstream, known.visited, per_s))
        others = {*known.visited, *known.idle} - sharing | {self._own}
        return PROBE_AFTER_S + PROBE_STAGGER_S * rendezvous_order(upstream, sorted(others)).index(
            self._own
        )
