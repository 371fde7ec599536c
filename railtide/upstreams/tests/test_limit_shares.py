"""Tests of railtide.upstreams.limit_shares: what all routers together send under a limit."""

import math

from hypothesis import given, settings
from hypothesis import strategies as st

from railtide.membership.router_selection import RouterTraffic
from railtide.upstreams.limit_shares import QUIET_S, TURN_S, LimitShares, routers_sharing
from railtide.upstreams.tests.test_slow_start import sends

NAMES = [f"r{n}" for n in range(40)]
FLEETS = st.lists(st.sampled_from(NAMES), min_size=1, max_size=40, unique=True)
RATES = st.floats(min_value=0.05, max_value=30.0)
FIRSTS = st.lists(st.floats(min_value=0, max_value=4), min_size=40, max_size=40)
WINDOW_S = 4.0


def allowed(per_s: float) -> float:
    """Return the most requests within a window that the users allow."""
    return 1.5 * WINDOW_S * per_s + 5


def most_within_window(times: list[float]) -> int:
    return max((sum(at <= t < at + WINDOW_S for t in times) for at in times), default=0)


def traffic_of(named: list[str]) -> RouterTraffic:
    """Return that callers come to some of all routers."""
    return RouterTraffic(tuple(named), tuple(name for name in NAMES if name not in named))


def pauses(named: list[str], per_s: float) -> list[float]:
    """Return the pause of each router, named or not."""
    traffic = traffic_of(named)
    return [LimitShares(r, lambda: traffic).pause_s("e", per_s) for r in NAMES]


class TestBound:
    @given(FLEETS, RATES, FIRSTS)
    @settings(max_examples=150, deadline=None)
    def test_all_routers_together_keep_to_it(
        self, named: list[str], per_s: float, firsts: list[float]
    ) -> None:
        """Each with more work than it may send, from a moment of its own on."""
        times: list[float] = []
        for pause, first_at in zip(pauses(named, per_s), firsts, strict=True):
            times += sends(pause, first_at, for_s=12.0)
        assert most_within_window(times) <= allowed(per_s)

    @given(FLEETS, RATES, st.sampled_from(NAMES))
    @settings(max_examples=150, deadline=None)
    def test_they_keep_to_it_while_some_know_of_a_router_that_comes_or_goes(
        self, named: list[str], per_s: float, changed: str
    ) -> None:
        """Half of the routers know the fleet as it was before."""
        others = [name for name in named if name != changed]
        later = others if changed in named else [*named, changed]
        both = [pauses(named, per_s), pauses(later, per_s)]
        times: list[float] = []
        for place in range(len(NAMES)):
            times += sends(both[place % 2][place], 0.0, for_s=8.0)
        assert most_within_window(times) <= allowed(per_s)

    @given(st.integers(min_value=1, max_value=60), RATES)
    def test_all_of_it_is_used(self, routers: int, per_s: float) -> None:
        traffic = RouterTraffic(tuple(f"r{n}" for n in range(routers)))
        parts = [LimitShares(r, lambda: traffic).pause_s("e", per_s) for r in traffic.active]
        sent_per_s = sum(1 / pause for pause in parts)
        assert math.isclose(sent_per_s, per_s)


class TestOthers:
    def test_upstreams_are_shared_out_over_the_fleet(self) -> None:
        """Of 20 routers none is left without a part of any of 40 upstreams."""
        parts = dict.fromkeys(NAMES[:20], 0)
        for number in range(40):
            for router in routers_sharing(f"e{number}", NAMES[:20], per_s=1.5):
                parts[router] += 1
        assert sum(parts.values()) == 120
        assert min(parts.values()) >= 1 and max(parts.values()) <= 14

    def test_those_without_a_part_ask_one_after_the_other(self) -> None:
        traffic = traffic_of(NAMES[:5])
        waits = []
        for router in NAMES:
            shares = LimitShares(router, lambda: traffic)
            if math.isinf(shares.pause_s("e", 1.0)):
                waits.append(shares.patience_s("e", 1.0))
        assert sorted(waits) == [QUIET_S + TURN_S * place for place in range(37)]

    def test_router_that_knows_of_nobody_has_a_turn(self) -> None:
        shares = LimitShares("r1", RouterTraffic)
        assert math.isinf(shares.pause_s("e", 1.0))
        assert shares.patience_s("e", 1.0) == QUIET_S

    def test_router_that_has_a_part_since_a_moment_ago_has_the_first_turn(self) -> None:
        """The fleet is looked at anew for each question."""
        shares = LimitShares("r1", lambda: RouterTraffic(("r1",)))
        assert shares.patience_s("e", 1.0) == QUIET_S

    def test_shares_follow_the_fleet(self) -> None:
        known = [RouterTraffic(("r1", "r2")), RouterTraffic(("r1",))]
        shares = LimitShares("r1", lambda: known[0])
        assert shares.pause_s("e", 1.0) == 2.0
        del known[0]
        assert shares.pause_s("e", 1.0) == 1.0

    @given(st.integers(min_value=1, max_value=39), st.floats(min_value=0.05, max_value=400.0))
    def test_all_parts_together_are_no_more_than_the_limit(self, active: int, per_s: float) -> None:
        sent_per_s = sum(1 / pause for pause in pauses(NAMES[:active], per_s))
        assert sent_per_s < per_s or math.isclose(sent_per_s, per_s)

    @given(RATES, st.integers(min_value=1, max_value=39))
    def test_idle_routers_have_a_part_of_a_high_rate_only(self, per_s: float, active: int) -> None:
        traffic = traffic_of(NAMES[:active])
        pause = LimitShares(NAMES[-1], lambda: traffic).pause_s("e", per_s)
        assert math.isfinite(pause) == (len(traffic.idle) <= 0.2 * per_s)
