"""Tests of railtide.upstreams.expected_completion: single choices, and callers' goals under load.

The bounds on callers' goals are those of the map service's routes: 415 to 635 ms to the first
event, pauses of at most 400 ms, and 343 ms for plain calls.
"""

from collections import Counter
from random import Random

import pytest

from railtide.membership.instances import Instance
from railtide.upstreams.balancing import Affinity, BalancingPolicy, PrefixAffinity, TwoChoices
from railtide.upstreams.expected_completion import (
    Expectation,
    ExpectedCompletion,
    expectation_of,
    note_timing,
)
from railtide.upstreams.pace import AnswerTiming, PoolPace, note_stated
from railtide.upstreams.upstream_state import LoadReport, Upstream, note_prefix

PROMPT = Affinity("", 0.0, 4.0)


def upstreams(count: int, slots: int = 48, load: int = 20) -> list[Upstream]:
    made = [
        Upstream(Instance(f"u{n}", "1", f"u{n}:1", "z", "engine", "p", slots)) for n in range(count)
    ]
    for upstream in made:
        upstream.report = LoadReport(load, 0, False, 0.0)
    return made


def policy(pool: PoolPace | None = None, seed: int = 1) -> ExpectedCompletion:
    rng = Random(seed)
    return ExpectedCompletion(
        pool or PoolPace(is_stated=True), PrefixAffinity(TwoChoices(rng)), rng
    )


def chosen(
    choice: BalancingPolicy, known: list[Upstream], affinity: Affinity, now: float = 0.0
) -> Counter[str]:
    return Counter(choice.choose(known, affinity, now).instance.name for _ in range(600))


class TestChoice:
    def test_without_statements_the_choice_is_that_of_the_other_policy(self) -> None:
        """Pools whose upstreams state no pace must not change, down to the random numbers."""
        known = upstreams(6)
        note_stated(known[0].pace, 900, 0.0)
        paced = policy(PoolPace())
        other = PrefixAffinity(TwoChoices(Random(1)))
        for number in range(50):
            affinity = Affinity(f"p{number % 3}" if number % 2 else "", 2.0, 2.0)
            assert paced.choose(known, affinity, 0.0) is other.choose(known, affinity, 0.0)

    def test_slow_upstream_is_chosen_only_without_a_faster_one(self) -> None:
        known = upstreams(4)
        for upstream in known[1:]:
            note_stated(upstream.pace, 250, 0.0)
        assert chosen(policy(), known, PROMPT)["u0"] > 400
        assert chosen(policy(), known[1:], PROMPT).keys() == {"u1", "u2", "u3"}

    def test_upstreams_that_are_about_as_good_get_about_as_much(self) -> None:
        """Routers with the same reports would otherwise all choose the same upstream."""
        known = upstreams(6)
        for number, upstream in enumerate(known):
            note_stated(upstream.pace, 100 + number, 0.0)
        counts = chosen(policy(), known, PROMPT)
        assert len(counts) == 6
        assert max(counts.values()) < 1.5 * 600 / 6

    def test_best_of_many_does_not_get_all(self) -> None:
        known = upstreams(12)
        note_stated(known[0].pace, 50, 0.0)
        assert 100 < chosen(policy(), known, PROMPT)["u0"] < 240

    def test_stale_report_of_no_load_does_not_attract(self) -> None:
        """Its load is unknown: the average of the others, and not this router's requests."""
        known = upstreams(4, slots=6, load=6)
        known[0].report = LoadReport(0, 0, False, -6.0)
        assert chosen(policy(), known, Affinity())["u0"] < 1.5 * 600 / 4

    def test_old_report_counts_less_than_a_recent_one(self) -> None:
        def count(taken_at: float) -> int:
            known = upstreams(4, slots=6, load=6)
            known[0].report = LoadReport(0, 0, False, taken_at)
            return chosen(policy(), known, Affinity(), 0.0)["u0"]

        assert count(-4.9) < 0.7 * count(0.0)

    def test_own_requests_since_the_report_count(self) -> None:
        known = upstreams(2, slots=6, load=3)
        known[0].opened_at = [0.1] * 6
        assert chosen(policy(), known, Affinity(), 0.1)["u1"] > 550

    def test_prompt_under_way_counts_as_work(self) -> None:
        known = upstreams(2)
        known[0].prefill_load = 20.0
        assert chosen(policy(), known, PROMPT)["u1"] == 600

    def test_slots_of_zero_are_no_error(self) -> None:
        assert policy().choose(upstreams(2, slots=0), PROMPT, 0.0)

    def test_no_reports_are_no_error(self) -> None:
        known = upstreams(3)
        for upstream in known:
            upstream.report = None
        assert len(chosen(policy(), known, Affinity())) == 3


class TestPrefixes:
    AFFINITY = Affinity("prefix", 8.0, 2.0)

    def test_home_upstream_saves_its_prefix(self) -> None:
        counts = chosen(policy(), upstreams(6), self.AFFINITY)
        assert len(counts) == 1

    def test_home_upstream_in_a_slow_phase_is_left(self) -> None:
        known = upstreams(6)
        home = policy().choose(known, self.AFFINITY, 0.0)
        note_stated(home.pace, 400, 0.0)
        assert home.instance.name not in chosen(policy(), known, self.AFFINITY)

    def test_prefix_that_was_sent_to_another_upstream_counts_as_cached(self) -> None:
        known = upstreams(2)
        pool = PoolPace(is_stated=True)
        affinity = Affinity("x", 8.0, 2.0)
        others = upstreams(1)
        without = expectation_of(pool, known[0], others, affinity, 1.0)
        note_prefix(known[0], "x", 0.5)
        assert expectation_of(pool, known[0], others, affinity, 1.0).prompt_work == (
            without.prompt_work - 8.0
        )


class TestPauses:
    def test_upstream_whose_pauses_would_pass_the_goal_is_avoided(self) -> None:
        known = upstreams(2)
        pool = PoolPace(is_stated=True)
        for number in range(40):
            timing = AnswerTiming(0.1, True, 0.05, 0.15)
            note_timing(pool, known[1], Expectation(7.0, None, 1.0), timing, number * 0.1)
        note_stated(known[0].pace, 150, 0.0)
        for number in range(40):
            note_stated(known[0].pace, 420, number * 0.1)
        note_stated(known[0].pace, 100, 4.0)
        note_stated(known[1].pace, 130, 4.0)
        for upstream in known:
            upstream.report = LoadReport(20, 0, False, 4.0)
        free = chosen(policy(pool), known, PROMPT, 4.0)["u0"]
        bound = chosen(policy(pool), known, Affinity("", 0.0, 4.0, pause_goal_s=0.4), 4.0)["u0"]
        assert free > 200
        assert bound == 0


class TestExpectation:
    def test_expected_time_is_that_observed_before(self) -> None:
        known = upstreams(3)
        pool = PoolPace(is_stated=True)
        expected = expectation_of(pool, known[0], known, PROMPT, 0.0)
        assert expected.first_s is None
        assert expected.log_fields() == {"pace": 100, "expected_ms": None}
        for number in range(10):
            known[0].report = LoadReport(20, 0, False, number * 0.1)
            note_timing(pool, known[0], expected, AnswerTiming(0.2), number * 0.1)
        assert expectation_of(pool, known[0], known, PROMPT, 0.9).first_s == pytest.approx(0.2)
        note_stated(known[0].pace, 200, 0.9)
        assert expectation_of(pool, known[0], known, PROMPT, 0.9).log_fields() == {
            "pace": 200,
            "expected_ms": 400,
        }
