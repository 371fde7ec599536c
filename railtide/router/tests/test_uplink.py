"""Tests of railtide.router.uplink: a keeper that is silent, and one behind a narrow link."""

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


class TestSilence:
    async def test_long_message_is_no_silence(self, autojump_clock) -> None:
        """Two megabytes take more than 3 s of 5 Mbit/s; each new link began with the same."""
        taken: list[Message] = []
        async with trio.open_nursery() as nursery:

            async def connect() -> Link:
                near, far = throttled_stream_pair(nursery)
                nursery.start_soon(TcpLink(far).send, MEMBERS)
                return TcpLink(near)

            uplink = Uplink([connect], taken.append, Random(1))
            nursery.start_soon(uplink.run)
            await trio.sleep(30)
            nursery.cancel_scope.cancel()
        assert taken[0] == MEMBERS

    async def test_silent_keeper_is_left_for_the_next(self, autojump_clock) -> None:
        taken: list[Message] = []
        status = LogStatusMessage(True, 1, 1, True)
        async with trio.open_nursery() as nursery:

            async def connect_silent() -> Link:
                return TcpLink(throttled_stream_pair(nursery)[0])

            async def connect() -> Link:
                near, far = throttled_stream_pair(nursery)
                nursery.start_soon(TcpLink(far).send, status)
                return TcpLink(near)

            uplink = Uplink([connect_silent, connect], taken.append, Random(1))
            nursery.start_soon(uplink.run)
            await trio.sleep(5)
            nursery.cancel_scope.cancel()
        assert taken == [status]
