"""How routers share the rate that an upstream states, without asking one another. Pure.

Of the routers that callers are sent to, a few share it in equal parts; all routers work out the
same ones. Each sends at a pace and saves nothing up, so that all of them together stay within the
rate but for one request each. They hear of the limit's end from their own answers. The others send
nothing. When no answer has told of the limit for long they ask for themselves, one after the other,
so that an upstream is not given up where those that share it have no work for it.
"""

import math
from collections.abc import Callable, Sequence

from railtide.membership.addresses import rendezvous_order

__all__ = ["LimitShares", "routers_sharing"]

EXTRA_ROUTERS = 2
"""Routers that share an upstream beyond one for each request a second. More of them serve callers
of more routers where every upstream states a limit, and may send at the same moment."""
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
    named : callable
        Returns the names of the routers that callers are sent to, as this one knows them.
    live : callable
        Returns the names of all routers that live.

    Examples
    --------
    >>> shares = LimitShares("r1", lambda: ["r1", "r2"], lambda: ["r1", "r2", "r3"])
    >>> shares.pause_s("e1", per_s=4.0)
    0.5
    >>> other = LimitShares("r3", lambda: ["r1", "r2"], lambda: ["r1", "r2", "r3"])
    >>> other.pause_s("e1", per_s=4.0), other.patience_s("e1", per_s=4.0)
    (inf, 10.0)
    """

    def __init__(
        self,
        own: str,
        named: Callable[[], Sequence[str]],
        live: Callable[[], Sequence[str]],
    ) -> None:
        self._own = own
        self._named = named
        self._live = live
        self._known: Sequence[str] = ()
        self._pause_by_limit: dict[tuple[str, float], float] = {}

    def pause_s(self, upstream: str, per_s: float) -> float:
        """Return the time between two requests of this router; infinite if others send them."""
        named = self._named()
        if named != self._known:
            self._known = named
            self._pause_by_limit.clear()
        limit = (upstream, per_s)
        pause = self._pause_by_limit.get(limit)
        if pause is None:
            pause = self._pause_by_limit[limit] = self._new_pause_s(upstream, per_s)
        return pause

    def _new_pause_s(self, upstream: str, per_s: float) -> float:
        sharing = routers_sharing(upstream, self._known, per_s)
        return len(sharing) / per_s if self._own in sharing else math.inf

    def patience_s(self, upstream: str, per_s: float) -> float:
        """Return for how long nothing is heard of a limit before this router asks for itself."""
        sharing = set(routers_sharing(upstream, self._named(), per_s))
        others = {*self._live(), self._own} - sharing
        return QUIET_S + TURN_S * rendezvous_order(upstream, sorted(others)).index(self._own)
