"""Stand-ins of other routers and of connections to upstreams, on a virtual clock."""

from collections import Counter
from dataclasses import dataclass, field

import trio

from railtide.forwarding.errors import NotForwarded
from railtide.forwarding.forwarders import PeerDirectory
from railtide.forwarding.messages import PathResult
from railtide.forwarding.peer_choice import ForwardingPeer
from railtide.http.connect import CONNECT_S
from railtide.http.errors import ConnectFailed, ConnectRefused
from railtide.membership.instances import Instance

__all__ = ["FakeClient", "FakeDirectory", "FakeTransport", "peer", "upstream"]


def upstream(number: int, pool: str = "p") -> Instance:
    """Return an upstream."""
    return Instance(f"e{number}", f"e{number}/1", f"h:{number + 1}", "z", "engine", pool=pool)


def peer(number: int, domain: str = "") -> ForwardingPeer:
    """Return another router."""
    domain = domain or f"z{number % 3}"
    return ForwardingPeer(f"r{number}", f"r{number}/1", f"h:{number + 1}", domain)


@dataclass
class FakeDirectory(PeerDirectory):
    """Lists the same peers for each pool."""

    listed: list[ForwardingPeer]

    def peers(self, pool: str) -> list[ForwardingPeer]:
        """Return all peers."""
        return list(self.listed)


@dataclass
class FakeClient:
    """Answers for the peers.

    Attributes
    ----------
    result_by_peer : dict of str to PathResult
        What each peer finds; `FAILED` by default, after a connection's timeout.
    errors_by_peer : dict of str to Exception
        Raised in place of an answer.
    asked, forwarded : Counter
        Messages to each peer.
    """

    result_by_peer: dict[str, PathResult] = field(default_factory=dict)
    errors_by_peer: dict[str, Exception] = field(default_factory=dict)
    asked: Counter = field(default_factory=Counter)
    forwarded: Counter = field(default_factory=Counter)

    async def ask_path(self, asked: ForwardingPeer, upstream: Instance) -> PathResult:
        """Answer a query."""
        self.asked[asked.name] += 1
        result = self.result_by_peer.get(asked.name, PathResult.FAILED)
        await trio.sleep(CONNECT_S if result is PathResult.FAILED else 0.002)
        if asked.name in self.errors_by_peer:
            raise self.errors_by_peer[asked.name]
        return result

    async def forward(self, asked: ForwardingPeer, *request: object) -> str:
        """Answer a request with the peer's name."""
        self.forwarded[asked.name] += 1
        await trio.sleep(0.002)
        if asked.name in self.errors_by_peer:
            raise self.errors_by_peer[asked.name]
        return asked.name

    def open_requests(self, asked: ForwardingPeer) -> int:
        """Return 0."""
        return 0


@dataclass
class FakeTransport:
    """Connections that can be cut.

    Attributes
    ----------
    cut : set of str
        Names of upstreams to which connections time out.
    refusing : set of str
        Names of upstreams that refuse connections.
    silent : list of Instance
        Upstreams that owe bytes.
    connecting, most_connecting : int
        Connections that are being made, and the most of them at a time.
    connected : Counter
        Attempts to connect to each upstream.
    broken : list of str
        Upstreams whose repeatable requests were given up.
    """

    cut: set[str] = field(default_factory=set)
    refusing: set[str] = field(default_factory=set)
    silent: list[Instance] = field(default_factory=list)
    heard: dict[str, float] = field(default_factory=dict)
    connecting: int = 0
    most_connecting: int = 0
    connected: Counter = field(default_factory=Counter)
    broken: list[str] = field(default_factory=list)

    async def connect(self, upstream: Instance) -> None:
        """Make a connection."""
        self.connected[upstream.name] += 1
        self.connecting += 1
        self.most_connecting = max(self.most_connecting, self.connecting)
        try:
            await trio.sleep(CONNECT_S if upstream.name in self.cut else 0.002)
        finally:
            self.connecting -= 1
        if upstream.name in self.cut:
            raise ConnectFailed("cut")
        if upstream.name in self.refusing:
            raise ConnectRefused("refused")

    def silent_upstreams(self, since: float) -> list[Instance]:
        """Return the silent upstreams."""
        return self.silent

    def heard_at(self, upstream: Instance) -> float:
        """Return when an upstream was heard last."""
        return self.heard.get(upstream.name, -1e9)

    def break_repeatable(self, upstream: Instance, since: float) -> None:
        """Record that requests were given up."""
        self.broken.append(upstream.name)


def refused() -> NotForwarded:
    """Return the error of a peer that does not forward."""
    return NotForwarded("busy")
