"""How late the store's client notices silence once its waits have grown."""

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


class LosingStore:
    """Answers each call, but for those to a topic whose answers are lost."""

    def __init__(self) -> None:
        self.lost_topic = b""

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        if self.lost_topic and self.lost_topic in request.target:
            await trio.sleep_forever()
        await responder.answer(200, (), ANSWER)


@asynccontextmanager
async def client_of(store: LosingStore) -> AsyncIterator[PlatformStore]:
    listener = await listen(HOST, 0)
    async with trio.open_nursery() as nursery:
        server = HttpServer(store.handle, ConnectionLimits())
        nursery.start_soon(server.serve, listener)
        yield PlatformStore(f"{HOST}:{listener.socket.getsockname()[1]}", Counters())
        nursery.cancel_scope.cancel()


async def seconds_to_notice(client: PlatformStore, topic: str, partition: int = 0) -> float:
    began = trio.current_time()
    with suppress(LogUnavailable), trio.move_on_after(9.5):
        await client.newest(topic, partition)
    return trio.current_time() - began


async def ask_often(client: PlatformStore) -> None:
    """Be another topic that the store answers all the time."""
    while True:
        await client.newest("keyed.other")
        await trio.sleep(0.05)


class TestPartitions:
    async def test_one_silence_doubles_the_wait_of_each_partition_once(self) -> None:
        """Five partitions that were silent at one moment were one try, not five."""
        store = LosingStore()
        store.lost_topic = LEDGERS.encode()
        async with client_of(store) as client:
            async with trio.open_nursery() as nursery:
                for partition in range(5):
                    nursery.start_soon(seconds_to_notice, client, LEDGERS, partition)
            assert await seconds_to_notice(client, LEDGERS) < 2 * FIRST_BYTE_TIMEOUT_S + SLACK_S


class TestLostAppends:
    async def test_lost_answers_of_appends_make_none_wait_longer(self) -> None:
        """A store that loses a third of them loses several in a row, and is not slow."""
        store = LosingStore()
        store.lost_topic = LEDGERS.encode()
        async with client_of(store) as client, trio.open_nursery() as nursery:
            nursery.start_soon(ask_often, client)
            for _ in range(4):
                began = trio.current_time()
                with suppress(LogUnavailable), trio.move_on_after(9.5):
                    await client.append(LEDGERS, {"a": b"1"}, 0)
                assert trio.current_time() - began < FIRST_BYTE_TIMEOUT_S + SLACK_S
            nursery.cancel_scope.cancel()


class TestLostAnswers:
    async def test_silent_connection_is_noticed_in_time_while_others_are_answered(self) -> None:
        """Four answers of one topic are lost in a row; the store is there, and others hear it.

        With the limit of before, 1.0 s beyond the wait, each was noticed in 1.0 s, 4 s in all.
        """
        store = LosingStore()
        store.lost_topic = b"keyed.op"
        async with client_of(store) as client, trio.open_nursery() as nursery:
            nursery.start_soon(ask_often, client)
            seconds = [await seconds_to_notice(client, "keyed.op") for _ in range(4)]
            nursery.cancel_scope.cancel()
        assert max(seconds) < 2 * FIRST_BYTE_TIMEOUT_S + SLACK_S, [
            round(each, 2) for each in seconds
        ]
