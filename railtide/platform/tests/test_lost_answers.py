"""How soon the store's client detects a missing answer after its timeouts have grown."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

import trio

from railtide.http.messages import HttpRequest
from railtide.http.server import ConnectionLimits, HttpServer, Responder
from railtide.http.sockets import listen
from railtide.journal.errors import LogUnavailable
from railtide.platform.store import FIRST_BYTE_TIMEOUT_S, PlatformStore
from railtide.platform.tests.hosts import HOST
from railtide.telemetry.counters import Counters

SLACK_S = 0.5
LEDGERS = "keyed.railtide-ledgers"
ANSWER = b'{"items": [], "has_more": false, "end_offset": 0}'


class UnansweringStore:
    """A store that answers all requests except those for one topic."""

    def __init__(self) -> None:
        self.unanswered_topic = b""

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        if self.unanswered_topic and self.unanswered_topic in request.target:
            await trio.sleep_forever()
        await responder.answer(200, (), ANSWER)


@asynccontextmanager
async def client_of(store: UnansweringStore) -> AsyncIterator[PlatformStore]:
    listener = await listen(HOST, 0)
    async with trio.open_nursery() as nursery:
        server = HttpServer(store.handle, ConnectionLimits())
        nursery.start_soon(server.serve, listener)
        yield PlatformStore(f"{HOST}:{listener.socket.getsockname()[1]}", Counters())
        nursery.cancel_scope.cancel()


async def seconds_to_detect(client: PlatformStore, topic: str, partition: int = 0) -> float:
    sent_at = trio.current_time()
    with suppress(LogUnavailable), trio.move_on_after(9.5):
        await client.newest(topic, partition)
    return trio.current_time() - sent_at


async def read_often(client: PlatformStore) -> None:
    """Read another topic, which the store answers all the time."""
    while True:
        await client.newest("keyed.other")
        await trio.sleep(0.05)


class TestPartitions:
    async def test_one_outage_doubles_the_timeout_of_each_partition_once(self) -> None:
        """Timeouts of five partitions at the same time count as one failed attempt each."""
        store = UnansweringStore()
        store.unanswered_topic = LEDGERS.encode()
        async with client_of(store) as client:
            async with trio.open_nursery() as nursery:
                for partition in range(5):
                    nursery.start_soon(seconds_to_detect, client, LEDGERS, partition)
            assert await seconds_to_detect(client, LEDGERS) < 2 * FIRST_BYTE_TIMEOUT_S + SLACK_S


class TestLostAppends:
    async def test_lost_answers_of_appends_do_not_raise_the_timeout(self) -> None:
        """A store that loses a third of the answers loses several in a row, but is not slow."""
        store = UnansweringStore()
        store.unanswered_topic = LEDGERS.encode()
        async with client_of(store) as client, trio.open_nursery() as nursery:
            nursery.start_soon(read_often, client)
            for _ in range(4):
                sent_at = trio.current_time()
                with suppress(LogUnavailable), trio.move_on_after(9.5):
                    await client.append(LEDGERS, {"a": b"1"}, 0)
                assert trio.current_time() - sent_at < FIRST_BYTE_TIMEOUT_S + SLACK_S
            nursery.cancel_scope.cancel()


class TestLostAnswers:
    async def test_lost_answers_of_one_topic_are_detected_in_time(self) -> None:
        """Four answers of one topic are lost in a row, while those of another topic arrive.

        With a fixed timeout of 1.0 s each loss was detected after 1.0 s, which adaptive timeouts
        must not exceed by much.
        """
        store = UnansweringStore()
        store.unanswered_topic = b"keyed.op"
        async with client_of(store) as client, trio.open_nursery() as nursery:
            nursery.start_soon(read_often, client)
            seconds = [await seconds_to_detect(client, "keyed.op") for _ in range(4)]
            nursery.cancel_scope.cancel()
        assert max(seconds) < 2 * FIRST_BYTE_TIMEOUT_S + SLACK_S, [
            round(each, 2) for each in seconds
        ]
