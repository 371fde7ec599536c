"""Relays answers unchanged, with the headers of their upstream."""

import math
from collections.abc import Awaitable, Callable
from contextlib import aclosing
from dataclasses import replace
from functools import partial

import trio

from railtide.http.messages import Headers
from railtide.membership.instances import Instance
from railtide.requests.answer_memory import HeldAnswer
from railtide.requests.attempt_times import AttemptTimes
from railtide.requests.call import AnswerSink, Call, Usage, cost_of
from railtide.requests.event_stream import EventStream
from railtide.requests.messages import Answer
from railtide.requests.relay import Relay, Relayed, closing, read_answer
from railtide.requests.services import Services
from railtide.upstreams.client import UpstreamAnswer, UpstreamCall
from railtide.upstreams.errors import (
    StreamMoved,
    UpstreamDisconnected,
    UpstreamFailed,
    UpstreamLost,
    UpstreamRefused,
)

__all__ = ["PassThroughRelay", "pass_through_relay"]

OK_STATUS = 200
SERVER_ERROR = 500
DECODED_BYTES = 8_192
"""Bytes of a stream that are decoded before other tasks get a turn."""


class PassThroughRelay(Relay):
    """Relays the whole answer of one upstream, or the events of a stream across its attempts.

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
        self._events = self._new_events()
        self._ran = False

    def delivered_cost(self) -> int:
        """Return the cost of the input and of the events passed on; see `Relay.delivered_cost`.

        Input is billed from when the request was sent, since the upstream may have read it.
        """
        if not self._ran:
            return 0
        output = self._events.events * self._call.tokens_per_event
        usage = Usage(self._call.prompt_tokens, output)
        return min(self._call.reserve, cost_of(self._call.prices, usage))

    @property
    def resumable(self) -> bool:
        """Whether the last event passed on has an id; see `Relay.resumable`."""
        return self._events.resumable

    @property
    def last_event_id(self) -> str:
        """Id of the last event that the caller has; see `Relay.last_event_id`."""
        return self._events.last_id

    async def relay(self, upstream: Instance, sent: UpstreamCall) -> Relayed:
        """Send the call and pass its answer on; see `Relay.relay`."""
        ran_before, self._ran = self._ran, True
        self.head_at = None
        sent = replace(sent, resume_after=self._events.last_id)
        self.times = AttemptTimes(trio.current_time(), not sent.resume_after)
        try:
            answer = await self._services.upstreams.open(upstream, sent)
        except UpstreamRefused:
            self._ran = ran_before
            self.times.note_failure()
            raise
        self.head_at = trio.current_time()
        if answer.status != OK_STATUS:
            self.times.note_failure()
        async with closing(answer):
            if not answer.framed:
                witness = partial(self._services.upstreams.keep_witness, upstream)
                self._services.start_soon(witness)  # events don't wait for its connection
            if self._call.stream and answer.status == OK_STATUS:
                return await self._pass_stream(answer)
            return await self._read_whole(answer)

    async def _read_whole(self, answer: UpstreamAnswer) -> Relayed:
        """Read an answer that is no stream; its tokens are unknown, so it costs the reserve."""
        self.times.note_events(1, self.head_at)
        stored = await read_answer(
            answer, self._services.options.max_answer_bytes, self._services.answer_memory
        )
        if answer.holds_another(stored.body):
            # Without a length, the close of the connection ends the body: in one seed of the soak
            # test five callers got two answers as one body.
            raise UpstreamLost("the body ends with its connection and contains another answer")
        if self._sink.started:
            # Passed on after the events of an earlier attempt, a failure looks like the end of a
            # complete answer: it did to four callers in two simulated days of 34 s with crashes
            # and failing upstreams.
            raise UpstreamLost(f"the resumed stream was answered with status {answer.status}")
        cost = self._call.reserve if answer.status == OK_STATUS else self.delivered_cost()
        relayed = Relayed(cost, stored, stored.body, answer.headers, answer.framed, answer.alive_at)
        if answer.status >= SERVER_ERROR:
            raise UpstreamFailed(relayed)
        return relayed

    async def _pass_stream(self, answer: UpstreamAnswer) -> Relayed:
        self._events.restart()
        try:
            with self._services.answer_memory.holding() as held:
                await self._pass_chunks(answer, held)
        except BaseException:
            self._events.give_up()  # the error's traceback refers to it
            raise
        if not answer.framed and not self._events.at_event_end:
            raise UpstreamDisconnected("the connection ended in the middle of an event")
        unsent = self._events.end()
        stored = Answer(OK_STATUS, answer.content_type, b"")
        cost = self.delivered_cost()
        return Relayed(cost, stored, unsent, answer.headers, answer.framed, answer.alive_at)

    async def _pass_chunks(self, answer: UpstreamAnswer, held: HeldAnswer) -> None:
        read_at = math.inf
        async with aclosing(answer.chunks()) as chunks:
            async for data in chunks:
                now = trio.current_time()
                self.longest_pause_s = max(self.longest_pause_s, now - read_at)
                read_at = now
                for start in range(0, len(data), DECODED_BYTES):
                    await self._pass_events(answer, data[start : start + DECODED_BYTES], now)
                    held.resize(self._events.bytes_held)

    async def _pass_events(self, answer: UpstreamAnswer, data: bytes, now: float) -> None:
        """Pass on the new events that some bytes complete."""
        known_events, decoded_events = self._events.events, self._events.decoded
        events = self._events.feed(data)
        self.times.note_events(self._events.events - known_events, now)
        await self._pass_on(answer.headers, answer.content_type, events)
        await answer.note_events(self._events.decoded - decoded_events)

    async def _pass_on(self, headers: Headers, content_type: str, events: bytes) -> None:
        if not events:
            return
        if not self._sink.started:
            await self._begin()
            await self._sink.start(OK_STATUS, content_type, self._call.request_id, headers)
        await self._sink.write(events)

    async def _begin(self) -> None:
        try:
            await self._before_first_byte()
        except StreamMoved:
            self._events = self._new_events()  # none was passed on
            raise

    def _new_events(self) -> EventStream:
        resumption = self._call.resumption
        return EventStream(self._call.max_events, resumption.after if resumption else "")


def pass_through_relay(
    call: Call,
    sink: AnswerSink,
    services: Services,
    before_first_byte: Callable[[], Awaitable[None]],
) -> Relay:
    """Return the relay that passes answers on unchanged."""
    return PassThroughRelay(call, sink, services, before_first_byte)
