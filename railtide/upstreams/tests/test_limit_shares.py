"""Tests of railtide.upstreams.limit_shares: the rate of all routers together under a limit."""

import math

from hypothesis import given, settings
from hypothesis import strategies as st

from railtide.membership.router_selection import RouterTraffic
from railtide.upstreams.limit_shares import (
    PROBE_AFTER_S,
    PROBE_STAGGER_S,
    LimitShares,
    limit_routers,
)
from railtide.upstreams.tests.test_slow_start import sends

NAMES = [f"r{n}" for n in range(40)]
FLEETS = st.lists(st.sampled_from(NAMES), min_size=1, max_size=40, unique=True)
RATES = st.floats(min_value=0.05, max_value=30.0)
FIRSTS = st.lists(st.floats(min_value=0, max_value=4), min_size=40, max_size=40)
WINDOW_S = 4.0


def allowed(per_s: float) -> float:
    """Return the required upper bound of requests within a window."""
    return 1.5 * WINDOW_S * per_s + 5


def most_within_window(times: list[float]) -> int:
    return max((sum(at <= t < at + WINDOW_S for t in times) for at in times), default=0)


def traffic_of(named: list[str]) -> RouterTraffic:
    """Return that callers use the named ones of all routers."""
    return RouterTraffic(tuple(named), tuple(name for name in NAMES if name not in named))


def intervals(named: list[str], per_s: float) -> list[float]:
    """Return the interval of each router, named or not."""
    traffic = traffic_of(named)
    return [LimitShares(r, lambda: traffic).interval_s("e", per_s) for r in NAMES]


class TestBound:
    @given(FLEETS, RATES, FIRSTS)
    @settings(max_examples=150, deadline=None)
    def test_all_routers_together_respect_the_limit(
        self, named: list[str], per_s: float, firsts: list[float]
    ) -> None:
        """Each router has more requests than it may send, and starts at a time of its own."""
        times: list[float] = []
        for interval, first_at in zip(intervals(named, per_s), firsts, strict=True):
            times += sends(interval, first_at, for_s=12.0)
        assert most_within_window(times) <= allowed(per_s)

    @given(FLEETS, RATES, st.sampled_from(NAMES))
    @settings(max_examples=150, deadline=None)
    def test_limit_is_respected_while_a_router_joins_or_leaves(
        self, named: list[str], per_s: float, changed: str
    ) -> None:
        """Half of the routers still have the former view of the fleet."""
        others = [name for name in named if name != changed]
        later = others if changed in named else [*named, changed]
        both = [intervals(named, per_s), intervals(later, per_s)]
        times: list[float] = []
        for place in range(len(NAMES)):
            times += sends(both[place % 2][place], 0.0, for_s=8.0)
        assert most_within_window(times) <= allowed(per_s)

    @given(st.integers(min_value=1, max_value=60), RATES)
    def test_limit_is_used_fully(self, routers: int, per_s: float) -> None:
        traffic = RouterTraffic(tuple(f"r{n}" for n in range(routers)))
        parts = [LimitShares(r, lambda: traffic).interval_s("e", per_s) for r in traffic.active]
        sent_per_s = sum(1 / interval for interval in parts)
        assert math.isclose(sent_per_s, per_s)


class TestWithoutShare:
    def test_upstreams_are_distributed_over_the_fleet(self) -> None:
        """Each of 20 routers has a share of at least one of 40 upstreams."""
        parts = dict.fromkeys(NAMES[:20], 0)
        for number in range(40):
            for router in limit_routers(f"e{number}", NAMES[:20], per_s=1.5):
                parts[router] += 1
        assert sum(parts.values()) == 120
        assert min(parts.values()) >= 1 and max(parts.values()) <= 14

    def test_routers_without_a_share_probe_one_after_the_other(self) -> None:
        traffic = traffic_of(NAMES[:5])
        waits = []
        for router in NAMES:
            shares = LimitShares(router, lambda: traffic)
            if math.isinf(shares.interval_s("e", 1.0)):
                waits.append(shares.probe_after_s("e", 1.0))
        assert sorted(waits) == [PROBE_AFTER_S + PROBE_STAGGER_S * place for place in range(37)]

    def test_router_that_knows_no_other_router_probes_first(self) -> None:
        shares = LimitShares("r1", RouterTraffic)
        assert math.isinf(shares.interval_s("e", 1.0))
        assert shares.probe_after_s("e", 1.0) == PROBE_AFTER_S

    def test_router_with_a_new_share_probes_first(self) -> None:
        """The view of the fleet is read again for each call."""
        shares = LimitShares("r1", lambda: RouterTraffic(("r1",)))
        assert shares.probe_after_s("e", 1.0) == PROBE_AFTER_S

    def test_shares_are_updated_when_the_fleet_changes(self) -> None:
        known = [RouterTraffic(("r1", "r2")), RouterTraffic(("r1",))]
        shares = LimitShares("r1", lambda: known[0])
        assert shares.interval_s("e", 1.0) == 2.0
        del known[0]
        assert shares.interval_s("e", 1.0) == 1.0

    @given(st.integers(min_value=1, max_value=39), st.floats(min_value=0.05, max_value=400.0))
    def test_all_shares_together_do_not_exceed_the_limit(self, active: int, per_s: float) -> None:
        sent_per_s = sum(1 / interval for interval in intervals(NAMES[:active], per_s))
        assert sent_per_s < per_s or math.isclose(sent_per_s, per_s)

    @given(RATES, st.integers(min_value=1, max_value=39))
    def test_idle_routers_have_a_share_of_high_limits_only(self, per_s: float, active: int) -> None:
        traffic = traffic_of(NAMES[:active])
        interval = LimitShares(NAMES[-1], lambda: traffic).interval_s("e", per_s)
        assert math.isfinite(interval) == (len(traffic.idle) <= 0.2 * per_s)
