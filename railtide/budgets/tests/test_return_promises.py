"""Tests of `return_promises`: each caller's own time, and bounded units kept for it."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from railtide.budgets.return_promises import (
    GRACE_S,
    MAX_PROMISES,
    ArrivalRate,
    ReturnPromises,
    honoured_s,
    note_arrival,
    rate_at,
)
from railtide.budgets.unit_queue import WaitingForUnits


def caller(content: str, amount: int = 10, deadline: float = 60.0) -> WaitingForUnits:
    return WaitingForUnits(amount, content=content, deadline=deadline)


def promise_at_rate(promises: ReturnPromises, request: WaitingForUnits, now: float, per_s: float):
    due_at = promises.due_at_rate(request, now, now, 0, per_s)
    return promises.make(request, now, due_at, per_s * (due_at - now))


class TestTimes:
    def test_each_caller_is_told_its_own_time_in_order(self) -> None:
        """Guards against callers that come back together and are refused a second time."""
        promises = ReturnPromises()
        told = [promise_at_rate(promises, caller(str(n)), 0.0, 100.0).due_at for n in range(10)]
        assert told == pytest.approx([0.1 * (n + 1) for n in range(10)])

    def test_times_differ_however_fast_units_arrive(self) -> None:
        promises = ReturnPromises()
        told = [promise_at_rate(promises, caller(str(n)), 0.0, 1e9).due_at for n in range(10)]
        assert len({round(at, 3) for at in told}) == 10

    def test_waiting_requests_and_the_next_units_come_first(self) -> None:
        due_at = ReturnPromises().due_at_rate(caller("a"), 0.0, 0.4, ahead=50, per_s=100.0)
        assert due_at == pytest.approx(0.4 + 0.5 + 0.1)

    def test_no_time_without_arrivals(self) -> None:
        """Guards against promises of units that nobody has asked for."""
        promises = ReturnPromises()
        assert promises.due_at_rate(caller("a"), 0.0, 0.0, 0, per_s=0.0) == math.inf
        assert promises.due_at_rate(caller("a"), 0.0, math.inf, 0, per_s=9.0) == math.inf
        assert promises.due_at_limit(None, 0.0) == math.inf

    def test_time_beyond_what_the_caller_honours_keeps_nothing(self) -> None:
        """Guards against units kept for a caller that has gone or came back before."""
        promises = ReturnPromises()
        assert promise_at_rate(promises, caller("a", deadline=0.29), 0.0, 100.0) is None
        assert promises.units_kept(0.0) == 0
        assert promise_at_rate(promises, caller("a", deadline=0.31), 0.0, 100.0)


class TestKeeping:
    def test_units_are_kept_until_due_and_the_grace_after(self) -> None:
        """A caller that never returns: its units are free again `GRACE_S` after its time."""
        promises = ReturnPromises()
        due_at = promise_at_rate(promises, caller("a"), 0.0, 100.0).due_at
        assert promises.units_kept(due_at + GRACE_S - 0.01) == 10
        assert promises.units_kept(due_at + GRACE_S) == 0
        assert promises.unclaimed == 1

    def test_caller_is_recognised_by_its_content_once(self) -> None:
        promises = ReturnPromises()
        promise = promise_at_rate(promises, caller("a"), 0.0, 100.0)
        assert promises.claim("b", 10, 0.1) is None
        assert promises.claim("a", 11, 0.1) is None
        assert promises.claim("a", 10, 0.1) is promise
        assert promises.claim("a", 10, 0.1) is None

    def test_caller_without_a_digest_gets_no_promise(self) -> None:
        promises = ReturnPromises()
        assert promise_at_rate(promises, caller(""), 0.0, 100.0) is None
        assert promises.claim("", 10, 0.0) is None

    def test_returned_caller_gets_no_second_promise(self) -> None:
        """Guards against units kept again and again for one caller, from more urgent requests."""
        returned = caller("a")
        returned.promised_at = 1.0
        assert promise_at_rate(ReturnPromises(), returned, 1.0, 100.0) is None

    def test_number_is_bounded(self) -> None:
        promises = ReturnPromises()
        made = [promise_at_rate(promises, caller(str(n), 1), 0.0, 1e4) for n in range(200)]
        assert len([promise for promise in made if promise]) == MAX_PROMISES == len(promises)

    def test_fallen_rate_allows_no_further_promise(self) -> None:
        """Guards against more units promised than are expected after arrivals slowed down."""
        promises = ReturnPromises()
        for number in range(10):
            promise_at_rate(promises, caller(str(number)), 0.0, 100.0)
        assert promise_at_rate(promises, caller("late"), 0.0, 1.0) is None

    @given(
        amounts=st.lists(st.integers(1, 200), max_size=80),
        per_s=st.floats(1.0, 2000.0),
        gaps=st.lists(st.floats(0.0, 0.5), min_size=80, max_size=80),
    )
    def test_promised_units_are_at_most_those_expected(
        self, amounts: list[int], per_s: float, gaps: list[float]
    ) -> None:
        promises = ReturnPromises()
        now = 0.0
        for number, amount in enumerate(amounts):
            now += gaps[number]
            promise = promise_at_rate(promises, caller(str(number), amount, now + 16), now, per_s)
            if promise:
                assert promise.due_at - now <= honoured_s(now, now + 16)
                assert promises.units_kept(now) <= per_s * (promise.due_at - now) + 1e-6


class TestArrivalRate:
    def test_follows_grants_and_ends_with_them(self) -> None:
        rate = ArrivalRate()
        for number in range(40):
            note_arrival(rate, 50, 0.5 * number)
        assert 85 <= rate_at(rate, 20.0) <= 115
        assert rate_at(rate, 30.0) < 5
