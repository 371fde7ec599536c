"""Tests of railtide.upstreams.slow_start: the rate of all routers together at cold upstreams."""

import math
from bisect import bisect_left
from itertools import pairwise

from hypothesis import given, settings
from hypothesis import strategies as st

from railtide.upstreams.slow_start import SlowStartShares, interval_s, slow_start_routers

NAMES = [f"r{n}" for n in range(40)]
FLEETS = st.lists(st.sampled_from(NAMES), min_size=1, max_size=40, unique=True)
RATES = st.floats(min_value=0.2, max_value=60.0)


def sends(interval: float, first_at: float, for_s: float) -> list[float]:
    """Return the send times of a router that always has requests waiting."""
    if not math.isfinite(interval):
        return []
    return [first_at + n * interval for n in range(math.ceil(for_s / interval))]


def most_within_a_second(times: list[float]) -> int:
    """Return the maximum number of times within one second, excluding its end."""
    ordered = sorted(times)
    ends = (bisect_left(ordered, at + 1) for at in ordered)
    return max((end - place for place, end in enumerate(ends)), default=0)


class TestBound:
    @given(
        FLEETS,
        RATES,
        st.lists(st.floats(min_value=0, max_value=2), min_size=40, max_size=40),
    )
    @settings(max_examples=200, deadline=None)
    def test_all_routers_together_respect_the_rate_in_any_second(
        self, fleet: list[str], per_s: float, firsts: list[float]
    ) -> None:
        """Each router, named or not, has more requests than it may send, and starts at a time of
        its own."""
        times: list[float] = []
        for router, first_at in zip(NAMES, firsts, strict=True):
            shares = SlowStartShares(router, lambda: fleet)
            times += sends(shares.interval_s("e", per_s), first_at, for_s=4.0)
        assert most_within_a_second(times) <= max(1, per_s)

    @given(FLEETS, FLEETS, st.floats(min_value=1.0, max_value=10.0))
    @settings(max_examples=200, deadline=None)
    def test_two_views_of_the_fleet_send_at_most_twice_the_rate(
        self, old: list[str], new: list[str], per_s: float
    ) -> None:
        """Half of the routers are partitioned and have the former view of the fleet."""
        times: list[float] = []
        for place, router in enumerate(NAMES):
            view = old if place % 2 else new
            interval = SlowStartShares(router, lambda view=view: view).interval_s("e", per_s)
            times += sends(interval, 0.0, for_s=3.0)
        assert most_within_a_second(times) <= 2 * per_s

    @given(st.integers(min_value=1, max_value=60), RATES)
    def test_at_least_half_of_the_rate_is_used(self, routers: int, per_s: float) -> None:
        sharing = slow_start_routers("e", [f"r{n}" for n in range(routers)], per_s)
        sent_per_s = len(sharing) / interval_s(len(sharing), per_s)
        assert sent_per_s >= 0.49 * per_s

    def test_shares_are_updated_when_the_fleet_changes(self) -> None:
        fleet = ["r1", "r2"]
        shares = SlowStartShares("r3", lambda: list(fleet))
        assert shares.interval_s("e", 8.0) == math.inf
        fleet.append("r3")
        assert shares.interval_s("e", 8.0) < 1

    def test_upstreams_are_distributed_over_the_fleet(self) -> None:
        """Of 70 upstreams with three routers each, every one of 20 routers has some, none most."""
        counts = dict.fromkeys(NAMES[:20], 0)
        for n in range(70):
            for router in slow_start_routers(f"e{n}", NAMES[:20], 3.0):
                counts[router] += 1
        assert sum(counts.values()) == 210
        assert max(counts.values()) <= 22 and min(counts.values()) >= 3


class TestSends:
    def test_consecutive_sends_keep_the_interval(self) -> None:
        times = sends(interval_s(1, 5.0), 0.0, 2.0)
        assert all(after - before >= 0.2 for before, after in pairwise(times))
