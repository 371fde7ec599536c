"""Tests of railtide.requests.shutdown."""

import pytest
import trio

from railtide.errors import ExecutionStatus
from railtide.requests.shutdown import Shutdown
from railtide.router.errors import Draining


class TestShutdown:
    async def test_requests_are_not_limited_before_it(self, autojump_clock) -> None:
        shutdown = Shutdown()
        with shutdown.before_sending(usual_s=100.0):
            await trio.sleep(1000)

    async def test_wait_in_progress_ends_while_an_answer_can_be_expected(
        self, autojump_clock
    ) -> None:
        shutdown = Shutdown()
        began = trio.current_time()
        with pytest.raises(Draining) as refused, shutdown.before_sending(usual_s=2.0):
            shutdown.begin(began + 7.0)
            await trio.sleep_forever()
        assert trio.current_time() - began == 5.0
        assert (refused.value.run, refused.value.retry_after) == (ExecutionStatus.NOT_RUN, 0.0)

    async def test_wait_that_is_too_late_does_not_begin(self, autojump_clock) -> None:
        shutdown = Shutdown()
        shutdown.begin(trio.current_time() + 7.0)
        with pytest.raises(Draining), shutdown.before_sending(usual_s=7.5):
            pytest.fail("the wait has begun")

    async def test_deadline_of_a_request_is_kept(self, autojump_clock) -> None:
        shutdown = Shutdown()
        began = trio.current_time()
        shutdown.begin(began + 7.0)
        with shutdown.limit(began + 3.0) as scope:
            await trio.sleep_forever()
        assert scope.cancelled_caught and trio.current_time() - began == 3.0
