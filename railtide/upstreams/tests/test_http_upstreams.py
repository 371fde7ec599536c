"""Tests of railtide.upstreams.http_upstreams."""

import pytest
import trio

from railtide.http.sockets import listen
from railtide.membership.instances import Instance
from railtide.upstreams.client import UpstreamCall
from railtide.upstreams.http_upstreams import HttpUpstreams

CALL = UpstreamCall("r1", "GET", "/x", "text/plain", b"", 5.0)


class TestFraming:
    @pytest.mark.parametrize(
        ("framing", "framed"),
        [
            (b"content-length: 2\r\n\r\nok", True),
            (b"transfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", True),
            (b"connection: close\r\n\r\nok", False),
        ],
    )
    async def test_answer_with_a_length_or_chunks_is_framed(
        self, framing: bytes, framed: bool
    ) -> None:
        async def answer(stream: trio.SocketStream) -> None:
            await stream.receive_some()
            await stream.send_all(b"HTTP/1.1 200 OK\r\n" + framing)

        listener = await listen("127.0.0.1", 0)
        address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.serve_listeners, answer, [listener])
            answer_of = await HttpUpstreams().open(
                Instance("e", "1", address, "z", "upstream"), CALL
            )
            assert answer_of.framed is framed
            assert b"".join([data async for data in answer_of.chunks()]) == b"ok"
            nursery.cancel_scope.cancel()
