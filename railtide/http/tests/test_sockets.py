"""How long connections to peers that don't respond are kept."""

import socket
from collections.abc import Iterator
from contextlib import contextmanager

import pytest
import trio

from railtide.http import sockets
from railtide.http.sockets import listen, set_tcp_options
from railtide.platform.tests.hosts import HOST
from railtide.standins.packet_filter import drop_packets

SHORT_TIMEOUT_MS = 1_500
PROBES = 20
"""Probes after which the kernel gives up by default would take 20 s."""
WITHIN_S = 6.0
LONGER_S = 3.0


@contextmanager
def short_timeouts(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    monkeypatch.setattr(sockets, "USER_TIMEOUT_MS", SHORT_TIMEOUT_MS)
    monkeypatch.setattr(sockets, "KEEPALIVE_IDLE_S", 1)
    yield


async def connected_pair() -> tuple[trio.SocketStream, trio.SocketStream]:
    """Return the two ends of a connection, the first one with the options set."""
    listener = await listen(HOST, 0)
    near = await trio.open_tcp_stream(*listener.socket.getsockname())
    set_tcp_options(near.socket)
    near.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)
    far = await listener.accept()
    await listener.aclose()
    return near, far


class TestUserTimeout:
    @pytest.mark.parametrize("sends", [True, False])
    async def test_connection_to_a_dead_host_fails(self, sends: bool, monkeypatch) -> None:
        """Also an idle one, whose keep-alive probes would go on for longer by their number."""
        with short_timeouts(monkeypatch):
            near, far = await connected_pair()
            drop_packets(far.socket)
            if sends:
                await near.send_all(b"x")
            with trio.fail_after(WITHIN_S), pytest.raises(trio.BrokenResourceError):
                await near.receive_some(1)

    @pytest.mark.parametrize("sends", [True, False])
    async def test_connection_to_a_silent_process_is_kept(self, sends: bool, monkeypatch) -> None:
        with short_timeouts(monkeypatch):
            near, _far = await connected_pair()
            if sends:
                await near.send_all(b"x")
            with trio.move_on_after(LONGER_S) as scope:
                await near.receive_some(1)
            assert scope.cancelled_caught
