"""A process that stood still finds the rest of an answer in its socket."""

import socket
import threading
import time

import trio

from railtide.platform.store import STALL_TIMEOUT_S, PlatformStore
from railtide.telemetry.counters import Counters

VALUE = bytes(300_000)


def _answer_in_two_parts(listener: socket.socket) -> None:
    """Answer one read; the rest comes 0.3 s behind the first."""
    peer, _ = listener.accept()
    peer.recv(65_536)
    content = b"\x01a" + VALUE
    body = (1).to_bytes(8, "big") + bytes(8) + len(content).to_bytes(4, "big") + content
    peer.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body) + body[:50_000])
    time.sleep(0.3)
    peer.sendall(body[50_000:])


class TestStandstill:
    async def test_answer_that_waits_in_the_socket_is_taken(self) -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        threading.Thread(target=_answer_in_two_parts, args=(listener,), daemon=True).start()
        store = PlatformStore(f"127.0.0.1:{listener.getsockname()[1]}", Counters())
        async with trio.open_nursery() as nursery:

            async def stand_still() -> None:
                await trio.sleep(0.15)
                time.sleep(STALL_TIMEOUT_S + 0.5)  # noqa: ASYNC251 - the process stands still

            nursery.start_soon(stand_still)
            page = await store.read("keyed.t", 0, 0.0)
        assert page.records[0].value == VALUE
