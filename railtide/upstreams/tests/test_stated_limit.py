"""Tests of railtide.upstreams.stated_limit: answers that overtake one another."""

import math

import pytest

from railtide.upstreams.stated_limit import LEAST_PER_S, LimitReport, StatedLimit, note_report

NONE = math.inf


def after(*reports: tuple[float, float, float]) -> StatedLimit:
    """Return the limit after answers, each with its limit, when it was asked for, and came."""
    limit = StatedLimit()
    for per_s, sent_at, now in reports:
        note_report(limit, LimitReport(per_s, sent_at), now)
    return limit


class TestOrder:
    def test_late_answer_without_a_limit_does_not_end_it(self) -> None:
        assert after((1.5, 0, 2), (NONE, 1, 3)).per_s == 1.5

    def test_answer_to_a_later_request_ends_it(self) -> None:
        assert not after((1.5, 0, 2), (NONE, 2.1, 3)).in_force

    def test_late_answer_that_states_more_does_not_raise_it(self) -> None:
        assert after((1.5, 0, 2), (4, 1, 3)).per_s == 1.5

    def test_lower_limit_is_taken_at_once(self) -> None:
        assert after((1.5, 1, 2), (0.5, 0, 3)).per_s == 0.5

    def test_limit_is_raised_though_answers_overlap(self) -> None:
        """Each request is sent before the answer to the one before it has come."""
        stated = [(1.0, 0.0, 3.0), *((5.0, 0.5 * n, 0.5 * n + 3) for n in range(1, 8))]
        assert after(*stated).per_s == 5.0

    def test_it_ends_though_answers_overlap(self) -> None:
        stated = [(1.0, 0.0, 3.0), *((NONE, 0.5 * n, 0.5 * n + 3) for n in range(1, 8))]
        assert not after(*stated).in_force

    @pytest.mark.parametrize("per_s", [0.0, 0.001])
    def test_some_requests_are_left_to_hear_of_the_end(self, per_s: float) -> None:
        assert after((per_s, 0, 1)).per_s == LEAST_PER_S
