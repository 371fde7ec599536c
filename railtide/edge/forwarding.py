"""The parts of an edge router that forward requests, and that have them forwarded."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from random import Random
from secrets import token_bytes

import trio

from railtide.edge.pools import EdgePools
from railtide.forwarding.client import ForwardingClient
from railtide.forwarding.errors import ForwardingRefused
from railtide.forwarding.forwarders import Forwarders, PeerDirectory
from railtide.forwarding.handler import ForwardHandler
from railtide.forwarding.host import ForwardingHost
from railtide.forwarding.messages import KEY_BYTES
from railtide.forwarding.path_monitor import PathMonitor
from railtide.forwarding.peer_choice import ForwardingPeer
from railtide.forwarding.peer_versions import PeerVersions
from railtide.forwarding.transport import ForwardingTransport
from railtide.http.client import HttpAnswer
from railtide.http.descriptors import DescriptorShare
from railtide.http.messages import HttpRequest
from railtide.http.traffic import Traffic
from railtide.lanes.admission import BlockReason
from railtide.membership.addresses import is_address
from railtide.membership.identity import Identity
from railtide.membership.instances import Instance
from railtide.membership.roster import Member, Roster
from railtide.telemetry.counters import Counters
from railtide.upstreams.paths import PathState, PathTable
from railtide.upstreams.transport import DirectTransport

__all__ = ["EdgeForwarding", "NodeForwardingHost", "RosterPeerDirectory"]

DIRECTORY_CACHE_S = 0.2
"""How long the routers that reach a pool are cached: their records arrive once a second."""
STALE_CHECK_S = 0.5
"""Time between checks for idle connections that the peer has closed or on which it sends."""
PACED = (BlockReason.LIMITED, BlockReason.COLD)
"""What upstreams advertise of rates counts at the router that has the request."""


class RosterPeerDirectory(PeerDirectory):
    """The routers of a roster that forward requests.

    Attributes
    ----------
    roster : Roster or None
        None until the router's parts are composed.
    """

    def __init__(self) -> None:
        self.roster: Roster | None = None
        self._members: dict[str, Member] = {}
        self._read_at = -DIRECTORY_CACHE_S

    def peers(self, pool: str) -> list[ForwardingPeer]:
        """Return the routers that reach a pool; see `PeerDirectory.peers`."""
        now = trio.current_time()
        if self.roster and now - self._read_at >= DIRECTORY_CACHE_S:
            self._read_at = now
            self._members = self.roster.other_live_members()
        return [
            ForwardingPeer(
                name,
                member.incarnation,
                member.peer_address,
                member.failure_domain,
                member.capacity,
            )
            for name, member in self._members.items()
            if _forwards(member) and pool not in member.cut_off_pools
        ]


def _forwards(member: Member) -> bool:
    return bool(member.forwarding_key) and is_address(member.peer_address)


@dataclass
class NodeForwardingHost(ForwardingHost):
    """Describes an edge router to the handler of forwarded requests.

    Attributes
    ----------
    roster : Roster
    pools : EdgePools
    is_serving : callable
        Returns whether the router is ready and not shutting down.
    count_open : callable
        Adds to the requests in progress, which a shutdown waits for.
    table : PathTable
    on_answer : callable
        Applies what an answer reports of its upstream.
    until_current : callable
        Waits until what the router knows is current.
    """

    roster: Roster
    pools: EdgePools
    is_serving: Callable[[], bool]
    count_open: Callable[[int], None]
    table: PathTable
    on_answer: Callable[[Instance, HttpRequest, HttpAnswer, float], None]
    until_current: Callable

    def key_of(self, sender: str, incarnation: str) -> bytes | None:
        """Return a router's key; see `ForwardingHost.key_of`.

        A router that is shutting down still finishes its requests.
        """
        member = self.roster.member_of(sender)
        if member is None or member.incarnation != incarnation:
            return None
        is_live = sender in self.roster.other_live_members()
        return member.forwarding_key if is_live or not member.address else None

    def find_upstream(self, name: str, incarnation: str) -> Instance | None:
        """Return an upstream; see `ForwardingHost.find_upstream`."""
        return self.pools.find(name, incarnation)

    def versions_of(self, pool: str) -> frozenset[str]:
        """Return a pool's versions; see `ForwardingHost.versions_of`."""
        return self.pools.versions_of(pool)

    def check_may_send(self, upstream: Instance) -> None:
        """Raise unless this router may send; see `ForwardingHost.check_may_send`."""
        if not self.is_serving():
            raise ForwardingRefused("this router is starting or shutting down")
        if self.is_cut_off(upstream):
            raise ForwardingRefused("this router does not reach the upstream itself")
        reason = self.pools.block_reason(upstream)
        if reason not in (None, *PACED):
            raise ForwardingRefused(f"the upstream is {reason} for this router")

    def is_cut_off(self, upstream: Instance) -> bool:
        """Return whether others must forward; see `ForwardingHost.is_cut_off`."""
        return self.table.state_of(upstream) in (PathState.FORWARDED, PathState.SUSPECT)

    def is_leaving(self, upstream: Instance) -> bool:
        """Return whether an upstream is leaving; see `ForwardingHost.is_leaving`."""
        return self.pools.block_reason(upstream) is BlockReason.LEAVING

    def note_answer(
        self, upstream: Instance, request: HttpRequest, answer: HttpAnswer, sent_at: float
    ) -> None:
        """Apply an answer's head; see `ForwardingHost.note_answer`."""
        self.on_answer(upstream, request, answer, sent_at)

    @contextmanager
    def serving(self) -> Iterator[None]:
        """Count a request; see `ForwardingHost.serving`."""
        self.count_open(1)
        try:
            yield
        finally:
            self.count_open(-1)

    async def wait_until_current(self) -> None:
        """Wait after a suspension; see `ForwardingHost.wait_until_current`."""
        await self.until_current()


