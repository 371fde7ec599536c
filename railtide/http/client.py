"""HTTP/1.1 client: pooled connections to one peer, and exchanges that report what was sent."""

import math
from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import h11
import trio

from railtide.http.correlation import Correlation
from railtide.http.errors import ConnectFailed, ConnectionLost, ConnectRefused, ForeignAnswer
from railtide.http.messages import Headers, HttpRequest, first_header
from railtide.http.sockets import set_tcp_options
from railtide.http.stall import StallWatch
from railtide.http.traffic import Traffic

__all__ = ["Exchange", "HttpAnswer", "PeerPool", "connect_tcp_stream"]

READ_BYTES = 65_536
SEND_BYTES = 16_384
"""Largest part of a request that is written at once while a `StallWatch` runs. The kernel buffers
about as much unsent data, so a completed write means that earlier data was transmitted."""
CONNECT_S = 0.4
"""Connection timeout, seconds. Longer than two lost SYN packets take on a link with a latency of a
few milliseconds, and well below the latency goals of model calls."""
DEFAULT_IDLE_S = 4.0
"""How long an idle connection is reused if the peer does not send a keep-alive timeout."""
IDLE_MARGIN_S = 1.0
"""An idle connection is no longer reused this long before the peer would close it."""
UNRESPONSIVE_S = 0.5
"""If a reused connection brings no answer for this long, the other idle connections are closed too.
A store answers in milliseconds. For an upstream that is only slow, this costs new connections of
1 ms each; reuse of unresponsive connections would cost each request its whole timeout."""
HANG_UP_S = 0.05
"""Longest wait until a peer ends a connection that this side has ended. It takes a round trip where
the peer stops its work then; any other connection is closed after this time."""
MAX_HEAD_BYTES = 65_536
MAX_HANG_UP_BYTES = 262_144
"""Bytes received meanwhile after which the connection is closed at once."""
MIN_REMEMBERED_IDS = 64
"""Requests that a connection remembers before it forgets those that can't be sent again."""
MAX_SKIPPED = 8
"""Idle connections kept that can't carry a request since they carried one with its id. A request is
offered fewer times; callers that use an id for many requests would leave a connection for each."""
FRAMING = (b"content-length", b"transfer-encoding")


async def connect_tcp_stream(
    host: str, port: int, timeout_s: float = CONNECT_S
) -> trio.SocketStream:
    """Return a stream connected to an IP address.

    Raises
    ------
    ConnectRefused
        If nothing listens at the address.
    ConnectFailed
        If the peer does not answer within `timeout_s`, or is unreachable.
    """
    sock = trio.socket.socket()
    try:
        with trio.fail_after(timeout_s):
            await sock.connect((host, port))
        set_tcp_options(sock)
    except ConnectionRefusedError as err:
        sock.close()
        raise ConnectRefused(f"{host}:{port}: {type(err).__name__}") from err
    except (OSError, trio.TooSlowError) as err:
        sock.close()
        raise ConnectFailed(f"{host}:{port}: {type(err).__name__}") from err
    except BaseException:
        sock.close()
        raise
    return trio.SocketStream(sock)


@dataclass(eq=False)
class _PooledConnection:
    """A connection that is reused.

    Attributes
    ----------
    usable_until : float
        End of its time for reuse, trio time.
    exchanges : int
        Number of requests whose exchanges have ended.
    repeated_until_by_id : dict of int to float
        Until when each request sent on it may be sent again, by the hash of its id; trio times.
    """

    stream: trio.SocketStream
    h11: h11.Connection
    usable_until: float = math.inf
    exchanges: int = 0
    repeated_until_by_id: dict[int, float] = field(default_factory=dict)
    _max_ids: int = MIN_REMEMBERED_IDS

    def is_usable(self) -> bool:
        """Return whether the connection may be reused: not expired, and nothing to read on it."""
        if trio.current_time() >= self.usable_until:
            return False
        return not self.stream.socket.is_readable()

    def note_sent(self, request_id: bytes, repeated_until: float) -> None:
        """Record that a request is sent on it, which may be sent again until a trio time."""
        if len(self.repeated_until_by_id) >= self._max_ids:
            now = trio.current_time()
            ids = self.repeated_until_by_id.items()
            self.repeated_until_by_id = {key: until for key, until in ids if until > now}
            self._max_ids = max(MIN_REMEMBERED_IDS, 2 * len(self.repeated_until_by_id))
        self.repeated_until_by_id[hash(request_id)] = repeated_until

    def has_carried(self, request_id: bytes | None) -> bool:
        """Return whether a request with this id was sent on it, as far as it may come again."""
        return request_id is not None and hash(request_id) in self.repeated_until_by_id


