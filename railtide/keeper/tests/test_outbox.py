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


async def taken_of(*messages: Message) -> list[Message]:
    """Return what is taken out after some messages were put in."""
    outbox = Outbox()
    assert all([outbox.put(message) for message in messages])
    return [await outbox.take() for _ in range(len(outbox))]


class TestOutbox:
    async def test_newest_of_each_thing_is_told(self) -> None:
        first, second = account("a", 1), account("a", 2)
        other, demand = account("b", 1), DemandMessage("a")
        assert await taken_of(first, other, second, demand, demand) == [second, other, demand]
        assert await taken_of(MembersMessage([]), MembersMessage([])) == [MembersMessage([])]

    async def test_status_stays_behind_what_it_speaks_of(self) -> None:
        """A router that has its status first takes itself for fresh without the object."""
        messages = status(1), account("a", 2), status(2)
        assert await taken_of(*messages) == [account("a", 2), status(2)]

    async def test_each_verdict_is_told(self) -> None:
        verdicts = [VerdictMessage("h", Verdict(seq, "ok", 1)) for seq in (1, 2, 2)]
        assert await taken_of(*verdicts) == verdicts

    async def test_events_have_a_bound_and_what_is_in_force_has_none(self, monkeypatch) -> None:
        monkeypatch.setattr(module, "MOST_EVENTS", 2)
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
