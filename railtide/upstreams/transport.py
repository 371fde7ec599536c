"""How requests reach upstreams: over pooled connections of this router."""

import math
from abc import ABC, abstractmethod
from contextlib import suppress

import trio

from railtide.containment.crash_detection import ProbeResult
from railtide.http.client import HttpAnswer, PeerPool
from railtide.http.connect import connect_tcp_stream
from railtide.http.correlation import Correlation
from railtide.http.descriptors import DescriptorShare, unlimited
from railtide.http.errors import ConnectFailed, ConnectRefused
from railtide.http.idle_connections import close_stale
from railtide.http.messages import HttpRequest
from railtide.http.read_pace import ExcessLane
from railtide.http.traffic import Traffic
from railtide.membership.instances import Instance
from railtide.settings import parse_endpoint
from railtide.upstreams.process_pauses import ProcessPauses

__all__ = ["DirectTransport", "UpstreamTransport"]

PROBE_OPEN_S = 0.02
"""How long a probe's connection must stay open to prove that the upstream is alive. The sockets of
a process that ends are closed within milliseconds."""


class UpstreamTransport(ABC):
    """Sends requests to upstreams, whatever their headers mean."""

    @abstractmethod
    async def send(
        self, upstream: Instance, request: HttpRequest, timeout_s: float, repeatable: bool = False
    ) -> HttpAnswer:
        """Send a request and return its answer once the head was received.

        Parameters
        ----------
        upstream : Instance
        request : HttpRequest
        timeout_s : float
            Time after which the caller no longer waits for the end of the answer, seconds.
        repeatable : bool, optional
            Whether the caller sends the request again if it is lost. Only then it may be given up
            where the path fails while the upstream may still answer.

        Raises
        ------
        ConnectFailed
            If no byte of the request reached the upstream.
        ConnectionLost
            If part of the request may have reached it.
        """

    @abstractmethod
    async def probe(self, upstream: Instance) -> ProbeResult:
        """Return whether a process listens at an upstream's address, without sending anything."""

    @abstractmethod
    async def keep_witness(self, upstream: Instance) -> None:
        """Have an idle connection to an upstream, whose end would show that of its process."""

    @abstractmethod
    async def observe(self, upstream: Instance, since: float) -> ProbeResult:
        """Return whether an upstream's process outlives an answer that has just ended.

        Parameters
        ----------
        upstream : Instance
        since : float
            Trio time at which the process was last known to run; see `HttpAnswer.alive_at`.
        """

    @abstractmethod
    def forget(self, upstream: Instance) -> None:
        """Close the idle connections to a lost incarnation of an upstream; open requests go on."""


