"""Routes: which requests go to which pool, and within which bounds. Pure."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

from railtide.upstreams.slow_start import SlowStart

__all__ = ["PoolSettings", "Route", "RouteTable", "PoolShare", "choose_pool"]


@dataclass(frozen=True)
class PoolShare:
    """A pool and its part of a route's requests."""

    pool: str
    weight: float


@dataclass(frozen=True)
class Route:
    """A route.

    Attributes
    ----------
    name, host, prefix : str
        The prefix begins and ends with a slash.
    shares : tuple of PoolShare
        Pools, by weight.
    repeatable : bool
        Whether a request may run more than once.
    stream, resumable : bool
        Whether answers are streams of events, and may go on at another upstream.
    timeout_s, goal_s : float
        Longest time that a caller is kept waiting, and within which an answer is worth most.
    pause_goal_s : float
        Longest pause between events with which a stream is worth most; 0 for none.
    priority : int
        0 is the most urgent.
    attempts : int
        Most upstreams that one request may be sent to.
    public : bool
        Whether requests need no API key.
    """

    name: str
    host: str
    prefix: str
    shares: tuple[PoolShare, ...]
    repeatable: bool
    stream: bool
    resumable: bool
    timeout_s: float
    goal_s: float
    priority: int
    attempts: int
    public: bool
    pause_goal_s: float = 0.0


@dataclass(frozen=True)
class PoolSettings:
    """What is configured of a pool's upstreams.

    Attributes
    ----------
    connections : int
        Most connections that one upstream takes from all routers.
    tokens_per_event : int
        Output tokens that one event of a stream holds at most.
    slow_start : SlowStart
        What an upstream bears after its start.
    """

    name: str
    connections: int = 64
    tokens_per_event: int = 1
    slow_start: SlowStart = SlowStart()


@dataclass
class RouteTable:
    """Routes by host, the longest prefix first."""

    by_host: dict[str, list[Route]] = field(default_factory=dict)

    @classmethod
    def of(cls, routes: Sequence[Route]) -> "RouteTable":
        """Return the table of some routes."""
        table = cls()
        for route in sorted(routes, key=lambda r: len(r.prefix), reverse=True):
            table.by_host.setdefault(route.host, []).append(route)
        return table

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path.

        Examples
        --------
        >>> table = RouteTable()
        >>> table.match("a", "/x/") is None
        True
        """
        for route in self.by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def choose_pool(route: Route, rng: Random) -> str:
    """Return a pool of the route, drawn by weight."""
    if len(route.shares) == 1:
        return route.shares[0].pool
    weights = [share.weight for share in route.shares]
    return rng.choices(route.shares, weights)[0].pool
