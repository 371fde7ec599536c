"""Tests of `unit_queue`: urgent requests first, and nobody overtaken for ever."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from railtide.budgets.unit_queue import UnitQueue, WaitingForUnits

URGENT, BULK = (0, 0), (1, 0)


def reserve(request: WaitingForUnits) -> bool:
    return True


def queue_of(*requests: WaitingForUnits) -> UnitQueue:
    queue = UnitQueue()
    for request in requests:
        queue.add(request)
    return queue


class TestOrder:
    def test_urgency_then_latest_start_then_arrival(self) -> None:
        """Guards against units for a request that could wait while another misses its goal."""
        late = WaitingForUnits(1, URGENT, start_by=9.0)
        bulk = WaitingForUnits(1, BULK, start_by=1.0)
        early = WaitingForUnits(1, URGENT, start_by=2.0)
        low_rank = WaitingForUnits(1, (0, 2), start_by=1.0)
        second = WaitingForUnits(1, URGENT, start_by=9.0)
        queue = queue_of(late, bulk, early, low_rank, second)
        assert queue.in_order(0.0) == [early, late, second, low_rank, bulk]

    def test_caller_with_a_due_promise_goes_first(self) -> None:
        """Guards against a broken promise to a caller that has no further try."""
        urgent = WaitingForUnits(1, URGENT)
        returned = WaitingForUnits(1, BULK, promised_at=2.0)
        queue = queue_of(urgent, returned)
        assert queue.in_order(1.9) == [urgent, returned]
        assert queue.in_order(2.0) == [returned, urgent]


class TestOvertaking:
    def test_small_requests_do_not_overtake_a_large_urgent_one_for_ever(self) -> None:
        """Units for 10 arrive at a time: without the bound the request of 30 never gets any."""
        large = WaitingForUnits(30, URGENT)
        queue = queue_of(large)
        available = overtaken = 0
        for _ in range(20):
            available += 10
            queue.add(WaitingForUnits(10, BULK))
            while taken := queue.serve_next(0.0, lambda _, units=available: units, reserve):
                available -= taken.amount
                overtaken += taken.amount * (large in queue.in_order(0.0))
            if large not in queue.in_order(0.0):
                break
        assert large not in queue.in_order(0.0)
        assert overtaken == 30

    def test_units_too_few_for_a_large_request_serve_a_small_one(self) -> None:
        """Guards against units that lie idle while small requests are refused."""
        small = WaitingForUnits(10, BULK)
        assert (
            queue_of(WaitingForUnits(30, URGENT), small).serve_next(0.0, lambda _: 10, reserve)
            is small
        )

    def test_caller_with_a_promise_is_not_overtaken(self) -> None:
        returned = WaitingForUnits(30, BULK, promised_at=0.0)
        queue = queue_of(returned, WaitingForUnits(10, URGENT))
        assert queue.serve_next(1.0, lambda _: 10, reserve) is None
        assert queue.serve_next(1.0, lambda _: 30, reserve) is returned

    @given(
        amounts=st.lists(st.tuples(st.integers(1, 40), st.integers(0, 2)), max_size=30),
        grants=st.lists(st.integers(0, 60), max_size=30),
    )
    def test_never_more_units_taken_than_there_are(
        self, amounts: list[tuple[int, int]], grants: list[int]
    ) -> None:
        queue = queue_of(*[WaitingForUnits(amount, (0, rank)) for amount, rank in amounts])
        available = 0
        for units in grants:
            available += units
            while taken := queue.serve_next(0.0, lambda _, units=available: units, reserve):
                available -= taken.amount
                assert available >= 0
        for request in queue.in_order(0.0):
            assert request.overtaken_units <= request.amount


class TestUnitsAhead:
    @pytest.mark.parametrize(("priority", "ahead"), [(URGENT, 0), (BULK, 30)])
    def test_counts_only_requests_that_go_before(self, priority, ahead: int) -> None:
        queue = queue_of(WaitingForUnits(30, (0, 1)))
        assert queue.units_ahead_of(WaitingForUnits(1, priority, order=9), 0.0) == ahead
