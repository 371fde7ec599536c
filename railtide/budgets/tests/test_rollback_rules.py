"""Tests of railtide.budgets.rollback and railtide.budgets.unread_reports."""

import math

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from railtide.budgets.ledger import (
    Holding,
    Ledger,
    LedgerOrigin,
    committed,
    ledger_from_bytes,
    ledger_to_bytes,
)
from railtide.budgets.rollback import (
    MOST_OPENINGS,
    EraOpening,
    Known,
    carried,
    held_back_share,
    later_of,
    opened,
    openings_from_bytes,
    openings_to_bytes,
    unread_units,
)
from railtide.budgets.spend_limit import ClockReading, SpendLimit
from railtide.budgets.unread_reports import Report, UnreadReports

ERA = 3


def known(closed: int, offset: int, **fields: object) -> Known:
    return Known(Ledger(closed=closed, **fields), offset)


class TestPosition:
    def test_later_offset_of_one_line_stands(self) -> None:
        copy, before = known(1, 10, opened=2), known(2, 12, opened=2)
        assert later_of(copy, before, ERA).ledger.closed == 2
        assert later_of(before, copy, ERA) is before

    def test_later_era_stands_whatever_the_offset(self) -> None:
        copy, before = known(1, 90, opened=1), known(2, 12, opened=2)
        assert later_of(copy, before, ERA).ledger.closed == 2

    def test_ledger_that_was_carried_stands_where_its_base_stood(self) -> None:
        again = Known(carried(known(2, 12, opened=2), ERA), 5)
        assert again.ledger.base == LedgerOrigin(2, 12, ERA)
        assert later_of(again, known(1, 11, opened=2), ERA) is again
        assert later_of(again, known(3, 13, opened=2), ERA).ledger.closed == 3

    def test_ledger_that_is_carried_once_more_keeps_its_base(self) -> None:
        once = Known(carried(known(2, 12, opened=2), ERA), 5)
        assert carried(once, ERA + 1).base == LedgerOrigin(2, 12, ERA + 1)

    def test_what_was_said_meanwhile_stands_over_what_was_read_before(self) -> None:
        said, read = Holding("a1", 9, era=ERA), Holding("a1", 4, era=2)
        copy = known(1, 3, opened=2, by_instance={"a": said})
        before = known(2, 12, opened=2, by_instance={"a": read, "b": Holding("b1", 5, era=2)})
        later = later_of(copy, before, ERA).ledger
        assert later.by_instance == {"a": said, "b": Holding("b1", 5, era=2)}
        assert later.closed == 2

    def test_what_was_said_in_a_former_era_does_not(self) -> None:
        copy = known(1, 3, opened=2, by_instance={"a": Holding("a1", 9, era=2)})
        before = known(2, 12, opened=2, by_instance={"a": Holding("a1", 4, era=2)})
        assert later_of(copy, before, ERA).ledger.by_instance["a"].granted == 4

    def test_open_ledger_stands_over_a_late_append_as_it_is(self) -> None:
        late = known(1, 40, opened=2, by_instance={"a": Holding("a1", 9, era=ERA)})
        now = known(2, 12, opened=ERA, by_instance={})
        assert later_of(late, now, ERA).ledger == now.ledger

    def test_a_ledger_that_is_known_is_not_changed(self) -> None:
        before = known(2, 12, opened=2, by_instance={})
        copy = known(1, 3, opened=2, by_instance={"a": Holding("a1", 9, era=ERA)})
        later_of(copy, before, ERA)
        assert before.ledger.by_instance == {}


