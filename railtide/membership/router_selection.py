"""Selects the routers to advertise to callers: as few as carry the load. Free of side effects.

Every router that callers use needs an allocation of each budget, so that it can serve during an
outage of the store, and units allocated to one router can't be spent through another. With few
routers, selected identically by all from the same records, less of each budget is allocated where
it is not used, and the other routers make few requests to the store.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from functools import lru_cache
from itertools import chain, zip_longest

import xxhash

from railtide.membership.addresses import RouterEndpoint

__all__ = ["Candidate", "RouterTraffic", "SelectionOptions", "router_traffic", "select_routers"]

ACTIVE_SHARE = 0.25
"""A router counts as used by callers above this share of the advertised routers' mean load."""
MAX_CACHED_NAMES = 4096
"""Names whose hash is cached; more than the routers of any planned fleet."""


@dataclass(frozen=True)
class Candidate:
    """A router that may be advertised to callers.

    Attributes
    ----------
    endpoint : RouterEndpoint
    capacity : float
        Requests a second that its instance can carry.
    load : float
        Requests a second that it received lately.
    outdated : bool
        Whether it knows of a newer configuration that it does not have.
    cut_off : bool
        Whether it reaches no upstream of some pool, though other routers do.
    proved : bool
        Whether a recent record proves it alive. A router that callers don't use writes seldom, so
        that it counts as alive for longer than that.
    """

    endpoint: RouterEndpoint
    capacity: float
    load: float
    outdated: bool = False
    cut_off: bool = False
    proved: bool = True


@dataclass(frozen=True)
class SelectionOptions:
    """How many routers are advertised.

    Attributes
    ----------
    min_routers : int
        Minimum, if that many are alive: two in different failure domains, so that one remains after
        the loss of the other. A third would split each account's traffic into smaller parts, whose
        demand in the next seconds is harder to predict (docs/MEASUREMENTS.md).
    max_utilization : float
        Share of the advertised routers' capacity that the load may take. Low, since a burst may
        double the load, and half of the routers may be lost before others are advertised.
    """

    min_routers: int = 2
    max_utilization: float = 0.25


@dataclass(frozen=True)
class RouterTraffic:
    """Which routers callers use.

    Attributes
    ----------
    active : tuple of str
        Names of the advertised routers, and of others with a comparable load: some callers keep an
        address for long.
    idle : tuple of str
        Names of all other live routers.
    """

    active: tuple[str, ...] = ()
    idle: tuple[str, ...] = ()


def router_traffic(
    candidates: Sequence[Candidate], advertised: Sequence[RouterEndpoint]
) -> RouterTraffic:
    """Return which of the live routers callers use, given the advertised ones.

    Examples
    --------
    >>> loads = {"a": 4.0, "b": 2.0, "c": 0.0}
    >>> made = [Candidate(RouterEndpoint(n, n, n), 10.0, load) for n, load in loads.items()]
    >>> router_traffic(made, [made[0].endpoint])
    RouterTraffic(active=('a', 'b'), idle=('c',))
    """
    names = {endpoint.name for endpoint in advertised}
    loads = [candidate.load for candidate in candidates if candidate.endpoint.name in names]
    min_load = ACTIVE_SHARE * sum(loads) / max(1, len(loads))
    active = [c.endpoint.name for c in candidates if c.endpoint.name in names or c.load > min_load]
    idle = [
        c.endpoint.name for c in candidates if c.endpoint.name not in names and c.load <= min_load
    ]
    return RouterTraffic(tuple(active), tuple(idle))


def select_routers(
    candidates: Sequence[Candidate], options: SelectionOptions
) -> list[RouterEndpoint]:
    """Return the routers to advertise: the largest of each failure domain in turn.

    Routers that are cut off from upstreams are selected if the others are too few or can't carry
    the load: they serve through other routers. Outdated ones follow; they serve everything except
    what the newer configuration adds. Routers that are not proved alive are selected only if none
    is: several may have been lost together.

    Notes
    -----
    Routers that see the same candidates select the same ones, and adding or removing a candidate
    affects only its own place. Candidates of equal capacity are ordered by a hash of their names,
    so that the names that sort first don't get all the load.

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
    for candidate in _in_order(candidates):
        if len(chosen) >= options.min_routers and capacity >= needed:
            break
        chosen.append(candidate.endpoint)
        capacity += candidate.capacity
    return chosen


def _in_order(candidates: Sequence[Candidate]) -> list[Candidate]:
    """Return the candidates in the order in which they are selected."""
    proved = [candidate for candidate in candidates if candidate.proved] or candidates
    current = [candidate for candidate in proved if not candidate.outdated]
    groups = (
        [candidate for candidate in current if not candidate.cut_off],
        [candidate for candidate in current if candidate.cut_off],
        [candidate for candidate in proved if candidate.outdated],
    )
    return list(chain.from_iterable(map(_by_domain_in_turn, groups)))


def _by_domain_in_turn(candidates: Sequence[Candidate]) -> list[Candidate]:
    """Return the candidates: the best of each failure domain first, then the second best ones."""
    ordered_by_domain: dict[str, list[Candidate]] = {}
    for candidate in sorted(candidates, key=_order):
        ordered_by_domain.setdefault(candidate.endpoint.failure_domain, []).append(candidate)
    rounds = zip_longest(*ordered_by_domain.values())
    return [candidate for each in rounds for candidate in each if candidate is not None]


def _order(candidate: Candidate) -> tuple[float, int]:
    return (-candidate.capacity, _rank_of(candidate.endpoint.name))


@lru_cache(maxsize=MAX_CACHED_NAMES)
def _rank_of(name: str) -> int:
    """Return the rank of a router among those of equal capacity."""
    return xxhash.xxh3_64_intdigest(name.encode())
