"""Handles requests of the platform's clients, and maps errors to the platform's statuses."""

import math
from random import Random

import msgspec
import trio
from loguru import logger

from railtide.edge.errors import BodyUnread, LinkFull
from railtide.edge.node import EdgeNode
from railtide.errors import ExecutionStatus, RailtideError
from railtide.http.errors import CallerDisconnected, MemoryExhausted
from railtide.http.messages import Headers, HttpRequest
from railtide.http.server import Responder
from railtide.platform import header_names
from railtide.platform.calls import call_of, outline_of
from railtide.platform.request_headers import attempt_id_of, id_to_bytes
from railtide.platform.statuses import NOT_RUN, PROMISES_NOT_RUN
from railtide.requests.call import AnswerSink, Call
from railtide.router.errors import Draining, NotReady
from railtide.router.problems import PROBLEM_TYPE, problem_of, problem_to_bytes
from railtide.telemetry.latency import Latency

__all__ = ["Ingress", "addresses_body", "shutting_down"]

DEFAULT_RETRY_AFTER_S = 0.3
"""Retry-After of an error that carries none: engines and routers that start, leave or are full are
available again within moments."""
HEAD = "HEAD"
MIN_SERVER_ERROR = 500
MAX_UNCHECKED_BODY = 16_384
"""Largest body that is read before the key and the route of its request are checked."""


class _Sink(AnswerSink):
    """Writes a response to a client: streams chunk by chunk, any other with its length.

    A response to HEAD has the length that its engine states, if any.
    """

    def __init__(self, responder: Responder, call: Call) -> None:
        self._responder = responder
        self._stream = call.stream or call.method == HEAD
        self.started_at = 0.0
        self.longest_pause_s = 0.0
        self._written_at = math.inf
        self._headers: Headers = ()
        self._body = b""
        self.status = 0
        self.written: list[int] = []

    async def check_caller(self) -> None:
        await self._responder.check_caller()

    async def start(
        self, status: int, content_type: str, request_id: str, headers: Headers = ()
    ) -> None:
        self.started = True
        self.started_at = trio.current_time()
        self.status = status
        self._headers = headers
        if self._stream:
            await self._responder.start(status, headers, None)

    async def write(self, data: bytes) -> None:
        self.written.append(len(data))
        if self._stream:
            now = trio.current_time()
            self.longest_pause_s = max(self.longest_pause_s, now - self._written_at)
            self._written_at = now
            await self._responder.write(data)
        else:
            self._body += data

    async def finish(self) -> None:
        if self._stream:
            await self._responder.finish()
        else:
            await self._responder.answer(self.status, self._headers, self._body)


