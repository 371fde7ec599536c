"""HTTP/1.1 server: requests of a connection one after another, answers complete or cut off."""

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

import h11
import trio
from loguru import logger

from railtide.errors import RailtideError
from railtide.http.descriptors import DescriptorShare, unlimited
from railtide.http.errors import CallerDisconnected
from railtide.http.limited_listener import LimitedListener
from railtide.http.messages import Headers, HttpRequest, first_header
from railtide.http.sockets import has_ended, set_tcp_options
from railtide.http.traffic import Traffic

__all__ = ["CLOSE", "ConnectionLimits", "Handler", "HttpServer", "Responder"]

READ_BYTES = 65_536
MAX_READ_AHEAD = 262_144
"""Bytes of pipelined requests that are buffered while a request is answered. Beyond it, the
caller's disconnect is not detected until the answer ends."""

MIN_BODY_RATE = 65_536
"""Lowest rate of a request body, bytes/s: a tenth of a link of 5 Mbit/s. With a fixed timeout for
the whole request, a large body on a slow link would be rejected on every retry."""

MAX_DISCARDED_BODY = 16_384
"""Largest body of a rejected request that is received and discarded. A caller sends about as much
before it can learn of the rejection, and a new connection would cost the link more packets."""

LINGER_S = 1.0
"""Longest wait for the rest of a rejected body after the rejection was sent."""

HEADER_OVERHEAD = 4
"""Bytes of a header line besides its name and value: colon, space, CR and LF."""

BAD_REQUEST = 400
TIMEOUT = 408
BODY_TOO_LARGE = 413
HEAD_TOO_LARGE = 431
UNAVAILABLE = 503
CLOSE: tuple[bytes, bytes] = (b"connection", b"close")


@dataclass
class ConnectionLimits:
    """Size and time limits of requests; updated in place when the configuration changes.

    Attributes
    ----------
    head_bytes, body_bytes : int
        Largest head and body of a request.
    head_timeout_s : float
        Longest time from the first byte of a request to the end of its body, extended by the time
        that the received bytes of the body take at `MIN_BODY_RATE`.
    idle_timeout_s : float
        How long a connection may be idle between requests.
    retry_after_s : callable
        Returns None while these limits are certainly the current ones. Otherwise newer limits may
        be in force, and it returns the seconds after which a refused caller may retry.
    """

    head_bytes: int = 16_384
    body_bytes: int = 4_194_304
    head_timeout_s: float = 5.0
    idle_timeout_s: float = 30.0
    retry_after_s: Callable[[], float | None] = lambda: None


class Responder(ABC):
    """Writes the answer to one request.

    Attributes
    ----------
    started : bool
        True once a byte of the answer may have been sent.
    """

    started = False

    @abstractmethod
    async def start(self, status: int, headers: Headers, length: int | None) -> None:
        """Send the head; without a length, the body is sent in chunked encoding."""

    @abstractmethod
    async def write(self, data: bytes) -> None:
        """Send part of the body."""

    @abstractmethod
    async def finish(self) -> None:
        """End the answer. If it is not called, the connection is closed within the answer."""

    @abstractmethod
    def hijack(self) -> trio.SocketStream:
        """Return the stream, to which only the handler writes and which is closed after it."""

    @abstractmethod
    async def check_caller(self) -> None:
        """Raise if the caller has disconnected, also if its handler was not cancelled yet.

        Raises
        ------
        CallerDisconnected
        """

    async def answer(self, status: int, headers: Headers, body: bytes = b"") -> None:
        """Send a complete answer."""
        await self.start(status, headers, len(body))
        await self.write(body)
        await self.finish()


Handler = Callable[[HttpRequest, Responder], Awaitable[None]]
HeadCheck = Callable[[HttpRequest, int], RailtideError | None]
"""Given a request without its body, and the length of the body as stated (0 if unknown), returns
why the request is rejected, or None."""


def _admit_all(request: HttpRequest, length: int) -> None:
    return None


