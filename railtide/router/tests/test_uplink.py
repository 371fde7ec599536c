"""Tests of railtide.router.uplink: an unresponsive keeper, and one behind a narrow link."""

from random import Random

import trio

from railtide.membership.instances import Instance
from railtide.router.uplink import Uplink
from railtide.standins.throttled_stream import throttled_stream_pair
from railtide.wire.links import Link, TcpLink
from railtide.wire.messages import LogStatusMessage, MembersMessage, Message

MEMBERS = MembersMessage(
    [
        Instance(
            f"engine-{number:05}", f"{number:05}/1790000000000", "10.1.2.3:8000", "z", "engine"
        )
        for number in range(20_000)
    ]
)


class TestIdleTimeout:
    async def test_long_message_does_not_time_out(self, autojump_clock) -> None:
        """Two megabytes take more than 3 s at 5 Mbit/s, and are the first message of each link."""
        received: list[Message] = []
        async with trio.open_nursery() as nursery:

            async def connect() -> Link:
                near, far = throttled_stream_pair(nursery)
                nursery.start_soon(TcpLink(far).send, MEMBERS)
                return TcpLink(near)

            uplink = Uplink([connect], received.append, Random(1))
            nursery.start_soon(uplink.run)
            await trio.sleep(30)
            nursery.cancel_scope.cancel()
        assert received[0] == MEMBERS

    async def test_next_keeper_is_tried_after_an_unresponsive_one(self, autojump_clock) -> None:
        received: list[Message] = []
        status = LogStatusMessage(True, 1, 1, True)
        async with trio.open_nursery() as nursery:

            async def connect_unresponsive() -> Link:
                return TcpLink(throttled_stream_pair(nursery)[0])

            async def connect() -> Link:
                near, far = throttled_stream_pair(nursery)
                nursery.start_soon(TcpLink(far).send, status)
                return TcpLink(near)

            uplink = Uplink([connect_unresponsive, connect], received.append, Random(1))
            nursery.start_soon(uplink.run)
            await trio.sleep(5)
            nursery.cancel_scope.cancel()
        assert received == [status]