class EdgeForwarding:
    """Creates and connects the parts.

    Parameters
    ----------
    identity : Identity
    traffic : Traffic, optional
        Counts the bytes of all connections.
    rng : random.Random, optional
    key : bytes, optional
        Key of this router's proofs; a random one by default.
    direct : DirectTransport, optional
    share : DescriptorShare, optional
        Of the connections to other routers; unlimited by default.

    Attributes
    ----------
    key : bytes
    direct : DirectTransport
    transport : ForwardingTransport
        For the client of the upstreams.
    table : PathTable
    peer_versions : PeerVersions
    handler : ForwardHandler or None
        Answers other routers; None before `attach`.
    on_answer : callable
        See `NodeForwardingHost`.
    """

    def __init__(
        self,
        identity: Identity,
        traffic: Traffic | None = None,
        rng: Random | None = None,
        key: bytes | None = None,
        direct: DirectTransport | None = None,
        share: DescriptorShare | None = None,
    ) -> None:
        self.key = key or token_bytes(KEY_BYTES)
        self.table = PathTable()
        self.direct = direct or DirectTransport(traffic)
        self.handler: ForwardHandler | None = None
        self.on_answer: Callable[[Instance, HttpRequest, HttpAnswer, float], None] = _ignore_answer
        self._identity = identity
        self._directory = RosterPeerDirectory()
        rng = rng or Random()
        self._client = ForwardingClient(
            identity.instance, identity.incarnation, self.key, traffic, share
        )
        forwarders = Forwarders(
            identity.instance,
            identity.failure_domain,
            self._client,
            self._directory,
            rng,
        )
        self.peer_versions = PeerVersions(self._client, self._directory, rng)
        self._monitor = PathMonitor(self.table, self.direct, forwarders)
        self.transport = ForwardingTransport(self.direct, self._monitor, forwarders)

    def attach(
        self,
        roster: Roster,
        pools: EdgePools,
        is_serving: Callable[[], bool],
        count_open: Callable[[int], None],
        until_current: Callable,
        counters: Counters,
        start_soon: Callable[..., object],
    ) -> None:
        """Connect the parts to those of the router; see `NodeForwardingHost`.

        `start_soon` is that of `ForwardHandler`.
        """
        self._directory.roster = roster
        self._monitor.listed = pools.listed_upstreams
        self._monitor.on_change = lambda upstream: pools.apply_path(
            upstream, self.table.state_of(upstream)
        )
        host = NodeForwardingHost(
            roster,
            pools,
            is_serving,
            count_open,
            self.table,
            lambda *answer: self.on_answer(*answer),
            until_current,
        )
        self.handler = ForwardHandler(self._identity.incarnation, host, self.direct, counters)
        self.handler.start_soon = start_soon

    async def run(self) -> None:
        """Check the paths and the idle connections until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._monitor.run)
            nursery.start_soon(self._close_stale_connections)
            nursery.start_soon(self.direct.watch_pauses)

    async def _close_stale_connections(self) -> None:
        while True:
            await trio.sleep(STALE_CHECK_S)
            self.direct.close_stale()
            self._client.close_stale()


def _ignore_answer(
    upstream: Instance, request: HttpRequest, answer: HttpAnswer, sent_at: float
) -> None:
    pass