class _RequestRefused(Exception):  # noqa: N818 - results in an answer, not in an error
    def __init__(self, status: int, *, by_limit: bool = False) -> None:
        super().__init__(str(status))
        self.status = status
        self.by_limit = by_limit


class HttpServer:
    """Accepts connections and passes their requests to a handler.

    Parameters
    ----------
    handler : callable
        Answers one request. It is cancelled when the caller disconnects.
    limits : ConnectionLimits
    traffic : Traffic, optional
        Counts the bytes of all connections.
    check_head : callable, optional
        See `HeadCheck`. The handler answers rejected requests; it gets them without a body.
    share : DescriptorShare, optional
        Of the connections; unlimited by default. While it is nearly used up, each answer asks its
        caller to close the connection, since most connections wait for their next request.
    waits_for_room : bool, optional
        See `LimitedListener`.

    Attributes
    ----------
    closing : bool
        If True, each answer asks its caller to close the connection.
    idle_scopes : dict of trio.CancelScope
        The scopes in which connections wait for their next request, the longest wait first;
        cancelling one closes its connection.
    """

    def __init__(
        self,
        handler: Handler,
        limits: ConnectionLimits,
        traffic: Traffic | None = None,
        check_head: HeadCheck = _admit_all,
        share: DescriptorShare | None = None,
        waits_for_room: bool = False,
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.traffic = traffic or Traffic()
        self.check_head = check_head
        self.closing = False
        self.idle_scopes: dict[trio.CancelScope, None] = {}
        self.share = share or unlimited()
        self._waits_for_room = waits_for_room

    async def serve(self, listener: trio.SocketListener) -> None:
        """Accept connections until cancelled."""
        limited = LimitedListener(
            listener, self.share, self._close_longest_idle, self._waits_for_room
        )

        async def serve_and_release(stream: trio.SocketStream) -> None:
            try:
                await self._serve_stream(stream)
            finally:
                limited.release()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(limited.report_ends)
            await trio.serve_listeners(serve_and_release, [limited], handler_nursery=nursery)

    def close_idle(self) -> None:
        """Close the connections that wait for a request."""
        for scope in list(self.idle_scopes):
            scope.cancel()

    def _close_longest_idle(self) -> bool:
        """Begin to close the connection that waits longest; return whether there is one."""
        scope = next(iter(self.idle_scopes), None)
        if scope is None:
            return False
        del self.idle_scopes[scope]
        scope.cancel()
        return True

    async def _serve_stream(self, stream: trio.SocketStream) -> None:
        try:
            set_tcp_options(stream.socket)
            await _Connection(self, stream).run()
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError, CallerDisconnected):
            pass  # the caller disconnected; the handler has logged the consequences
        except Exception as err:
            logger.bind(error=repr(err)).exception("connection-failed")
        finally:
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)


