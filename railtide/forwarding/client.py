"""Asks other routers to forward requests, over connections that are reused."""

import re
from collections.abc import AsyncIterator
from typing import TypeVar

import msgspec

from railtide.forwarding.errors import (
    InvalidForward,
    NotForwarded,
    UpstreamGone,
    UpstreamNotReached,
)
from railtide.forwarding.messages import (
    CODE_HEADER,
    FORWARD_PATH,
    FRAMED_HEADER,
    MAX_TIMEOUT_S,
    OUTCOME_HEADER,
    PATHS_PATH,
    PROOF_HEADER,
    STATUS_HEADER,
    VERSIONS_PATH,
    ForwardedRequest,
    ForwardOutcome,
    PathQuery,
    PathReport,
    PathResult,
    VersionsQuery,
    VersionsReport,
    decode,
    encode,
    proof_of,
)
from railtide.forwarding.peer_choice import ForwardingPeer
from railtide.http.client import Exchange, HttpAnswer, PeerPool
from railtide.http.descriptors import DescriptorShare, unlimited
from railtide.http.errors import (
    AnswerTooLong,
    ConnectFailed,
    ConnectionLost,
    ForeignAnswer,
    HttpError,
)
from railtide.http.idle_connections import close_stale
from railtide.http.messages import HttpRequest, first_header, without_hop_by_hop
from railtide.http.read_pace import ExcessLane
from railtide.http.traffic import Traffic
from railtide.membership.instances import Instance
from railtide.settings import parse_endpoint

__all__ = ["ForwardingClient", "PeerUnreachable"]

OK = 200
MAX_PROBLEM_BYTES = 4_096
MIN_TIMEOUT_S = 0.001
MAX_POOLS = 64
"""Peers to which connections are kept; the others are closed, those used least recently first."""
T = TypeVar("T")
STATUS = re.compile(rb"[1-9][0-9]{2}")
ERROR_BY_OUTCOME = {
    ForwardOutcome.UPSTREAM_REFUSED.encode(): UpstreamGone,
    ForwardOutcome.UPSTREAM_FAILED.encode(): UpstreamNotReached,
}
"""Errors by outcome. A router of an earlier release states no outcome, and forwards nothing."""
LOST_ERROR_BY_CODE = {err.code.encode(): err for err in (ForeignAnswer, AnswerTooLong)}
"""Errors of lost requests that say more than that a connection was lost."""
OWN_HEADERS = (OUTCOME_HEADER, CODE_HEADER, STATUS_HEADER, FRAMED_HEADER)


class PeerUnreachable(NotForwarded):
    """No connection to the peer could be made."""


