"""Whether this router's connections reach each upstream, as its latest attempts showed.

Each failure of an attempt is a failure of the upstream or of the path to it. What one router sees
can't tell them apart, but it can tell one unreachable upstream from a whole pool of them.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from loguru import logger

from railtide.membership.instances import Instance

__all__ = ["PathTable", "UpstreamPath"]


@dataclass
class UpstreamPath:
    """The path from this router to one incarnation of an upstream.

    Attributes
    ----------
    reached : bool
        Whether the latest connection succeeded; True before the first one.
    changed_at : float
        Trio time of the latest change.
    """

    instance: Instance
    reached: bool = True
    changed_at: float = -math.inf


class PathTable:
    """Records which upstreams this router reaches, and logs each change.

    Examples
    --------
    >>> table = PathTable()
    >>> upstream = Instance("e1", "e1/7", "10.0.0.1:80", "z", "engine", pool="menu")
    >>> table.note_failed(upstream, "timeout", now=1.0)
    >>> table.unreachable_by_pool([upstream])
    {'menu': 1}
    """

    def __init__(self) -> None:
        self._by_incarnation: dict[str, UpstreamPath] = {}
        self._unreachable_pools: set[str] = set()
        self._failures = 0

    def note_reached(self, upstream: Instance, now: float) -> None:
        """Record that a connection to an upstream was made, or that it sent something."""
        path = self._by_incarnation.get(upstream.incarnation)
        if path is None or path.reached:
            return
        lasted_s = round(now - path.changed_at, 3)
        path.reached, path.changed_at = True, now
        self._failures -= 1
        logger.bind(
            upstream=upstream.name, incarnation=upstream.incarnation, lasted_s=lasted_s
        ).info("upstream-reached")

    def note_failed(self, upstream: Instance, reason: str, now: float) -> None:
        """Record that no connection to an upstream could be made."""
        path = self._by_incarnation.setdefault(upstream.incarnation, UpstreamPath(upstream))
        if not path.reached:
            return
        path.reached, path.changed_at = False, now
        self._failures += 1
        logger.bind(
            upstream=upstream.name,
            incarnation=upstream.incarnation,
            pool=upstream.pool,
            reason=reason,
        ).info("upstream-unreachable")

    def forget(self, upstream: Instance) -> None:
        """Forget an incarnation that is no longer listed."""
        path = self._by_incarnation.pop(upstream.incarnation, None)
        self._failures -= path is not None and not path.reached

    def is_reached(self, upstream: Instance) -> bool:
        """Return whether the latest connection to an upstream succeeded."""
        path = self._by_incarnation.get(upstream.incarnation)
        return path is None or path.reached

    def unreachable_by_pool(self, listed: Iterable[Instance]) -> dict[str, int]:
        """Return how many of the listed upstreams of each pool are unreachable."""
        counts: dict[str, int] = {}
        for upstream in listed:
            counts.setdefault(upstream.pool, 0)
            counts[upstream.pool] += not self.is_reached(upstream)
        return counts

    def log_pools(self, listed: list[Instance]) -> None:
        """Log each pool of which this router begins or ceases to reach no upstream."""
        if not self._failures and not self._unreachable_pools:
            return
        unreachable = self.unreachable_by_pool(listed)
        sizes = {pool: sum(1 for u in listed if u.pool == pool) for pool in unreachable}
        now_unreachable = {pool for pool, count in unreachable.items() if count == sizes[pool]}
        for pool in sorted(now_unreachable - self._unreachable_pools):
            logger.bind(pool=pool, upstreams=sizes[pool]).info("pool-unreachable")
        for pool in sorted(self._unreachable_pools - now_unreachable):
            logger.bind(pool=pool, upstreams=sizes.get(pool, 0)).info("pool-reached")
        self._unreachable_pools = now_unreachable
