"""Tests of railtide.journal.eras."""

from collections.abc import Iterator

import pytest
from loguru import logger

from railtide.journal.eras import MAX_LOGGED_VALUES, EraTracker
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

    def test_rise_is_reported_once_to_all_listeners(self, lines) -> None:
        counters = Counters()
        eras = EraTracker(counters)
        reported: list[int | None] = []
        eras.on_era_rise(lambda: reported.append(eras.current))
        eras.on_era_rise(lambda: reported.append(eras.current))
        for era in ("1", "1", "3", "3"):
            eras.accept(era)
        assert reported == [3, 3]
        assert lines == [("store-era-risen", {"before": 1, "era": 3})]
        assert counters.value("store_era_rises") == 1

    def test_call_sent_before_the_rise_fails(self) -> None:
        eras = EraTracker(Counters())
        eras.accept("1")
        since = eras.rises
        eras.accept("2")
        with pytest.raises(EraRisen):
            eras.check_unchanged(since)
        eras.check_unchanged(eras.rises)

    def test_call_sent_before_any_era_was_known_fails(self) -> None:
        eras = EraTracker(Counters())
        since = eras.rises
        eras.accept("1")
        eras.accept("2")
        with pytest.raises(EraRisen):
            eras.check_unchanged(since)


class TestBadEras:
    def test_lower_era_is_refused_and_logged_once_per_value(self, lines) -> None:
        counters = Counters()
        eras = EraTracker(counters)
        eras.accept("3")
        for stated in ("2", "2", "1", "2"):
            with pytest.raises(LogUnavailable):
                eras.accept(stated)
        assert eras.current == 3
        assert lines == [
            ("store-era-lower", {"told": "2", "era": 3}),
            ("store-era-lower", {"told": "1", "era": 3}),
        ]
        assert counters.value("store_answers_era_lower") == 4

    @pytest.mark.parametrize("stated", ["", "x", "-1", "1.0", " 4", "+4", "٤", "9" * 30])
    def test_unreadable_era_is_refused_once_one_was_seen(self, stated: str, lines) -> None:
        counters = Counters()
        eras = EraTracker(counters)
        eras.accept("3")
        for _ in range(2):
            with pytest.raises(LogUnavailable):
                eras.accept(stated)
        assert (eras.current, eras.rises) == (3, 0)
        assert lines == [("store-era-unreadable", {"told": stated[:32], "era": 3})]
        assert counters.value("store_answers_era_unreadable") == 2

    def test_missing_era_is_refused_once_one_was_seen(self, lines) -> None:
        counters = Counters()
        eras = EraTracker(counters)
        eras.accept(None)
        eras.accept("3")
        for _ in range(2):
            with pytest.raises(LogUnavailable):
                eras.accept(None)
        assert lines == [("store-era-missing", {"era": 3})]
        assert counters.value("store_answers_era_missing") == 2

    def test_store_without_eras_is_accepted(self, lines) -> None:
        counters = Counters()
        eras = EraTracker(counters)
        for stated in (None, None):
            eras.accept(stated)
        assert (eras.current, lines, counters.values_by_name()) == (None, [], {})

    def test_unreadable_era_before_any_other_is_logged_but_accepted(self, lines) -> None:
        eras = EraTracker(Counters())
        eras.accept("x")
        eras.accept("x")
        assert lines == [("store-era-unreadable", {"told": "x", "era": None})]

    def test_bad_values_are_logged_again_after_a_rise(self, lines) -> None:
        eras = EraTracker(Counters())
        for stated in ("1", "2"):
            eras.accept(stated)
            with pytest.raises(LogUnavailable):
                eras.accept(None)
        missing = [fields for event, fields in lines if event == "store-era-missing"]
        assert missing == [{"era": 1}, {"era": 2}]

    def test_log_lines_about_differing_values_are_bounded(self, lines) -> None:
        eras = EraTracker(Counters())
        eras.accept("3")
        for n in range(3 * MAX_LOGGED_VALUES):
            with pytest.raises(LogUnavailable):
                eras.accept(f"x{n}")
        assert len(lines) == MAX_LOGGED_VALUES