class DirectTransport(UpstreamTransport):
    """Sends each request over a connection of this router to the upstream.

    Parameters
    ----------
    traffic : Traffic, optional
        Counts the bytes of all connections.
    correlation : Correlation, optional
        How the upstreams' answers are matched with requests; by default only by their order.
    share : DescriptorShare, optional
        Of the connections; unlimited by default.
    end_to_end : frozenset of bytes, optional
        See `without_hop_by_hop`; none by default.
    """

    def __init__(
        self,
        traffic: Traffic | None = None,
        correlation: Correlation | None = None,
        share: DescriptorShare | None = None,
        end_to_end: frozenset[bytes] = frozenset(),
    ) -> None:
        self.traffic = traffic or Traffic()
        self.end_to_end = end_to_end
        self._pauses = ProcessPauses()
        self._correlation = correlation
        self._share = share or unlimited()
        self._share.reclaimers.append(self._drop_idle)
        self._lane = ExcessLane()
        self._pool_by_incarnation: dict[str, PeerPool] = {}
        self._upstream_by_pool: dict[PeerPool, Instance] = {}
        self._busy: set[PeerPool] = set()
        self._connecting: set[PeerPool] = set()

    async def send(
        self, upstream: Instance, request: HttpRequest, timeout_s: float, repeatable: bool = False
    ) -> HttpAnswer:
        """Send a request; see `UpstreamTransport.send`."""
        pool = self._pool(upstream)
        return await pool.send(request, repeatable=repeatable, timeout_s=timeout_s)

    def break_repeatable(self, upstream: Instance, since: float) -> None:
        """Close the connections of repeatable requests; see `PeerPool.break_repeatable`."""
        pool = self._pool_by_incarnation.get(upstream.incarnation)
        if pool:
            pool.break_repeatable(since)

    async def connect(self, upstream: Instance) -> None:
        """Make a connection to an upstream and keep it for the next request.

        Raises
        ------
        ConnectFailed
            See `connect_tcp_stream`.
        """
        await self._pool(upstream).connect()

    def heard_at(self, upstream: Instance) -> float:
        """Return the trio time at which an upstream accepted a connection or sent bytes last."""
        pool = self._pool_by_incarnation.get(upstream.incarnation)
        return pool.received_at if pool else -math.inf

    def silent_upstreams(self, since: float) -> list[Instance]:
        """Return the upstreams that owe bytes and have sent none since a trio time."""
        silent = [pool for pool in self._busy if pool.silent_since <= since]
        return [self._upstream_by_pool[pool] for pool in silent if pool in self._upstream_by_pool]

    async def probe(self, upstream: Instance) -> ProbeResult:
        """Return whether a process listens at an upstream's address.

        A connection that is closed at once is made a second time, since it has two causes: a
        process that ends may close its connections before its listening socket, and an upstream
        with too many connections resets new ones.
        """
        host, port = parse_endpoint(upstream.address)
        try:
            if not await _stays_open(await connect_tcp_stream(host, port)):
                await _stays_open(await connect_tcp_stream(host, port))
        except ConnectRefused:
            return ProbeResult.REFUSED
        except ConnectFailed:
            return ProbeResult.UNKNOWN
        return ProbeResult.CONNECTED

    async def keep_witness(self, upstream: Instance) -> None:
        """Have an idle connection; see `UpstreamTransport.keep_witness`."""
        pool = self._pool(upstream)
        if len(pool.idle) or pool in self._connecting:
            return
        self._connecting.add(pool)
        try:
            with suppress(ConnectFailed):  # `observe` then connects after the answer
                await pool.connect(PROBE_OPEN_S)
        finally:
            self._connecting.discard(pool)

    async def observe(self, upstream: Instance, since: float) -> ProbeResult:
        """Return whether an upstream's process lives; see `UpstreamTransport.observe`.

        All connections of a process end with it, and a new one can't be told from one to the
        process that replaced it.
        """
        kept = await self.observe_kept(upstream, since)
        return kept or self.as_proof(await self.probe(upstream), since)

    def as_proof(self, probed: ProbeResult, since: float) -> ProbeResult:
        """Return what a probe shows of the process that was known to run at a trio time.

        If this process has paused since, another one may have replaced it at its address.
        """
        if probed is ProbeResult.CONNECTED and self._pauses.any_between(since):
            return ProbeResult.UNKNOWN
        return probed

    async def observe_kept(self, upstream: Instance, since: float) -> ProbeResult | None:
        """Return what the idle connections show of an upstream's process, None for nothing.

        One that is open proves that the process lives if it was opened before `since`. A later one
        may lead to the process that replaced it, if another was cut or this process has paused.
        """
        pool = self._pool_by_incarnation.get(upstream.incarnation)
        if pool is None:
            return None
        kept = pool.idle.all()
        if kept:
            await trio.sleep(PROBE_OPEN_S)
        pool.idle.note_cuts()
        opened_at = [connection.opened_at for connection in kept if connection.is_open()]
        if any(opened <= since for opened in opened_at):
            return ProbeResult.CONNECTED
        if pool.idle.cut_at >= since:
            return ProbeResult.REFUSED
        if any(not self._pauses.any_between(since, opened) for opened in opened_at):
            return ProbeResult.CONNECTED
        return None

    async def watch_pauses(self) -> None:
        """Record pauses of this process, and which connections are open after each."""
        await self._pauses.run(self._note_open_connections)

    def _note_open_connections(self) -> None:
        for pool in self._busy:
            pool.note_open_connections()

    def close_stale(self) -> None:
        """Close the idle connections that no request can use; see `close_stale`."""
        close_stale(pool.idle for pool in self._pool_by_incarnation.values())

    def forget(self, upstream: Instance) -> None:
        """Close the idle connections to an upstream; see `UpstreamTransport.forget`."""
        pool = self._pool_by_incarnation.pop(upstream.incarnation, None)
        if pool:
            del self._upstream_by_pool[pool]
            pool.close()

    def _drop_idle(self) -> None:
        for pool in self._pool_by_incarnation.values():
            pool.drop_idle()

    def _pool(self, upstream: Instance) -> PeerPool:
        pool = self._pool_by_incarnation.get(upstream.incarnation)
        if pool is None:
            host, port = parse_endpoint(upstream.address)
            pool = PeerPool(
                host,
                port,
                self.traffic,
                self._busy,
                self._correlation,
                self._lane,
                self._share,
            )
            self._pool_by_incarnation[upstream.incarnation] = pool
            self._upstream_by_pool[pool] = upstream
        return pool


async def _stays_open(stream: trio.SocketStream) -> bool:
    """Return whether the peer leaves a new connection open for `PROBE_OPEN_S`, and close it."""
    with trio.move_on_after(PROBE_OPEN_S) as scope:
        try:
            await stream.receive_some(1)
        except trio.BrokenResourceError:
            pass  # reset by the peer
    stream.socket.close()
    return scope.cancelled_caught
