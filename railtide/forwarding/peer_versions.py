"""Which software versions other routers list in a pool, while this one can't read the store."""

from random import Random

import trio

from railtide.forwarding.client import ForwardingClient
from railtide.forwarding.errors import NotForwarded
from railtide.forwarding.forwarders import PeerDirectory, alternating_domains
from railtide.forwarding.peer_choice import ForwardingPeer

__all__ = ["PeerVersions"]

ASKED_PEERS = 3
"""Several, of different failure domains first: a whole domain may be cut off from the store."""
ASK_S = 0.3
"""Longest wait for the answers; a peer answers within milliseconds."""
CACHE_S = 0.5
"""How long answers are used: many streams may be resumed at once."""


class PeerVersions:
    """Asks other routers for the versions that they list.

    Parameters
    ----------
    client : ForwardingClient
    directory : PeerDirectory
    rng : random.Random
    """

    def __init__(self, client: ForwardingClient, directory: PeerDirectory, rng: Random) -> None:
        self._client = client
        self._directory = directory
        self._rng = rng
        self._lock = trio.Lock()
        self._answer_by_pool: dict[str, tuple[float, frozenset[str] | None]] = {}

    async def ask(self, pool: str) -> frozenset[str] | None:
        """Return all versions that other routers list, None if none of them answers.

        Without other routers nobody lists any.
        """
        async with self._lock:
            now = trio.current_time()
            answered_at, versions = self._answer_by_pool.get(pool, (now - CACHE_S, None))
            if now - answered_at >= CACHE_S:
                versions = await self._ask_peers(pool)
                self._answer_by_pool[pool] = (trio.current_time(), versions)
        return versions

    async def _ask_peers(self, pool: str) -> frozenset[str] | None:
        peers = self._directory.peers(pool)
        if not peers:
            return frozenset()
        self._rng.shuffle(peers)
        answers: list[frozenset[str]] = []
        with trio.move_on_after(ASK_S):
            async with trio.open_nursery() as nursery:
                for peer in alternating_domains(peers)[:ASKED_PEERS]:
                    nursery.start_soon(self._ask, peer, pool, answers)
        return frozenset().union(*answers) if answers else None

    async def _ask(self, peer: ForwardingPeer, pool: str, answers: list[frozenset[str]]) -> None:
        try:
            versions = await self._client.ask_versions(peer, pool)
        except NotForwarded:
            return
        if versions:
            answers.append(versions)
