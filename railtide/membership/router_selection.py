"""Which routers of the fleet callers are sent to: as few as carry the load. Pure.

Every router that callers use needs a part of each budget in its hand, so that it can serve while
the store is away. What lies in one hand can't be spent through another. A few routers, chosen alike
by all from the same records, leave less of each budget unused in the wrong hands, and the others
need to ask the store for little.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from functools import lru_cache
from itertools import zip_longest

import xxhash

from railtide.membership.addresses import RouterEndpoint

__all__ = ["Candidate", "RouterTraffic", "SelectionOptions", "router_traffic", "select_routers"]

VISITED_SHARE = 0.25
"""Part of what named routers are asked from which on callers count as coming to one."""
MOST_NAMES = 4096
"""Names whose place is kept: more than the routers of any fleet that is planned for."""


@dataclass(frozen=True)
class Candidate:
    """A router that could be named to callers.

    Attributes
    ----------
    endpoint : RouterEndpoint
    capacity : float
        Requests a second that its instance can carry.
    load : float
        Requests a second that it was asked lately.
    outdated : bool
        Whether it knows of a newer configuration and does not have it.
    """

    endpoint: RouterEndpoint
    capacity: float
    load: float
    outdated: bool = False


@dataclass(frozen=True)
class SelectionOptions:
    """How many routers are named.

    Attributes
    ----------
    min_routers : int
        Fewest, while that many live: two in different failure domains, so that the loss of one
        leaves one. A third splits each account's traffic into smaller parts, whose sums in the
        next seconds are told less surely (docs/MEASUREMENTS.md).
    max_utilization : float
        Part of the capacity of those named that the load may take. Low, since a burst doubles the
        load and half of them may be lost before others are named.
    """

    min_routers: int = 2
    max_utilization: float = 0.25


@dataclass(frozen=True)
class RouterTraffic:
    """Which routers callers come to.

    Attributes
    ----------
    active : tuple of str
        Names of the routers that callers are sent to, and of those that are asked as much: some
        callers keep an address for long.
    idle : tuple of str
        Names of all others that live.
    """

    active: tuple[str, ...] = ()
    idle: tuple[str, ...] = ()


def router_traffic(
    candidates: Sequence[Candidate], named: Sequence[RouterEndpoint]
) -> RouterTraffic:
    """Return which of the routers that live callers come to, given those that are named to them.

    Examples
    --------
    >>> loads = {"a": 4.0, "b": 2.0, "c": 0.0}
    >>> made = [Candidate(RouterEndpoint(n, n, n), 10.0, load) for n, load in loads.items()]
    >>> router_traffic(made, [made[0].endpoint])
    RouterTraffic(active=('a', 'b'), idle=('c',))
    """
    names = {endpoint.name for endpoint in named}
    loads = [candidate.load for candidate in candidates if candidate.endpoint.name in names]
    least = VISITED_SHARE * sum(loads) / max(1, len(loads))
    active = [c.endpoint.name for c in candidates if c.endpoint.name in names or c.load > least]
    idle = [c.endpoint.name for c in candidates if c.endpoint.name not in names and c.load <= least]
    return RouterTraffic(tuple(active), tuple(idle))


def select_routers(
    candidates: Sequence[Candidate], options: SelectionOptions
) -> list[RouterEndpoint]:
    """Return the routers to advertise: the largest of each failure domain in turn.

    Those that are behind are named where the current ones are too few or don't carry the load: they
    serve all but what is new.

    Notes
    -----
    Routers that see the same candidates choose the same ones, and a candidate that comes or goes
    moves only its own place. Equal ones are in the order of a hash, so that each account of a
    larger fleet does not lean on the names that sort first.

    Examples
    --------
    >>> made = [Candidate(RouterEndpoint(n, n, n[0]), 10.0, 1.0) for n in ("a1", "a2", "b1", "b2")]
    >>> chosen = select_routers(made, SelectionOptions(min_routers=2, max_utilization=0.5))
    >>> len(chosen), {endpoint.failure_domain for endpoint in chosen} == {"a", "b"}
    (2, True)
    """
    needed = sum(candidate.load for candidate in candidates) / options.max_utilization
    chosen: list[RouterEndpoint] = []
    capacity = 0.0
    current = [candidate for candidate in candidates if not candidate.outdated]
    outdated = [candidate for candidate in candidates if candidate.outdated]
    for candidate in _by_domain_in_turn(current) + _by_domain_in_turn(outdated):
        if len(chosen) >= options.min_routers and capacity >= needed:
            break
        chosen.append(candidate.endpoint)
        capacity += candidate.capacity
    return chosen


def _by_domain_in_turn(candidates: Sequence[Candidate]) -> list[Candidate]:
    """Return the candidates, the best of each failure domain first, then the second ones."""
    ordered_by_domain: dict[str, list[Candidate]] = {}
    for candidate in sorted(candidates, key=_order):
        ordered_by_domain.setdefault(candidate.endpoint.failure_domain, []).append(candidate)
    rounds = zip_longest(*ordered_by_domain.values())
    return [candidate for each in rounds for candidate in each if candidate is not None]


def _order(candidate: Candidate) -> tuple[float, int]:
    return (-candidate.capacity, _place_of(candidate.endpoint.name))


@lru_cache(maxsize=MOST_NAMES)
def _place_of(name: str) -> int:
    """Return a router's place among equal ones."""
    return xxhash.xxh3_64_intdigest(name.encode())
