"""Tests of railtide.budgets.ledger."""

import math

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from railtide.budgets.ledger import (
    Holding,
    Ledger,
    account_for,
    close_former,
    committed,
    grant,
    ledger_from_bytes,
    ledger_to_bytes,
    reported_spend,
)
from railtide.budgets.shortfalls import Shortfall
from railtide.budgets.spend_limit import ClockReading, NoClocks, SpendLimit


class TestLedger:
    def test_former_process_of_an_instance_is_written_off_whole(self) -> None:
        ledger = Ledger(by_instance={"a": Holding("a1", granted=70, spent=20, requests=3)})
        assert close_former(ledger, "a", "a2", NoClocks().read()).granted == 70
        assert committed(ledger) == 70
        assert ledger.billed == 20

    def test_former_process_cannot_have_spent_beyond_its_limit(self) -> None:
        limit = SpendLimit(ClockReading("boot", 10.0, 500.0), used=25, burst=10, pace=5)
        for started, closed in (
            (ClockReading("boot", 12.0, 502.0), 45),
            (ClockReading("other boot", 12.0, 502.0), 70),
            (ClockReading("boot", 12.0, 507.0), 70),
            (ClockReading("boot", 9.0, 502.0), 70),
        ):
            former = Holding("a1", granted=70, spent=20, limit=limit)
            ledger = Ledger(by_instance={"a": former})
            close_former(ledger, "a", "a2", started)
            assert (ledger.closed, ledger.by_instance) == (closed, {})

    def test_more_spent_than_the_limit_counts_as_reported(self) -> None:
        limit = SpendLimit(ClockReading("boot", 10.0, 500.0), used=5, burst=0, pace=0)
        ledger = Ledger(by_instance={"a": Holding("a1", granted=70, spent=20, limit=limit)})
        close_former(ledger, "a", "a2", ClockReading("boot", 12.0, 502.0))
        assert ledger.closed == 20

    def test_own_holding_is_not_written_off(self) -> None:
        ledger = Ledger(by_instance={"a": Holding("a1", granted=70)})
        assert close_former(ledger, "a", "a1", NoClocks().read()) is None
        assert committed(ledger) == 70

    def test_committed_counts_what_may_still_be_spent(self) -> None:
        ledger = Ledger(closed=5)
        account_for(ledger, "a", Holding("a1", granted=10, spent=4))
        assert committed(ledger) == 15
        assert reported_spend(ledger) == 9

    def test_empty_holding_is_left_out(self) -> None:
        ledger = Ledger(by_instance={"a": Holding("a1", granted=3)})
        account_for(ledger, "a", Holding("a1"))
        assert ledger.by_instance == {}

    def test_grant_never_exceeds_what_is_left(self) -> None:
        ledger = Ledger(closed=60, by_instance={"b": Holding("b1", granted=30)})
        assert grant(ledger, prepaid=100, wanted=50, least=1) == 10
        assert grant(ledger, prepaid=100, wanted=50, least=11) == 0
        assert grant(ledger, prepaid=80, wanted=1, least=1) == 0

    def test_encoding_keeps_all(self) -> None:
        limit = SpendLimit(ClockReading("boot", 1.5, 9.5), 2, 1, 1)
        held = Holding("a1", 3, 2, 1, limit, Shortfall(7, count=1))
        ledger = Ledger(5, 4, {"a": held, "b": Holding("b1")})
        assert ledger_from_bytes(ledger_to_bytes(ledger)) == ledger

    def test_holding_that_a_process_without_needs_wrote_is_read(self) -> None:
        older = msgspec.msgpack.encode([5, 4, {"a": ["a1", 3, 2, 1, None]}])
        assert ledger_from_bytes(older) == Ledger(5, 4, {"a": Holding("a1", 3, 2, 1)})

    def test_holding_with_nothing_but_a_need_is_kept(self) -> None:
        ledger = Ledger()
        account_for(ledger, "a", Holding("a1", need=Shortfall(7, count=1)))
        assert ledger.by_instance["a"].need == Shortfall(7, count=1)


READING = ["boot", 1.0, 1.0]
LIMIT = [READING, 1, 1, 1, 0.5]
HELD = ["a1", 7, 2, 1, LIMIT, [3, 1], "a:1"]


def with_item(record: list, index: int, value: object) -> list:
    return [*record[:index], value, *record[index + 1 :]]


class TestForeignLedgers:
    """A ledger that no process of ours writes is unreadable, and frees nothing."""

    @pytest.mark.parametrize("number", [-1, math.nan, 1.5, "7", None])
    @pytest.mark.parametrize("index", [0, 1])
    def test_sums_are_whole_and_not_negative(self, index: int, number: object) -> None:
        self._check_unreadable(with_item([5, 4, {"a": HELD}, {}], index, number))

    @pytest.mark.parametrize("number", [-1, math.nan, 1.5, "7", None])
    @pytest.mark.parametrize("index", [1, 2, 3])
    def test_holdings_are_whole_and_not_negative(self, index: int, number: object) -> None:
        self._check_unreadable([5, 4, {"a": with_item(HELD, index, number)}])
        self._check_unreadable([5, 4, {}, {"a": with_item(HELD, index, number)}])

    @pytest.mark.parametrize("number", [-1, math.nan, math.inf, "7", None])
    @pytest.mark.parametrize("index", [1, 2, 3, 4])
    def test_limits_are_finite_and_not_negative(self, index: int, number: object) -> None:
        self._check_unreadable([5, 4, {"a": with_item(HELD, 4, with_item(LIMIT, index, number))}])

    @pytest.mark.parametrize("number", [math.nan, math.inf, -math.inf, "7", None])
    @pytest.mark.parametrize("index", [1, 2])
    def test_readings_are_finite(self, index: int, number: object) -> None:
        limit = with_item(LIMIT, 0, with_item(READING, index, number))
        self._check_unreadable([5, 4, {"a": with_item(HELD, 4, limit)}])

    @given(st.binary(max_size=40))
    def test_any_bytes_are_a_ledger_or_unreadable(self, value: bytes) -> None:
        try:
            ledger = ledger_from_bytes(value)
        except msgspec.DecodeError:
            return
        assert committed(ledger) >= 0

    @staticmethod
    def _check_unreadable(record: list) -> None:
        with pytest.raises(msgspec.DecodeError):
            ledger_from_bytes(msgspec.msgpack.encode(record))
