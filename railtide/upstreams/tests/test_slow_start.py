"""Tests of railtide.upstreams.slow_start: what cold upstreams are sent by all routers together."""

import math
from bisect import bisect_left
from itertools import pairwise

from hypothesis import given, settings
from hypothesis import strategies as st

from railtide.upstreams.slow_start import SlowStartShares, interval_s, slow_start_routers

NAMES = [f"r{n}" for n in range(40)]
FLEETS = st.lists(st.sampled_from(NAMES), min_size=1, max_size=40, unique=True)
RATES = st.floats(min_value=0.2, max_value=60.0)


def sends(pause: float, first_at: float, for_s: float) -> list[float]:
    """Return when a router that always has work sends, from its first request on."""
    if not math.isfinite(pause):
        return []
    return [first_at + n * pause for n in range(math.ceil(for_s / pause))]


def most_within_a_second(times: list[float]) -> int:
    """Return the most of some moments that lie within one second, its end not among them."""
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
    def test_all_routers_together_stay_within_it_in_any_second(
        self, fleet: list[str], per_s: float, firsts: list[float]
    ) -> None:
        """Each router of the fleet and each one that is not named, with more work than it may send,
        begins at a moment of its own."""
        times: list[float] = []
        for router, first_at in zip(NAMES, firsts, strict=True):
            shares = SlowStartShares(router, lambda: fleet)
            times += sends(shares.interval_s("e", per_s), first_at, for_s=4.0)
        assert most_within_a_second(times) <= max(1, per_s)

    @given(FLEETS, FLEETS, st.floats(min_value=1.0, max_value=10.0))
    @settings(max_examples=200, deadline=None)
    def test_two_views_of_the_fleet_send_twice_as_much_at_the_most(
        self, old: list[str], new: list[str], per_s: float
    ) -> None:
        """Half of the routers are cut off and know the fleet as it was."""
        times: list[float] = []
        for place, router in enumerate(NAMES):
            view = old if place % 2 else new
            pause = SlowStartShares(router, lambda view=view: view).interval_s("e", per_s)
            times += sends(pause, 0.0, for_s=3.0)
        assert most_within_a_second(times) <= 2 * per_s

    @given(st.integers(min_value=1, max_value=60), RATES)
    def test_most_of_what_an_upstream_bears_is_sent(self, routers: int, per_s: float) -> None:
        sharing = slow_start_routers("e", [f"r{n}" for n in range(routers)], per_s)
        sent_per_s = len(sharing) / interval_s(len(sharing), per_s)
        assert sent_per_s >= 0.49 * per_s

    def test_shares_follow_the_fleet(self) -> None:
        fleet = ["r1", "r2"]
        shares = SlowStartShares("r3", lambda: list(fleet))
        assert shares.interval_s("e", 8.0) == math.inf
        fleet.append("r3")
        assert shares.interval_s("e", 8.0) < 1

    def test_upstreams_are_shared_out_over_the_fleet(self) -> None:
        """Of 70 upstreams that bear three requests each, none of 20 routers has most."""
        counts = dict.fromkeys(NAMES[:20], 0)
        for n in range(70):
            for router in slow_start_routers(f"e{n}", NAMES[:20], 3.0):
                counts[router] += 1
        assert sum(counts.values()) == 210
        assert max(counts.values()) <= 22 and min(counts.values()) >= 3


class TestSends:
    def test_neighbours_are_a_pause_apart(self) -> None:
        times = sends(interval_s(1, 5.0), 0.0, 2.0)
        assert all(after - before >= 0.2 for before, after in pairwise(times))
