"""Tests of railtide.requests.answer_memory."""

from collections.abc import AsyncIterator

import pytest
import trio

from railtide.requests.answer_memory import AnswerMemory
from railtide.requests.relay import read_answer
from railtide.upstreams.client import UpstreamAnswer
from railtide.upstreams.errors import UpstreamAnswerTooLong

PART = b"a" * 1_000


class _Body(UpstreamAnswer):
    """A body of some parts, without end if `parts` is None."""

    status = 200
    content_type = ""
    request_id = "r"

    def __init__(self, parts: int | None) -> None:
        self._parts = parts

    async def chunks(self) -> AsyncIterator[bytes]:
        sent = 0
        while self._parts is None or sent < self._parts:
            await trio.lowlevel.checkpoint()
            yield PART
            sent += 1

    async def aclose(self) -> None:
        pass


class TestAnswerMemory:
    async def test_body_without_end_is_given_up_at_its_own_bound(self) -> None:
        memory = AnswerMemory(1_000_000)
        with pytest.raises(UpstreamAnswerTooLong):
            await read_answer(_Body(None), 50_000, memory)
        assert memory.bytes_held == 0

    async def test_bodies_without_end_leave_room_for_the_others(self) -> None:
        """Guards against memory that grows with the number of such bodies."""
        memory = AnswerMemory(100_000)
        given_up = whole = peak = 0

        async def read(parts: int | None) -> None:
            nonlocal given_up, whole, peak
            try:
                answer = await read_answer(_Body(parts), 1_000_000, memory)
                whole += len(answer.body) == parts * len(PART)
            except UpstreamAnswerTooLong:
                given_up += 1

        async def watch() -> None:
            nonlocal peak
            while given_up + whole < 40:
                peak = max(peak, memory.bytes_held)
                await trio.lowlevel.checkpoint()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch)
            for _ in range(20):
                nursery.start_soon(read, None)
                nursery.start_soon(read, 2)
        assert (given_up, whole) == (20, 20)
        assert peak <= 100_000 + 40 * len(PART)
        assert memory.bytes_held == 0

    async def test_cancelled_answer_is_no_longer_held(self) -> None:
        memory = AnswerMemory(100_000)
        with trio.move_on_after(0.01):
            with memory.holding() as held:
                held.resize(5_000)
                await trio.sleep_forever()
        assert memory.bytes_held == 0
