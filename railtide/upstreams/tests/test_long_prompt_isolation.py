"""Tests of railtide.upstreams.long_prompt_isolation: pauses of streams beside long prompts."""

import heapq
from dataclasses import dataclass, field
from random import Random

import pytest

from railtide.membership.instances import Instance
from railtide.upstreams.balancing import Affinity, BalancingPolicy, PrefixAffinity, TwoChoices
from railtide.upstreams.long_prompt_isolation import LongPromptIsolation, long_prompt_upstreams
from railtide.upstreams.upstream_state import Upstream

LONG = Affinity("subject", prefix_cost=16.0, prefill_cost=7.0, decode_cost=0.2)
SHORT = Affinity("chat", prefix_cost=0.5, prefill_cost=1.6, decode_cost=0.7)


def upstreams(count: int) -> list[Upstream]:
    return [Upstream(Instance(f"e{n}", "1", f"e{n}:1", "z", "engine", "p")) for n in range(count)]


@dataclass
class Load:
    """Event simulation of streams of 4 s and long prompts of 0.3 s at six upstreams.

    A stream pauses for too long when its upstream processes two long prompts at once.
    """

    choice: BalancingPolicy
    rng: Random
    streams: int = 0
    paused: int = 0
    most_reading: int = 0
    ends: list[tuple[float, int, int, bool]] = field(default_factory=list)

    def play(self, seconds: float = 60.0, streams_s: float = 14.0, prompts_s: float = 8.0) -> None:
        """Send requests at random times, at the given rates per second of each kind."""
        all_of = upstreams(6)
        reading = [0] * len(all_of)
        paused_at = [-1.0] * len(all_of)
        now = 0.0
        while now < seconds:
            now += self.rng.expovariate(streams_s + prompts_s)
            while self.ends and self.ends[0][0] <= now:
                end, _, at, is_long = heapq.heappop(self.ends)
                all_of[at].open_bulk -= 1
                if is_long:
                    reading[at] -= 1
                else:
                    self._count(paused_at[at] > end - 4.0, end)
            is_long = self.rng.random() < prompts_s / (streams_s + prompts_s)
            chosen = self.choice.choose(all_of, LONG if is_long else SHORT, now)
            at = all_of.index(chosen)
            chosen.open_bulk += 1
            if is_long:
                reading[at] += 1
                self.most_reading = max(self.most_reading, reading[at])
                if reading[at] > 1:
                    paused_at[at] = now
            lasts_s = 0.3 if is_long else 4.0
            heapq.heappush(self.ends, (now + lasts_s, self.rng.getrandbits(60), at, is_long))

    def _count(self, paused: bool, now: float) -> None:
        self.streams += 1
        self.paused += paused
        self.choice.note_stream(paused, now)


class TestLoad:
    @pytest.mark.parametrize("seed", range(3))
    def test_isolation_reduces_streams_that_pause(self, seed: int) -> None:
        mixed = Load(PrefixAffinity(TwoChoices(Random(seed))), Random(seed))
        mixed.play()
        apart = Load(LongPromptIsolation(PrefixAffinity(TwoChoices(Random(seed)))), Random(seed))
        apart.play()
        assert mixed.paused > 0.14 * mixed.streams
        assert apart.paused < 0.04 * apart.streams
        assert apart.most_reading <= mixed.most_reading + 3


class TestSeparation:
    @staticmethod
    def _chosen(choice: BalancingPolicy, affinity: Affinity, now: float) -> set[str]:
        all_of = upstreams(6)
        return {choice.choose(all_of, affinity, now).instance.name for _ in range(60)}

    def test_without_pauses_all_requests_use_all_upstreams(self) -> None:
        choice = LongPromptIsolation(TwoChoices(Random(1)))
        for second in range(20):
            assert not choice.note_stream(False, float(second))
        assert len(self._chosen(choice, LONG, 20.0)) == 6

    def test_all_routers_isolate_at_the_same_upstreams(self) -> None:
        sides = []
        for seed in (1, 2):
            choice = LongPromptIsolation(TwoChoices(Random(seed)))
            assert [choice.note_stream(True, 0.0) for _ in range(3)] == [False, True, False]
            for _ in range(10):
                choice.choose(upstreams(6), SHORT, 3.0)
            self._chosen(choice, LONG, 3.0)
            sides.append((self._chosen(choice, LONG, 3.0), self._chosen(choice, SHORT, 3.0)))
        assert sides[0] == sides[1]
        assert sides[0][0].isdisjoint(sides[0][1])

    def test_isolation_ends_after_a_while(self) -> None:
        choice = LongPromptIsolation(TwoChoices(Random(1)))
        for second in range(3):
            choice.note_stream(True, float(second))
        assert len(self._chosen(choice, LONG, 100.0)) == 6

    def test_loss_of_an_upstream_changes_no_other_assignment(self) -> None:
        names = [f"e{n}" for n in range(6)]
        whole = long_prompt_upstreams(names, 0.5)
        for lost in names:
            left = long_prompt_upstreams([name for name in names if name != lost], 0.6)
            assert len(whole - left - {lost}) == 0
