"""Tests of railtide.keeper.outbox."""

import trio

from railtide.journal.entries import Verdict
from railtide.keeper import outbox as module
from railtide.keeper.outbox import Outbox
from railtide.wire.messages import (
    DemandMessage,
    LogStatusMessage,
    MembersMessage,
    Message,
    ObjectMessage,
    VerdictMessage,
)


def status(offset: int) -> LogStatusMessage:
    return LogStatusMessage(True, offset, offset, True)


def account(name: str, version: int) -> ObjectMessage:
    return ObjectMessage("account", name, version, b"{}", version)


async def take_all(*messages: Message) -> list[Message]:
    """Return the messages that an outbox yields after these were put in."""
    outbox = Outbox()
    assert all([outbox.put(message) for message in messages])
    return [await outbox.take() for _ in range(len(outbox))]


class TestOutbox:
    async def test_newest_message_per_key_is_kept(self) -> None:
        first, second = account("a", 1), account("a", 2)
        other, demand = account("b", 1), DemandMessage("a")
        assert await take_all(first, other, second, demand, demand) == [second, other, demand]
        assert await take_all(MembersMessage([]), MembersMessage([])) == [MembersMessage([])]

    async def test_status_follows_the_messages_it_covers(self) -> None:
        """A router that received its status first would count as current without the object."""
        messages = status(1), account("a", 2), status(2)
        assert await take_all(*messages) == [account("a", 2), status(2)]

    async def test_each_verdict_is_kept(self) -> None:
        verdicts = [VerdictMessage("h", Verdict(seq, "ok", 1)) for seq in (1, 2, 2)]
        assert await take_all(*verdicts) == verdicts

    async def test_events_are_bounded_and_current_state_is_not(self, monkeypatch) -> None:
        monkeypatch.setattr(module, "MAX_EVENTS", 2)
        outbox = Outbox()
        verdict = VerdictMessage("h", Verdict(1, "ok", 1))
        assert outbox.put(verdict) and outbox.put(verdict) and not outbox.put(verdict)
        assert outbox.put(account("a", 1))
        await outbox.take()
        assert outbox.put(verdict) and not outbox.put(verdict)

    async def test_reader_waits_for_a_message(self, autojump_clock) -> None:
        outbox = Outbox()
        async with trio.open_nursery() as nursery:

            async def put_later() -> None:
                await trio.sleep(1)
                outbox.put(status(1))

            nursery.start_soon(put_later)
            assert await outbox.take() == status(1)
