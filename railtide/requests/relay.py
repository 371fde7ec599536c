"""Relays the answer of an upstream to the caller and checks it on the way."""

import math
from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import aclosing, asynccontextmanager

import trio

from railtide.http.messages import Headers
from railtide.membership.instances import Instance
from railtide.requests.answer_memory import AnswerMemory
from railtide.requests.answers import END_MARK, StreamChecker, usage_of_body
from railtide.requests.attempt_times import AttemptTimes
from railtide.requests.call import AnswerSink, Call, Usage, cost_of
from railtide.requests.event_stream import EXTRA_EVENTS, MAX_EVENTS
from railtide.requests.messages import Answer
from railtide.requests.services import Services
from railtide.upstreams.client import UpstreamAnswer, UpstreamCall
from railtide.upstreams.errors import (
    AnswerMismatch,
    UpstreamAnswerTooLong,
    UpstreamError,
    UpstreamLost,
)

__all__ = ["EngineRelay", "Relay", "Relayed", "closing", "engine_relay", "read_answer"]

OK_STATUS = 200
RESUME_PAUSE_S = 0.1
EVENT_STREAM = "text/event-stream"


class Relayed:
    """A complete answer, its cost, and the part of it that the caller has not been sent.

    Attributes
    ----------
    cost : int
        Units.
    answer : Answer
        The answer as it is stored for a retry with the same key.
    unsent : bytes
        The whole body, or the end mark of a stream.
    headers : Headers
    framed : bool
        Whether its HTTP framing marks its end, rather than just the close of the connection.
    alive_at : float
        See `UpstreamAnswer`.
    """

    def __init__(
        self,
        cost: int,
        answer: Answer,
        unsent: bytes,
        headers: Headers = (),
        framed: bool = True,
        alive_at: float = math.inf,
    ) -> None:
        self.cost = cost
        self.answer = answer
        self.unsent = unsent
        self.headers = headers
        self.framed = framed
        self.alive_at = alive_at


class Relay(ABC):
    """Passes the answer of one request on to its caller, across all attempts.

    Attributes
    ----------
    longest_pause_s : float
        Longest pause between two events of a stream at one upstream; 0 where it isn't measured.
    head_at : float or None
        Trio time at which the response head of the latest attempt arrived; None where it isn't
        measured.
    times : AttemptTimes or None
        Times of the latest attempt; None where they aren't measured.
    """

    longest_pause_s = 0.0
    head_at: float | None = None
    times: AttemptTimes | None = None

    @property
    def resumable(self) -> bool:
        """Whether another attempt can continue after what the caller was sent."""
        return True

    @property
    def last_event_id(self) -> str:
        """Id of the last event that the caller has of its stream; empty where it isn't known."""
        return ""

    @abstractmethod
    async def relay(self, upstream: Instance, sent: UpstreamCall) -> Relayed:
        """Send the call and pass its answer on, except for its end.

        Raises
        ------
        UpstreamError
            The call did not run, or no complete answer came.
        """

    @abstractmethod
    def delivered_cost(self) -> int:
        """Return the cost of what the caller was sent, units."""


class EngineRelay(Relay):
    """Relays answers of engines with railtide's own interface, and resumes broken streams.

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
        self._checker = StreamChecker(call.request_id, _max_events(call))
        self._stored = bytearray()

    def delivered_cost(self) -> int:
        """Return the cost of the events passed on; see `Relay.delivered_cost`."""
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
            raise AnswerMismatch("the answer carries the id of another request")

    # -- answers that are no streams ----------------------------------------------------------

    async def _read_whole(self, answer: UpstreamAnswer) -> Relayed:
        stored = await read_answer(
            answer, self._services.options.max_answer_bytes, self._services.answer_memory
        )
        return Relayed(self._cost_of_complete(stored, answer.framed), stored, stored.body)

    def _cost_of_complete(self, answer: Answer, framed: bool) -> int:
        """Return the cost of an answer whose framing or usage proves that it is complete."""
        prices = self._call.prices
        if answer.status != OK_STATUS:
            return 0
        if prices.call:
            if not framed:
                raise UpstreamLost(
                    "the answer has no framing: only the close of its connection ended it"
                )
            return prices.call
        return cost_of(prices, usage_of_body(answer.body, self._call.request_id))

    # -- streams ------------------------------------------------------------------------------

    async def _pass_stream(self, answer: UpstreamAnswer) -> None:
        """Pass events on until the end mark, or until the stream breaks."""
        try:
            with self._services.answer_memory.holding() as held:
                async with aclosing(answer.chunks()) as chunks:
                    async for data in chunks:
                        checked = self._checker.feed(data)
                        held.resize(self._checker.bytes_held)
                        if checked:
                            await self._pass_on(checked)
                        if self._checker.finished:
                            return
        except UpstreamLost:
            if not self._sink.started:
                raise

    async def _pass_on(self, checked: bytes) -> None:
        if not self._sink.started:
            await self._before_first_byte()
            await self._sink.start(OK_STATUS, EVENT_STREAM, self._call.request_id)
        if self._call.key:
            self._stored += checked
        await self._sink.write(checked)

    async def _resume_until_finished(self, upstream: Instance, sent: UpstreamCall) -> None:
        """Resume a broken stream at its engine, which stores what it generated."""
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
        stored = Answer(OK_STATUS, EVENT_STREAM, bytes(self._stored) + END_MARK)
        return Relayed(cost, stored, END_MARK)


def _max_events(call: Call) -> int:
    """Return the most events of a stream, each of which holds a token of its output at least."""
    price = call.prices.token_out
    return call.reserve // price + EXTRA_EVENTS if price else MAX_EVENTS


async def read_answer(answer: UpstreamAnswer, max_bytes: int, memory: AnswerMemory) -> Answer:
    """Read the whole body of an answer.

    Raises
    ------
    UpstreamLost
        The body broke off.
    UpstreamAnswerTooLong
        It is larger than `max_bytes`, or the memory for answers is full and it is the largest.
    """
    body = bytearray()
    try:
        with memory.holding() as held:
            async with aclosing(answer.chunks()) as chunks:
                async for data in chunks:
                    body += data
                    if len(body) > max_bytes:
                        raise UpstreamAnswerTooLong(f"the answer is larger than {max_bytes} bytes")
                    held.resize(len(body))
    except BaseException:
        body.clear()  # the error's traceback refers to it
        raise
    return Answer(answer.status, answer.content_type, bytes(body))


@asynccontextmanager
async def closing(answer: UpstreamAnswer) -> AsyncIterator[None]:
    """Close an answer when the block ends, also by cancellation."""
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
    """Return the relay for engines with railtide's own interface."""
    return EngineRelay(call, sink, services, before_first_byte)
