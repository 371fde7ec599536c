"""Tests of railtide.upstreams.upstream_state and of railtide.upstreams.balancing."""

from random import Random

from railtide.membership.instances import Instance
from railtide.upstreams.balancing import Affinity, PrefixAffinity, TwoChoices
from railtide.upstreams.upstream_state import (
    REPORT_MAX_AGE_S,
    LoadReport,
    Upstream,
    estimated_load,
    is_ejected,
    note_failure,
    note_success,
)


def upstream(name: str = "e", **more: object) -> Upstream:
    return Upstream(Instance(name, "1", name, "a", "engine"), **more)


class TestEstimatedLoad:
    def test_adds_requests_opened_since_the_report(self) -> None:
        made = upstream(opened_at=[1.0, 3.0], report=LoadReport(4, 2, False, 2.0))
        assert estimated_load(made, 3.5) == 7

    def test_old_report_is_ignored(self) -> None:
        made = upstream(open_bulk=1, report=LoadReport(40, 0, False, 0.0))
        assert estimated_load(made, REPORT_MAX_AGE_S + 1) == 1


class TestEjection:
    def test_second_failure_in_a_row_ejects_for_a_while(self) -> None:
        made = upstream()
        note_failure(made, 0.0)
        assert not is_ejected(made, 0.0)
        note_failure(made, 0.0)
        assert is_ejected(made, 0.5)
        assert not is_ejected(made, 1.0)
        note_success(made)
        assert made.failures == 0


class TestBalancingPolicies:
    def test_two_choices_prefer_the_less_loaded(self) -> None:
        idle, busy = upstream("idle"), upstream("busy", open_bulk=9)
        choice = TwoChoices(Random(1))
        assert {choice.choose([idle, busy], Affinity(), 0.0).instance.name for _ in range(9)} == {
            "idle"
        }

    def test_affinity_uses_its_home_until_it_is_too_busy(self) -> None:
        pool = [upstream("e1"), upstream("e2"), upstream("e3")]
        choice = PrefixAffinity(TwoChoices(Random(1)))
        home = choice.choose(pool, Affinity("acc/prefix"), 0.0)
        assert all(choice.choose(pool, Affinity("acc/prefix"), 0.0) is home for _ in range(9))
        home.open_bulk = 50
        assert choice.choose(pool, Affinity("acc/prefix"), 0.0) is not home

    def test_busy_home_is_replaced_by_the_same_next_home(self) -> None:
        pool = [upstream(f"e{n}") for n in range(5)]
        choice = PrefixAffinity(TwoChoices(Random(1)))
        home = choice.choose(pool, Affinity("acc/prefix", 2.0), 0.0)
        home.open_bulk = 50
        chosen = {choice.choose(pool, Affinity("acc/prefix", 2.0), 0.0).instance.name}
        chosen |= {choice.choose(pool, Affinity("acc/prefix", 2.0), 0.0).instance.name}
        assert len(chosen) == 1

    def test_cheap_prefix_does_not_justify_a_busier_upstream(self) -> None:
        pool = [upstream("e1"), upstream("e2")]
        choice = PrefixAffinity(TwoChoices(Random(1)))
        home = choice.choose(pool, Affinity("acc/prefix", 0.5), 0.0)
        home.open_bulk = 1
        assert choice.choose(pool, Affinity("acc/prefix", 0.5), 0.0) is not home
        assert choice.choose(pool, Affinity("acc/prefix", 1.0), 0.0) is home
