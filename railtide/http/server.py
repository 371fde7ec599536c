"""HTTP/1.1 server: requests of a connection one after another, answers complete or cut off."""

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

import h11
import trio
from loguru import logger

from railtide.errors import RailtideError
from railtide.http.connection_memory import (
    MIN_PEER_RATE,
    ConnectionMemory,
    Holding,
    unlimited_memory,
)
from railtide.http.descriptors import DescriptorShare, unlimited
from railtide.http.errors import CallerDisconnected, MemoryExhausted
from railtide.http.limited_listener import LimitedListener
from railtide.http.messages import Headers, HttpRequest, first_header
from railtide.http.read_pace import CHUNK_WORK, ExcessLane, ReadPace
from railtide.http.sockets import (
    LARGE_BUFFER_BYTES,
    LISTENER_BUFFER_BYTES,
    has_ended,
    reset_on_close,
    set_buffer_bytes,
    set_tcp_options,
)
from railtide.http.targets import in_origin_form
from railtide.http.traffic import Traffic

__all__ = ["CLOSE", "ConnectionLimits", "Handler", "HttpServer", "Responder"]

READ_BYTES = 65_536
MAX_READ_AHEAD = 262_144
"""Bytes of pipelined requests that are buffered while a request is answered. Beyond it, the
caller's disconnect is not detected until the answer ends."""

MAX_DISCARDED_BODY = 16_384
"""Largest body of a rejected request that is received and discarded. A caller sends about as much
before it can learn of the rejection, and a new connection would cost the link more packets."""

LINGER_S = 1.0
"""Longest wait for the rest of a rejected body after the rejection was sent."""

CLOSE_POLL_S = 0.01
"""Interval of the checks whether all connections have ended."""

CONNECTION_BYTES = 12_288
"""Memory of a connection that waits for a request: its task and its parser."""
REQUEST_BYTES = 32_768
"""Memory of a request in progress without its body: its head, its tasks, and what the kernel
buffers for its connection."""
COPIES_OF_BODY = 2
"""A body is held as received, and once more as it is sent to an upstream."""
HOLD_STEP_BYTES = 65_536
"""Steps in which the memory of a body without a stated length grows."""
SEND_BYTES = 65_536
"""Largest part of an answer that is sent at once."""
MAX_EVENTS_AT_A_TIME = 64
"""Parts of a body that are decoded before other tasks get a turn."""

HEADER_OVERHEAD = 4
"""Bytes of a header line besides its name and value: colon, space, CR and LF."""

HTTP_1_0 = b"1.0"
HEAD = b"HEAD"
CONNECT = b"CONNECT"
NO_CONTENT = (204, 304)
"""Statuses whose answers have neither a body nor, as sent here, a length."""
RESET_CONTENT = 205
BAD_REQUEST = 400
TIMEOUT = 408
BODY_TOO_LARGE = 413
HEAD_TOO_LARGE = 431
INTERNAL_ERROR = 500
NOT_IMPLEMENTED = 501
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
        that the received bytes of the body take at `MIN_PEER_RATE`.
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

    What is written as the body of an answer that must not have one is dropped: answers to HEAD, and
    those with the status 204, 205 or 304.

    Attributes
    ----------
    started : bool
        True once a byte of the answer may have been sent.
    """

    started = False

    @abstractmethod
    async def start(self, status: int, headers: Headers, length: int | None) -> None:
        """Send the head; without a length, the body is sent in chunked encoding.

        The answer to HEAD has the length that is given, or else the one in the headers.
        """

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

    async def wait_disconnected(self) -> None:
        """Return once the caller has disconnected; only for handlers that aren't cancelled then."""
        await trio.sleep_forever()

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
    def __init__(
        self, status: int, *, by_limit: bool = False, rejection: RailtideError | None = None
    ) -> None:
        super().__init__(str(status))
        self.status = status
        self.by_limit = by_limit
        self.rejection = rejection