class TestOpening:
    def test_each_era_that_a_ledger_missed_holds_back(self) -> None:
        openings = [EraOpening(1, 0.5), EraOpening(2, 0.01), EraOpening(3, 0.02)]
        ledger = opened(Ledger(closed=7, opened=1), openings, 1000, era=3)
        assert (ledger.closed, ledger.opened, ledger.base) == (37, 3, None)

    def test_ledger_of_the_era_is_as_it_is(self) -> None:
        ledger = Ledger(closed=7, opened=3)
        assert opened(ledger, [EraOpening(3, 0.5)], 1000, era=3) is ledger

    def test_a_unit_in_part_is_held_back_whole(self) -> None:
        assert opened(Ledger(), [EraOpening(2, 0.001)], 10, era=2).closed == 1

    def test_share_of_the_gone_covers_what_each_may_spend_unread(self) -> None:
        for routers in range(1, 200):
            least_known = max(1, routers // 2)
            for gone in (1, 2, 7):
                may_spend = gone * unread_units(1_000_000, least_known)
                assert held_back_share(gone, routers) * 1_000_000 >= may_spend - gone

    def test_openings_are_bounded_and_the_newest_are_kept(self) -> None:
        many = [EraOpening(era) for era in range(2 * MOST_OPENINGS)]
        kept = openings_from_bytes(openings_to_bytes(many))
        assert len(kept) == MOST_OPENINGS
        assert kept[-1] == many[-1]

    @pytest.mark.parametrize("data", [b"", b"\xc1", msgspec.msgpack.encode([[-1, 0.5]])])
    def test_nonsense_is_no_openings(self, data: bytes) -> None:
        with pytest.raises(msgspec.DecodeError):
            openings_from_bytes(data)


class TestRecords:
    def test_ledger_of_a_former_release_is_read(self) -> None:
        former = [5, 3, {"a": ["a1", 7, 2, 1, None, None, "i1:80"]}, {}]
        ledger = ledger_from_bytes(msgspec.msgpack.encode(former))
        assert (ledger.opened, ledger.base, committed(ledger)) == (0, None, 12)
        assert ledger.by_instance["a"].era == 0

    def test_ledger_survives_its_encoding(self) -> None:
        ledger = Ledger(1, 1, {"a": Holding("a1", 2, era=3, read=9)}, {}, 3, LedgerOrigin(2, 8, 3))
        assert ledger_from_bytes(ledger_to_bytes(ledger)) == ledger


class TestUnreadReports:
    def test_lower_grant_binds_until_a_later_one_is_read(self) -> None:
        """Units that were returned and granted again are not spent on the word of before."""
        reports = UnreadReports()
        for granted, end in ((1000, 1), (500, 2), (800, 3)):
            reports.add(Report(granted, end=end))
        reports.note_read(1)
        assert reports.units_at(0.0) == 500
        reports.note_read(2)
        assert reports.units_at(0.0) == 500
        reports.note_read(3)
        assert reports.units_at(0.0) == 800

    def test_limit_binds_like_a_grant(self) -> None:
        limit = SpendLimit(ClockReading("boot", 10.0, 0.0), used=100, burst=50, pace=20)
        reports = UnreadReports()
        reports.add(Report(1000, limit, end=1))
        reports.note_read(1)
        assert reports.units_at(11.0) == 170
        reports.add(Report(1000, None, end=2))
        assert reports.units_at(11.0) == 170

    def test_report_that_was_not_written_binds_no_longer(self) -> None:
        reports = UnreadReports()
        reports.add(Report(1000, end=1))
        lost = Report(10)
        reports.add(lost)
        reports.note_read(1)
        assert reports.units_at(0.0) == 10
        reports.drop(lost)
        assert reports.units_at(0.0) == 1000

    def test_offset_of_a_former_era_tells_nothing(self) -> None:
        reports = UnreadReports()
        reports.add(Report(1000, end=7))
        reports.note_rise()
        reports.note_read(9)
        assert reports.units_at(0.0) == 0
        reports.add(Report(600, end=12))
        reports.note_read(12)
        assert reports.units_at(0.0) == 600

    def test_alone_the_newest_binds(self) -> None:
        reports = UnreadReports()
        reports.add(Report(1000, end=7))
        reports.note_read(math.inf)
        assert reports.units_at(0.0) == 1000

    @given(st.lists(st.tuples(st.integers(0, 100), st.booleans()), min_size=1, max_size=12))
    def test_no_report_that_a_reader_may_know_allows_less(
        self, made: list[tuple[int, bool]]
    ) -> None:
        """A reader knows any report from the newest on that all have read."""
        reports = UnreadReports()
        granted = [0]
        read = 0
        for end, (amount, is_read) in enumerate(made, start=1):
            reports.add(Report(amount, end=end))
            granted.append(amount)
            if is_read:
                read = end
                reports.note_read(end)
            assert reports.units_at(0.0) == min(granted[read:])
