"""Tests of the soak's proxy: shared rates, blackholed connections and cuts."""

import errno
import socket

import pytest
import trio
import trio.testing

from railtide.http.connect import connect_tcp_stream
from railtide.http.errors import ConnectFailed, ConnectRefused
from tests.edge_soak.proxy import Link, PathCut, open_link

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


async def _echo_link(nursery: trio.Nursery) -> Link:
    async def echo(stream: trio.SocketStream) -> None:
        while data := await stream.receive_some(1):
            await stream.send_all(data)

    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    nursery.start_soon(trio.serve_listeners, echo, [listener])
    return await open_link(nursery, listener.socket.getsockname())


async def _is_echoed(stream: trio.SocketStream, within_s: float = 0.3) -> bool:
    await stream.send_all(b"x")
    with trio.move_on_after(within_s):
        return await stream.receive_some(1) == b"x"
    return False


class TestCut:
    @pytest.mark.parametrize("how", [PathCut.NEW_UNRESPONSIVE, PathCut.NEW_REFUSED])
    async def test_open_connections_go_on(self, how: PathCut) -> None:
        async with trio.open_nursery() as nursery:
            link = await _echo_link(nursery)
            stream = await connect_tcp_stream("127.0.0.1", link.port)
            assert await _is_echoed(stream)
            link.cut(how)
            assert await _is_echoed(stream)
            nursery.cancel_scope.cancel()

    @pytest.mark.parametrize("how", list(PathCut))
    async def test_new_connections_fail_until_it_heals(self, how: PathCut) -> None:
        async with trio.open_nursery() as nursery:
            link = await _echo_link(nursery)
            link.cut(how)
            await trio.testing.wait_all_tasks_blocked(0.01)
            with pytest.raises(ConnectFailed) as failed:
                await connect_tcp_stream("127.0.0.1", link.port)
            refuses = how in (PathCut.REFUSED, PathCut.NEW_REFUSED)
            assert isinstance(failed.value, ConnectRefused) == refuses
            link.heal()
            await trio.testing.wait_all_tasks_blocked(0.01)
            assert await _is_echoed(await connect_tcp_stream("127.0.0.1", link.port))
            nursery.cancel_scope.cancel()

    async def test_port_is_kept_while_connections_are_refused(self) -> None:
        """Guards against a link that can't heal, since another socket was given its port."""
        async with trio.open_nursery() as nursery:
            link = await _echo_link(nursery)
            link.cut(PathCut.REFUSED)
            await trio.testing.wait_all_tasks_blocked(0.01)
            with socket.socket() as other, pytest.raises(OSError) as failed:
                other.bind(("127.0.0.1", link.port))
            assert failed.value.errno == errno.EADDRINUSE
            nursery.cancel_scope.cancel()

    async def test_cut_that_heals_at_once_is_no_error(self) -> None:
        async with trio.open_nursery() as nursery:
            link = await _echo_link(nursery)
            for _ in range(20):
                link.cut(PathCut.REFUSED)
                link.heal()
                await trio.testing.wait_all_tasks_blocked(0.01)
                async with await connect_tcp_stream("127.0.0.1", link.port) as stream:
                    assert await _is_echoed(stream)
                await trio.testing.wait_all_tasks_blocked(0.01)
            nursery.cancel_scope.cancel()

    async def test_unacknowledged_bytes_end_a_connection(self) -> None:
        """A proxy that only stops to forward acknowledges, and no user timeout would pass."""
        async with trio.open_nursery() as nursery:
            link = await _echo_link(nursery)
            stream = await connect_tcp_stream("127.0.0.1", link.port)
            assert await _is_echoed(stream)
            stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 300)
            link.cut(PathCut.UNRESPONSIVE)
            await stream.send_all(b"x")
            with trio.fail_after(5), pytest.raises(trio.BrokenResourceError) as broken:
                await stream.receive_some(1)
            assert broken.value.__cause__.errno == errno.ETIMEDOUT
            nursery.cancel_scope.cancel()

    async def test_connections_that_hung_go_on_after_it(self) -> None:
        async with trio.open_nursery() as nursery:
            link = await _echo_link(nursery)
            stream = await connect_tcp_stream("127.0.0.1", link.port)
            assert await _is_echoed(stream)
            link.cut(PathCut.UNRESPONSIVE)
            assert not await _is_echoed(stream)
            link.heal()
            assert await _is_echoed(stream, within_s=3.0)
            nursery.cancel_scope.cancel()

    async def test_open_connections_are_reset(self) -> None:
        async with trio.open_nursery() as nursery:
            link = await _echo_link(nursery)
            stream = await connect_tcp_stream("127.0.0.1", link.port)
            assert await _is_echoed(stream)
            link.cut(PathCut.REFUSED)
            with trio.fail_after(1), pytest.raises(trio.BrokenResourceError):
                await stream.receive_some(1)
            nursery.cancel_scope.cancel()
