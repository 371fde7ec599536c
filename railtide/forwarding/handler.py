"""Answers other routers: forwards their requests to upstreams, and reports paths to these.

A forwarded request goes to the upstream over a connection of this router or not at all: it is never
handed to a third router, so that two routers that are cut off can't pass it to and fro.
"""

import hmac
from collections.abc import Awaitable, Callable

import trio

from railtide.containment.crash_detection import ProbeResult
from railtide.errors import RailtideError
from railtide.forwarding.errors import (
    ForwardingError,
    ForwardingRefused,
    InvalidForward,
    SenderUnknown,
)
from railtide.forwarding.host import ForwardingHost
from railtide.forwarding.messages import (
    CODE_HEADER,
    FORWARD_PATH,
    FRAMED_HEADER,
    MAX_VERSIONS,
    OUTCOME_HEADER,
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
from railtide.http.client import HttpAnswer
from railtide.http.errors import (
    ConnectFailed,
    ConnectRefused,
    HttpError,
    NoDescriptor,
    RequestInvalid,
)
from railtide.http.messages import Headers, HttpRequest, first_header, without_hop_by_hop
from railtide.http.server import Responder
from railtide.membership.instances import Instance
from railtide.telemetry.counters import Counters
from railtide.upstreams.transport import DirectTransport

__all__ = ["ForwardHandler"]

OK = 200
BAD_GATEWAY = 502
MAX_OPEN = 256
"""Requests of other routers that are forwarded at a time; one more is refused at once."""
MAX_PROBES = 32
"""Connections that are made at a time to answer queries; one more query is refused at once."""
PLAIN_TEXT = (b"content-type", b"text/plain")
MSGPACK = (b"content-type", b"application/msgpack")


class ForwardHandler:
    """Handles the messages of other routers.

    Parameters
    ----------
    incarnation : str
        Of this router's process.
    host : ForwardingHost
    transport : DirectTransport
        This router's own connections to the upstreams.
    counters : Counters

    Attributes
    ----------
    start_soon : callable
        Starts work that no request waits for; ignores it by default.
    """

    def __init__(
        self, incarnation: str, host: ForwardingHost, transport: DirectTransport, counters: Counters
    ) -> None:
        self._incarnation = incarnation
        self._host = host
        self._transport = transport
        self._counters = counters
        self.start_soon: Callable[..., object] = _ignore_work
        self._open = 0
        self._probes = 0

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer one message; see `railtide.http.server.Handler`."""
        try:
            if request.target == FORWARD_PATH:
                await self._forward(request, responder)
            elif request.target == VERSIONS_PATH:
                await self._report_versions(request, responder)
            else:
                await self._report_path(request, responder)
        except ForwardingError as err:
            await self._answer_problem(responder, ForwardOutcome.NOT_SENT, err)

    # -- checks -------------------------------------------------------------------------------

    async def _check(self, request: HttpRequest, message: ForwardedRequest | PathQuery) -> Instance:
        """Return the upstream that a message of a known router names."""
        await self._host.wait_until_current()
        self._check_sender(request, message)
        upstream = self._host.find_upstream(message.upstream, message.upstream_incarnation)
        if upstream is None:
            raise ForwardingRefused("this router does not know the upstream")
        return upstream

    def _check_sender(
        self, request: HttpRequest, message: ForwardedRequest | PathQuery | VersionsQuery
    ) -> None:
        key = self._host.key_of(message.sender, message.sender_incarnation)
        given = first_header(request.headers, PROOF_HEADER) or b""
        expected = proof_of(key or b"", self._incarnation, request.target, request.body)
        if not key or not hmac.compare_digest(given, expected):
            raise SenderUnknown("the message does not prove which router sent it")

    # -- requests -----------------------------------------------------------------------------

    async def _forward(self, request: HttpRequest, responder: Responder) -> None:
        message = decode(request.body, ForwardedRequest)
        if self._open >= MAX_OPEN:
            raise ForwardingRefused("this router forwards its maximum number of requests")
        self._counters.add("forwards_received")
        self._open += 1
        try:
            with self._host.serving(), trio.move_on_after(message.timeout_s):
                upstream = await self._check(request, message)
                self._host.check_may_send(upstream)
                await responder.check_caller()
                await self._send(upstream, message, responder)
        finally:
            self._open -= 1

    async def _send(
        self, upstream: Instance, message: ForwardedRequest, responder: Responder
    ) -> None:
        inner = HttpRequest(message.method, message.target, message.headers, message.body)
        sent_at = trio.current_time()
        try:
            answer = await self._transport.send(upstream, inner, message.timeout_s)
        except NoDescriptor as err:
            raise ForwardingRefused(err.detail) from err
        except RequestInvalid as err:
            raise InvalidForward(err.detail) from err
        except ConnectFailed as err:
            refused = isinstance(err, ConnectRefused)
            outcome = ForwardOutcome.UPSTREAM_REFUSED if refused else ForwardOutcome.UPSTREAM_FAILED
            await self._answer_problem(responder, outcome, err)
            return
        except HttpError as err:
            await self._answer_problem(responder, ForwardOutcome.LOST, err)
            return
        self._counters.add("forwards_answered")
        try:
            self._host.note_answer(upstream, inner, answer, sent_at)
            await self._pass_on(upstream, answer, responder)
        except HttpError:
            pass  # the answer stays incomplete, so its connection is closed
        finally:
            answer.abandon()

    async def _pass_on(self, upstream: Instance, answer: HttpAnswer, responder: Responder) -> None:
        """Pass an answer on; it stays incomplete if its upstream may have ended within it.

        The sender has no connections to the upstream that would show that.
        """
        if not answer.framed:
            self.start_soon(self._transport.keep_witness, upstream)
        await responder.start(OK, _answer_headers(answer, self._transport.end_to_end), None)
        async for data in answer.chunks():
            await responder.write(data)
        if answer.framed or await self._outlives(upstream, answer):
            await responder.finish()

    async def _outlives(self, upstream: Instance, answer: HttpAnswer) -> bool:
        if self._host.is_leaving(upstream):
            return True
        observed = await self._transport.observe(upstream, answer.alive_at)
        return observed is ProbeResult.CONNECTED

    # -- paths --------------------------------------------------------------------------------

    async def _report_path(self, request: HttpRequest, responder: Responder) -> None:
        message = decode(request.body, PathQuery)
        if self._probes >= MAX_PROBES:
            raise ForwardingRefused("this router makes its maximum number of connections")
        self._probes += 1
        try:
            upstream = await self._check(request, message)
            result = await self._connect(upstream)
        finally:
            self._probes -= 1
        await responder.answer(OK, (MSGPACK,), encode(PathReport(result)))

    async def _connect(self, upstream: Instance) -> PathResult:
        """Return the outcome of a new connection.

        Earlier ones prove nothing: the upstream may have crashed since, which is what the sender
        wants to know.
        """
        if self._host.is_cut_off(upstream):
            return PathResult.FAILED
        try:
            await self._transport.connect(upstream)
        except NoDescriptor as err:
            raise ForwardingRefused(err.detail) from err
        except ConnectRefused:
            return PathResult.REFUSED
        except ConnectFailed:
            return PathResult.FAILED
        return PathResult.REACHED

    # -- versions -----------------------------------------------------------------------------

    async def _report_versions(self, request: HttpRequest, responder: Responder) -> None:
        query = decode(request.body, VersionsQuery)
        await self._host.wait_until_current()
        self._check_sender(request, query)
        versions = sorted(self._host.versions_of(query.pool))[:MAX_VERSIONS]
        await responder.answer(OK, (MSGPACK,), encode(VersionsReport(tuple(versions))))

    @staticmethod
    async def _answer_problem(
        responder: Responder, outcome: ForwardOutcome, err: RailtideError
    ) -> None:
        status = BAD_GATEWAY if outcome is ForwardOutcome.LOST else err.status
        headers = (
            (OUTCOME_HEADER, outcome.value.encode()),
            (CODE_HEADER, err.code.encode()),
            PLAIN_TEXT,
        )
        await responder.answer(status, headers, f"{err.code}: {err.detail}".encode())


def _ignore_work(work: Callable[..., Awaitable[None]], *arguments: object) -> None:
    pass


def _answer_headers(answer: HttpAnswer, end_to_end: frozenset[bytes]) -> Headers:
    """Return the headers of an answer for the router that has the request."""
    own = (
        (OUTCOME_HEADER, ForwardOutcome.ANSWERED.value.encode()),
        (STATUS_HEADER, str(answer.status).encode()),
        (FRAMED_HEADER, b"1" if answer.framed else b"0"),
    )
    names = {name for name, _ in own}
    passed_on = without_hop_by_hop(answer.headers, end_to_end)
    return (*own, *(header for header in passed_on if header[0] not in names))