class _Connection:
    def __init__(self, server: HttpServer, stream: trio.SocketStream) -> None:
        self.server = server
        self.stream = stream
        # h11 can't change its maximum later; `_next_event` checks the current head limit
        max_event_bytes = max(MAX_READ_AHEAD, server.limits.head_bytes)
        self.h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=max_event_bytes)
        self.read_ahead = 0
        self.rejected_unread = False

    async def run(self) -> None:
        while True:
            try:
                request = await self._read_request()
            except _RequestRefused as err:
                await self._refuse(err)
                return
            if request is None:
                return
            sent = await self._answer(request)
            if sent and self.rejected_unread:
                await self._linger()
            if not sent or self.h11.their_state is not h11.DONE:
                return
            self.h11.start_next_cycle()
            self.read_ahead = 0

    async def _linger(self) -> None:
        """Read what a rejected caller still sends, up to a limit, before the connection is closed.

        A close with unread bytes resets the connection, and the caller may lose the rejection.
        """
        remaining = MAX_READ_AHEAD
        with trio.move_on_after(LINGER_S):
            await self.stream.send_eof()
            while remaining > 0 and (data := await self._receive()):
                remaining -= len(data)

    @property
    def is_closing(self) -> bool:
        """Whether the connection ends after this answer."""
        return self.server.closing or self.server.share.is_crowded or self.rejected_unread

    async def send(self, data: bytes) -> None:
        await self.stream.send_all(data)
        self.server.traffic.note_sent(len(data))

    async def _receive(self) -> bytes:
        data = await self.stream.receive_some(READ_BYTES)
        self.server.traffic.note_received(len(data))
        return data

    # -- reading ------------------------------------------------------------------------------

    async def _read_request(self) -> HttpRequest | None:
        """Return the next request, or None if the connection has ended."""
        if not self.h11.trailing_data[0] and not await self._wait_for_bytes():
            return None
        with trio.move_on_after(self.server.limits.head_timeout_s) as scope:
            return await self._read_whole(scope)
        if scope.cancelled_caught:
            raise _RequestRefused(TIMEOUT)
        return None

    async def _wait_for_bytes(self) -> bool:
        """Wait for the first bytes of a request; return False if none arrive in time."""
        with trio.move_on_after(self.server.limits.idle_timeout_s) as scope:
            self.server.idle_scopes[scope] = None
            try:
                data = await self._receive()
            finally:
                self.server.idle_scopes.pop(scope, None)
        if scope.cancelled_caught or not data:
            return False
        self.h11.receive_data(data)
        return True

    async def _read_whole(self, scope: trio.CancelScope) -> HttpRequest | None:
        """Return a complete request, or None if the caller disconnected.

        Each received part of the body extends the deadline by its size / `MIN_BODY_RATE`.
        """
        head = rejected = None
        body = bytearray()
        while True:
            event = await self._next_event(in_head=head is None)
            if isinstance(event, h11.Request):
                head = event
                if _head_bytes(event) > self.server.limits.head_bytes:
                    raise _RequestRefused(HEAD_TOO_LARGE, by_limit=True)
                rejected = self._rejected(event)
                if rejected and self._is_closing_cheaper(event):
                    self.rejected_unread = True
                    return rejected
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > self.server.limits.body_bytes:
                    raise _RequestRefused(BODY_TOO_LARGE, by_limit=True)
                scope.deadline += len(event.data) / MIN_BODY_RATE
            elif isinstance(event, h11.EndOfMessage):
                if rejected:
                    return rejected
                return HttpRequest(head.method, head.target, tuple(head.headers), bytes(body))
            elif isinstance(event, h11.ConnectionClosed):
                return None

    def _rejected(self, head: h11.Request) -> HttpRequest | None:
        """Return the request without a body if the head check rejects it."""
        request = HttpRequest(head.method, head.target, tuple(head.headers))
        rejection = self.server.check_head(request, _stated_length(head))
        return replace(request, rejection=rejection) if rejection else None

    def _is_closing_cheaper(self, head: h11.Request) -> bool:
        """Return whether the body of a rejected request is left unread, which ends the connection.

        Only a body that the caller has not sent yet costs the link less that way.
        """
        if self.h11.they_are_waiting_for_100_continue:
            return True
        missing = _stated_length(head) - len(self.h11.trailing_data[0])
        return missing > MAX_DISCARDED_BODY

    async def _next_event(self, in_head: bool) -> h11.Event | type[h11.PAUSED]:
        while True:
            try:
                event = self.h11.next_event()
            except h11.RemoteProtocolError as err:
                if err.error_status_hint == HEAD_TOO_LARGE:
                    raise _RequestRefused(HEAD_TOO_LARGE, by_limit=True) from err
                raise _RequestRefused(BAD_REQUEST) from err
            if event is not h11.NEED_DATA:
                return event
            if in_head and len(self.h11.trailing_data[0]) > self.server.limits.head_bytes:
                raise _RequestRefused(HEAD_TOO_LARGE, by_limit=True)
            if self.h11.they_are_waiting_for_100_continue:
                proceed = h11.InformationalResponse(status_code=100, headers=[])
                await self.send(self.h11.send(proceed))
            self.h11.receive_data(await self._receive())

    async def _refuse(self, refused: _RequestRefused) -> None:
        """Answer a request that is invalid or exceeds a limit, and end the connection."""
        if self.h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        responder = _H11Responder(self)
        retry_after_s = self.server.limits.retry_after_s() if refused.by_limit else None
        if retry_after_s is None:
            await responder.answer(refused.status, (CLOSE,))
        else:
            retry_after = (b"retry-after", f"{retry_after_s:.2f}".encode())
            await responder.answer(UNAVAILABLE, (CLOSE, retry_after))

    # -- answering ----------------------------------------------------------------------------

    async def _answer(self, request: HttpRequest) -> bool:
        """Answer a request and return whether the whole answer was sent.

        The state of `h11` can't be used for this: it is DONE once the last bytes are encoded, even
        if a deadline then cancels the write. The caller would read the next answer as part of this
        one.
        """
        responder = _H11Responder(self)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._watch_caller, nursery.cancel_scope)
                await self.server.handler(request, responder)
                nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, trio.ClosedResourceError, CallerDisconnected):
            pass  # the answer is incomplete, so the connection is closed
        return responder.finished

    async def _watch_caller(self, scope: trio.CancelScope) -> None:
        """Cancel the handler when the caller disconnects; buffer pipelined requests."""
        while self.read_ahead < MAX_READ_AHEAD:
            try:
                data = await self._receive()
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b""
            if not data:
                scope.cancel()
                return
            self.read_ahead += len(data)
            self.h11.receive_data(data)