class HttpServer:
    """Accepts connections and passes their requests to a handler.

    Parameters
    ----------
    handler : callable
        Answers one request.
    limits : ConnectionLimits
    traffic : Traffic, optional
        Counts the bytes of all connections.
    check_head : callable, optional
        See `HeadCheck`. The handler then answers rejected requests, also those for which there is
        no memory; it gets them without a body.
    share : DescriptorShare, optional
        Of the connections; unlimited by default. While it is nearly used up, each answer asks its
        caller to close the connection, since most connections wait for their next request.
    waits_for_room : bool, optional
        See `LimitedListener`. Connections that wait for a request are not closed for want of
        memory then.
    memory : ConnectionMemory, optional
        What all connections may hold, also those of other servers; unlimited by default.
    cancels : bool, optional
        Whether the handler is cancelled when its caller disconnects; else see
        `Responder.wait_disconnected`.

    Attributes
    ----------
    closing : bool
        If True, each answer asks its caller to close the connection, unless the next request has
        already begun to arrive.
    refuses_incomplete : bool
        Whether requests that `check_head` rejects are answered before their bodies have arrived.
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
        memory: ConnectionMemory | None = None,
        cancels: bool = True,
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.traffic = traffic or Traffic()
        self.check_head = check_head
        self.answers_rejections = check_head is not _admit_all
        self.closing = False
        self.refuses_incomplete = False
        self.reading_scopes: set[trio.CancelScope] = set()
        self.reading_rejection: RailtideError | None = None
        self.idle_scopes: dict[trio.CancelScope, None] = {}
        self.share = share or unlimited()
        self.waits_for_room = waits_for_room
        self.memory = memory or unlimited_memory()
        self.lane = ExcessLane()
        self.cancels = cancels
        self._holdings: set[Holding] = set()
        self._accepting = trio.CancelScope()

    async def serve(
        self, listener: trio.SocketListener, accepting: trio.CancelScope | None = None
    ) -> None:
        """Accept connections until `accepting` is cancelled, and serve them until they end."""
        if self.memory.is_limited:
            set_buffer_bytes(listener.socket, LISTENER_BUFFER_BYTES)
        limited = LimitedListener(listener, self.share, self._make_room, self.waits_for_room)

        async def serve_and_release(stream: trio.SocketStream) -> None:
            try:
                await self._serve_stream(stream)
            finally:
                limited.release()

        self._accepting = accepting or self._accepting
        async with trio.open_nursery() as connections:
            with self._accepting:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(limited.series.report_ends)
                    await trio.serve_listeners(
                        serve_and_release, [limited], handler_nursery=connections
                    )

    def close_idle(self) -> None:
        """Close the connections that wait for a request."""
        for scope in list(self.idle_scopes):
            scope.cancel()

    def refuse_incomplete(self, rejection: RailtideError) -> None:
        """Refuse at once the requests that have begun to arrive, and later ones by their heads.

        `check_head` must reject all requests from now on.
        """
        self.refuses_incomplete = True
        self.reading_rejection = rejection
        for scope in self.reading_scopes:
            scope.cancel()

    async def close(self, rejection: RailtideError) -> None:
        """Close all connections, those in use once their requests are answered or refused."""
        self._accepting.cancel()
        while self._holdings:
            self.refuse_incomplete(rejection)
            self.close_idle()
            await trio.sleep(CLOSE_POLL_S)

    def _make_room(self) -> bool:
        """Begin to close the connection that waits longest, or one whose caller stalls.

        Returns whether there is one.
        """
        scope = next(iter(self.idle_scopes), None)
        if scope is None:
            return self.memory.evict_one(self._holdings)
        del self.idle_scopes[scope]
        scope.cancel()
        return True

    async def _serve_stream(self, stream: trio.SocketStream) -> None:
        holding = self.memory.open()
        self._holdings.add(holding)
        try:
            self._hold_connection(holding)
            set_tcp_options(stream.socket)
            await _Connection(self, stream, holding).run()
        except MemoryExhausted:
            pass  # nothing was read, so the caller may send its request again at once
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError, CallerDisconnected):
            pass  # the caller disconnected; the handler has logged the consequences
        except Exception as err:
            logger.bind(error=repr(err)).exception("connection-failed")
        finally:
            holding.release()
            self._holdings.discard(holding)
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)

    def _hold_connection(self, holding: Holding) -> None:
        """Take the memory of a new connection; see `LimitedListener` for those that wait."""
        if self.waits_for_room:
            holding.resize_held(CONNECTION_BYTES)
        else:
            holding.resize(CONNECTION_BYTES)


class _Connection:
    def __init__(self, server: HttpServer, stream: trio.SocketStream, holding: Holding) -> None:
        self.server = server
        self.stream = stream
        self.holding = holding
        self.base_bytes = CONNECTION_BYTES
        self.body_bytes = 0
        self.answer_bytes = 0
        self._buffer_bytes = LISTENER_BUFFER_BYTES
        self._head: h11.Request | None = None
        self._events = 0
        self._pace: ReadPace | None = None
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
                if not (err.rejection and self._head and self.server.answers_rejections):
                    await self._refuse(err)
                    return
                request = replace(_request_of(self._head), rejection=err.rejection)
                self.rejected_unread = True
            if request is None:
                return
            sent = await self._answer(request)
            del request
            if sent and self.rejected_unread:
                await self._linger()
            if not sent or self.h11.their_state is not h11.DONE:
                return
            self.h11.start_next_cycle()
            self._begin_cycle()

    def _begin_cycle(self) -> None:
        """Hold what was received of the next requests, and what may not be sent of the answer."""
        unsent = min(self.answer_bytes, self._buffer_bytes)
        self.body_bytes = self.answer_bytes = 0
        self.read_ahead = len(self.h11.trailing_data[0])
        self.holding.resize_held(self.base_bytes + unsent + self.read_ahead)

    def _hold_request(self, body_bytes: int = 0) -> None:
        """Hold a request in progress whose body has so many bytes.

        Raises
        ------
        _RequestRefused
            There is no room for it.
        """
        size = self.base_bytes + REQUEST_BYTES + self.read_ahead + COPIES_OF_BODY * body_bytes
        try:
            self.holding.resize(size)
        except MemoryExhausted as err:
            raise _RequestRefused(UNAVAILABLE, rejection=err) from err
        self.body_bytes = body_bytes

    def use_large_buffers(self) -> None:
        """Let the kernel buffer more for this connection, whose bodies are large."""
        if self.server.memory.is_limited and self._buffer_bytes < LARGE_BUFFER_BYTES:
            self.base_bytes += LARGE_BUFFER_BYTES - self._buffer_bytes
            self._buffer_bytes = LARGE_BUFFER_BYTES
            set_buffer_bytes(self.stream.socket, LARGE_BUFFER_BYTES)

    async def _linger(self) -> None:
        """Discard what a rejected caller still sends, up to a limit, before closing.

        A close with unread bytes resets the connection, and the caller may lose the rejection.
        """
        if self.holding.is_evicted:
            return
        stated = _stated_length(self._head) if self._head else 0
        is_legal = stated <= self.server.limits.body_bytes
        remaining = max(MAX_READ_AHEAD, stated) if is_legal else MAX_READ_AHEAD
        with trio.move_on_after(LINGER_S):
            await self.stream.send_eof()
            while remaining > 0 and (data := await self._receive()):
                remaining -= len(data)

    def allows_body(self, status: int) -> bool:
        """Return whether the answer to the current request may have a body, given its status."""
        answers_head = self._head is not None and self._head.method == HEAD
        return not answers_head and status not in (*NO_CONTENT, RESET_CONTENT)

    @property
    def is_closing(self) -> bool:
        """Whether the connection ends after this answer."""
        is_last = self.server.closing and not self.h11.trailing_data[0]
        return is_last or self.server.share.is_crowded or self.rejected_unread

    async def send(self, data: bytes | memoryview) -> None:
        await self.stream.send_all(data)
        self.answer_bytes += len(data)
        self.server.traffic.note_sent(len(data))

    async def _receive(self) -> bytes:
        data = await self.stream.receive_some(READ_BYTES)
        self.server.traffic.note_received(len(data))
        self.holding.note_progress(len(data))
        return data

    # -- reading ------------------------------------------------------------------------------

    async def _read_request(self) -> HttpRequest | None:
        """Return the next request, or None if the connection has ended."""
        if not self.h11.trailing_data[0] and not await self._wait_for_bytes():
            return None
        with trio.move_on_after(self.server.limits.head_timeout_s) as scope:
            self.holding.wait_for_peer(scope.cancel)
            self.server.reading_scopes.add(scope)
            try:
                return await self._read_whole(scope)
            finally:
                self.server.reading_scopes.remove(scope)
                self.holding.stop_waiting()
        if self.holding.is_evicted:
            err = MemoryExhausted(
                "the request arrived too slowly while memory ran short",
                retry_after=self.server.memory.retry_after_s(),
            )
            raise _RequestRefused(UNAVAILABLE, rejection=err)
        if scope.cancelled_caught and self.server.reading_rejection:
            raise _RequestRefused(UNAVAILABLE, rejection=self.server.reading_rejection)
        if scope.cancelled_caught:
            raise _RequestRefused(TIMEOUT)
        return None

    async def _wait_for_bytes(self) -> bool:
        """Wait for the first bytes of a request; return False if none arrive in time.

        Bytes that arrived before the wait was cancelled are read: a close would reset the
        connection, and its caller could not tell whether the request was run.
        """
        data = b""
        with trio.move_on_after(self.server.limits.idle_timeout_s) as scope:
            self.server.idle_scopes[scope] = None
            if not self.server.waits_for_room:
                self.holding.wait_for_peer(scope.cancel)
            try:
                data = await self._receive()
            finally:
                self.holding.stop_waiting()
                self.server.idle_scopes.pop(scope, None)
        if scope.cancelled_caught and not self.holding.is_evicted:
            data = await self._receive() if self.stream.socket.is_readable() else b""
        if not data:
            return False
        self.h11.receive_data(data)
        return True

    async def _read_whole(self, scope: trio.CancelScope) -> HttpRequest | None:
        """Return a complete request, or None if the caller disconnected.

        Each received part of the body extends the deadline by its size / `MIN_PEER_RATE`.
        """
        self._head = head = rejected = None
        self._hold_request()
        body = bytearray()
        while True:
            event = await self._next_event(in_head=head is None)
            if isinstance(event, h11.Request):
                self._head = head = event
                rejected = self._begin_body(event)
                if rejected and self.rejected_unread:
                    return rejected
            elif isinstance(event, h11.Data):
                self._check_body_size(len(body) + len(event.data))
                body += event.data
                scope.deadline += len(event.data) / MIN_PEER_RATE
                await self._note_part(len(event.data))
            elif isinstance(event, h11.EndOfMessage):
                if rejected:
                    return rejected
                return replace(_request_of(head), body=bytes(body))
            elif isinstance(event, h11.ConnectionClosed):
                return None

    def _begin_body(self, head: h11.Request) -> HttpRequest | None:
        """Return the request if its head check rejects it; else hold the body that is stated."""
        if _head_bytes(head) > self.server.limits.head_bytes:
            raise _RequestRefused(HEAD_TOO_LARGE, by_limit=True)
        if head.method == CONNECT:
            raise _RequestRefused(NOT_IMPLEMENTED)
        rejected = self._rejected(head)
        if rejected:
            self.rejected_unread = self._is_closing_cheaper(head)
            return rejected
        length = _stated_length(head)
        self._check_limit(length)
        if length:
            self._hold_request(length)
        if length > LISTENER_BUFFER_BYTES:
            self.use_large_buffers()
        return None

    def _check_body_size(self, size: int) -> None:
        """Raise if a body of so many bytes is too large; hold them."""
        self._check_limit(size)
        if size > self.body_bytes:
            self._hold_request(min(size + HOLD_STEP_BYTES, self.server.limits.body_bytes))

    def _check_limit(self, size: int) -> None:
        """Raise if a body of so many bytes is too large, or never fits into the memory."""
        if size > self.server.limits.body_bytes:
            raise _RequestRefused(BODY_TOO_LARGE, by_limit=True)
        if COPIES_OF_BODY * size > self.server.memory.limit:
            raise _RequestRefused(BODY_TOO_LARGE)

    async def _note_part(self, size: int) -> None:
        """Wait if the body arrives in more parts than this connection may bring."""
        if self._pace is None:
            self._pace = ReadPace(self.server.lane)
        await self._pace.note(size + CHUNK_WORK)

    def _rejected(self, head: h11.Request) -> HttpRequest | None:
        """Return the request without a body if the head check rejects it."""
        request = _request_of(head)
        rejection = self.server.check_head(request, _stated_length(head))
        return replace(request, rejection=rejection) if rejection else None

    def _is_closing_cheaper(self, head: h11.Request) -> bool:
        """Return whether the body of a rejected request is left unread, which ends the connection.

        Only a body that the caller has not sent yet costs the link less that way. A server that
        refuses incomplete requests waits for no body.
        """
        if self.h11.they_are_waiting_for_100_continue:
            return True
        missing = _stated_length(head) - len(self.h11.trailing_data[0])
        if self.server.refuses_incomplete:
            return missing > 0 or _is_chunked(head)
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
                await self._yield_at_times()
                return event
            if in_head and len(self.h11.trailing_data[0]) > self.server.limits.head_bytes:
                raise _RequestRefused(HEAD_TOO_LARGE, by_limit=True)
            if self.h11.they_are_waiting_for_100_continue:
                proceed = h11.InformationalResponse(status_code=100, headers=[])
                await self.send(self.h11.send(proceed))
            self.h11.receive_data(await self._receive())

    async def _yield_at_times(self) -> None:
        self._events += 1
        if self._events % MAX_EVENTS_AT_A_TIME == 0:
            await trio.lowlevel.checkpoint()

    async def _refuse(self, refused: _RequestRefused) -> None:
        """Answer a request that is invalid or exceeds a limit, and end the connection."""
        if self.h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        self.holding.resize_held(self.base_bytes)
        with trio.move_on_after(LINGER_S):
            await self._answer_refused(refused)
        await self._linger()

    async def _answer_refused(self, refused: _RequestRefused) -> None:
        responder = _H11Responder(self)
        retry_after_s = refused.rejection.retry_after if refused.rejection else None
        if refused.by_limit:
            retry_after_s = self.server.limits.retry_after_s()
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
                nursery.start_soon(self._watch_caller, responder, nursery.cancel_scope)
                await self._handle(request, responder)
                nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, trio.ClosedResourceError, CallerDisconnected):
            pass  # the answer is incomplete, so the connection is closed
        finally:
            if not responder.finished and self.h11.their_http_version == HTTP_1_0:
                reset_on_close(self.stream.socket)  # an orderly close would end the answer
        return responder.finished

    async def _handle(self, request: HttpRequest, responder: "_H11Responder") -> None:
        """Pass a request to the handler, and answer for a handler that fails before it answers."""
        try:
            await self.server.handler(request, responder)
        except (trio.BrokenResourceError, trio.ClosedResourceError, CallerDisconnected):
            raise
        except Exception as err:
            if responder.started:
                raise
            logger.bind(error=repr(err)).exception("request-failed")
            await responder.answer(INTERNAL_ERROR, ())

    async def _watch_caller(self, responder: "_H11Responder", scope: trio.CancelScope) -> None:
        """Tell the handler or cancel it when the caller disconnects; buffer further requests."""
        while self.read_ahead < MAX_READ_AHEAD:
            try:
                data = await self._receive()
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b""
            if not data:
                responder.disconnected.set()
                if self.server.cancels:
                    scope.cancel()
                return
            self.read_ahead += len(data)
            self.h11.receive_data(data)
            try:
                self.holding.resize(self.holding.size + len(data))
            except MemoryExhausted:
                return


def _request_of(head: h11.Request) -> HttpRequest:
    """Return a request without its body."""
    target, headers = in_origin_form(head.target, tuple(head.headers))
    return HttpRequest(head.method, target, headers)


def _stated_length(head: h11.Request) -> int:
    """Return the stated length of a request's body, 0 if there is none; h11 has validated it."""
    return int(first_header(head.headers, b"content-length") or 0)


