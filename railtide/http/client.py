"""The client side: kept connections to a peer, and exchanges that tell what left and came."""

import math
from collections.abc import AsyncIterator
from dataclasses import dataclass

import h11
import trio

from railtide.http.errors import ConnectFailed, ConnectionLost, ConnectRefused
from railtide.http.messages import Headers, HttpRequest, first_header
from railtide.http.sockets import set_tcp_options
from railtide.http.stall import StallWatch

__all__ = ["Exchange", "PeerPool", "connect_tcp_stream"]

READ_BYTES = 65_536
SEND_BYTES = 16_384
"""Part of a request that is handed to the system at once under a watch; it keeps no more than about
as much unsent, so that what was handed over has moved."""
CONNECT_S = 0.4
"""Longest wait for a connection. Above two lost opening packets on a link of a few
milliseconds, well under the response-time goals of model calls."""
IDLE_S = 4.0
"""How long an idle connection is kept when the peer does not say."""
IDLE_MARGIN_S = 1.0
"""A kept connection is dropped this long before the peer would close it."""
SILENT_S = 0.5
"""Without an answer for this long on a kept connection, other kept ones are not trusted either. A
store answers in milliseconds; an engine that truly reads for so long costs new connections of 1 ms,
and a silent one the whole wait of each request that is sent on it."""
MOST_HEAD_BYTES = 65_536
FRAMING = (b"content-length", b"transfer-encoding")


async def connect_tcp_stream(host: str, port: int) -> trio.SocketStream:
    """Return a connected stream to an IP address.

    Raises
    ------
    ConnectRefused
        Nothing listens there.
    ConnectFailed
        Nobody answers in time, or no way leads there.
    """
    sock = trio.socket.socket()
    try:
        with trio.fail_after(CONNECT_S):
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
class _Kept:
    """A connection and when it may no longer be used."""

    stream: trio.SocketStream
    h11: h11.Connection
    usable_until: float = math.inf
    exchanges: int = 0

    def is_clean(self) -> bool:
        """Return whether the connection is idle and silent: no byte that nobody asked for."""
        if trio.current_time() >= self.usable_until:
            return False
        return not self.stream.socket.is_readable()


class PeerPool:
    """Connections to one address.

    Parameters
    ----------
    host : str
    port : int

    Attributes
    ----------
    opened : int
        Connections made so far.
    """

    def __init__(self, host: str, port: int) -> None:
        self.opened = 0
        self._host = host
        self._port = port
        self._idle: list[_Kept] = []
        self._closed = False

    async def send(self, request: HttpRequest, watch: StallWatch | None = None) -> "Exchange":
        """Send a request and return its exchange once the answer's head is there.

        Parameters
        ----------
        request : HttpRequest
        watch : StallWatch, optional
            Told of the bytes that move, up to the end of the exchange.

        Raises
        ------
        ConnectFailed
            No byte was sent.
        ConnectionLost
            Some may have been.
        """
        kept = self._checkout() or await self._connect()
        exchange = Exchange(self, kept, watch)
        began = trio.current_time()
        try:
            await exchange.begin(request)
        except BaseException:
            exchange.abandon()
            if exchange.reused and trio.current_time() - began >= SILENT_S:
                self.drop_idle()
            raise
        return exchange

    def drop_idle(self) -> None:
        """Close the idle connections; what made one silent may have made them all so."""
        while self._idle:
            self._idle.pop().stream.socket.close()

    def _checkout(self) -> _Kept | None:
        while self._idle:
            kept = self._idle.pop()
            if kept.is_clean():
                return kept
            kept.stream.socket.close()
        return None

    async def _connect(self) -> _Kept:
        stream = await connect_tcp_stream(self._host, self._port)
        self.opened += 1
        return _Kept(stream, h11.Connection(h11.CLIENT, MOST_HEAD_BYTES))

    def give_back(self, kept: _Kept) -> None:
        """Keep a connection for the next request."""
        if self._closed:
            kept.stream.socket.close()
        else:
            self._idle.append(kept)

    def close(self) -> None:
        """Close the idle connections now, and each other one at the end of its exchange."""
        self._closed = True
        self.drop_idle()


