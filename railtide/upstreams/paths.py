"""How this router reaches each upstream: directly, through another router, or not at all. Pure.

A failed connection is a failure of the upstream or of the path to it. One router can't tell them
apart, but other routers' connections can: if they reach the upstream, the path has failed.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from heapq import nsmallest

from loguru import logger

from railtide.membership.instances import Instance

__all__ = ["PathState", "PathTable", "UpstreamPath"]


class PathState(StrEnum):
    """How a router reaches an upstream.

    Attributes
    ----------
    DIRECT
        Over its own connections, as far as is known.
    SUSPECT
        A connection failed, or may fail; it is being checked.
    FORWARDED
        Its own connections fail, and those of another router succeed.
    UNREACHABLE
        Neither its own connections nor those of the routers that it asked succeed.
    """

    DIRECT = "direct"
    SUSPECT = "suspect"
    FORWARDED = "forwarded"
    UNREACHABLE = "unreachable"


FAILED_STATES = frozenset({PathState.FORWARDED, PathState.UNREACHABLE})


@dataclass
class UpstreamPath:
    """The path from this router to one incarnation of an upstream.

    Attributes
    ----------
    failed_at : float
        Trio time at which its own connections began to fail.
    refused : bool
        Whether another router found that nothing listens at the address.
    checked_at, asked_at : float
        Trio times at which the latest check began, and other routers were asked last.
    verified : set of str
        Names of the routers that reached it in the latest check.
    """

    instance: Instance
    state: PathState = PathState.DIRECT
    failed_at: float = math.inf
    refused: bool = False
    checked_at: float = -math.inf
    asked_at: float = -math.inf
    verified: set[str] = field(default_factory=set)


class PathTable:
    """Holds the paths to all upstreams, and logs each change.

    Attributes
    ----------
    unreachable_pools : set of str
        Pools of which no upstream was reached directly when `log_pools` was called last.

    Examples
    --------
    >>> table = PathTable()
    >>> upstream = Instance("e1", "e1/7", "10.0.0.1:80", "z", "engine", pool="menu")
    >>> table.set_state(upstream, PathState.FORWARDED, 1.0, "timeout")
    True
    >>> table.state_of(upstream).value, table.cut_off_pools([upstream])
    ('forwarded', {'menu'})
    """

    def __init__(self) -> None:
        self._by_incarnation: dict[str, UpstreamPath] = {}
        self._failed: dict[str, UpstreamPath] = {}
        self.unreachable_pools: set[str] = set()

    def path_to(self, upstream: Instance) -> UpstreamPath:
        """Return the path to an upstream, a new one if none is known."""
        path = self._by_incarnation.get(upstream.incarnation)
        if path is None:
            path = self._by_incarnation[upstream.incarnation] = UpstreamPath(upstream)
        return path

    def knows(self, path: UpstreamPath) -> bool:
        """Return whether a path is still that to its upstream, which was not forgotten."""
        return self._by_incarnation.get(path.instance.incarnation) is path

    def is_refused(self, upstream: Instance) -> bool:
        """Return whether nothing listens at the address of an unreachable upstream."""
        path = self._by_incarnation.get(upstream.incarnation)
        return path is not None and path.refused

    def verified_by(self, upstream: Instance) -> frozenset[str]:
        """Return the names of the routers that reached an upstream in the latest check."""
        path = self._by_incarnation.get(upstream.incarnation)
        return frozenset(path.verified) if path else frozenset()

    def state_of(self, upstream: Instance) -> PathState:
        """Return how an upstream is reached, without recording it."""
        path = self._by_incarnation.get(upstream.incarnation)
        return path.state if path else PathState.DIRECT

    def set_state(self, upstream: Instance, state: PathState, now: float, reason: str = "") -> bool:
        """Set how an upstream is reached; return whether that changed."""
        path = self.path_to(upstream)
        if path.state is state:
            return False
        before, path.state = path.state, state
        if state is PathState.DIRECT:
            self._failed.pop(upstream.incarnation, None)
        else:
            self._failed[upstream.incarnation] = path
            path.failed_at = min(path.failed_at, now)
        self._log_change(path, before, now, reason)
        if state is PathState.DIRECT:
            path.failed_at, path.refused = math.inf, False
        return True

    @staticmethod
    def _log_change(path: UpstreamPath, before: PathState, now: float, reason: str) -> None:
        """Log a change, unless a check is only beginning or found nothing wrong."""
        log = logger.bind(upstream=path.instance.name, incarnation=path.instance.incarnation)
        if path.state in FAILED_STATES:
            log.bind(pool=path.instance.pool, path=path.state.value, reason=reason).info(
                "upstream-unreachable"
            )
        elif path.state is PathState.DIRECT and before in FAILED_STATES:
            log.bind(lasted_s=round(now - path.failed_at, 3)).info("upstream-reached")

    def forget(self, upstream: Instance) -> None:
        """Forget an incarnation that is no longer listed."""
        self._by_incarnation.pop(upstream.incarnation, None)
        self._failed.pop(upstream.incarnation, None)

    @property
    def has_failed(self) -> bool:
        """Whether any path is not direct."""
        return bool(self._failed)

    def failed(self, count: int) -> list[UpstreamPath]:
        """Return some paths that are not direct, those not checked for longest first."""
        return nsmallest(count, self._failed.values(), key=lambda path: path.checked_at)

    def unreachable_by_pool(self, listed: Iterable[Instance]) -> dict[str, int]:
        """Return how many of the listed upstreams of each pool are not reached directly."""
        counts: dict[str, int] = {}
        for upstream in listed:
            is_failed = upstream.incarnation in self._failed
            counts[upstream.pool] = counts.get(upstream.pool, 0) + is_failed
        return counts

    def cut_off_pools(self, listed: Iterable[Instance]) -> set[str]:
        """Return the pools none of whose upstreams this router reaches, though others reach some.

        If no router reaches them, the upstreams have failed and not the paths.
        """
        states_by_pool = self._states_by_pool(listed) if self._failed else {}
        return {
            pool
            for pool, states in states_by_pool.items()
            if PathState.FORWARDED in states and PathState.DIRECT not in states
        }

    def _states_by_pool(self, listed: Iterable[Instance]) -> dict[str, set[PathState]]:
        states_by_pool: dict[str, set[PathState]] = {}
        for upstream in listed:
            states_by_pool.setdefault(upstream.pool, set()).add(self.state_of(upstream))
        return states_by_pool

    def log_pools(self, listed: list[Instance]) -> None:
        """Log each pool of which this router begins or ceases to reach no upstream directly."""
        states_by_pool = self._states_by_pool(listed)
        unreachable = {pool for pool, states in states_by_pool.items() if states <= FAILED_STATES}
        for pool in sorted(unreachable - self.unreachable_pools):
            cut_off = PathState.FORWARDED in states_by_pool[pool]
            logger.bind(pool=pool, cut_off=cut_off).info("pool-unreachable")
        for pool in sorted(self.unreachable_pools - unreachable):
            logger.bind(pool=pool).info("pool-reached")
        self.unreachable_pools = unreachable