def _stated_length(head: h11.Request) -> int:
    """Return the stated length of a request's body, 0 if there is none; h11 has validated it."""
    return int(first_header(head.headers, b"content-length") or 0)


def _head_bytes(head: h11.Request) -> int:
    """Return the size of a head; h11 limits only heads that don't arrive in one read."""
    lines = sum(len(name) + len(value) + HEADER_OVERHEAD for name, value in head.headers)
    return len(head.method) + len(head.target) + lines


class _H11Responder(Responder):
    def __init__(self, connection: _Connection) -> None:
        self.finished = False
        self._connection = connection

    async def start(self, status: int, headers: Headers, length: int | None) -> None:
        """Send the head; see `Responder.start`."""
        self.started = True
        framing = (
            (b"transfer-encoding", b"chunked")
            if length is None
            else (b"content-length", str(length).encode())
        )
        closing = (CLOSE,) if self._connection.is_closing else ()
        if first_header(headers, CLOSE[0]):
            closing = ()
        head = h11.Response(status_code=status, headers=[*headers, framing, *closing])
        self._head = self._connection.h11.send(head)
        if length is None:
            await self._send(self._take_head())

    def _take_head(self) -> bytes:
        head, self._head = self._head, b""
        return head

    async def write(self, data: bytes) -> None:
        """Send part of the body, together with the head if that was not sent yet."""
        if data:
            body = self._connection.h11.send(h11.Data(data=data))
            await self._send(self._take_head() + body)

    async def finish(self) -> None:
        """End the answer; see `Responder.finish`."""
        end = self._connection.h11.send(h11.EndOfMessage())
        await self._send(self._take_head() + end)
        self.finished = True

    async def check_caller(self) -> None:
        """Raise if the caller has disconnected; see `Responder.check_caller`."""
        if await has_ended(self._connection.stream.socket):
            raise CallerDisconnected("the caller closed its connection")

    def hijack(self) -> trio.SocketStream:
        """Return the connection; see `Responder.hijack`."""
        self.started = True
        return self._connection.stream

    async def _send(self, data: bytes) -> None:
        if not data:
            return
        try:
            await self._connection.send(data)
        except trio.BrokenResourceError as err:
            raise CallerDisconnected("the caller closed its connection") from err
