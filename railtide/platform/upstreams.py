"""Calls to the platform's engines: heads and codes translated, nothing decided."""

import re
from collections.abc import AsyncIterator, Callable

import trio

from railtide.containment.crash_detection import ProbeResult
from railtide.http.client import Exchange, PeerPool, connect_tcp_stream
from railtide.http.errors import ConnectFailed, ConnectRefused, HttpError
from railtide.http.messages import Headers, HttpRequest, first_header, without_hop_by_hop
from railtide.membership.instances import Instance
from railtide.platform import names
from railtide.platform.notices import notice_of
from railtide.upstreams.client import RunReport, UpstreamAnswer, UpstreamCall, UpstreamClient
from railtide.upstreams.errors import (
    AnswerMismatch,
    UpstreamDisconnected,
    UpstreamLost,
    UpstreamMoved,
    UpstreamNotListening,
    UpstreamRefused,
)
from railtide.upstreams.notice import UpstreamNotice
from railtide.upstreams.upstream_state import LoadReport

__all__ = ["PlatformUpstreams"]

MISDIRECTED = 421
OK_CLASS = 2
HIGHEST_RANK = 9
PROBE_LASTS_S = 0.02
"""How long a connection must stay for its engine to live: a process closes what it had open within
milliseconds of its end."""


class _Answer(UpstreamAnswer):
    def __init__(self, exchange: Exchange) -> None:
        self._exchange = exchange
        self.status = exchange.status
        self.framed = exchange.framed
        self.headers = without_hop_by_hop(exchange.headers)
        self.content_type = ""
        self.request_id = (first_header(exchange.headers, names.ATTEMPT_ID) or b"").decode()

    async def chunks(self) -> AsyncIterator[bytes]:
        try:
            async for data in self._exchange.chunks():
                yield data
        except HttpError as err:
            raise UpstreamDisconnected(err.detail) from err

    def holds_another(self, body: bytes) -> bool:
        """Tell it by a response's head with this request's id; see `UpstreamAnswer`."""
        if self.framed or not self.request_id:
            return False
        told_by = rb"^%s:[ \t]*%s\r$" % (names.ATTEMPT_ID, re.escape(self.request_id.encode()))
        heads = (part.partition(b"\r\n\r\n")[0] for part in body.split(b"HTTP/1.1 ")[1:])
        return any(re.search(told_by, head + b"\r", re.I | re.M) for head in heads)

    async def aclose(self) -> None:
        self._exchange.abandon()


class PlatformUpstreams(UpstreamClient):
    """The platform's engines.

    Parameters
    ----------
    on_notice : callable
        Told what each answer of an engine says of that engine.
    """

    def __init__(self) -> None:
        self.on_notice: Callable[[Instance, UpstreamNotice], None] = lambda upstream, notice: None
        self._pool_by_incarnation: dict[str, PeerPool] = {}

    async def open(self, upstream: Instance, call: UpstreamCall) -> UpstreamAnswer:
        """Send a call; see `UpstreamClient.open`."""
        request = HttpRequest(
            call.method.encode(), call.path.encode(), _headers(upstream, call), call.body
        )
        sent_at = trio.current_time()
        try:
            exchange = await self._pool(upstream).send(request)
        except ConnectRefused as err:
            raise UpstreamNotListening(err.detail) from err
        except ConnectFailed as err:
            raise UpstreamRefused(err.detail) from err
        except HttpError as err:
            raise UpstreamDisconnected(err.detail) from err
        try:
            self._check(upstream, call, exchange, sent_at)
        except BaseException:
            await self._read_refusal(exchange)
            raise
        return _Answer(exchange)

    def _check(
        self, upstream: Instance, call: UpstreamCall, exchange: Exchange, sent_at: float
    ) -> None:
        echoed = first_header(exchange.headers, names.ATTEMPT_ID)
        if echoed is not None and echoed.decode() != call.request_id:
            raise AnswerMismatch("the answer carries another request's id")
        if exchange.status == MISDIRECTED:
            raise UpstreamMoved("another instance has the address")
        self.on_notice(upstream, notice_of(exchange.status, exchange.headers, sent_at))
        if first_header(exchange.headers, names.NOT_RUN) is not None:
            raise UpstreamRefused(f"the upstream refused with {exchange.status}")
        sealed = first_header(exchange.headers, names.SEAL) is not None
        if exchange.status // 100 == OK_CLASS and not sealed:
            raise AnswerMismatch("the answer is not signed")

    @staticmethod
    async def _read_refusal(exchange: Exchange) -> None:
        """Read the rest of a refusal if it is there, so that its connection can be kept."""
        with trio.move_on_after(0) as scope:
            scope.shield = True
            try:
                async for _ in exchange.chunks():
                    pass
            except HttpError:
                pass  # the connection is dropped, and the refusal stands
        exchange.abandon()

    def forget(self, upstream: Instance) -> None:
        """Close the idle connections to an engine; see `UpstreamClient.forget`."""
        pool = self._pool_by_incarnation.pop(upstream.incarnation, None)
        if pool:
            pool.close()

    async def probe(self, upstream: Instance) -> ProbeResult:
        """Return whether anything listens at an engine's address; nothing is sent there.

        A process that ends may close its connections before it stops to listen, and an engine that
        has too many connections resets a new one. So one that does not last is made once more.
        """
        host, _, port = upstream.address.rpartition(":")
        try:
            if not await _lasts(await connect_tcp_stream(host, int(port))):
                await _lasts(await connect_tcp_stream(host, int(port)))
        except ConnectRefused:
            return ProbeResult.REFUSED
        except ConnectFailed:
            return ProbeResult.UNKNOWN
        return ProbeResult.CONNECTED

    async def run_report(self, upstream: Instance, request_id: str) -> RunReport:
        """Raise: these engines keep no outcomes."""
        raise UpstreamLost("these upstreams keep no outcomes")

    async def cancel(self, upstream: Instance, request_id: str) -> RunReport:
        """Raise: these engines stop with their connection."""
        raise UpstreamLost("these upstreams keep no outcomes")

    async def load(self, upstream: Instance) -> LoadReport:
        """Raise: loads come with the answers."""
        raise UpstreamLost("loads come with the answers")

    def _pool(self, upstream: Instance) -> PeerPool:
        pool = self._pool_by_incarnation.get(upstream.incarnation)
        if pool is None:
            host, _, port = upstream.address.rpartition(":")
            pool = PeerPool(host, int(port))
            self._pool_by_incarnation[upstream.incarnation] = pool
        return pool


async def _lasts(stream: trio.SocketStream) -> bool:
    """Return whether a connection is still there a moment after it was made, and close it."""
    with trio.move_on_after(PROBE_LASTS_S) as scope:
        try:
            await stream.receive_some(1)
        except trio.BrokenResourceError:
            pass  # reset, which the return value tells
    stream.socket.close()
    return scope.cancelled_caught


def _headers(upstream: Instance, call: UpstreamCall) -> Headers:
    own = [
        (names.DEADLINE_MS, str(max(1, int(call.timeout_s * 1000))).encode()),
        (names.EXPECTED_UPSTREAM, upstream.name.encode()),
        (names.RANK, str(min(call.rank, HIGHEST_RANK)).encode()),
    ]
    if call.resume_after:
        own.append((names.LAST_EVENT_ID, call.resume_after.encode()))
    replaced = {name for name, _ in own}
    return (*(h for h in call.headers if h[0] not in replaced), *own)
