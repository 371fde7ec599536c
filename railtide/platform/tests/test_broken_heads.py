"""Answers of engines that break off within their head, or while the request is being sent."""

import os
import re
from dataclasses import dataclass

import msgspec
import pytest
import trio

from railtide.http.client import Exchange
from railtide.http.sockets import listen, reset_on_close
from railtide.platform.tests.test_answer_endings import EVENTS, events, read
from railtide.platform.tests.test_end_to_end import HOST, RouterEnvironment, router_environment
from railtide.standins.platform import engine_entry

NAME = "raw"
PATHS = ["/stream/x", "/resume/x", "/safe/x", "/once/x"]
ATTEMPT_ID = re.compile(rb"x-attempt-id: (\S+)", re.I)
LONG_BODY = bytes(4_000_000)
"""More than the buffers of a connection hold."""


@dataclass
class RawEngine:
    """Answers each request with given bytes before it has read its body; %b stands for its id.

    Attributes
    ----------
    resets : bool
        Whether the connection is reset after them, or closed in order otherwise.
    pause_s : float or None
        Pause after each part; None for all parts and the end in one turn of the event loop.
    """

    parts: tuple[bytes, ...]
    resets: bool = False
    pause_s: float | None = 0.0
    runs: int = 0

    async def serve(self, stream: trio.SocketStream) -> None:
        head = b""
        while b"\r\n\r\n" not in head:
            data = await stream.receive_some(4096)
            if not data:
                return
            head += data
        self.runs += 1
        request_id = ATTEMPT_ID.search(head)
        for part in self.parts:
            data = part.replace(b"%b", request_id[1] if request_id else b"")
            if self.pause_s is None:
                os.write(stream.socket.fileno(), data)
                continue
            await stream.send_all(data)
            await trio.sleep(self.pause_s)
        if self.resets:
            reset_on_close(stream.socket)
        else:
            await stream.send_eof()
            await trio.sleep(0.1)


async def add_raw_engine(
    env: RouterEnvironment, *parts: bytes, resets: bool = False, pause_s: float | None = 0.0
) -> RawEngine:
    engine = RawEngine(parts, resets, pause_s)
    listener = await listen(HOST, 0)
    env.nursery.start_soon(trio.serve_listeners, engine.serve, [listener])
    address = f"{HOST}:{listener.socket.getsockname()[1]}"
    env.store.put("keyed.servers", NAME, msgspec.json.encode(engine_entry(address)))
    await env.wait_until_listed(NAME)
    return engine


async def looks_complete(exchange: Exchange) -> bool:
    _, is_complete = await read(exchange)
    return exchange.status // 100 == 2 and is_complete


HEAD_LINES = (
    b"HTTP/1.1 200 OK\r\n",
    b"x-attempt-id: %b\r\n",
    b"x-response-seal: s\r\n",
    b"content-type: text/event-stream\r\n",
    b"content-length: 90\r\n",
)


class TestBrokenHead:
    @pytest.mark.parametrize("resets", [False, True])
    @pytest.mark.parametrize("lines", range(1, len(HEAD_LINES) + 1))
    @pytest.mark.parametrize("rest", [b"", b"\r", b"content-le", b"content-length: 9"])
    async def test_part_of_a_head_is_taken_for_an_answer(
        self, lines: int, rest: bytes, resets: bool
    ) -> None:
        async with router_environment() as env:
            head = b"".join(HEAD_LINES[:lines]) + rest
            engine = await add_raw_engine(env, head, resets=resets)
            for path in PATHS:
                assert not await looks_complete(await env.send(path)), path
            assert engine.runs >= len(PATHS)

    @pytest.mark.parametrize("status", [b"000", b"099", b"600", b"999", b"1000", b"20", b"2000"])
    async def test_status_that_does_not_exist_is_passed_on(self, status: bytes) -> None:
        async with router_environment() as env:
            head = b"HTTP/1.1 %s OK\r\n" % status + b"".join(HEAD_LINES[1:3])
            await add_raw_engine(env, head + b"content-length: 5\r\n\r\nwhole")
            for path in PATHS:
                assert (await env.send(path)).status == 502, path


class TestAnswerDuringTheRequest:
    @pytest.mark.parametrize("pause_s", [None, 0.0, 0.02])
    @pytest.mark.parametrize("body", [b"", events(2), events(EVENTS)])
    @pytest.mark.parametrize("path", PATHS)
    async def test_reset_ends_an_answer_without_framing(
        self, path: str, body: bytes, pause_s: float | None
    ) -> None:
        async with router_environment() as env:
            head = b"".join(HEAD_LINES[:4]) + b"\r\n"
            engine = await add_raw_engine(env, head, body, resets=True, pause_s=pause_s)
            assert not await looks_complete(await env.send(path, body=LONG_BODY))
            assert engine.runs >= 1
