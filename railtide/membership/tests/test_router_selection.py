"""Tests of railtide.membership.router_selection."""

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from railtide.membership.addresses import RouterEndpoint
from railtide.membership.router_selection import (
    Candidate,
    RouterTraffic,
    SelectionOptions,
    router_traffic,
    select_routers,
)

OPTIONS = SelectionOptions(min_routers=3, max_utilization=0.25)


def candidate(
    name: str,
    domain: str = "a",
    capacity: float = 100.0,
    load: float = 1.0,
    outdated: bool = False,
    cut_off: bool = False,
):
    return Candidate(RouterEndpoint(name, f"{name}:1", domain), capacity, load, outdated, cut_off)


def names(candidates: list[Candidate], options: SelectionOptions = OPTIONS) -> list[str]:
    return [endpoint.name for endpoint in select_routers(candidates, options)]


def fleets(most_load: float) -> st.SearchStrategy[list[Candidate]]:
    return st.lists(
        st.builds(
            candidate,
            st.text("abcdefgh", min_size=1, max_size=5),
            st.sampled_from("xyz"),
            st.sampled_from([80.0, 200.0]),
            st.floats(0, most_load),
            st.booleans(),
        ),
        max_size=20,
        unique_by=lambda made: made.endpoint.name,
    )


FLEETS = fleets(300.0)
SPARE_FLEETS = fleets(15.0)
"""Fleets that don't need all their routers."""


class TestSelectRouters:
    @given(fleet=FLEETS, seed=st.randoms(use_true_random=False))
    def test_selection_does_not_depend_on_the_order(self, fleet: list[Candidate], seed) -> None:
        shuffled = list(fleet)
        seed.shuffle(shuffled)
        assert sorted(names(shuffled)) == sorted(names(fleet))

    @given(fleet=FLEETS)
    def test_selected_routers_carry_the_load_or_are_all(self, fleet: list[Candidate]) -> None:
        chosen = names(fleet)
        capacity = sum(c.capacity for c in fleet if c.endpoint.name in chosen)
        load = sum(c.load for c in fleet)
        assert len(chosen) == len(fleet) or capacity * OPTIONS.max_utilization >= load * 0.999

    @given(fleet=FLEETS)
    def test_minimum_is_selected_at_any_load(self, fleet: list[Candidate]) -> None:
        assert len(names(fleet)) >= min(OPTIONS.min_routers, len(fleet))

    def test_selected_routers_are_in_different_failure_domains(self) -> None:
        fleet = [candidate(f"{domain}{n}", domain) for domain in "abc" for n in range(4)]
        assert {name[0] for name in names(fleet)} == set("abc")

    def test_router_that_may_be_lost_is_selected_beside_one_that_is_alive(self) -> None:
        lost = [replace(candidate(f"l{n}", "b", 400.0), proved=False) for n in range(3)]
        assert names([*lost, candidate("alive")]) == ["alive"]
        assert len(names(lost)) == 3

    def test_largest_of_a_failure_domain_is_selected(self) -> None:
        fleet = [candidate("small", "a", 80.0), candidate("large", "a", 400.0)]
        assert names(fleet, SelectionOptions(min_routers=1)) == ["large"]

    def test_loss_of_one_replaces_only_that_one(self) -> None:
        fleet = [candidate(f"{domain}{n}", domain) for domain in "abc" for n in range(4)]
        before = names(fleet)
        after = names([c for c in fleet if c.endpoint.name != before[0]])
        assert len(set(after) - set(before)) == 1
        assert set(before[1:]) <= set(after)


class TestOutdatedRouters:
    """Routers that know of a newer configuration but lack it are selected last."""

    @given(fleet=st.one_of(FLEETS, SPARE_FLEETS))
    def test_are_selected_only_if_the_current_ones_can_not_carry_the_load(
        self, fleet: list[Candidate]
    ) -> None:
        current = [c for c in fleet if not c.outdated]
        chosen = names(fleet)
        if set(chosen) <= {c.endpoint.name for c in current}:
            return
        load = sum(c.load for c in fleet)
        capacity = sum(c.capacity for c in current)
        assert {c.endpoint.name for c in current} < set(chosen)
        assert len(current) < OPTIONS.min_routers or capacity * OPTIONS.max_utilization < load

    @given(fleet=FLEETS)
    def test_are_selected_as_usual_if_all_are_outdated(self, fleet: list[Candidate]) -> None:
        outdated = [replace(c, outdated=True) for c in fleet]
        current = [replace(c, outdated=False) for c in fleet]
        assert names(outdated) == names(current)

    def test_current_routers_precede_a_larger_outdated_one(self) -> None:
        fleet = [candidate("large", "a", 400.0, outdated=True)]
        fleet += [candidate("a1", "a"), candidate("b1", "b")]
        assert sorted(names(fleet, SelectionOptions(min_routers=2))) == ["a1", "b1"]

    def test_one_joins_a_single_current_router(self) -> None:
        """One advertised router must remain after the loss of another."""
        fleet = [candidate("a1", "a"), candidate("b1", "b", outdated=True)]
        assert names(fleet, SelectionOptions(min_routers=2)) == ["a1", "b1"]


class TestRoutersThatAreCutOff:
    """Routers that reach no upstream of some pool serve through others, if they have to."""

    def test_others_precede_a_larger_one(self) -> None:
        fleet = [candidate("large", "a", 400.0, cut_off=True)]
        fleet += [candidate("a1", "a"), candidate("b1", "b")]
        assert sorted(names(fleet, SelectionOptions(min_routers=2))) == ["a1", "b1"]

    def test_one_joins_where_the_others_can_not_carry_the_load(self) -> None:
        fleet = [candidate("a1", "a"), candidate("b1", "b", cut_off=True)]
        assert names(fleet, SelectionOptions(min_routers=2)) == ["a1", "b1"]

    def test_outdated_routers_come_after_them(self) -> None:
        fleet = [candidate("a1", "a", 400.0, outdated=True)]
        fleet += [candidate("b1", "b", cut_off=True), candidate("c1", "c")]
        assert sorted(names(fleet, SelectionOptions(min_routers=2))) == ["b1", "c1"]

    @given(fleet=FLEETS)
    def test_are_selected_as_usual_if_all_are_cut_off(self, fleet: list[Candidate]) -> None:
        cut_off = [replace(c, cut_off=True, outdated=False) for c in fleet]
        others = [replace(c, cut_off=False, outdated=False) for c in fleet]
        assert names(cut_off) == names(others)


class TestRouterTraffic:
    def test_router_with_comparable_load_is_active_though_not_advertised(self) -> None:
        fleet = [candidate("a", load=20.0), candidate("b", load=6.0), candidate("c", load=4.0)]
        traffic = router_traffic(fleet, [fleet[0].endpoint])
        assert traffic == RouterTraffic(("a", "b"), ("c",))

    def test_without_any_traffic_only_advertised_routers_are_active(self) -> None:
        fleet = [candidate(name, load=0.0) for name in "abc"]
        assert router_traffic(fleet, [fleet[1].endpoint]) == RouterTraffic(("b",), ("a", "c"))

    def test_no_live_router(self) -> None:
        assert router_traffic([], []) == RouterTraffic()
