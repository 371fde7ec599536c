"""Tests of railtide.upstreams.advertised_limit: the order of answers and of updates."""

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
    """Return the limit after answers, each given by its limit, time of request and of arrival."""
    limit = AdvertisedLimit()
    for per_s, sent_at, now in reports:
        apply_report(limit, LimitReport(per_s, sent_at), now)
    return limit


class TestOrder:
    def test_late_answer_without_a_limit_does_not_end_it(self) -> None:
        assert after((1.5, 0, 2), (NONE, 1, 3)).per_s == 1.5

    def test_answer_to_a_later_request_ends_it(self) -> None:
        assert not after((1.5, 0, 2), (NONE, 2.1, 3)).in_force

    def test_late_answer_with_a_higher_limit_does_not_raise_it(self) -> None:
        assert after((1.5, 0, 2), (4, 1, 3)).per_s == 1.5

    def test_lower_limit_is_applied_at_once(self) -> None:
        assert after((1.5, 1, 2), (0.5, 0, 3)).per_s == 0.5

    def test_limit_is_raised_even_if_requests_overlap(self) -> None:
        """Each request is sent before the answer to the previous one has come."""
        answers = [(1.0, 0.0, 3.0), *((5.0, 0.5 * n, 0.5 * n + 3) for n in range(1, 8))]
        assert after(*answers).per_s == 5.0

    def test_limit_ends_even_if_requests_overlap(self) -> None:
        answers = [(1.0, 0.0, 3.0), *((NONE, 0.5 * n, 0.5 * n + 3) for n in range(1, 8))]
        assert not after(*answers).in_force

    @pytest.mark.parametrize("per_s", [2 * MAX_PER_S, 1e300])
    def test_limit_above_the_maximum_counts_as_none(self, per_s: float) -> None:
        """If it were shared, other routers couldn't decode this router's record."""
        assert not after((per_s, 0, 1)).in_force
        assert limit_update_for(after((per_s, 0, 1)), "e", "e/1", now=1) is None

    @pytest.mark.parametrize("per_s", [0.0, 0.001])
    def test_limit_has_a_minimum_so_that_its_end_is_noticed(self, per_s: float) -> None:
        assert after((per_s, 0, 1)).per_s == MIN_PER_S


class TestUpdates:
    def test_update_that_may_be_older_than_the_limit_does_not_end_it(self) -> None:
        limit = after((1.5, 0, 10))
        assert not apply_update(
            limit, LimitUpdate("e", "e/1", 0.0, age_s=1.0), 11 + UPDATE_LAG_S - 0.1
        )
        assert limit.in_force

    def test_newer_update_ends_the_limit(self) -> None:
        limit = after((1.5, 0, 10))
        assert apply_update(limit, LimitUpdate("e", "e/1", 0.0, age_s=1.0), 11 + UPDATE_LAG_S + 0.1)
        assert not limit.in_force

    def test_recent_own_answer_takes_precedence(self) -> None:
        limit = after((1.5, 0, 1), (NONE, 8, 9))
        apply_update(limit, LimitUpdate("e", "e/1", 1.5, age_s=0.5), received_at=11.0)
        assert not limit.in_force

    def test_update_sets_the_limit_at_a_router_without_answers(self) -> None:
        limit = AdvertisedLimit()
        assert apply_update(limit, LimitUpdate("e", "e/1", 1.5, age_s=0.5), received_at=11.0)
        assert limit.per_s == 1.5

    def test_only_own_answers_are_shared(self) -> None:
        limit = AdvertisedLimit()
        apply_update(limit, LimitUpdate("e", "e/1", 1.5, age_s=0.5), received_at=11.0)
        assert limit_update_for(limit, "e", "e/1", now=11.0) is None

    def test_later_answers_make_an_end_soon_after_the_limit_count(self) -> None:
        """Each later answer without a limit makes the update on its end newer."""
        sender, receiver = after((1.5, 0, 10), (NONE, 10.1, 10.2)), after((1.5, 0, 10))
        assert not apply_update(receiver, limit_update_for(sender, "e", "e/1", 11), 11.5)
        apply_report(sender, LimitReport(NONE, 13.0), now=13.1)
        assert apply_update(receiver, limit_update_for(sender, "e", "e/1", 13.5), 14)

    def test_end_is_shared_for_a_while(self) -> None:
        limit = after((1.5, 0, 1), (NONE, 8, 9), (NONE, 10, 11), (NONE, 30, 31))
        assert limit_update_for(limit, "e", "e/1", now=8.9 + UPDATE_PERIOD_S) == LimitUpdate(
            "e", "e/1", 0.0, 12.9
        )
        assert limit_update_for(limit, "e", "e/1", now=9 + UPDATE_PERIOD_S) is None

    def test_upstream_without_any_limit_gives_no_update(self) -> None:
        assert limit_update_for(after((NONE, 8, 9)), "e", "e/1", now=9) is None