def _is_chunked(head: h11.Request) -> bool:
    return first_header(head.headers, b"transfer-encoding") is not None


def _head_bytes(head: h11.Request) -> int:
    """Return the size of a head; h11 limits only heads that don't arrive in one read."""
    lines = sum(len(name) + len(value) + HEADER_OVERHEAD for name, value in head.headers)
    return len(head.method) + len(head.target) + lines


def _framing(status: int, headers: Headers, length: int | None) -> Headers:
    """Return the header that states where the body of an answer ends, if it needs one."""
    if status in NO_CONTENT or first_header(headers, b"content-length") is not None:
        return ()
    if status == RESET_CONTENT:
        length = 0
    if length is None:
        return ((b"transfer-encoding", b"chunked"),)
    return ((b"content-length", str(length).encode()),)


class _H11Responder(Responder):
    def __init__(self, connection: _Connection) -> None:
        self.finished = False
        self.disconnected = trio.Event()
        self._sends_body = True
        self._connection = connection

    async def start(self, status: int, headers: Headers, length: int | None) -> None:
        """Send the head; see `Responder.start`."""
        self.started = True
        self._sends_body = self._connection.allows_body(status)
        framing = _framing(status, headers, length)
        closing = (CLOSE,) if self._connection.is_closing else ()
        if first_header(headers, CLOSE[0]):
            closing = ()
        head = h11.Response(status_code=status, headers=[*headers, *framing, *closing])
        self._head = self._connection.h11.send(head)
        if length is None:
            await self._send(self._take_head())

    def _take_head(self) -> bytes:
        head, self._head = self._head, b""
        return head

    async def write(self, data: bytes) -> None:
        """Send part of the body, together with the head if that was not sent yet."""
        if data and self._sends_body:
            body = self._connection.h11.send(h11.Data(data=data))
            if len(body) > SEND_BYTES:
                await self._send(self._take_head())
                await self._send(body)
            else:
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

    async def wait_disconnected(self) -> None:
        """Return once the caller has disconnected; see `Responder.wait_disconnected`."""
        await self.disconnected.wait()

    def hijack(self) -> trio.SocketStream:
        """Return the connection; see `Responder.hijack`."""
        self.started = True
        return self._connection.stream

    async def _send(self, data: bytes) -> None:
        """Send bytes, which are held until the kernel has them."""
        if not data:
            return
        holding = self._connection.holding
        added = len(data) if len(data) > LISTENER_BUFFER_BYTES else 0
        holding.wait_for_peer(self._connection.stream.socket.close)
        try:
            if added:
                self._connection.use_large_buffers()
                holding.resize_held(holding.size + added)
            await self._send_parts(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as err:
            raise CallerDisconnected("the caller closed its connection") from err
        finally:
            holding.stop_waiting()
            if added:
                holding.resize_held(holding.size - added)

    async def _send_parts(self, data: bytes) -> None:
        if len(data) <= SEND_BYTES:
            await self._connection.send(data)
            return
        view = memoryview(data)
        for start in range(0, len(data), SEND_BYTES):
            part = view[start : start + SEND_BYTES]
            await self._connection.send(part)
            self._connection.holding.note_progress(len(part))
