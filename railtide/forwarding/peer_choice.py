"""Chooses the routers that are asked to forward requests. Pure; times are passed in."""

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass

from railtide.membership.addresses import rendezvous_order

__all__ = ["ForwardingPeer", "choose_peers"]

MIN_CAPACITY_RATIO = 0.5
"""Least capacity of a peer, as a share of the largest one's. Each forwarded request passes its link
and processor twice, which a small router lacks."""
PREFERRED_PEERS = 3
"""Peers among which requests are spread. Few, so that connections to them are reused; one alone
would carry a whole failure domain that is cut off."""


@dataclass(frozen=True)
class ForwardingPeer:
    """Another router that can be asked to forward requests.

    Attributes
    ----------
    name, incarnation, address : str
        `address` is where it answers other routers.
    failure_domain : str
    capacity : float
        Requests a second that it can carry.
    """

    name: str
    incarnation: str
    address: str
    failure_domain: str
    capacity: float = 1.0


def choose_peers(
    own_name: str,
    domains: frozenset[str],
    peers: Sequence[ForwardingPeer],
    open_by_peer: Mapping[str, int],
    verified: Collection[str] = (),
) -> list[ForwardingPeer]:
    """Return the peers to ask, best first.

    Those that are known to reach the upstream come first. The others are ordered so that the
    routers that ask spread over them, and the first few of these by their open requests.

    Parameters
    ----------
    own_name : str
    domains : frozenset of str
        Failure domains of the sender and the upstream. A peer in another one makes the request
        cross failure domains twice.
    peers : sequence of ForwardingPeer
        Those that reach the upstream's pool and did not fail lately.
    open_by_peer : mapping of str to int
        Requests that the sender has open at each.
    verified : collection of str, optional
        Names of the peers that reached this upstream lately.

    Examples
    --------
    >>> peers = [ForwardingPeer(n, n, n, d, 10.0) for n, d in (("a", "x"), ("b", "y"), ("c", "z"))]
    >>> [peer.name for peer in choose_peers("r", frozenset({"y"}), peers, {"b": 1})]
    ['a', 'c', 'b']
    >>> [peer.name for peer in choose_peers("r", frozenset({"y"}), peers, {"b": 1}, {"b"})][0]
    'b'
    """
    largest = max((peer.capacity for peer in peers), default=0.0)
    by_name = {peer.name: peer for peer in peers if peer.capacity >= MIN_CAPACITY_RATIO * largest}
    ordered = [by_name[name] for name in rendezvous_order(own_name, list(by_name))]
    ordered.sort(key=lambda peer: peer.failure_domain not in domains)
    known = [peer for peer in ordered if peer.name in verified]
    others = [peer for peer in ordered if peer.name not in verified]
    for group in (known, others):
        group[:PREFERRED_PEERS] = sorted(
            group[:PREFERRED_PEERS], key=lambda peer: open_by_peer.get(peer.name, 0) / peer.capacity
        )
    return known + others
