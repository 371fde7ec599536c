"""Tests of railtide.journal.eras."""

from collections.abc import Iterator

import pytest
from loguru import logger

from railtide.journal.eras import MOST_TOLD, EraTracker
from railtide.journal.errors import EraRisen, LogUnavailable
from railtide.telemetry.counters import Counters


@pytest.fixture
def lines() -> Iterator[list[tuple[str, dict[str, object]]]]:
    seen: list[tuple[str, dict[str, object]]] = []

    def keep(message) -> None:
        seen.append((message.record["message"], dict(message.record["extra"])))

    added = logger.add(keep, level="DEBUG")
    yield seen
    logger.remove(added)


class TestRise:
    def test_first_era_is_no_rise(self, lines) -> None:
        eras = EraTracker(Counters())
        since = eras.rises
        eras.accept("7")
        eras.check_unchanged(since)
        assert (eras.current, lines) == (7, [])

    def test_rise_is_told_once_to_all(self, lines) -> None:
        counters = Counters()
        eras = EraTracker(counters)
        told: list[int | None] = []
        eras.on_era_rise(lambda: told.append(eras.current))
        eras.on_era_rise(lambda: told.append(eras.current))
        for era in ("1", "1", "3", "3"):
            eras.accept(era)
        assert told == [3, 3]
        assert lines == [("store-era-risen", {"before": 1, "era": 3})]
        assert counters.value("store_era_rises") == 1

    def test_call_that_was_sent_before_it_is_not_answered(self) -> None:
        eras = EraTracker(Counters())
        eras.accept("1")
        since = eras.rises
        eras.accept("2")
        with pytest.raises(EraRisen):
            eras.check_unchanged(since)
        eras.check_unchanged(eras.rises)

    def test_call_that_was_sent_before_any_era_was_known(self) -> None:
        eras = EraTracker(Counters())
        since = eras.rises
        eras.accept("1")
        eras.accept("2")
        with pytest.raises(EraRisen):
            eras.check_unchanged(since)


class TestBadEras:
    def test_lower_one_is_no_answer_and_told_once_per_value(self, lines) -> None:
        counters = Counters()
        eras = EraTracker(counters)
        eras.accept("3")
        for told in ("2", "2", "1", "2"):
            with pytest.raises(LogUnavailable):
                eras.accept(told)
        assert eras.current == 3
        assert lines == [
            ("store-era-lower", {"told": "2", "era": 3}),
            ("store-era-lower", {"told": "1", "era": 3}),
        ]
        assert counters.value("store_answers_era_lower") == 4

    @pytest.mark.parametrize("told", ["", "x", "-1", "1.0", " 4", "+4", "٤", "9" * 30])
    def test_unreadable_one_is_no_answer_once_one_was_seen(self, told: str, lines) -> None:
        counters = Counters()
        eras = EraTracker(counters)
        eras.accept("3")
        for _ in range(2):
            with pytest.raises(LogUnavailable):
                eras.accept(told)
        assert (eras.current, eras.rises) == (3, 0)
        assert lines == [("store-era-unreadable", {"told": told[:32], "era": 3})]
        assert counters.value("store_answers_era_unreadable") == 2

    def test_missing_one_is_no_answer_once_one_was_seen(self, lines) -> None:
        counters = Counters()
        eras = EraTracker(counters)
        eras.accept(None)
        eras.accept("3")
        for _ in range(2):
            with pytest.raises(LogUnavailable):
                eras.accept(None)
        assert lines == [("store-era-missing", {"era": 3})]
        assert counters.value("store_answers_era_missing") == 2

    def test_store_without_one_is_as_before(self, lines) -> None:
        counters = Counters()
        eras = EraTracker(counters)
        for told in (None, None):
            eras.accept(told)
        assert (eras.current, lines, counters.values_by_name()) == (None, [], {})

    def test_unreadable_one_before_any_is_told_and_answered(self, lines) -> None:
        eras = EraTracker(Counters())
        eras.accept("x")
        eras.accept("x")
        assert lines == [("store-era-unreadable", {"told": "x", "era": None})]

    def test_bad_ones_are_told_again_behind_a_rise(self, lines) -> None:
        eras = EraTracker(Counters())
        for told in ("1", "2"):
            eras.accept(told)
            with pytest.raises(LogUnavailable):
                eras.accept(None)
        missing = [fields for event, fields in lines if event == "store-era-missing"]
        assert missing == [{"era": 1}, {"era": 2}]

    def test_lines_on_values_that_differ_each_time_are_bounded(self, lines) -> None:
        eras = EraTracker(Counters())
        eras.accept("3")
        for n in range(3 * MOST_TOLD):
            with pytest.raises(LogUnavailable):
                eras.accept(f"x{n}")
        assert len(lines) == MOST_TOLD
