"""Client of the platform's engines: translates headers and status codes, and decides nothing."""

import re
from collections.abc import AsyncIterator, Callable

import trio

from railtide.containment.crash_detection import ProbeResult
from railtide.http.client import HttpAnswer
from railtide.http.correlation import Correlation
from railtide.http.descriptors import DescriptorShare
from railtide.http.errors import (
    AnswerTooLong,
    ConnectFailed,
    ConnectRefused,
    ForeignAnswer,
    HttpError,
    NoDescriptor,
    RequestInvalid,
)
from railtide.http.messages import Headers, HttpRequest, first_header, without_hop_by_hop
from railtide.http.traffic import PeerKind, Traffic
from railtide.membership.instances import Instance
from railtide.platform import header_names
from railtide.platform.notices import notice_of
from railtide.platform.request_headers import attempt_id_of, id_to_bytes
from railtide.platform.statuses import MISDIRECTED, PROMISES_NOT_RUN
from railtide.upstreams.client import RunReport, UpstreamAnswer, UpstreamCall, UpstreamClient
from railtide.upstreams.errors import (
    AnswerMismatch,
    RefusalUnproven,
    UpstreamAnswerTooLong,
    UpstreamDisconnected,
    UpstreamLost,
    UpstreamMoved,
    UpstreamNotListening,
    UpstreamNotTried,
    UpstreamRefused,
    UpstreamUnreachable,
)
from railtide.upstreams.not_run_proof import by_answer, no_connection
from railtide.upstreams.notice import UpstreamNotice
from railtide.upstreams.transport import DirectTransport, UpstreamTransport
from railtide.upstreams.upstream_state import LoadReport

__all__ = ["PlatformUpstreams", "engine_connections"]

CORRELATION = Correlation(header_names.ATTEMPT_ID)
"""The engines repeat the id of a request in its response."""
HEAD = "HEAD"
CONTENT_LENGTH = b"content-length"
SUCCESS_CLASS = 2


class _Answer(UpstreamAnswer):
    def __init__(self, exchange: HttpAnswer, method: str) -> None:
        self._exchange = exchange
        self.status = exchange.status
        self.framed = exchange.framed
        self.headers = without_hop_by_hop(exchange.headers, header_names.END_TO_END)
        if method == HEAD:
            self.headers += _stated_length(exchange.headers)
        self.content_type = ""
        self.request_id = attempt_id_of(exchange.headers)

    @property
    def alive_at(self) -> float:
        """See `UpstreamAnswer.alive_at`."""
        return self._exchange.alive_at

    async def chunks(self) -> AsyncIterator[bytes]:
        try:
            async for data in self._exchange.chunks():
                yield data
        except AnswerTooLong as err:
            raise UpstreamAnswerTooLong(err.detail) from err
        except HttpError as err:
            raise UpstreamDisconnected(err.detail) from err

    async def note_events(self, count: int) -> None:
        await self._exchange.note_events(count)

    def holds_another(self, body: bytes) -> bool:
        """Look for the headers of a response with this request's id; see `UpstreamAnswer`."""
        if self.framed or not self.request_id:
            return False
        id_header = rb"^%s:[ \t]*%s\r$" % (
            header_names.ATTEMPT_ID,
            re.escape(id_to_bytes(self.request_id)),
        )
        headers = (part.partition(b"\r\n\r\n")[0] for part in body.split(b"HTTP/1.1 ")[1:])
        return any(re.search(id_header, lines + b"\r", re.I | re.M) for lines in headers)

    async def aclose(self) -> None:
        self._exchange.abandon()


