"""Tests of railtide.upstreams.advertised_limit: answers that overtake one another."""

import math

import pytest

from railtide.upstreams.advertised_limit import (
    MAX_PER_S,
    MIN_PER_S,
    UPDATE_LAG_S,
    UPDATE_PERIOD_S,
    AdvertisedLimit,
    LimitReport,
    LimitUpdate,
    apply_report,
    apply_update,
    limit_update_for,
)

NONE = math.inf


def after(*reports: tuple[float, float, float]) -> AdvertisedLimit:
    """Return the limit after answers, each with its limit, when it was asked for, and came."""
    limit = AdvertisedLimit()
    for per_s, sent_at, now in reports:
        apply_report(limit, LimitReport(per_s, sent_at), now)
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

    @pytest.mark.parametrize("per_s", [2 * MAX_PER_S, 1e300])
    def test_limit_beyond_any_rate_is_none(self, per_s: float) -> None:
        """Told to other routers it would make this one's record unreadable."""
        assert not after((per_s, 0, 1)).in_force
        assert limit_update_for(after((per_s, 0, 1)), "e", "e/1", now=1) is None

    @pytest.mark.parametrize("per_s", [0.0, 0.001])
    def test_some_requests_are_left_to_hear_of_the_end(self, per_s: float) -> None:
        assert after((per_s, 0, 1)).per_s == MIN_PER_S


class TestNews:
    def test_news_of_the_end_that_may_be_older_than_the_limit_changes_nothing(self) -> None:
        limit = after((1.5, 0, 10))
        assert not apply_update(
            limit, LimitUpdate("e", "e/1", 0.0, age_s=1.0), 11 + UPDATE_LAG_S - 0.1
        )
        assert limit.in_force

    def test_news_of_the_end_that_is_newer_ends_it(self) -> None:
        limit = after((1.5, 0, 10))
        assert apply_update(limit, LimitUpdate("e", "e/1", 0.0, age_s=1.0), 11 + UPDATE_LAG_S + 0.1)
        assert not limit.in_force

    def test_own_answer_of_a_moment_ago_goes_first(self) -> None:
        limit = after((1.5, 0, 1), (NONE, 8, 9))
        apply_update(limit, LimitUpdate("e", "e/1", 1.5, age_s=0.5), received_at=11.0)
        assert not limit.in_force

    def test_limit_that_others_tell_binds_a_router_that_was_told_nothing(self) -> None:
        limit = AdvertisedLimit()
        assert apply_update(limit, LimitUpdate("e", "e/1", 1.5, age_s=0.5), received_at=11.0)
        assert limit.per_s == 1.5

    def test_only_own_answers_are_told_on(self) -> None:
        limit = AdvertisedLimit()
        apply_update(limit, LimitUpdate("e", "e/1", 1.5, age_s=0.5), received_at=11.0)
        assert limit_update_for(limit, "e", "e/1", now=11.0) is None

    def test_end_soon_after_the_limit_was_stated_is_believed_in_time(self) -> None:
        """Each later answer without a limit makes the news of the end newer."""
        teller, hearer = after((1.5, 0, 10), (NONE, 10.1, 10.2)), after((1.5, 0, 10))
        assert not apply_update(hearer, limit_update_for(teller, "e", "e/1", 11), 11.5)
        apply_report(teller, LimitReport(NONE, 13.0), now=13.1)
        assert apply_update(hearer, limit_update_for(teller, "e", "e/1", 13.5), 14)

    def test_end_is_told_for_a_while(self) -> None:
        limit = after((1.5, 0, 1), (NONE, 8, 9), (NONE, 10, 11), (NONE, 30, 31))
        assert limit_update_for(limit, "e", "e/1", now=8.9 + UPDATE_PERIOD_S) == LimitUpdate(
            "e", "e/1", 0.0, 12.9
        )
        assert limit_update_for(limit, "e", "e/1", now=9 + UPDATE_PERIOD_S) is None

    def test_upstream_that_never_stated_one_is_no_news(self) -> None:
        assert limit_update_for(after((NONE, 8, 9)), "e", "e/1", now=9) is None