class Exchange:
    """One request and its answer on a connection.

    Attributes
    ----------
    status : int
    headers : Headers
    framed : bool
        Whether a length or a last chunk tells the end of the body; else the close does.
    reused : bool
        Whether the connection had carried a request before.
    """

    def __init__(self, pool: PeerPool, kept: _Kept, watch: StallWatch | None = None) -> None:
        self.status = 0
        self.headers: Headers = ()
        self.framed = False
        self.reused = kept.exchanges > 0
        self._pool = pool
        self._kept = kept
        self._watch = watch
        self._over = False
        self._all_sent = False
        self._sending_broke = False

    async def begin(self, request: HttpRequest) -> None:
        """Send the request while waiting for the head; an early answer ends the sending.

        A connection on which the body was not sent to its end is not used again.
        """
        data = self._encode(request)
        head: h11.Response | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send, data)
            head = await self._read_head_or_lose()
            nursery.cancel_scope.cancel()
        if head is None:
            raise ConnectionLost("the connection ended before the answer began")
        self.status = head.status_code
        self.headers = tuple(head.headers)
        self.framed = any(name in FRAMING for name, _ in self.headers)

    def _encode(self, request: HttpRequest) -> bytes:
        headers = list(request.headers)
        has_body = bool(request.body) or request.method not in (b"GET", b"HEAD", b"DELETE")
        if has_body:
            headers.append((b"content-length", str(len(request.body)).encode()))
        conn = self._kept.h11
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
            self._sending_broke = True  # the reading finds the early answer, or that there is none

    async def _send_parts(self, data: bytes) -> None:
        if not self._watch:
            await self._kept.stream.send_all(data)
            return
        for start in range(0, len(data), SEND_BYTES):
            await self._kept.stream.send_all(data[start : start + SEND_BYTES])
            self._watch.note_sent()

    async def _read_head_or_lose(self) -> h11.Response | None:
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
                raise ConnectionLost("the connection ended before the answer began")

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it is read.

        Raises
        ------
        ConnectionLost
            The body broke off before its end.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._check_end()
                self._finish()
                return
            else:
                raise ConnectionLost("the answer broke off")

    async def _next_event(self) -> h11.Event | type[h11.PAUSED]:
        conn = self._kept.h11
        while True:
            try:
                event = conn.next_event()
                if event is not h11.NEED_DATA:
                    return event
                conn.receive_data(await self._receive())
            except h11.RemoteProtocolError as err:
                raise ConnectionLost(f"not an answer: {err}") from err
            except (trio.BrokenResourceError, trio.ClosedResourceError) as err:
                raise ConnectionLost("the connection was reset") from err

    async def _receive(self) -> bytes:
        if not self._watch:
            return await self._kept.stream.receive_some(READ_BYTES)
        data = await self._watch.wait(lambda: self._kept.stream.receive_some(READ_BYTES))
        self._watch.note_received(len(data))
        return data

    def _check_end(self) -> None:
        """Raise if the close that ends the body may have been a reset.

        The system tells of a reset once, and the sending may have been who was told.
        """
        if self._sending_broke and not self.framed:
            raise ConnectionLost("the connection was reset")

    def _finish(self) -> None:
        """Keep the connection if nothing speaks against it."""
        self._over = True
        conn = self._kept.h11
        clean = conn.their_state is h11.DONE and conn.our_state is h11.DONE
        if not clean or not self._all_sent or conn.trailing_data[0]:
            self._kept.stream.socket.close()
            return
        conn.start_next_cycle()
        self._kept.exchanges += 1
        self._kept.usable_until = trio.current_time() + self._idle_s()
        self._pool.give_back(self._kept)

    def _idle_s(self) -> float:
        """Return how long the connection may lie idle, by the peer's word."""
        said = first_header(self.headers, b"keep-alive") or b""
        for part in said.split(b","):
            name, _, value = part.strip().partition(b"=")
            if name.lower() == b"timeout" and value.isdigit():
                return max(0.0, int(value) - IDLE_MARGIN_S)
        return IDLE_S

    def abandon(self) -> None:
        """Close the connection unless the exchange has ended; the peer stops its work."""
        if not self._over:
            self._over = True
            self._kept.stream.socket.close()