class PlatformUpstreams(UpstreamClient):
    """Client of the platform's engines.

    Parameters
    ----------
    traffic : Traffic, optional
        Records how long engines take to answer.
    transport : UpstreamTransport, optional
        Sends the requests; `DirectTransport` by default.

    Attributes
    ----------
    on_notice : callable
        Called with what each response of an engine reports about that engine.
    on_late_answer : callable
        Called with the engine, id and status of each response that arrives where another request's
        is due and does not state that its own request was not run.
    """

    def __init__(
        self, traffic: Traffic | None = None, transport: UpstreamTransport | None = None
    ) -> None:
        self._traffic = traffic or Traffic()
        self._transport = transport or engine_connections(self._traffic)
        self.on_notice: Callable[[Instance, UpstreamNotice], None] = lambda upstream, notice: None
        self.on_late_answer: Callable[[Instance, str, int], None] = _ignore_late_answer

    async def open(self, upstream: Instance, call: UpstreamCall) -> UpstreamAnswer:
        """Send a request; see `UpstreamClient.open`."""
        request = HttpRequest(
            call.method.encode(), call.path.encode(), _headers(upstream, call), call.body
        )
        sent_at = trio.current_time()
        try:
            exchange = await self._transport.send(
                upstream, request, call.timeout_s, call.repeatable
            )
        except ConnectRefused as err:
            raise UpstreamNotListening(err.detail, no_connection()) from err
        except (NoDescriptor, RequestInvalid) as err:
            raise UpstreamNotTried(err.detail, no_connection()) from err
        except ConnectFailed as err:
            raise UpstreamUnreachable(err.detail, no_connection()) from err
        except ForeignAnswer as err:
            self._note_late_answer(upstream, err)
            raise AnswerMismatch(err.detail) from err
        except AnswerTooLong as err:
            raise UpstreamAnswerTooLong(err.detail) from err
        except HttpError as err:
            raise UpstreamDisconnected(err.detail) from err
        self._traffic.on_first_byte(PeerKind.UPSTREAM, trio.current_time() - sent_at)
        try:
            self._check_headers(upstream, call, exchange, sent_at)
        except UpstreamRefused:
            exchange.discard()
            raise
        except BaseException:
            exchange.abandon()
            raise
        return _Answer(exchange, call.method)

    def _check_headers(
        self, upstream: Instance, call: UpstreamCall, exchange: HttpAnswer, sent_at: float
    ) -> None:
        if CORRELATION.contradicts(exchange.headers, id_to_bytes(call.request_id)):
            raise AnswerMismatch("the response carries the id of another request")
        proof = by_answer(exchange.status, exchange.use.number, exchange.use.carried)
        if _states_not_run(exchange.status, exchange.headers):
            _check_names_request(exchange.headers, call.request_id)
        if exchange.status == MISDIRECTED:
            raise UpstreamMoved("another engine has this address", proof)
        self.on_notice(upstream, notice_of(exchange.status, exchange.headers, sent_at))
        if first_header(exchange.headers, header_names.NOT_RUN) is not None:
            raise UpstreamRefused(f"the upstream refused with {exchange.status}", proof)
        if exchange.status in PROMISES_NOT_RUN:
            raise RefusalUnproven(f"status {exchange.status} without proof that nothing ran")
        is_signed = first_header(exchange.headers, header_names.SEAL) is not None
        if exchange.status // 100 == SUCCESS_CLASS and not is_signed:
            raise AnswerMismatch("the response is not signed")

    def _note_late_answer(self, upstream: Instance, err: ForeignAnswer) -> None:
        request_id = CORRELATION.id_of(err.answer_headers)
        states_not_run = _states_not_run(err.answer_status, err.answer_headers)
        if request_id is not None and not states_not_run:
            self.on_late_answer(upstream, attempt_id_of(err.answer_headers), err.answer_status)

    def note_forwarded(
        self, upstream: Instance, request: HttpRequest, answer: HttpAnswer, sent_at: float
    ) -> None:
        """Apply what the answer to another router's request reports about its engine."""
        request_id = CORRELATION.id_of(request.headers)
        if answer.status != MISDIRECTED and not CORRELATION.contradicts(answer.headers, request_id):
            self.on_notice(upstream, notice_of(answer.status, answer.headers, sent_at))

    def forget(self, upstream: Instance) -> None:
        """Close the idle connections to an engine; see `UpstreamClient.forget`."""
        self._transport.forget(upstream)

    async def probe(self, upstream: Instance) -> ProbeResult:
        """Return whether a process listens at an engine's address; see `UpstreamClient.probe`."""
        return await self._transport.probe(upstream)

    async def keep_witness(self, upstream: Instance) -> None:
        """Have an idle connection to an engine; see `UpstreamClient.keep_witness`."""
        await self._transport.keep_witness(upstream)

    async def observe(self, upstream: Instance, since: float) -> ProbeResult:
        """Return whether an engine's process lives; see `UpstreamClient.observe`."""
        return await self._transport.observe(upstream, since)

    async def run_report(self, upstream: Instance, request_id: str) -> RunReport:
        """Raise `UpstreamLost`: the engines keep no outcomes of requests."""
        raise UpstreamLost("the platform's engines keep no outcomes of requests")

    async def cancel(self, upstream: Instance, request_id: str) -> RunReport:
        """Raise `UpstreamLost`: closing the connection already cancels a request."""
        raise UpstreamLost("the platform's engines keep no outcomes of requests")

    async def load(self, upstream: Instance) -> LoadReport:
        """Raise `UpstreamLost`: the engines report their load in each response."""
        raise UpstreamLost("the platform's engines report their load only in responses")


def engine_connections(
    traffic: Traffic | None = None, share: DescriptorShare | None = None
) -> DirectTransport:
    """Return a transport that matches the engines' responses with requests by their ids."""
    return DirectTransport(traffic, CORRELATION, share, header_names.END_TO_END)


def _stated_length(headers: Headers) -> Headers:
    """Return the header with the length of the body that an answer to GET would have, if any."""
    return tuple(header for header in headers if header[0] == CONTENT_LENGTH)


def _states_not_run(status: int, headers: Headers) -> bool:
    return status == MISDIRECTED or first_header(headers, header_names.NOT_RUN) is not None


def _check_names_request(headers: Headers, request_id: str) -> None:
    """Raise unless an answer that states "not run" names the request."""
    if not CORRELATION.matches(headers, id_to_bytes(request_id) or None):
        raise RefusalUnproven("the refusal does not carry the id of the request")


def _ignore_late_answer(upstream: Instance, request_id: str, status: int) -> None:
    pass


def _headers(upstream: Instance, call: UpstreamCall) -> Headers:
    own = [
        (header_names.DEADLINE_MS, str(max(1, int(call.timeout_s * 1000))).encode()),
        (header_names.EXPECTED_UPSTREAM, upstream.name.encode()),
        (header_names.RANK, str(call.rank).encode()),
    ]
    if call.resume_after:
        own.append((header_names.LAST_EVENT_ID, call.resume_after.encode("latin-1")))
    replaced = {name for name, _ in own}
    return (*(h for h in call.headers if h[0] not in replaced), *own)
