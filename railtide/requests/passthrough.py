"""Relays answers unchanged, with the headers of their upstream."""

import math
from collections.abc import Awaitable, Callable
from contextlib import aclosing
from dataclasses import replace
from functools import partial

import trio

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
SUCCESS_CLASS = 2
WITHOUT_BODY = (204, 205)
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
        return self._cost_of_events(self._events.billable_events) if self._ran else 0

    def _cost_of_events(self, events: int) -> int:
        usage = Usage(self._call.prompt_tokens, events * self._call.tokens_per_event)
        return min(self._call.reserve, cost_of(self._call.prices, usage))

    def _cost_of_stream(self) -> int:
        """Return the cost of a stream that has ended.

        Bytes after its last event count as one more. A stream without any event is passed on as
        it is, and its tokens are unknown.
        """
        events = self._events.billable_events
        if not self._events.has_billable_rest:
            return self._cost_of_events(events)
        return self._cost_of_events(events + 1) if events else self._call.reserve

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
            if self._call.stream and _has_output(answer.status):
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
        cost = self._call.reserve if _has_output(answer.status) else self.delivered_cost()
        relayed = Relayed(cost, stored, stored.body, answer.headers, answer.framed, answer.alive_at)
        if answer.status >= SERVER_ERROR:
            raise UpstreamFailed(relayed)
        return relayed

    async def _pass_stream(self, answer: UpstreamAnswer) -> Relayed:
        self._events.restart(answer.holds_another)
        try:
            with self._services.answer_memory.holding() as held:
                await self._pass_chunks(answer, held)
        except BaseException:
            self._events.give_up()  # the error's traceback refers to it
            raise
        if not answer.framed and not self._events.at_event_end:
            raise UpstreamDisconnected("the connection ended in the middle of an event")
        unsent = self._events.end()
        stored = Answer(answer.status, answer.content_type, b"")
        cost = self._cost_of_stream()
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
        await self._pass_on(answer, events)
        await answer.note_events(self._events.decoded - decoded_events)

    async def _pass_on(self, answer: UpstreamAnswer, events: bytes) -> None:
        if not events:
            return
        if not self._sink.started:
            await self._begin()
            request_id = self._call.request_id
            await self._sink.start(answer.status, answer.content_type, request_id, answer.headers)
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


def _has_output(status: int) -> bool:
    """Return whether an answer is a success with a body, whose tokens are billed."""
    return status // 100 == SUCCESS_CLASS and status not in WITHOUT_BODY


def pass_through_relay(
    call: Call,
    sink: AnswerSink,
    services: Services,
    before_first_byte: Callable[[], Awaitable[None]],
) -> Relay:
    """Return the relay that passes answers on unchanged."""
    return PassThroughRelay(call, sink, services, before_first_byte)