class _ForwardedAnswer(HttpAnswer):
    """The answer of an upstream, received from the router that forwarded the request."""

    def __init__(self, exchange: Exchange) -> None:
        self._exchange = exchange
        self.status = _status_of(exchange)
        end_to_end = without_hop_by_hop(exchange.headers)
        self.headers = tuple(h for h in end_to_end if h[0] not in OWN_HEADERS)
        self.framed = first_header(exchange.headers, FRAMED_HEADER) == b"1"
        self.use = exchange.use
        self.alive_at = exchange.alive_at

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body; see `HttpAnswer.chunks`."""
        return self._exchange.chunks()

    async def note_events(self, count: int) -> None:
        """Record events of a stream; see `HttpAnswer.note_events`."""
        await self._exchange.note_events(count)

    def abandon(self) -> None:
        """Close the connection, which cancels the request; see `HttpAnswer.abandon`."""
        self._exchange.abandon()

    def discard(self) -> None:
        """End the answer unread; see `HttpAnswer.discard`."""
        self._exchange.discard()


class ForwardingClient:
    """Sends messages to the routers that forward requests.

    Parameters
    ----------
    instance, incarnation : str
        Of this router.
    key : bytes
        The key that this router's record in the roster states.
    traffic : Traffic, optional
        Counts the bytes of all connections.
    share : DescriptorShare, optional
        Of the connections; unlimited by default.
    """

    def __init__(
        self,
        instance: str,
        incarnation: str,
        key: bytes,
        traffic: Traffic | None = None,
        share: DescriptorShare | None = None,
    ) -> None:
        self._share = share or unlimited()
        self._share.reclaimers.append(self._drop_idle)
        self._instance = instance
        self._incarnation = incarnation
        self._key = key
        self._traffic = traffic or Traffic()
        self._lane = ExcessLane()
        self._pool_by_peer: dict[str, PeerPool] = {}

    async def forward(
        self, peer: ForwardingPeer, upstream: Instance, request: HttpRequest, timeout_s: float
    ) -> HttpAnswer:
        """Have a peer send a request to an upstream; return the upstream's answer.

        Raises
        ------
        NotForwarded
            No byte of the request reached the upstream.
        UpstreamNotReached, UpstreamGone
            Likewise, since the peer could not connect to the upstream.
        ConnectionLost
            Part of the request may have reached it.
        ForeignAnswer
            Likewise; the peer received the answer to another request.
        """
        message = ForwardedRequest(
            self._instance,
            self._incarnation,
            upstream.name,
            upstream.incarnation,
            min(max(timeout_s, MIN_TIMEOUT_S), MAX_TIMEOUT_S),
            request.method,
            request.target,
            request.headers,
            request.body,
        )
        exchange = await self._send(peer, FORWARD_PATH, message)
        outcome = first_header(exchange.headers, OUTCOME_HEADER)
        if outcome == ForwardOutcome.ANSWERED.encode():
            return _ForwardedAnswer(exchange)
        detail = f"{peer.name}: {(await _read_short(exchange)).decode(errors='replace')}"
        raise _error_of(exchange, outcome)(detail)

    async def ask_path(self, peer: ForwardingPeer, upstream: Instance) -> PathResult:
        """Return whether a peer can connect to an upstream.

        Raises
        ------
        NotForwarded
            The peer does not say.
        """
        query = PathQuery(self._instance, self._incarnation, upstream.name, upstream.incarnation)
        return (await self._ask(peer, PATHS_PATH, query, PathReport)).result

    async def ask_versions(self, peer: ForwardingPeer, pool: str) -> frozenset[str]:
        """Return which software versions a peer lists in a pool.

        Raises
        ------
        NotForwarded
            The peer does not say.
        """
        query = VersionsQuery(self._instance, self._incarnation, pool)
        return frozenset((await self._ask(peer, VERSIONS_PATH, query, VersionsReport)).versions)

    async def _ask(
        self, peer: ForwardingPeer, path: bytes, query: msgspec.Struct, kind: type[T]
    ) -> T:
        """Return a peer's answer to a query; raise `NotForwarded` without one."""
        try:
            exchange = await self._send(peer, path, query)
            body = await _read_short(exchange)
            if exchange.status == OK:
                return decode(body, kind)
        except (ConnectionLost, InvalidForward) as err:
            raise NotForwarded(f"{peer.name}: {err.detail}") from err
        raise NotForwarded(f"{peer.name}: status {exchange.status} {body[:200]!r}")

    async def _send(self, peer: ForwardingPeer, path: bytes, message: msgspec.Struct) -> Exchange:
        body = encode(message)
        proof = proof_of(self._key, peer.incarnation, path, body)
        headers = (
            (b"host", peer.address.encode()),
            (b"content-type", b"application/msgpack"),
            (PROOF_HEADER, proof),
        )
        try:
            return await self._pool(peer).send(HttpRequest(b"POST", path, headers, body))
        except ConnectFailed as err:
            raise PeerUnreachable(f"{peer.name}: {err.detail}") from err

    def _pool(self, peer: ForwardingPeer) -> PeerPool:
        """Return the connections to a process of a peer, and close those unused for longest."""
        pool = self._pool_by_peer.pop(peer.incarnation, None)
        if pool is None:
            address = parse_endpoint(peer.address)
            pool = PeerPool(*address, self._traffic, lane=self._lane, share=self._share)
        self._pool_by_peer[peer.incarnation] = pool
        if len(self._pool_by_peer) > MAX_POOLS:
            self._pool_by_peer.pop(next(iter(self._pool_by_peer))).close()
        return pool

    def _drop_idle(self) -> None:
        for pool in self._pool_by_peer.values():
            pool.drop_idle()

    def close_stale(self) -> None:
        """Close the idle connections that no message can use; see `close_stale`."""
        close_stale(pool.idle for pool in self._pool_by_peer.values())

    def open_requests(self, peer: ForwardingPeer) -> int:
        """Return how many messages and requests are in progress at a peer."""
        pool = self._pool_by_peer.get(peer.incarnation)
        return pool.open_exchanges if pool else 0


def _error_of(exchange: Exchange, outcome: bytes | None) -> type[HttpError]:
    """Return the error of a request that a peer did not get answered."""
    if outcome == ForwardOutcome.LOST.encode():
        code = first_header(exchange.headers, CODE_HEADER)
        return LOST_ERROR_BY_CODE.get(code, ConnectionLost)
    return ERROR_BY_OUTCOME.get(outcome, NotForwarded)


def _status_of(exchange: Exchange) -> int:
    """Return the status of the upstream's answer.

    Raises
    ------
    ConnectionLost
        The answer states none, so what the upstream answered is unknown.
    """
    value = first_header(exchange.headers, STATUS_HEADER) or b""
    if not STATUS.fullmatch(value):
        exchange.abandon()
        raise ConnectionLost("the forwarded answer states no status")
    return int(value)


async def _read_short(exchange: Exchange) -> bytes:
    """Return a short answer, read to its end so that its connection can be reused."""
    body = bytearray()
    try:
        async for chunk in exchange.chunks():
            body += chunk
            if len(body) > MAX_PROBLEM_BYTES:
                break
    except ConnectionLost:
        pass  # the outcome is known from the head
    finally:
        exchange.abandon()
    return bytes(body)
