"""Tests of what a connection reads while its earlier requests are not answered."""

import trio

from railtide.http.connection_memory import ConnectionMemory
from railtide.http.messages import HttpRequest
from railtide.http.server import MAX_READ_AHEAD, READ_BYTES, Responder
from railtide.http.tests.test_connection_memory import MEMORY, server
from railtide.http.traffic import Traffic

REQUEST = b"POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n"
REQUESTS = 100_000
ANSWERS = 20


class Received(Traffic):
    """Counts the bytes received, without the overhead of packets."""

    count = 0

    def note_received(self, count: int) -> None:
        self.count += count
        super().note_received(count)


class TestRequestsInSuccession:
    async def test_each_answer_lets_more_be_read_ahead(self) -> None:
        unanswered: list[int] = []
        held: list[int] = []

        async def answer_later(request: HttpRequest, responder: Responder) -> None:
            await trio.sleep(0.01)
            unanswered.append(received.count - len(unanswered) * len(REQUEST))
            held.append(memory.held)
            await responder.answer(200, ())

        memory, received = ConnectionMemory(MEMORY), Received()
        async with server(answer_later, memory) as (http_server, connect):
            http_server.traffic = received
            stream = await connect()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(stream.send_all, REQUEST * REQUESTS)
                while len(unanswered) < ANSWERS:
                    await stream.receive_some()
                nursery.cancel_scope.cancel()
        assert max(unanswered) <= MAX_READ_AHEAD + 2 * READ_BYTES
        assert all(size >= count for size, count in zip(held, unanswered, strict=True))
