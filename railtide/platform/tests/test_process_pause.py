"""A process that was paused must read the rest of an answer from its socket buffer."""

import socket
import threading
import time

import trio

from railtide.platform.store import STALL_TIMEOUT_S, PlatformStore
from railtide.telemetry.counters import Counters

VALUE = bytes(300_000)


def _answer_in_two_parts(listener: socket.socket) -> None:
    """Answer one read in two parts, the second 0.3 s after the first."""
    peer, _ = listener.accept()
    peer.recv(65_536)
    content = b"\x01a" + VALUE
    body = (1).to_bytes(8, "big") + bytes(8) + len(content).to_bytes(4, "big") + content
    peer.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body) + body[:50_000])
    time.sleep(0.3)
    peer.sendall(body[50_000:])


class TestProcessPause:
    async def test_answer_buffered_during_a_pause_is_read(self) -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        threading.Thread(target=_answer_in_two_parts, args=(listener,), daemon=True).start()
        store = PlatformStore(f"127.0.0.1:{listener.getsockname()[1]}", Counters())
        async with trio.open_nursery() as nursery:

            async def pause() -> None:
                await trio.sleep(0.15)
                time.sleep(STALL_TIMEOUT_S + 0.5)  # noqa: ASYNC251 - pauses the process

            nursery.start_soon(pause)
            page = await store.read("keyed.t", 0, 0.0)
        assert page.records[0].value == VALUE
