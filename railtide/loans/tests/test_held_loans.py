"""Tests of railtide.loans.held_loans: what is reported is never used afterwards."""

from hypothesis import given
from hypothesis import strategies as st

from railtide.budgets.allocation import reserve, settle_reserve
from railtide.loans.held_loans import HeldLoan, HeldLoans

STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("add"), st.integers(1, 100)),
        st.tuples(st.just("reserve"), st.integers(1, 120)),
        st.tuples(st.just("settle"), st.integers(0, 120)),
        st.tuples(st.just("end_used_up"), st.just(0)),
        st.tuples(st.just("end_unused"), st.integers(0, 60)),
        st.tuples(st.just("end_all"), st.just(0)),
    ),
    max_size=60,
)


class TestHeldLoans:
    @given(STEPS)
    def test_units_spent_are_reported_as_used(self, steps: list[tuple[str, int]]) -> None:
        """Guards against a loan that is returned and spent, or returned twice."""
        held = HeldLoans()
        lent = unused = spent = number = 0
        reserved: list[int] = []
        for kind, amount in steps:
            ended = []
            if kind == "add":
                number += 1
                lent += amount
                held.add(HeldLoan("l", "h:1", number, amount))
            elif kind == "reserve":
                if reserve(held.allocation, amount):
                    reserved.append(amount)
            elif kind == "settle" and reserved:
                spent += settle_reserve(held.allocation, reserved.pop(0), amount)
            elif kind == "end_used_up":
                ended = held.end_used_up()
            elif kind == "end_unused":
                ended = held.end_unused(keep=amount)
            elif kind == "end_all":
                ended = held.end_unused(keep=0)
                assert held.loans == []
            unused += sum(each.unused for each in ended)
            assert all(0 <= each.unused <= each.loan.units for each in ended)
            assert held.allocation.available >= 0
            assert spent + sum(reserved) + held.allocation.available <= lent - unused
        for amount in reserved:
            spent += settle_reserve(held.allocation, amount, amount)
        held_units = sum(loan.units for loan in held.loans)
        assert spent <= lent - unused
        ended = held.end_unused(keep=0)
        assert sum(each.unused for each in ended) <= held_units

    def test_units_that_are_kept_are_not_reported_as_used(self) -> None:
        held = HeldLoans()
        held.add(HeldLoan("l", "h:1", 1, 100))
        assert held.end_unused(keep=30) == []
        assert held.allocation.available == 100

    def test_reserve_is_reported_as_used_and_its_rest_can_be_spent(self) -> None:
        held = HeldLoans()
        held.add(HeldLoan("l", "h:1", 1, 100))
        reserve(held.allocation, 40)
        assert [each.unused for each in held.end_unused(keep=0)] == [60]
        settle_reserve(held.allocation, 40, 25)
        assert held.allocation.available == 15
        held.add(HeldLoan("l", "h:1", 2, 50))
        assert held.end_used_up() == []
        assert [each.unused for each in held.end_unused(keep=0)] == [50]
