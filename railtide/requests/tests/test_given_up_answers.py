"""Tests of what an answer that was given up leaves behind."""

from collections.abc import AsyncIterator
from traceback import walk_tb

import pytest
import trio

from railtide.requests.answer_memory import AnswerMemory
from railtide.requests.relay import read_answer
from railtide.upstreams.client import UpstreamAnswer
from railtide.upstreams.errors import UpstreamAnswerTooLong


class EndlessAnswer(UpstreamAnswer):
    """An answer whose body never ends."""

    def __init__(self) -> None:
        self.status = 200
        self.content_type = ""

    async def chunks(self) -> AsyncIterator[bytes]:
        while True:
            await trio.lowlevel.checkpoint()
            yield b"x" * 1_000

    async def aclose(self) -> None:
        pass


class TestGivenUpAnswer:
    @pytest.mark.parametrize(("max_bytes", "held"), [(5_000, 1_000_000), (1_000_000, 5_000)])
    async def test_error_keeps_the_bytes_that_were_read(self, max_bytes: int, held: int) -> None:
        with pytest.raises(UpstreamAnswerTooLong) as raised:
            await read_answer(EndlessAnswer(), max_bytes, AnswerMemory(held))
        frames = [frame for frame, _ in walk_tb(raised.value.__traceback__)]
        kept = [frame.f_locals["body"] for frame in frames if "body" in frame.f_locals]
        assert kept and not any(kept)
