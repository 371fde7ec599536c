"""Callers' goals under load: the choice by expected time against the one by load reports alone.

Twelve upstreams behind three routers whose reports are 0.2 to 2 s old. A third of the upstreams run
at half speed, and each stalls for 600 ms now and then, when work takes 8 times as long. The goals
are those of the map service: 415 to 635 ms to the first event of a stream, pauses of at most
400 ms, and 343 ms for plain calls.
"""

import pytest

from railtide.upstreams.balancing import PrefixAffinity, TwoChoices
from railtide.upstreams.expected_completion import ExpectedCompletion
from railtide.upstreams.long_prompt_isolation import LongPromptIsolation
from railtide.upstreams.tests.pace_load import EnginePool, MakePolicy, Outcome, PlainPool, Speeds

HALF_SPEED = (2.0, 1.0, 1.0) * 4
STALLS = {"slow_share": 0.05, "slow_factor": 8.0}
STREAMS = [(0.635, 1600, 500, 300), (0.519, 300, 300, 250), (0.415, 100, 100, 500)]
CALL_GOAL_S = 0.343
MAX_SHARE = 1.75 / 10
"""Most that an upstream may get of all requests: four at half speed are worth two of the others, so
a fair share is a tenth. Streams with the same prefix keep to one upstream, which adds to it."""
MAX_PEAK = 0.3
"""Most that one upstream may get of the requests within a second, on average over all seconds."""


def by_load() -> MakePolicy:
    return lambda pace, rng: LongPromptIsolation(PrefixAffinity(TwoChoices(rng)))


def by_time() -> MakePolicy:
    return lambda pace, rng: LongPromptIsolation(
        ExpectedCompletion(pace, PrefixAffinity(TwoChoices(rng)), rng)
    )


def streams(make: MakePolicy, speeds: Speeds, seed: int, per_s: float) -> Outcome:
    return EnginePool(make, speeds, seed).play(per_s, 25.0, STREAMS)


def calls(make: MakePolicy, speeds: Speeds, seed: int, per_s: float) -> Outcome:
    return PlainPool(make, speeds, seed).play(per_s, 20.0, CALL_GOAL_S)


def share_of_slow(outcome: Outcome) -> float:
    slow = [f"u{n}" for n, lasting in enumerate(HALF_SPEED) if lasting > 1]
    return sum(outcome.by_upstream[name] for name in slow) / outcome.by_upstream.total()


def assert_no_herd(outcome: Outcome) -> None:
    assert max(outcome.by_upstream.values()) < MAX_SHARE * outcome.by_upstream.total()
    assert outcome.peak_share < MAX_PEAK


class TestStreams:
    @pytest.mark.parametrize("seed", [0, 1])
    def test_fewer_streams_pause_for_too_long(self, seed: int) -> None:
        speeds = Speeds(HALF_SPEED, **STALLS)
        before = streams(by_load(), speeds, seed, 120.0)
        after = streams(by_time(), speeds, seed, 120.0)
        assert before.paused_share > 0.02
        assert after.paused_share < 0.015
        assert after.late_share < 0.01
        assert_no_herd(after)

    def test_fewer_streams_begin_late_at_high_load(self) -> None:
        speeds = Speeds(HALF_SPEED)
        before = streams(by_load(), speeds, 0, 200.0)
        after = streams(by_time(), speeds, 0, 200.0)
        assert before.late_share > 0.02
        assert after.late_share < 0.01
        assert_no_herd(after)


class TestCalls:
    @pytest.mark.parametrize("seed", [0, 1])
    def test_fewer_calls_are_late(self, seed: int) -> None:
        speeds = Speeds(HALF_SPEED)
        before = calls(by_load(), speeds, seed, 800.0)
        after = calls(by_time(), speeds, seed, 800.0)
        assert before.late_share > 0.0035
        assert after.late_share < 0.0025
        assert after.late_share < before.late_share / 3
        assert_no_herd(after)

    def test_stalls_cost_no_more_calls_than_before(self) -> None:
        speeds = Speeds(HALF_SPEED, **STALLS)
        before = calls(by_load(), speeds, 0, 850.0)
        after = calls(by_time(), speeds, 0, 850.0)
        assert after.late_share < before.late_share


class TestStatements:
    @pytest.mark.parametrize(
        "states",
        [
            lambda lasting, phase: 100,
            lambda lasting, phase: round(100 * phase),
            lambda lasting, phase: None if lasting > 1 else round(100 * phase),
        ],
        ids=["always-100", "own-usual", "slow-ones-nothing"],
    )
    def test_slow_upstreams_are_found_without_statements_of_their_lasting_speed(
        self, states
    ) -> None:
        """The observed times decide where statements are wrong, relative or missing."""
        before = calls(by_load(), Speeds(HALF_SPEED), 0, 600.0)
        after = calls(by_time(), Speeds(HALF_SPEED, states=states), 0, 600.0)
        assert share_of_slow(after) < 0.85 * share_of_slow(before)
        assert before.late_share > 0.004
        assert after.late_share < before.late_share / 4
        assert_no_herd(after)