class Ingress:
    """Request handler for the platform's clients.

    Parameters
    ----------
    node : EdgeNode
    rng : random.Random
        Chooses among the services of a route.

    Attributes
    ----------
    refusing : bool
        Whether new requests are refused because the router shuts down.
    """

    def __init__(self, node: EdgeNode, rng: Random) -> None:
        self.refusing = False
        self._durations = Latency("request_duration")
        self._first_bytes = Latency("first_byte")
        self._node = node
        self._rng = rng

    def check_head(self, request: HttpRequest, length: int) -> RailtideError | None:
        """Return why a request is rejected by its head; see `railtide.http.server.HeadCheck`."""
        if self.refusing:
            return shutting_down()
        shedding, snapshot = self._node.shedding, self._node.snapshot
        sheds = shedding is not None and shedding.rejects
        if snapshot is None or not (sheds or length > MAX_UNCHECKED_BODY):
            return None
        try:
            outline = outline_of(request, length, snapshot)
            if sheds:
                shedding.admit(outline)
        except LinkFull as err:
            return err
        except RailtideError as err:
            return err if length > MAX_UNCHECKED_BODY else None  # the handler refuses the others
        return None

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Handle one request; every line that is logged meanwhile carries its id."""
        trace = _RequestTrace(request)
        with logger.contextualize(request_id=trace.request_id):
            await self._handle(request, responder, trace)

    async def _handle(
        self, request: HttpRequest, responder: Responder, trace: "_RequestTrace"
    ) -> None:
        received_at = trio.current_time()
        try:
            if isinstance(request.rejection, LinkFull | MemoryExhausted):
                raise request.rejection
            await self._node.wait_until_current()
            if request.rejection:
                self._decode(request, trace)
                raise BodyUnread("the configuration that the request was checked by has changed")
            call = self._decode(request, trace)
            trace.call = call
            trace.sink = sink = _Sink(responder, call)
            await self._node.serve(call, sink)
            trace.status, trace.code = sink.status, "done"
        except RailtideError as err:
            await self._refuse(self._node.refusal_for_caller(err), responder, trace)
        except Exception as err:
            logger.bind(error=repr(err)).exception("request-failed")
            await self._refuse(RailtideError("the request failed by an error"), responder, trace)
        except BaseException as err:
            if _is_cancelled(err):
                trace.code = "caller-gone"
            raise
        finally:
            duration_s = trio.current_time() - received_at
            self._node.counters.add(f"answers_{trace.code.replace('-', '_')}")
            self._durations.record(duration_s, code=trace.code)
            if trace.sink and trace.sink.started_at:
                trace.first_byte_s = trace.sink.started_at - received_at
                self._first_bytes.record(trace.first_byte_s)
                self._node.note_answer(trace.call.route, trace.sink.written)
            trace.log(duration_s)

    def _decode(self, request: HttpRequest, trace: "_RequestTrace") -> Call:
        snapshot = self._node.snapshot
        if snapshot is None or not self._node.upstreams_known:
            raise NotReady(
                "this router has not read its configuration yet", retry_after=DEFAULT_RETRY_AFTER_S
            )
        if self.refusing:
            raise shutting_down()
        trace.version = snapshot.version
        self._node.check_not_superseded()
        return call_of(request, snapshot, self._rng, trio.current_time())

    async def _refuse(
        self, err: RailtideError, responder: Responder, trace: "_RequestTrace"
    ) -> None:
        """Respond with an error; a response that has begun is left incomplete."""
        trace.code, trace.detail = err.code, err.detail
        if responder.started or isinstance(err, CallerDisconnected):
            return
        not_run = err.run is ExecutionStatus.NOT_RUN and err.status >= MIN_SERVER_ERROR
        status = NOT_RUN if not_run else err.status
        headers = [(b"content-type", PROBLEM_TYPE.encode())]
        retry_after = (
            DEFAULT_RETRY_AFTER_S if err.retry_after is None and not_run else err.retry_after
        )
        if retry_after is not None:
            headers.append((b"retry-after", f"{retry_after:.2f}".encode()))
            trace.retry_after_s = round(retry_after, 2)
        if trace.request_id:
            headers.append((header_names.ATTEMPT_ID, id_to_bytes(trace.request_id)))
        if trace.call and not trace.call.repeatable and status in PROMISES_NOT_RUN:
            self._node.note_refused(trace.request_id, err.code)
        await responder.answer(status, tuple(headers), problem_to_bytes(problem_of(err)))
        trace.status = status


def shutting_down() -> Draining:
    """Return the refusal of new requests during a shutdown."""
    return Draining("this router is shutting down; use another address", retry_after=0.0)


def _is_cancelled(err: BaseException) -> bool:
    """Return whether an error is a cancellation or a group of nothing but cancellations."""
    if isinstance(err, BaseExceptionGroup):
        return all(_is_cancelled(inner) for inner in err.exceptions)
    return isinstance(err, trio.Cancelled)


class _RequestTrace:
    """Fields of a request's log line."""

    def __init__(self, request: HttpRequest) -> None:
        self.request_id = attempt_id_of(request.headers)
        self.version: int | None = None
        self.call: Call | None = None
        self.sink: _Sink | None = None
        self.status = 0
        self.code = "internal-error"
        self.detail = ""
        self.retry_after_s: float | None = None
        self.first_byte_s: float | None = None

    def log(self, duration_s: float) -> None:
        call = self.call
        logger.bind(
            account=call.account if call else "",
            pool=call.pool if call else "",
            route=call.route if call else "",
            goal_ms=_ms(call.goal_s) if call else None,
            pause_goal_ms=_ms(call.pause_goal_s) if call else None,
            first_ms=None if self.first_byte_s is None else _ms(self.first_byte_s),
            pause_ms=_ms(self.sink.longest_pause_s) if self.sink else None,
            version=self.version,
            status=self.status,
            code=self.code,
            detail=self.detail,
            retry_after_s=self.retry_after_s,
            ms=_ms(duration_s),
        ).info("request")


def _ms(seconds: float) -> float:
    return round(seconds * 1000, 1)


def addresses_body(addresses: list[str], ttl_s: float) -> bytes:
    """Return the response body for a client that looks up router addresses."""
    return msgspec.json.encode({"addresses": addresses, "ttl_s": ttl_s})
