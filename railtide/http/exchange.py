"""One request and its answer on a connection, which report exactly what was sent."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import TYPE_CHECKING

import h11
import trio

from railtide.http.errors import AnswerTooLong, ConnectionLost, ForeignAnswer, RequestInvalid
from railtide.http.idle_connections import PooledConnection
from railtide.http.messages import Headers, HttpRequest, first_header
from railtide.http.read_pace import CHUNK_WORK, EVENT_WORK, ReadPace
from railtide.http.stall import StallWatch
from railtide.http.targets import HOST

if TYPE_CHECKING:
    from railtide.http.client import PeerPool

__all__ = ["DEFAULT_IDLE_S", "ConnectionUse", "Exchange", "HttpAnswer"]

READ_BYTES = 65_536
SEND_BYTES = 16_384
"""Largest part of a request that is written at once while a `StallWatch` runs. The kernel buffers
about as much unsent data, so a completed write means that earlier data was transmitted."""
DEFAULT_IDLE_S = 4.0
"""How long an idle connection is reused if the peer does not send a keep-alive timeout."""
IDLE_MARGIN_S = 1.0
"""An idle connection is no longer reused this long before the peer would close it."""
HANG_UP_S = 0.05
"""Longest wait until a peer ends a connection that this side has ended. It takes a round trip where
the peer stops its work then; any other connection is closed after this time."""
MAX_HANG_UP_BYTES = 262_144
"""Bytes received meanwhile after which the connection is closed at once."""
MAX_INFORMATIONAL = 16
"""Informational answers that may come before an answer."""
MAX_BODY_BYTES = 67_108_864
"""Bytes of a body after which the connection is closed. It limits streams, and bodies that are
passed on as they arrive; a body that is held as a whole has a lower limit."""
MAX_EVENTS_AT_A_TIME = 64
"""Parts of a body that are decoded before other tasks get a turn."""
FRAMING = (b"content-length", b"transfer-encoding")
STATUSES_WITHOUT_BODY = (204, 304)
MAX_STATUS = 599
"""Highest status code that HTTP defines (RFC 9110, 15)."""


@dataclass(frozen=True)
class ConnectionUse:
    """A connection as one exchange uses it.

    Attributes
    ----------
    number : int
        See `PooledConnection`.
    carried : int
        Number of requests that it carried before.
    """

    number: int
    carried: int


class HttpAnswer(ABC):
    """An answer whose head was received and whose body is still to be read.

    Attributes
    ----------
    status : int
    headers : Headers
    framed : bool
        Whether the end of the body is marked by its length or a last chunk, and not by the close
        of the connection; also where an answer can have no body.
    use : ConnectionUse
        The connection of this router that it arrives on.
    alive_at : float
        Trio time at which its peer was last known to run: its exchange began, or its connection was
        seen to be open.
    """

    status: int
    headers: Headers
    framed: bool
    use: ConnectionUse
    alive_at: float

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
    async def note_events(self, count: int) -> None:
        """Record that events of a stream were decoded; wait if there are too many at a time."""

    @abstractmethod
    def discard(self) -> None:
        """End the answer unread; keep the connection only if all of it was received."""


class Exchange(HttpAnswer):
    """One request and its answer on a connection.

    Parameters
    ----------
    pool : PeerPool
        The pool that the connection is returned to.
    connection : PooledConnection
    watch : StallWatch, optional
    repeatable : bool, optional
    pace : ReadPace, optional

    Attributes
    ----------
    reused : bool
        Whether the connection was used for an earlier request.
    began_at, received_at : float
        Trio time at which it began, and at which it began or bytes were received last.
    repeatable : bool
        See `PeerPool.send`.
    """

    def __init__(
        self,
        pool: "PeerPool",
        connection: PooledConnection,
        watch: StallWatch | None = None,
        repeatable: bool = False,
        pace: ReadPace | None = None,
    ) -> None:
        self.status = 0
        self.headers: Headers = ()
        self.framed = False
        self.use = ConnectionUse(connection.number, connection.exchanges)
        self.reused = connection.exchanges > 0
        self.began_at = self.alive_at = self.received_at = trio.current_time()
        self.repeatable = repeatable
        self._pool = pool
        pool.note_begun(self)
        self._connection = connection
        self._watch = watch
        self._pace = pace
        self._body_bytes = 0
        self._ended = False
        self._all_sent = False
        self._has_id = False
        self._send_failed = False

    def note_if_open(self) -> None:
        """Update `alive_at` if neither side has closed the connection."""
        if self._connection.is_open():
            self.alive_at = trio.current_time()

    async def begin(self, request: HttpRequest) -> None:
        """Send the request and concurrently wait for the head of the answer.

        If the answer begins before the request is sent, the rest of the request is not sent, and
        the connection is not reused.

        Raises
        ------
        RequestInvalid
            Nothing was sent.
        ForeignAnswer
            The answer is that to another request: a peer may send a late copy of an earlier answer
            where the next one is due. This request may be in progress at the peer.
        """
        parts = self._encode(request)
        head: h11.Response | ConnectionLost | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send, parts)
            head = await self._try_read_head()
            nursery.cancel_scope.cancel()
        if isinstance(head, ConnectionLost):
            try:
                raise head
            finally:
                del head  # its traceback refers to this frame
        self.status = head.status_code
        self.headers = tuple(head.headers)
        has_no_body = request.method == b"HEAD" or self.status in STATUSES_WITHOUT_BODY
        self.framed = has_no_body or any(name in FRAMING for name, _ in self.headers)
        self._check_id(request)

    def _check_id(self, request: HttpRequest) -> None:
        """Raise `ForeignAnswer` unless the answer is certainly that to the request.

        Without an id it is if no other request was sent on the connection, which isn't kept then.
        """
        correlation = self._pool.correlation
        request_id = correlation.id_of(request.headers)
        self._has_id = correlation.matches(self.headers, request_id)
        if correlation.contradicts(self.headers, request_id) or self.reused and not self._has_id:
            raise ForeignAnswer(
                "the answer does not carry the id of the request", self.status, self.headers
            )

    def _encode(self, request: HttpRequest) -> list[bytes]:
        """Return the request as it is sent; a large body stays apart and is not copied."""
        headers = list(request.headers)
        if all(name != HOST for name, _ in headers):
            headers.append((HOST, b""))  # a request of HTTP/1.0 may have none
        has_body = bool(request.body) or request.method not in (b"GET", b"HEAD", b"DELETE")
        if has_body:
            headers.append((b"content-length", str(len(request.body)).encode()))
        conn = self._connection.h11
        try:
            head = h11.Request(method=request.method, target=request.target, headers=headers)
            parts = [conn.send(head)]
        except h11.LocalProtocolError as err:
            raise RequestInvalid(str(err)) from err
        if request.body:
            parts.append(conn.send(h11.Data(data=request.body)))
        parts.append(conn.send(h11.EndOfMessage()))
        return [b"".join(parts)] if len(request.body) <= SEND_BYTES else parts

    async def _send(self, parts: list[bytes]) -> None:
        try:
            for data in filter(None, parts):
                await self._send_parts(data)
            self._all_sent = True
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self._send_failed = True  # there may be an early answer: the reader finds out

    async def _send_parts(self, data: bytes) -> None:
        if not self._watch:
            await self._connection.stream.send_all(data)
            self._pool.traffic.note_sent(len(data))
            return
        view = memoryview(data)
        for start in range(0, len(data), SEND_BYTES):
            part = view[start : start + SEND_BYTES]
            await self._connection.stream.send_all(part)
            self._pool.traffic.note_sent(len(part))
            self._watch.note_sent()

    async def _try_read_head(self) -> h11.Response | ConnectionLost:
        """Return the head of the answer, or the error by which it was lost."""
        try:
            return await self._read_head()
        except ConnectionLost as err:
            return err

    async def _read_head(self) -> h11.Response:
        for _ in range(1 + MAX_INFORMATIONAL):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                if event.status_code > MAX_STATUS:
                    raise ConnectionLost(f"invalid HTTP answer: status {event.status_code}")
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise ConnectionLost("the connection was closed before the answer began")
        raise AnswerTooLong("too many informational answers came before the answer")

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body; see `HttpAnswer.chunks`."""
        has_ended = False
        while not has_ended:
            try:
                data, chunks, has_ended = await self._next_part()
            except ConnectionLost:
                self.abandon()
                raise
            if data:
                yield data
            if self._pace and not has_ended:
                await self._pace.note(len(data) + CHUNK_WORK * chunks)
            if self._ended:
                raise ConnectionLost("the connection was closed before the end of the answer")
        self._check_end()
        self._finish()

    async def note_events(self, count: int) -> None:
        """Record events of a stream; see `HttpAnswer.note_events`."""
        if self._pace:
            await self._pace.note(EVENT_WORK * count)

    async def _next_part(self) -> tuple[bytes, int, bool]:
        """Return the received bytes of the body, the events they came in, and whether it has ended.

        Some events are decoded at a time, so that a body in tiny chunks leaves room for other
        tasks.
        """
        parts: list[bytes] = []
        event = await self._next_event()
        while isinstance(event, h11.Data):
            parts.append(bytes(event.data))
            if len(parts) >= MAX_EVENTS_AT_A_TIME:
                await trio.lowlevel.checkpoint()
                break
            event = self._decode_event()
        if not isinstance(event, h11.Data | h11.EndOfMessage) and event is not h11.NEED_DATA:
            raise ConnectionLost("the connection was closed before the end of the answer")
        data = b"".join(parts)
        self._body_bytes += len(data)
        if self._body_bytes > MAX_BODY_BYTES:
            raise AnswerTooLong(f"the answer is larger than {MAX_BODY_BYTES} bytes")
        return data, len(parts), isinstance(event, h11.EndOfMessage)

    def _decode_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """Return the next event of the bytes received so far."""
        try:
            return self._connection.h11.next_event()
        except h11.RemoteProtocolError as err:
            raise ConnectionLost(f"invalid HTTP answer: {err}") from err

    async def _next_event(self) -> h11.Event | type[h11.PAUSED]:
        while True:
            event = self._decode_event()
            if event is not h11.NEED_DATA:
                return event
            try:
                self._connection.h11.receive_data(await self._receive())
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
            self._connection.close()
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
            self._connection.close()

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
            self._connection.close()

    def discard(self) -> None:
        """End the answer unread; see `HttpAnswer.discard`."""
        try:
            for _ in range(MAX_EVENTS_AT_A_TIME):
                event = self._decode_event()
                if isinstance(event, h11.EndOfMessage):
                    self._finish()
                    return
                if not isinstance(event, h11.Data):
                    break
        except ConnectionLost:
            pass  # the connection is closed below
        self.abandon()

    def _end(self) -> None:
        self._ended = True
        self._pool.note_ended(self)
