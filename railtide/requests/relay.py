"""The relay of one answer from an upstream to a caller, checked on the way."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import aclosing, asynccontextmanager

import trio

from railtide.http.messages import Headers
from railtide.membership.instances import Instance
from railtide.requests.answers import END_MARK, StreamChecker, usage_of_body
from railtide.requests.call import AnswerSink, Call, Usage, cost_of
from railtide.requests.messages import Answer
from railtide.requests.services import Services
from railtide.upstreams.client import UpstreamAnswer, UpstreamCall
from railtide.upstreams.errors import AnswerMismatch, UpstreamError, UpstreamLost

__all__ = ["EngineRelay", "Relay", "Relayed", "closing", "engine_relay", "read_answer"]

OK_STATUS = 200
RESUME_PAUSE_S = 0.1
EVENT_STREAM = "text/event-stream"


class Relayed:
    """A whole answer: its cost, and itself for a retry with the same key.

    `rest` is what the caller has not been sent yet: all of it, or the end mark of a stream.
    `framed` is whether its own framing tells its end, and not just the end of its connection.
    """

    def __init__(
        self,
        cost: int,
        answer: Answer,
        rest: bytes,
        headers: Headers = (),
        framed: bool = True,
    ) -> None:
        self.cost = cost
        self.answer = answer
        self.rest = rest
        self.headers = headers
        self.framed = framed


class Relay(ABC):
    """Passes one request's answer on, over all its tries.

    Attributes
    ----------
    longest_pause_s : float
        Between two events of a stream at one upstream, as far as it is measured.
    head_at : float or None
        Trio time at which the head of the latest run's answer came, as far as it is measured.
    """

    longest_pause_s = 0.0
    head_at: float | None = None

    @property
    def resumable(self) -> bool:
        """Whether another run can go on after what the caller was sent."""
        return True

    @abstractmethod
    async def relay(self, upstream: Instance, sent: UpstreamCall) -> Relayed:
        """Send the call and pass its answer on, up to its end.

        Raises
        ------
        UpstreamError
            It did not run, or no whole answer came.
        """

    @abstractmethod
    def delivered_cost(self) -> int:
        """Return the cost of what the caller was sent, units."""


class EngineRelay(Relay):
    """Passes the answer of an engine of this product's own interface on, across resumes.

    Parameters
    ----------
    call : Call
    sink : AnswerSink
    services : Services
    before_first_byte : callable
        Awaited once before anything is sent to the caller.
    """

    def __init__(
        self,
        call: Call,
        sink: AnswerSink,
        services: Services,
        before_first_byte: Callable[[], Awaitable[None]],
    ) -> None:
        self._call = call
        self._sink = sink
        self._services = services
        self._before_first_byte = before_first_byte
        self._checker = StreamChecker(call.request_id)
        self._kept = bytearray()

    def delivered_cost(self) -> int:
        """Return the cost of the events passed; see `Relay.delivered_cost`."""
        events = self._checker.events if self._sink.started else 0
        if not events:
            return 0
        return cost_of(self._call.prices, Usage(self._call.prompt_tokens, events))

    async def relay(self, upstream: Instance, sent: UpstreamCall) -> Relayed:
        """Send the call and pass its answer on; see `Relay.relay`."""
        answer = await self._services.upstreams.open(upstream, sent)
        async with closing(answer):
            self._check_id(answer)
            if not self._call.stream or answer.status != OK_STATUS:
                return await self._read_whole(answer)
            self._checker.restart()
            await self._pass_stream(answer)
        await self._resume_until_finished(upstream, sent)
        return self._relayed_stream()

    def _check_id(self, answer: UpstreamAnswer) -> None:
        if answer.request_id != self._call.request_id:
            self._services.counters.add("answers_dropped")
            raise AnswerMismatch("the answer carries another request's id")

    # -- whole answers ------------------------------------------------------------------------

    async def _read_whole(self, answer: UpstreamAnswer) -> Relayed:
        kept = await read_answer(answer, self._services.options.max_answer_bytes)
        return Relayed(self._cost_of_whole(kept, answer.framed), kept, kept.body)

    def _cost_of_whole(self, answer: Answer, framed: bool) -> int:
        """Return the cost of an answer that is whole by its framing or by its own usage."""
        prices = self._call.prices
        if answer.status != OK_STATUS:
            return 0
        if prices.call:
            if not framed:
                raise UpstreamLost("nothing but its connection told the end of the answer")
            return prices.call
        return cost_of(prices, usage_of_body(answer.body, self._call.request_id))

    # -- streams ------------------------------------------------------------------------------

    async def _pass_stream(self, answer: UpstreamAnswer) -> None:
        """Pass events on until the end mark, or until the stream breaks off."""
        try:
            async with aclosing(answer.chunks()) as chunks:
                async for data in chunks:
                    passable = self._checker.feed(data)
                    if passable:
                        await self._pass_on(passable)
                    if self._checker.finished:
                        return
        except UpstreamLost:
            if not self._sink.started:
                raise

    async def _pass_on(self, passable: bytes) -> None:
        if not self._sink.started:
            await self._before_first_byte()
            await self._sink.start(OK_STATUS, EVENT_STREAM, self._call.request_id)
        if self._call.key:
            self._kept += passable
        await self._sink.write(passable)

    async def _resume_until_finished(self, upstream: Instance, sent: UpstreamCall) -> None:
        """Take a broken stream up again at its engine, which keeps what it generated."""
        resumes = 0
        while not self._checker.finished:
            if not self._sink.started or resumes >= self._services.options.max_resumes:
                raise UpstreamLost("the stream ended without its end mark")
            resumes += 1
            self._services.counters.add("streams_resumed")
            await self._resume(upstream, sent)

    async def _resume(self, upstream: Instance, sent: UpstreamCall) -> None:
        again = UpstreamCall(
            sent.request_id,
            "GET",
            f"/v1/streams/{sent.request_id}",
            sent.content_type,
            b"",
            sent.timeout_s,
        )
        try:
            answer = await self._services.upstreams.open(upstream, again)
        except UpstreamError:
            await trio.sleep(RESUME_PAUSE_S)
            return
        self._checker.restart()
        async with closing(answer):
            self._check_id(answer)
            await self._pass_stream(answer)

    def _relayed_stream(self) -> Relayed:
        used = Usage(self._call.prompt_tokens, self._checker.events)
        cost = cost_of(self._call.prices, self._checker.usage or used)
        kept = Answer(OK_STATUS, EVENT_STREAM, bytes(self._kept) + END_MARK)
        return Relayed(cost, kept, END_MARK)


async def read_answer(answer: UpstreamAnswer, max_bytes: int) -> Answer:
    """Return a whole answer.

    Raises
    ------
    UpstreamLost
        It broke off, or is larger than `max_bytes`.
    """
    body = bytearray()
    async with aclosing(answer.chunks()) as chunks:
        async for data in chunks:
            body += data
            if len(body) > max_bytes:
                raise UpstreamLost("the answer is larger than this router takes")
    return Answer(answer.status, answer.content_type, bytes(body))


@asynccontextmanager
async def closing(answer: UpstreamAnswer) -> AsyncIterator[None]:
    """Close an answer at the end of the block, also when it is cancelled."""
    try:
        yield
    finally:
        with trio.CancelScope(shield=True):
            await answer.aclose()


def engine_relay(
    call: Call,
    sink: AnswerSink,
    services: Services,
    before_first_byte: Callable[[], Awaitable[None]],
) -> Relay:
    """Return the relay for engines of this product's own interface."""
    return EngineRelay(call, sink, services, before_first_byte)
