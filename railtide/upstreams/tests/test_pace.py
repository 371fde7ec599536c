"""Tests of railtide.upstreams.pace: statements, their age, and statements that are wrong."""

import math

import pytest

from railtide.upstreams.pace import (
    FORGET_S,
    MAX_DEVIATION,
    MAX_STATED,
    MIN_STATED,
    AnswerTiming,
    PoolPace,
    UpstreamPace,
    expected_factor,
    lasting_factor,
    note_first_event,
    note_pauses,
    note_stated,
    stated_factor,
)

USUAL_S = 0.1


def observed(pool: PoolPace, pace: UpstreamPace, first_s: float, now: float) -> None:
    note_first_event(pool, pace, AnswerTiming(first_s), 1.0, now)


def play(pool: PoolPace, factor: float, stated: int | None, answers: int = 40) -> UpstreamPace:
    """Return the pace of an upstream beside a usual one, with answers of both every 0.2 s."""
    usual, pace = UpstreamPace(), UpstreamPace()
    for number in range(answers):
        now = number * 0.2
        for one, takes in ((usual, 1.0), (pace, factor)):
            if stated is not None:
                note_stated(one, 100 if one is usual else stated, now)
            observed(pool, one, USUAL_S * takes, now)
    return pace


class TestStatements:
    def test_without_a_statement_the_pace_is_usual(self) -> None:
        assert expected_factor(UpstreamPace(), 9.0) == 1.0
        assert lasting_factor(UpstreamPace(), 9.0) == 1.0

    def test_recent_statement_is_taken_as_it_is(self) -> None:
        pace = UpstreamPace()
        note_stated(pace, 100, 0.0)
        note_stated(pace, 250, 3.0)
        assert expected_factor(pace, 3.0) == pytest.approx(2.5)

    def test_statement_fades_to_the_average(self) -> None:
        pace = UpstreamPace()
        for number in range(20):
            note_stated(pace, 100, number * 0.6)
        note_stated(pace, 250, 12.0)
        factors = [expected_factor(pace, 12.0 + age) for age in (0.0, 0.6, 1.2, 2.4)]
        assert factors == sorted(factors, reverse=True)
        assert factors[1] == pytest.approx(1.42, abs=0.05)
        assert factors[3] < 1.1

    def test_stale_statement_is_ignored(self) -> None:
        pace = UpstreamPace()
        note_stated(pace, 400, 0.0)
        assert stated_factor(pace, 5.1) == pytest.approx(lasting_factor(pace, 5.1))

    @pytest.mark.parametrize(("figure", "counts_as"), [(1, MIN_STATED), (99_999, MAX_STATED)])
    def test_extreme_statement_is_limited(self, figure: int, counts_as: int) -> None:
        """A figure of 1 would otherwise draw the requests of all routers."""
        pace = UpstreamPace()
        note_stated(pace, figure, 0.0)
        assert expected_factor(pace, 0.0) == pytest.approx(counts_as / 100)

    def test_statement_from_the_future_counts_as_recent(self) -> None:
        pace = UpstreamPace()
        note_stated(pace, 250, 10.0)
        assert expected_factor(pace, 9.0) == pytest.approx(2.5)


class TestObservations:
    @pytest.mark.parametrize("stated", [None, 100])
    def test_observed_pace_decides_against_the_statement(self, stated: int | None) -> None:
        pool = PoolPace()
        pace = play(pool, 3.0, stated)
        usual_s = math.exp(pool.first_event.value)
        assert usual_s * expected_factor(pace, 8.0) == pytest.approx(3 * USUAL_S, rel=0.15)

    def test_statement_that_holds_is_not_counted_twice(self) -> None:
        """A statement that includes the lasting speed must not be multiplied by it again."""
        pool = PoolPace()
        pace = play(pool, 3.0, 300)
        usual_s = math.exp(pool.first_event.value)
        assert usual_s * expected_factor(pace, 7.8) == pytest.approx(3 * USUAL_S, rel=0.05)

    def test_statement_relative_to_the_own_usual_shows_a_phase(self) -> None:
        pool = PoolPace()
        pace = play(pool, 2.0, 100)
        before = expected_factor(pace, 8.0)
        note_stated(pace, 250, 8.0)
        assert expected_factor(pace, 8.0) == pytest.approx(2.5 * before, rel=0.05)

    def test_observations_are_forgotten_while_the_upstream_is_not_used(self) -> None:
        """Otherwise an upstream that was slow once would never be tried again."""
        pace = play(PoolPace(), 3.0, 100)
        assert expected_factor(pace, 8.0) > 1.5
        assert expected_factor(pace, 8.0 + 3 * FORGET_S) < 1.1

    def test_one_extreme_time_is_limited(self) -> None:
        pool, pace = PoolPace(), UpstreamPace()
        observed(pool, UpstreamPace(), USUAL_S, 0.0)
        observed(pool, pace, 1e4 * USUAL_S, 0.1)
        assert pace.bias.value <= MAX_DEVIATION / 2

    def test_wait_that_was_given_up_counts_only_if_it_was_longer_than_expected(self) -> None:
        pool, pace = PoolPace(), UpstreamPace()
        observed(pool, UpstreamPace(), USUAL_S, 0.0)
        note_first_event(pool, pace, AnswerTiming(USUAL_S / 5, False), 1.0, 0.1)
        assert expected_factor(pace, 0.1) == 1.0
        note_first_event(pool, pace, AnswerTiming(USUAL_S * 5, False), 1.0, 0.2)
        assert expected_factor(pace, 0.2) > 1.5
        assert math.exp(pool.first_event.value) == pytest.approx(USUAL_S)

    def test_wait_that_was_given_up_says_nothing_without_a_usual_time(self) -> None:
        pool, pace = PoolPace(), UpstreamPace()
        note_first_event(pool, pace, AnswerTiming(5.0, False), 1.0, 0.1)
        assert expected_factor(pace, 0.1) == 1.0
        assert not pool.first_event.is_known


class TestPauses:
    @staticmethod
    def _note(
        pool: PoolPace, pace: UpstreamPace, gap_s: float, longest_s: float, now: float
    ) -> None:
        timing = AnswerTiming(0.1, True, gap_s, longest_s)
        note_pauses(pool, pace, timing, 1.0, now)

    def test_slow_events_show_a_slow_upstream(self) -> None:
        pool, usual, slow = PoolPace(), UpstreamPace(), UpstreamPace()
        for number in range(30):
            self._note(pool, usual, 0.03, 0.06, number * 0.3)
            self._note(pool, slow, 0.09, 0.18, number * 0.3)
        assert lasting_factor(slow, 9.0) / lasting_factor(usual, 9.0) == pytest.approx(3, rel=0.25)

    def test_tracked_pause_is_passed_by_one_stream_in_ten(self) -> None:
        pool, pace = PoolPace(), UpstreamPace()
        pauses = [0.1] * 8 + [0.3] * 2
        for number in range(400):
            self._note(pool, pace, 0.05, pauses[number * 7 % 10], number * 0.1)
        assert 0.2 < math.exp(pool.longest_pause) < 0.4

    def test_answer_without_events_changes_nothing(self) -> None:
        pool, pace = PoolPace(), UpstreamPace()
        note_pauses(pool, pace, AnswerTiming(0.1), 1.0, 0.0)
        assert pool.longest_pause is None
        assert not pool.event_gap.is_known
