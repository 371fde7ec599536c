"""Tests of what a router learns whose request another router has no memory for."""

import pytest
import trio

from railtide.edge.peer_server import peer_server, set_body_limit
from railtide.forwarding.client import ForwardingClient
from railtide.forwarding.errors import NotForwarded
from railtide.forwarding.peer_choice import ForwardingPeer
from railtide.forwarding.tests.fakes import upstream
from railtide.http.connection_memory import ConnectionMemory
from railtide.http.messages import HttpRequest
from railtide.http.sockets import listen

BODY = b"x" * 1_000_000
LIMIT = 8 * len(BODY)
WAIT_S = 5.0


class TestBodyWithoutRoom:
    async def test_request_counts_as_possibly_sent(self) -> None:
        """Guards against a call that may run once being lost though nothing was forwarded."""
        memory = ConnectionMemory(LIMIT)
        server = peer_server(None, None, memory=memory)
        set_body_limit(server, len(BODY))
        listener = await listen("127.0.0.1", 0)
        address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
        client = ForwardingClient("r0", "r0/1", b"key")
        request = HttpRequest(b"POST", b"/a", ((b"host", b"x"),), BODY)
        with trio.fail_after(WAIT_S):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(server.serve, listener)
                memory.open().resize_held(LIMIT - len(BODY))
                with pytest.raises(NotForwarded):
                    await client.forward(
                        ForwardingPeer("r1", "r1/1", address, "z"), upstream(0), request, 1.0
                    )
                nursery.cancel_scope.cancel()
        assert memory.rejected == 1
