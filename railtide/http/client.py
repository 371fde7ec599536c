"""HTTP/1.1 client: pooled connections to one peer."""

import math

import h11
import trio

from railtide.http.connect import CONNECT_S, connect_tcp_stream
from railtide.http.correlation import Correlation
from railtide.http.descriptors import DescriptorShare, unlimited
from railtide.http.errors import ForeignAnswer, NoDescriptor
from railtide.http.exchange import DEFAULT_IDLE_S, Exchange, HttpAnswer
from railtide.http.idle_connections import IdleConnections, PooledConnection
from railtide.http.messages import HttpRequest
from railtide.http.read_pace import ExcessLane, ReadPace
from railtide.http.stall import StallWatch
from railtide.http.traffic import Traffic

__all__ = ["Exchange", "HttpAnswer", "PeerPool"]

UNRESPONSIVE_S = 0.5
"""If a reused connection brings no answer for this long, the other idle connections are closed too.
A store answers in milliseconds. For an upstream that is only slow, this costs new connections of
1 ms each; reuse of unresponsive connections would cost each request its whole timeout."""
MAX_HEAD_BYTES = 65_536


class PeerPool:
    """A pool of connections to one address.

    Parameters
    ----------
    host : str
    port : int
    traffic : Traffic, optional
        Counts the bytes of all connections of the pool.
    busy : set of PeerPool, optional
        Contains the pool while it has exchanges in progress.
    correlation : Correlation, optional
        How answers are matched with requests; by default only by their order.
    lane : ExcessLane, optional
        Limits the pace of answers; by default it is not limited.
    share : DescriptorShare, optional
        Of its connections, which other pools may hold as well; unlimited by default.

    Attributes
    ----------
    idle : IdleConnections
    opened : int
        Number of connections opened so far.
    received_at : float
        Trio time at which a connection was made, or bytes were received, for the last time.
    """

    def __init__(
        self,
        host: str,
        port: int,
        traffic: Traffic | None = None,
        busy: set["PeerPool"] | None = None,
        correlation: Correlation | None = None,
        lane: ExcessLane | None = None,
        share: DescriptorShare | None = None,
    ) -> None:
        self.opened = 0
        self._share = share or unlimited()
        self.correlation = correlation or Correlation()
        self._busy = set() if busy is None else busy
        self.received_at = -math.inf
        self._open_exchanges: set[Exchange] = set()
        self.traffic = traffic or Traffic()
        self._host = host
        self._port = port
        self._lane = lane
        self.idle = IdleConnections()
        self._closed = False

    async def send(
        self,
        request: HttpRequest,
        watch: StallWatch | None = None,
        repeatable: bool = False,
        timeout_s: float = math.inf,
    ) -> "Exchange":
        """Send a request and return its exchange once the head of the answer was received.

        Parameters
        ----------
        request : HttpRequest
        watch : StallWatch, optional
            Notified of bytes sent and received until the end of the exchange.
        repeatable : bool, optional
            Whether the caller sends the request again if the connection is lost.
        timeout_s : float, optional
            Time after which a request with this id is not sent again, seconds. Until then it goes
            over another connection, since a late copy of its first answer looks like the answer to
            the second one: both carry the same id.

        Raises
        ------
        ConnectFailed
            If no byte of the request was sent.
        RequestInvalid
            Likewise, since HTTP can't carry it.
        ConnectionLost
            If part of the request may have been sent.
        ForeignAnswer
            Likewise, if the answer to another request arrived.
        """
        request_id = self.correlation.id_of(request.headers)
        connection = self.idle.take(request_id) or await self._connect()
        if request_id is not None:
            connection.note_sent(request_id, trio.current_time() + timeout_s)
        pace = ReadPace(self._lane) if self._lane else None
        exchange = Exchange(self, connection, watch, repeatable, pace)
        began = trio.current_time()
        try:
            await exchange.begin(request)
        except ForeignAnswer:
            await exchange.hang_up()
            raise
        except BaseException:
            exchange.abandon()
            if exchange.reused and trio.current_time() - began >= UNRESPONSIVE_S:
                self.drop_idle()
            raise
        return exchange

    @property
    def open_exchanges(self) -> int:
        """Number of exchanges in progress."""
        return len(self._open_exchanges)

    @property
    def silent_since(self) -> float:
        """Trio time since which the peer owes an answer and has sent nothing; else infinite."""
        oldest = min((exchange.began_at for exchange in self._open_exchanges), default=math.inf)
        return max(oldest, self.received_at)

    async def connect(self, open_s: float = 0.0) -> None:
        """Make a connection and keep it for the next request.

        Parameters
        ----------
        open_s : float, optional
            Time for which the peer must leave it open before it is kept, seconds. A peer with too
            many connections closes new ones.

        Raises
        ------
        ConnectFailed
            See `connect_tcp_stream`.
        """
        connection = await self._connect()
        if open_s and not await _stays_open(connection, open_s):
            connection.close()
            return
        self.release(connection)

    def note_received(self, count: int) -> None:
        """Record that bytes of an answer were received."""
        self.received_at = trio.current_time()
        self.traffic.note_received(count)

    def note_begun(self, exchange: "Exchange") -> None:
        """Record that an exchange is in progress."""
        self._open_exchanges.add(exchange)
        self._busy.add(self)

    def note_ended(self, exchange: "Exchange") -> None:
        """Record that an exchange has ended."""
        self._open_exchanges.discard(exchange)
        if not self._open_exchanges:
            self._busy.discard(self)

    def note_open_connections(self) -> None:
        """Record which exchanges in progress have a connection that is open now."""
        for exchange in self._open_exchanges:
            exchange.note_if_open()

    def break_repeatable(self, since: float) -> None:
        """Close the connections of repeatable requests that bring nothing since a trio time.

        Their exchanges raise `ConnectionLost`.
        """
        for exchange in [e for e in self._open_exchanges if e.repeatable]:
            if exchange.received_at <= since:
                exchange.abandon()

    def drop_idle(self) -> None:
        """Close the idle connections, for example since another one became unresponsive."""
        self.idle.close()

    async def _connect(self) -> PooledConnection:
        timeout_s = CONNECT_S + self.traffic.queue_delay_s()
        if not self._share.take():
            raise NoDescriptor(f"{self._host}:{self._port}: the share of descriptors is used up")
        try:
            stream = await connect_tcp_stream(self._host, self._port, timeout_s)
        except BaseException:
            self._share.give_back()
            raise
        self.opened += 1
        self.received_at = trio.current_time()
        idle_until = self.received_at + DEFAULT_IDLE_S
        return PooledConnection(
            stream, h11.Connection(h11.CLIENT, MAX_HEAD_BYTES), idle_until, share=self._share
        )

    def release(self, connection: PooledConnection) -> None:
        """Put a connection back into the pool, or close it if the pool is closed."""
        if self._closed:
            connection.close()
        else:
            self.idle.put(connection)

    def close(self) -> None:
        """Close the idle connections now, and the others at the end of their exchanges."""
        self._closed = True
        self.drop_idle()


async def _stays_open(connection: PooledConnection, open_s: float) -> bool:
    try:
        await trio.sleep(open_s)
        return connection.is_open()
    except BaseException:
        connection.close()
        raise
