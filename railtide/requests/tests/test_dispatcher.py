"""Tests of the terms with which the dispatcher reserves budget."""

import math
from random import Random

import pytest
import trio

from railtide.configuration.models import AccountSettings
from railtide.lanes.queue import Urgency
from railtide.lanes.scheduler import PoolScheduler
from railtide.requests.call import Call, Prices
from railtide.requests.dispatcher import _terms_of
from railtide.upstreams.balancing import TwoChoices


def call_with(goal_s: float, urgency: Urgency = Urgency.BULK, rank: int = 2) -> Call:
    return Call(
        request_id="r",
        account="a",
        settings=AccountSettings(),
        pool="p",
        method="POST",
        path="/",
        content_type="",
        body=b"",
        prices=Prices(),
        reserve=10,
        prompt_tokens=0,
        urgency=urgency,
        deadline=60.0,
        goal_s=goal_s,
        rank=rank,
        content="digest",
    )


class TestTerms:
    async def test_latest_start_leaves_the_usual_time_to_the_first_byte(
        self, autojump_clock
    ) -> None:
        """Guards against waits that end in time for the goal, with answers that begin after it."""
        scheduler = PoolScheduler(TwoChoices(Random(1)))
        scheduler._update_first_byte_time(0.2)
        terms = _terms_of(call_with(goal_s=0.5), scheduler)
        assert terms.start_by == pytest.approx(trio.current_time() + 0.3)
        assert terms.content == "digest"

    async def test_call_without_a_goal_has_no_latest_start(self) -> None:
        terms = _terms_of(call_with(goal_s=0.0), PoolScheduler(TwoChoices(Random(1))))
        assert terms.start_by == math.inf

    async def test_urgent_calls_go_first_then_the_lowest_rank(self) -> None:
        scheduler = PoolScheduler(TwoChoices(Random(1)))
        calls = [(Urgency.BULK, 1), (Urgency.URGENT, 0), (Urgency.BULK, 2)]
        priorities = [
            _terms_of(call_with(1.0, urgency, rank), scheduler).priority for urgency, rank in calls
        ]
        assert sorted(priorities) == [priorities[1], priorities[0], priorities[2]]
