"""Tests of `process_pauses`."""

import trio
import trio.testing

from railtide.upstreams.process_pauses import MIN_PAUSE_S, ProcessPauses


class TestRun:
    async def test_shortest_pause_goes_unnoticed(self, mock_clock) -> None:
        pauses, noted = ProcessPauses(), []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(pauses.run, lambda: noted.append(trio.current_time()))
            await trio.testing.wait_all_tasks_blocked()
            mock_clock.jump(MIN_PAUSE_S)
            await trio.testing.wait_all_tasks_blocked()
            assert noted == [trio.current_time()]
            assert pauses.any_between(trio.current_time() - MIN_PAUSE_S)
            nursery.cancel_scope.cancel()

    async def test_running_process_counts_as_paused(self, autojump_clock) -> None:
        pauses, noted = ProcessPauses(), []
        with trio.move_on_after(10):
            await pauses.run(lambda: noted.append(trio.current_time()))
        assert not noted
