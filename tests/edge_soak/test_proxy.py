"""Tests of the soak's proxy: shared rates and blackholed connections."""

import trio

from tests.edge_soak.proxy import Link, open_link

SENT_BYTES = 100_000
RATE = 200_000.0


async def _link_to_sender(nursery: trio.Nursery) -> Link:
    """Return a link to a server that answers each byte with `SENT_BYTES`."""

    async def send(stream: trio.SocketStream) -> None:
        while await stream.receive_some(1):
            await stream.send_all(bytes(SENT_BYTES))

    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    nursery.start_soon(trio.serve_listeners, send, [listener])
    return await open_link(nursery, listener.socket.getsockname())


async def _fetch(stream: trio.SocketStream) -> None:
    await stream.send_all(b"x")
    received = 0
    while received < SENT_BYTES:
        received += len(await stream.receive_some())


class TestRate:
    async def test_connections_share_the_rate(self) -> None:
        async with trio.open_nursery() as nursery:
            link = await _link_to_sender(nursery)
            link.rate = RATE
            began = trio.current_time()
            async with trio.open_nursery() as fetching:
                for _ in range(2):
                    stream = await trio.open_tcp_stream("127.0.0.1", link.port)
                    fetching.start_soon(_fetch, stream)
            assert trio.current_time() - began >= 2 * SENT_BYTES / RATE
            nursery.cancel_scope.cancel()

    async def test_links_of_one_machine_share_each_direction(self) -> None:
        async with trio.open_nursery() as nursery:
            near, outgoing = [await _link_to_sender(nursery) for _ in range(2)]
            near.share_rate(RATE, outgoing)
            began = trio.current_time()
            await _fetch(await trio.open_tcp_stream("127.0.0.1", near.port))
            busy_s = near.directions[True].free_at - began
            assert busy_s >= SENT_BYTES / RATE
            assert outgoing.directions[False] is near.directions[True]
            assert outgoing.directions[True].free_at < outgoing.directions[False].free_at
            nursery.cancel_scope.cancel()


class TestBlackhole:
    async def test_open_connections_get_nothing_more_and_new_ones_work(self) -> None:
        async with trio.open_nursery() as nursery:
            link = await _link_to_sender(nursery)
            old = await trio.open_tcp_stream("127.0.0.1", link.port)
            await _fetch(old)
            link.blackhole_open()
            with trio.fail_after(5):
                await _fetch(await trio.open_tcp_stream("127.0.0.1", link.port))
            with trio.move_on_after(0.2) as scope:
                await _fetch(old)
            assert scope.cancelled_caught
            nursery.cancel_scope.cancel()
