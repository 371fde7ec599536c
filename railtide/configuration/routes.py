"""Routes: which requests go to which pool, and within which limits. No I/O."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

from railtide.membership.addresses import weighted_choice
from railtide.upstreams.slow_start import SlowStart

__all__ = ["PoolSettings", "Route", "RouteTable", "PoolShare", "choose_pool"]


@dataclass(frozen=True)
class PoolShare:
    """A pool and its weight in a route."""

    pool: str
    weight: float


@dataclass(frozen=True)
class Route:
    """A route from a host and path prefix to pools.

    Attributes
    ----------
    name, host, prefix : str
        The prefix begins and ends with a slash.
    shares : tuple of PoolShare
        Pools with their weights.
    repeatable : bool
        Whether a request may run more than once.
    stream, resumable : bool
        Whether answers are event streams, and whether these may be resumed at another upstream.
    timeout_s, goal_s : float
        Longest time that a caller waits, and the latency goal up to which an answer has its full
        value.
    priority : int
        0 is most urgent.
    attempts : int
        Most upstreams to which one request may be sent.
    public : bool
        Whether requests need no API key.
    pause_goal_s : float
        Longest pause between events up to which a stream has its full value; 0 for no goal.
    serves_models : bool
        Whether requests are for models, whose tokens are billed.
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
    serves_models: bool = False


@dataclass(frozen=True)
class PoolSettings:
    """Configuration of a pool's upstreams.

    Attributes
    ----------
    connections : int
        Most connections that one upstream accepts from all routers together.
    tokens_per_event : int
        Most output tokens in one event of a stream.
    slow_start : SlowStart
        Request limits of an upstream after its start.
    """

    name: str
    connections: int = 64
    tokens_per_event: int = 1
    slow_start: SlowStart = SlowStart()


@dataclass
class RouteTable:
    """Routes by host in lower case, the longest prefix first."""

    by_host: dict[str, list[Route]] = field(default_factory=dict)

    @classmethod
    def of(cls, routes: Sequence[Route]) -> "RouteTable":
        """Build a table from routes."""
        table = cls()
        for route in sorted(routes, key=lambda r: len(r.prefix), reverse=True):
            table.by_host.setdefault(route.host.lower(), []).append(route)
        return table

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path, None if there is none.

        Hosts are compared without regard to case (RFC 9110, section 4.2.3).

        Examples
        --------
        >>> table = RouteTable()
        >>> table.match("a", "/x/") is None
        True
        """
        for route in self.by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None


def choose_pool(route: Route, rng: Random, stream: str = "") -> str:
    """Draw a pool of the route at random, by weight; for the attempts of a stream always the same.

    Examples
    --------
    >>> shares = (PoolShare("old", 50.0), PoolShare("new", 50.0))
    >>> route = Route("r", "a", "/", shares, True, True, True, 1.0, 1.0, 0, 1, False)
    >>> len({choose_pool(route, Random(seed), "r1") for seed in range(20)})
    1
    """
    if len(route.shares) == 1:
        return route.shares[0].pool
    weights = {share.pool: share.weight for share in route.shares if share.weight > 0}
    if stream and weights:
        return weighted_choice(stream, weights)
    return rng.choices(route.shares, [share.weight for share in route.shares])[0].pool