class HttpAnswer(ABC):
    """An answer whose head was received and whose body is still to be read.

    Attributes
    ----------
    status : int
    headers : Headers
    framed : bool
        Whether the end of the body is marked by its length or a last chunk, and not by the close
        of the connection.
    """

    status: int
    headers: Headers
    framed: bool

    @abstractmethod
    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body as they are received.

        Raises
        ------
        ConnectionLost
            If the connection is lost before the end of the body.
        """

    @abstractmethod
    def abandon(self) -> None:
        """Close the connection unless the answer has ended, so that the peer stops its work."""

    @abstractmethod
    def discard(self) -> None:
        """End the answer unread; keep the connection only if all of it was received."""


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

    Attributes
    ----------
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
    ) -> None:
        self.opened = 0
        self.correlation = correlation or Correlation()
        self._busy = set() if busy is None else busy
        self.received_at = -math.inf
        self._open_exchanges: set[Exchange] = set()
        self.traffic = traffic or Traffic()
        self._host = host
        self._port = port
        self._idle: list[_PooledConnection] = []
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
        ConnectionLost
            If part of the request may have been sent.
        ForeignAnswer
            Likewise, if the answer to another request arrived.
        """
        request_id = self.correlation.id_of(request.headers)
        connection = self._checkout(request_id) or await self._connect()
        if request_id is not None:
            connection.note_sent(request_id, trio.current_time() + timeout_s)
        exchange = Exchange(self, connection, watch, repeatable)
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

    async def connect(self) -> None:
        """Make a connection and keep it for the next request.

        Raises
        ------
        ConnectFailed
            See `connect_tcp_stream`.
        """
        self.release(await self._connect())

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

    def break_repeatable(self, since: float) -> None:
        """Close the connections of repeatable requests that bring nothing since a trio time.

        Their exchanges raise `ConnectionLost`.
        """
        for exchange in [e for e in self._open_exchanges if e.repeatable]:
            if exchange.received_at <= since:
                exchange.abandon()

    def drop_idle(self) -> None:
        """Close the idle connections, for example since another one became unresponsive."""
        while self._idle:
            self._idle.pop().stream.socket.close()

    def _checkout(self, request_id: bytes | None) -> _PooledConnection | None:
        """Return the connection used last that may carry a request, None if there is none."""
        skipped = []
        found = None
        while self._idle and found is None:
            connection = self._idle.pop()
            if not connection.is_usable():
                connection.stream.socket.close()
            elif connection.has_carried(request_id):
                skipped.append(connection)
            else:
                found = connection
        for connection in skipped[MAX_SKIPPED:]:
            connection.stream.socket.close()
        self._idle += reversed(skipped[:MAX_SKIPPED])
        return found

    async def _connect(self) -> _PooledConnection:
        timeout_s = CONNECT_S + self.traffic.queue_delay_s()
        stream = await connect_tcp_stream(self._host, self._port, timeout_s)
        self.opened += 1
        self.received_at = trio.current_time()
        idle_until = self.received_at + DEFAULT_IDLE_S
        return _PooledConnection(stream, h11.Connection(h11.CLIENT, MAX_HEAD_BYTES), idle_until)

    def release(self, connection: _PooledConnection) -> None:
        """Put a connection back into the pool, or close it if the pool is closed."""
        if self._closed:
            connection.stream.socket.close()
        else:
            self._idle.append(connection)

    def close(self) -> None:
        """Close the idle connections now, and the others at the end of their exchanges."""
        self._closed = True
        self.drop_idle()


