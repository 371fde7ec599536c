"""Tests of railtide.wire."""

import pytest
import trio
import trio.testing
from hypothesis import given
from hypothesis import strategies as st

from railtide.journal.client import LogRecord
from railtide.journal.entries import Verdict, make_entry
from railtide.membership.instances import Instance, InstanceState
from railtide.membership.messages import Heartbeat
from railtide.wire import messages as m
from railtide.wire.codec import message_from_bytes, message_to_bytes
from railtide.wire.errors import LinkLost, UnreadableMessage
from railtide.wire.links import TcpLink

MESSAGES = [
    m.SubscribeMessage(),
    m.EntryMessage(make_entry("a", 1, 0, Heartbeat()), "00-1-2-01"),
    m.VerdictMessage("a", Verdict(1, "ok", 3)),
    m.ObjectMessage("k", "n", 1, b"x", 3),
    m.MembersMessage([Instance("n", "i", "a", "f", "r", state=InstanceState.LEAVING)]),
    m.DemandMessage("x"),
    m.LogStatusMessage(True, 3, 4, True),
    m.OrphanMessage("r", "a", "p", 3, "k", True),
    m.ReadMessage(1, "s", 3, 4, 0.5),
    m.ReadReply(1, 3, [LogRecord(1, 2, b"z")]),
    m.AppendMessage(1, "s", b"z"),
    m.AppendReply(1, 2),
]


class TestCodec:
    @pytest.mark.parametrize("message", MESSAGES, ids=lambda message: type(message).__name__)
    def test_message_round_trips(self, message: m.Message) -> None:
        assert message_from_bytes(message_to_bytes(message)) == message

    @given(data=st.binary(max_size=200))
    def test_random_bytes_are_unreadable_or_unknown(self, data: bytes) -> None:
        try:
            message_from_bytes(data)
        except UnreadableMessage:
            pass


class TestTcpLink:
    async def test_messages_arrive_whole_and_in_order(self) -> None:
        near, far = trio.testing.lockstep_stream_pair()
        async with trio.open_nursery() as nursery:
            sender, receiver = TcpLink(near), TcpLink(far)

            async def send() -> None:
                for message in MESSAGES:
                    await sender.send(message)
                await sender.aclose()

            nursery.start_soon(send)
            assert [await receiver.receive() for _ in MESSAGES] == MESSAGES
            with pytest.raises(LinkLost):
                await receiver.receive()

    async def test_oversized_message_raises_link_lost(self) -> None:
        near, far = trio.testing.memory_stream_pair()
        await near.send_all(b"\xff\xff\xff\xff")
        with pytest.raises(LinkLost):
            await TcpLink(far).receive()
