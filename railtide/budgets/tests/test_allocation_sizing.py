"""Tests of railtide.budgets.allocation_sizing."""

from dataclasses import replace
from random import Random

import pytest

from railtide.budgets.allocation_sizing import (
    LedgerOptions,
    Traffic,
    note_request,
    rate_at,
    target_units,
)

OPTIONS = LedgerOptions(
    horizon_s=10.0,
    swings=0.0,
    max_preallocated_share=0.5,
    spread_share=0.1,
    rate_window_s=8.0,
    steady_requests=3.0,
)
LEFT = 100_000


def traffic(every_s: float, amount: int, seconds: float) -> tuple[Traffic, float]:
    """Return steady traffic and the time of its last request."""
    made = Traffic()
    now = 0.0
    while now + every_s <= seconds:
        now += every_s
        note_request(made, amount, now, OPTIONS.rate_window_s)
    return made, now


class TestRate:
    @pytest.mark.parametrize("seconds", [3.0, 8.0, 60.0])
    def test_is_near_the_truth_from_the_first_seconds_on(self, seconds: float) -> None:
        made, now = traffic(0.25, 100, seconds)
        assert rate_at(made, now, OPTIONS.rate_window_s) == pytest.approx(400, rel=0.2)

    def test_one_early_request_is_no_rate(self) -> None:
        made = Traffic()
        note_request(made, 8000, 1.0, OPTIONS.rate_window_s)
        assert rate_at(made, 1.0, OPTIONS.rate_window_s) < 8000 / 2

    def test_fades_when_requests_end(self) -> None:
        made, now = traffic(0.25, 100, 60.0)
        assert rate_at(made, now + 24, OPTIONS.rate_window_s) < 25


class TestSwings:
    @pytest.mark.parametrize("seed", range(4))
    def test_hand_lasts_through_its_horizon_at_four_of_five_accounts(self, seed: int) -> None:
        """Ten seconds without the store, a request a second, one in four ten times as large."""
        served_by_swings = {}
        for swings in (0.0, 1.5):
            rng = Random(seed)
            options = replace(OPTIONS, swings=swings, spread_share=0.0)
            served_by_swings[swings] = sum(self._is_served_whole(rng, options) for _ in range(200))
        assert served_by_swings[0.0] < 120
        assert served_by_swings[1.5] > 160

    @staticmethod
    def _is_served_whole(rng: Random, options: LedgerOptions) -> bool:
        made, now = Traffic(), 0.0
        while now < 60:
            now += rng.expovariate(1.0)
            note_request(made, rng.choice([1000, 1000, 1000, 9000]), now, options.rate_window_s)
        left = target_units(made, 10**7, 3, now, options)
        end = now + options.horizon_s
        while (now := now + rng.expovariate(1.0)) < end:
            left -= rng.choice([1000, 1000, 1000, 9000])
        return left >= 0


class TestTarget:
    def test_covers_the_horizon_of_steady_traffic(self) -> None:
        made, now = traffic(0.25, 100, 60.0)
        assert target_units(made, LEFT, 3, now, OPTIONS) == pytest.approx(4000, rel=0.1)

    def test_router_that_callers_keep_using_unnamed_holds_their_traffic(self) -> None:
        made, now = traffic(0.25, 100, 60.0)
        assert target_units(made, LEFT, 0, now, OPTIONS) == pytest.approx(4000, rel=0.1)

    def test_unnamed_router_holds_nothing_for_a_few_stray_requests(self) -> None:
        made, now = traffic(6.0, 100, 60.0)
        assert target_units(made, LEFT, 0, now, OPTIONS) == 0

    def test_named_router_holds_its_part_ahead_of_traffic(self) -> None:
        assert target_units(Traffic(), LEFT, 4, 0.0, OPTIONS) == LEFT * 0.1 / 4

    def test_one_router_may_hold_all_that_may_be_in_hands(self) -> None:
        made, now = traffic(0.01, 1000, 60.0)
        assert target_units(made, LEFT, 3, now, OPTIONS) == LEFT * 0.5