class Exchange(HttpAnswer):
    """One request and its answer on a connection.

    Parameters
    ----------
    pool : PeerPool
        The pool that the connection is returned to.
    connection : _PooledConnection
    watch : StallWatch, optional

    Attributes
    ----------
    reused : bool
        Whether the connection was used for an earlier request.
    began_at : float
        Trio time at which the exchange began.
    received_at : float
        Trio time at which it began or bytes were received last.
    repeatable : bool
        See `PeerPool.send`.
    """

    def __init__(
        self,
        pool: PeerPool,
        connection: _PooledConnection,
        watch: StallWatch | None = None,
        repeatable: bool = False,
    ) -> None:
        self.status = 0
        self.headers: Headers = ()
        self.framed = False
        self.reused = connection.exchanges > 0
        self.began_at = self.received_at = trio.current_time()
        self.repeatable = repeatable
        self._pool = pool
        pool.note_begun(self)
        self._connection = connection
        self._watch = watch
        self._ended = False
        self._all_sent = False
        self._has_id = False
        self._send_failed = False

    async def begin(self, request: HttpRequest) -> None:
        """Send the request and concurrently wait for the head of the answer.

        If the answer begins before the request is sent, the rest of the request is not sent, and
        the connection is not reused.

        Raises
        ------
        ForeignAnswer
            The answer is that to another request: a peer may send a late copy of an earlier answer
            where the next one is due. This request may be in progress at the peer.
        """
        data = self._encode(request)
        head: h11.Response | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send, data)
            head = await self._try_read_head()
            nursery.cancel_scope.cancel()
        if head is None:
            raise ConnectionLost("the connection was closed before the answer began")
        self.status = head.status_code
        self.headers = tuple(head.headers)
        self.framed = any(name in FRAMING for name, _ in self.headers)
        self._check_id(request)

    def _check_id(self, request: HttpRequest) -> None:
        """Raise `ForeignAnswer` unless the answer is certainly that to the request.

        Without an id it is if no other request was sent on the connection, which isn't kept then.
        """
        correlation = self._pool.correlation
        request_id = correlation.id_of(request.headers)
        self._has_id = correlation.matches(self.headers, request_id)
        if correlation.contradicts(self.headers, request_id) or self.reused and not self._has_id:
            raise ForeignAnswer("the answer does not carry the id of the request")

    def _encode(self, request: HttpRequest) -> bytes:
        headers = list(request.headers)
        has_body = bool(request.body) or request.method not in (b"GET", b"HEAD", b"DELETE")
        if has_body:
            headers.append((b"content-length", str(len(request.body)).encode()))
        conn = self._connection.h11
        parts = [
            conn.send(h11.Request(method=request.method, target=request.target, headers=headers))
        ]
        if request.body:
            parts.append(conn.send(h11.Data(data=request.body)))
        parts.append(conn.send(h11.EndOfMessage()))
        return b"".join(parts)

    async def _send(self, data: bytes) -> None:
        try:
            await self._send_parts(data)
            self._all_sent = True
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self._send_failed = True  # there may be an early answer: the reader finds out

    async def _send_parts(self, data: bytes) -> None:
        if not self._watch:
            await self._connection.stream.send_all(data)
            self._pool.traffic.note_sent(len(data))
            return
        for start in range(0, len(data), SEND_BYTES):
            part = data[start : start + SEND_BYTES]
            await self._connection.stream.send_all(part)
            self._pool.traffic.note_sent(len(part))
            self._watch.note_sent()

    async def _try_read_head(self) -> h11.Response | None:
        try:
            return await self._read_head()
        except ConnectionLost:
            return None

    async def _read_head(self) -> h11.Response:
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise ConnectionLost("the connection was closed before the answer began")

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body; see `HttpAnswer.chunks`."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._check_end()
                self._finish()
                return
            else:
                raise ConnectionLost("the connection was closed before the end of the answer")

    async def _next_event(self) -> h11.Event | type[h11.PAUSED]:
        conn = self._connection.h11
        while True:
            try:
                event = conn.next_event()
                if event is not h11.NEED_DATA:
                    return event
                conn.receive_data(await self._receive())
            except h11.RemoteProtocolError as err:
                raise ConnectionLost(f"invalid HTTP answer: {err}") from err
            except (trio.BrokenResourceError, trio.ClosedResourceError) as err:
                raise ConnectionLost("the connection was reset") from err

    async def _receive(self) -> bytes:
        if not self._watch:
            data = await self._connection.stream.receive_some(READ_BYTES)
        else:
            data = await self._watch.wait(lambda: self._connection.stream.receive_some(READ_BYTES))
            self._watch.note_received(len(data))
        self._pool.note_received(len(data))
        self.received_at = self._pool.received_at
        return data

    def _check_end(self) -> None:
        """Raise if the body ended with a close that may have been a reset.

        The kernel reports a reset only once. If the sender received that report, the reader sees
        an orderly close.
        """
        if self._send_failed and not self.framed:
            raise ConnectionLost("the connection was reset")

    @property
    def _is_settled(self) -> bool:
        """Whether nothing is left over on the connection, so that the next request may use it.

        All of the request was sent, all of its own answer was received (`begin` compares the ids),
        and nothing was received after it.
        """
        conn = self._connection.h11
        has_ended = conn.their_state is h11.DONE and conn.our_state is h11.DONE
        return has_ended and self._all_sent and self._has_id and not conn.trailing_data[0]

    def _finish(self) -> None:
        """Return the connection to the pool if it is settled, or else close it."""
        self._end()
        if not self._is_settled:
            self._connection.stream.socket.close()
            return
        self._connection.h11.start_next_cycle()
        self._connection.exchanges += 1
        self._connection.usable_until = trio.current_time() + self._max_idle_s()
        self._pool.release(self._connection)

    def _max_idle_s(self) -> float:
        """Return how long the connection may be idle, by the peer's keep-alive header if any."""
        keep_alive = first_header(self.headers, b"keep-alive") or b""
        for part in keep_alive.split(b","):
            name, _, value = part.strip().partition(b"=")
            if name.lower() == b"timeout" and value.isdigit():
                return max(0.0, int(value) - IDLE_MARGIN_S)
        return DEFAULT_IDLE_S

    def abandon(self) -> None:
        """Close the connection unless the exchange has ended; see `HttpAnswer.abandon`."""
        if not self._ended:
            self._end()
            self._connection.stream.socket.close()

    async def hang_up(self) -> None:
        """Close the connection; return once the peer has ended it too, or after `HANG_UP_S`.

        A request that is then sent to another peer is no longer in progress at this one.
        """
        self._end()
        stream = self._connection.stream
        remaining = MAX_HANG_UP_BYTES
        try:
            with trio.move_on_after(HANG_UP_S):
                await stream.send_eof()
                while remaining > 0 and (data := await stream.receive_some(READ_BYTES)):
                    remaining -= len(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass  # the peer has reset the connection
        finally:
            stream.socket.close()

    def discard(self) -> None:
        """End the answer unread; see `HttpAnswer.discard`."""
        conn = self._connection.h11
        event: object = None
        try:
            while not self._ended and event not in (h11.NEED_DATA, h11.PAUSED):
                event = conn.next_event()
                if isinstance(event, h11.EndOfMessage):
                    self._finish()
        except h11.RemoteProtocolError:
            pass  # the connection is closed below
        self.abandon()

    def _end(self) -> None:
        self._ended = True
        self._pool.note_ended(self)
