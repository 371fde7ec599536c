"""Resumable streams of an edge router: the agreed shares of versions and the streams' origins."""

from collections.abc import Awaitable, Callable, Sequence, Set
from random import Random

import trio

from railtide.configuration.snapshot import Snapshot
from railtide.edge.pools import EdgePools
from railtide.journal.keyed import KeyedStore
from railtide.streams.agreement import SharesAgreement
from railtide.streams.stored_origins import StoredOrigins
from railtide.telemetry.counters import Counters

__all__ = ["EdgeStreams"]

ATTEMPTS_OF_A_CALLER = 2.0
"""Longest duration of a stream over all attempts of its caller, as a multiple of its route's
timeout."""


class EdgeStreams:
    """Keeps resumed streams at their software version, in one edge router.

    Parameters
    ----------
    store : KeyedStore
    pools : EdgePools
    router_count : callable
        Returns how many routers serve callers.
    is_owner : callable
        Returns whether this router acts for all routers on a pool or a record.
    start_soon : callable
    rng : random.Random
    counters : Counters
    list_age_s, peer_versions : callable
        See `StoredOrigins`.

    Attributes
    ----------
    origins : StoredOrigins
    """

    def __init__(
        self,
        store: KeyedStore,
        pools: EdgePools,
        router_count: Callable[[], int],
        is_owner: Callable[[str], bool],
        start_soon: Callable[..., None],
        rng: Random,
        counters: Counters,
        list_age_s: Callable[[], float],
        peer_versions: Callable[[str], Awaitable[Set[str] | None]],
    ) -> None:
        self._pools = pools
        self._agreement = SharesAgreement(store, rng, is_owner, start_soon)
        self.origins = StoredOrigins(
            store,
            self._agreement,
            pools.versions_of,
            router_count,
            is_owner,
            rng,
            counters,
            list_age_s,
            peer_versions,
        )

    async def run(self) -> None:
        """Follow the store until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._agreement.run)
            nursery.start_soon(self.origins.run)

    @property
    def caught_up(self) -> bool:
        """True once the shares and the records of all routers were read."""
        return self._agreement.caught_up and self.origins.caught_up

    @property
    def refreshes(self) -> Sequence[Callable[[], trio.Event]]:
        """Functions that start a reread of what the store holds."""
        return self._agreement.refresh, self.origins.refresh

    def check(self) -> None:
        """Propose shares where they are due, and note which versions are listed."""
        slots_by_pool = self._pools.slots_by_version()
        self._agreement.check(slots_by_pool)
        for pool in slots_by_pool:
            self.origins.note_versions(pool)

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Apply the timeouts of a configuration."""
        routes = (route for routes in snapshot.table.by_host.values() for route in routes)
        timeouts = (route.timeout_s for route in routes if route.resumable)
        self._agreement.longest_stream_s = max(timeouts, default=0.0) * ATTEMPTS_OF_A_CALLER
