"""The routers that forward requests for this one: whom to ask, and what their answers mean."""

from abc import ABC, abstractmethod
from collections.abc import Collection, Sequence
from itertools import zip_longest
from random import Random

import trio
from loguru import logger

from railtide.forwarding.client import ForwardingClient, PeerUnreachable
from railtide.forwarding.errors import NotForwarded
from railtide.forwarding.messages import PathResult
from railtide.forwarding.peer_choice import ForwardingPeer, choose_peers
from railtide.http.client import HttpAnswer
from railtide.http.messages import HttpRequest
from railtide.membership.instances import Instance

__all__ = ["Forwarders", "PeerDirectory", "alternating_domains"]

ASKED_PEERS = (2, 4)
"""Peers that are asked about a path, and those that are asked next if none of these reaches it.
Several, since they may be cut off as well, as a whole failure domain may be."""
ASK_S = 0.6
"""Longest wait for the answers: a peer's connection timeout and a margin."""
MAX_FORWARD_TRIES = 3
"""Peers that one request is offered to, while none has sent it."""
REFUSED_PAUSE_S = 0.5
"""How long a peer that refused is not asked again: it may have to read this router's record first,
or has too many requests."""
UNREACHABLE_PAUSE_S = 3.5
"""How long a peer that could not be connected to is not asked again: by then the roster shows
whether it is alive."""


class PeerDirectory(ABC):
    """The other routers, as the roster shows them."""

    @abstractmethod
    def peers(self, pool: str) -> list[ForwardingPeer]:
        """Return the live routers that forward requests and reach a pool's upstreams."""


class Forwarders:
    """Asks other routers to forward requests, and about their paths.

    Parameters
    ----------
    own_name, own_domain : str
        Of this router.
    client : ForwardingClient
    directory : PeerDirectory
    rng : random.Random
    """

    def __init__(
        self,
        own_name: str,
        own_domain: str,
        client: ForwardingClient,
        directory: PeerDirectory,
        rng: Random,
    ) -> None:
        self._rng = rng
        self._own_name = own_name
        self._own_domain = own_domain
        self._client = client
        self._directory = directory
        self._paused_until_by_peer: dict[str, float] = {}

    def _usable(self, upstream: Instance) -> list[ForwardingPeer]:
        now = trio.current_time()
        paused_until = self._paused_until_by_peer
        peers = self._directory.peers(upstream.pool)
        return [peer for peer in peers if now >= paused_until.get(peer.name, 0.0)]

    def _choose(self, upstream: Instance, verified: Collection[str]) -> list[ForwardingPeer]:
        usable = self._usable(upstream)
        domains = frozenset({self._own_domain, upstream.failure_domain})
        open_by_peer = {peer.name: self._client.open_requests(peer) for peer in usable}
        return choose_peers(self._own_name, domains, usable, open_by_peer, verified)

    def _pause(self, peer: ForwardingPeer, pause_s: float) -> None:
        now = trio.current_time()
        paused = self._paused_until_by_peer.items()
        self._paused_until_by_peer = {name: until for name, until in paused if until > now}
        self._paused_until_by_peer[peer.name] = now + pause_s

    async def ask(self, upstream: Instance) -> dict[str, PathResult]:
        """Return what other routers found of their paths to an upstream, by their names.

        It returns once one of them reached it, or all that are asked have answered. Each call asks
        others, as far as there are any.
        """
        peers = self._usable(upstream)
        self._rng.shuffle(peers)
        peers = alternating_domains(peers)
        results: dict[str, PathResult] = {}
        for count in ASKED_PEERS:
            asked, peers = peers[:count], peers[count:]
            with trio.move_on_after(ASK_S):
                async with trio.open_nursery() as nursery:
                    for peer in asked:
                        nursery.start_soon(self._ask, peer, upstream, results, nursery.cancel_scope)
            if PathResult.REACHED in results.values():
                break
        return results

    async def _ask(
        self,
        peer: ForwardingPeer,
        upstream: Instance,
        results: dict[str, PathResult],
        scope: trio.CancelScope,
    ) -> None:
        try:
            result = await self._client.ask_path(peer, upstream)
        except NotForwarded as err:
            self._pause(peer, _pause_s(err))
            return
        results[peer.name] = result
        if result is PathResult.REACHED:
            scope.cancel()

    async def forward(
        self, upstream: Instance, request: HttpRequest, timeout_s: float, verified: Collection[str]
    ) -> HttpAnswer:
        """Have another router send a request to an upstream.

        Raises
        ------
        ConnectFailed
            No byte of the request reached the upstream.
        ConnectionLost
            Part of the request may have reached it.
        """
        failed = NotForwarded("no router is known that reaches the upstream")
        for peer in self._choose(upstream, verified)[:MAX_FORWARD_TRIES]:
            try:
                answer = await self._client.forward(peer, upstream, request, timeout_s)
                logger.bind(upstream=upstream.name, forwarded_by=peer.name).info(
                    "request-forwarded"
                )
                return answer
            except NotForwarded as err:
                failed = err
                self._pause(peer, _pause_s(err))
        raise failed


def _pause_s(err: NotForwarded) -> float:
    return UNREACHABLE_PAUSE_S if isinstance(err, PeerUnreachable) else REFUSED_PAUSE_S


def alternating_domains(peers: Sequence[ForwardingPeer]) -> list[ForwardingPeer]:
    """Return the peers in the given order, but one of each failure domain in turn."""
    by_domain: dict[str, list[ForwardingPeer]] = {}
    for peer in peers:
        by_domain.setdefault(peer.failure_domain, []).append(peer)
    turns = zip_longest(*by_domain.values())
    return [peer for turn in turns for peer in turn if peer is not None]
