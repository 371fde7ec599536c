"""Shares of the process's descriptors, so that one use of sockets leaves room for the others."""

from collections.abc import Callable
from dataclasses import dataclass, field, fields

__all__ = ["DescriptorShare", "DescriptorShares", "shares_of", "unlimited"]

FILES = 200
"""Descriptors that are not for sockets and pipes: the platform reserves them for files."""
OWN = 16
"""Listening sockets, standard streams and the event loop, and connections that are just refused."""
STORE = 64
"""The store's client holds a few connections that wait for records, and hedges."""
STATUS = 128
"""Readiness probes, lookups of routers' addresses, and readers of metrics."""
UPSTREAM_PART = 8
"""One in so many of the sockets is for connections to upstreams, and to routers in their place."""
PEER_PART = 16
"""One in so many of the sockets is for connections from other routers."""
MIN_SHARE = 8
CROWDED_SHARE = 0.95
"""Part of a share from which on its holders should give connections back."""


@dataclass
class DescriptorShare:
    """Connections that one use may hold.

    Attributes
    ----------
    limit : float
        Most connections at a time.
    held : int
        Connections held now.
    refused : int
        Connections that were not made or accepted for want of a descriptor.
    reclaimers : list of callable
        Called when the share is used up; each closes connections that are idle.

    Examples
    --------
    >>> share = DescriptorShare(1)
    >>> share.take(), share.take(), share.held, share.refused
    (True, False, 1, 1)
    >>> share.give_back()
    >>> share.take()
    True
    """

    limit: float
    held: int = 0
    refused: int = 0
    reclaimers: list[Callable[[], None]] = field(default_factory=list)

    @property
    def has_room(self) -> bool:
        """Whether one more connection may be held."""
        return self.held < self.limit

    @property
    def is_crowded(self) -> bool:
        """Whether the share is nearly used up."""
        return self.held >= CROWDED_SHARE * self.limit

    def take(self) -> bool:
        """Take a descriptor; return whether there was one."""
        if not self.has_room:
            for reclaim in self.reclaimers:
                reclaim()
        if not self.has_room:
            self.refused += 1
            return False
        self.held += 1
        return True

    def give_back(self) -> None:
        """Give a descriptor back."""
        self.held -= 1


@dataclass(frozen=True)
class DescriptorShares:
    """The shares of a process.

    Attributes
    ----------
    callers : DescriptorShare
    upstreams : DescriptorShare
        Of connections to upstreams and to other routers.
    peers : DescriptorShare
        Of connections from other routers.
    store : DescriptorShare
    status : DescriptorShare
        Of probes, lookups and metrics.
    """

    callers: DescriptorShare
    upstreams: DescriptorShare
    peers: DescriptorShare
    store: DescriptorShare
    status: DescriptorShare

    def held_by_use(self) -> dict[str, float]:
        """Return how many descriptors each use holds."""
        return {each.name: getattr(self, each.name).held for each in fields(self)}

    def refused_by_use(self) -> dict[str, float]:
        """Return how many connections of each use were refused for want of a descriptor."""
        return {each.name: getattr(self, each.name).refused for each in fields(self)}

    def limit_by_use(self) -> dict[str, float]:
        """Return the limit of each use."""
        return {each.name: getattr(self, each.name).limit for each in fields(self)}


def unlimited() -> DescriptorShare:
    """Return a share without a limit."""
    return DescriptorShare(float("inf"))


def shares_of(max_descriptors: int) -> DescriptorShares:
    """Return the shares of a process that may open so many descriptors.

    Examples
    --------
    >>> shares_of(4_100).limit_by_use()["callers"]
    2965
    >>> sum(shares_of(1_638).limit_by_use().values()) + FILES + OWN
    1638
    """
    sockets = max(0, max_descriptors - FILES - OWN)
    upstreams = max(MIN_SHARE, sockets // UPSTREAM_PART)
    peers = max(MIN_SHARE, sockets // PEER_PART)
    callers = max(MIN_SHARE, sockets - upstreams - peers - STORE - STATUS)
    limits = (callers, upstreams, peers, STORE, STATUS)
    return DescriptorShares(*map(DescriptorShare, limits))
