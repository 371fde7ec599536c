"""Tests of railtide.http.stall."""

import pytest
import trio

from railtide.http.errors import Stalled
from railtide.http.stall import StallWatch


class TestHead:
    async def test_answer_that_does_not_begin_is_stalled(self, autojump_clock) -> None:
        began = trio.current_time()
        with pytest.raises(Stalled, match="0 bytes"):
            with StallWatch(head_s=2.0, stall_s=1.0):
                await trio.sleep_forever()
        assert trio.current_time() - began == pytest.approx(2.0)

    async def test_wait_restarts_with_each_part_sent(self, autojump_clock) -> None:
        with StallWatch(head_s=1.0, stall_s=1.0) as watch:
            for _ in range(5):
                await trio.sleep(0.9)
                watch.note_sent()
            await trio.sleep(0.9)
            watch.note_received(1)

    async def test_wait_can_be_shortened_but_not_extended(self, autojump_clock) -> None:
        began = trio.current_time()
        with pytest.raises(Stalled):
            with StallWatch(head_s=8.0, stall_s=1.0) as watch:
                await trio.sleep(0.5)
                watch.limit_head_wait(2.0)
                watch.limit_head_wait(5.0)
                await trio.sleep_forever()
        assert trio.current_time() - began == pytest.approx(2.0)


class TestBody:
    async def test_size_and_duration_of_the_whole_answer_are_unlimited(
        self, autojump_clock
    ) -> None:
        with StallWatch(head_s=1.0, stall_s=1.0, min_bytes=1000) as watch:
            for _ in range(1000):
                await trio.sleep(0.9)
                watch.note_received(1000)
        assert watch.received == 1_000_000

    async def test_answer_without_further_bytes_is_stalled(self, autojump_clock) -> None:
        began = trio.current_time()
        with pytest.raises(Stalled, match="5000 bytes"):
            with StallWatch(head_s=8.0, stall_s=1.0) as watch:
                watch.note_received(5000)
                await trio.sleep_forever()
        assert trio.current_time() - began == pytest.approx(1.0)

    async def test_answer_below_the_minimum_rate_is_stalled(self, autojump_clock) -> None:
        began = trio.current_time()
        with pytest.raises(Stalled):
            with StallWatch(head_s=1.0, stall_s=1.0, min_bytes=1000) as watch:
                while True:
                    watch.note_received(1)
                    await trio.sleep(0.01)
        assert trio.current_time() - began == pytest.approx(1.0)

    async def test_limit_on_the_head_does_not_apply_to_an_answer_that_has_begun(
        self, autojump_clock
    ) -> None:
        with StallWatch(head_s=8.0, stall_s=1.0) as watch:
            watch.note_received(1)
            watch.limit_head_wait(0.0)
            await trio.sleep(0.9)

    async def test_shortened_wait_counts_from_the_last_bytes_sent(self, autojump_clock) -> None:
        began = trio.current_time()
        with pytest.raises(Stalled):
            with StallWatch(head_s=8.0, stall_s=1.0) as watch:
                await trio.sleep(3.0)
                watch.note_sent()
                watch.limit_head_wait(1.0)
                await trio.sleep_forever()
        assert trio.current_time() - began == pytest.approx(4.0)

    async def test_other_errors_propagate(self, autojump_clock) -> None:
        with pytest.raises(ValueError, match="own"):
            with StallWatch(head_s=1.0, stall_s=1.0):
                raise ValueError("own")
