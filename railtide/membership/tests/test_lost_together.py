"""Routers that are lost at the same time: who is advertised to callers afterwards."""

from random import Random

import pytest
import trio

from railtide.membership.roster import Member, Roster, RosterOptions
from railtide.standins.keyed_store import MemoryStore

OPTIONS = RosterOptions()
DOMAINS = "abc"
SETTLED_S = 8.0
MAX_NAMED_S = 6.0
"""Longest time for which a lost router may be named: `stable_ms` of 3 s, and 3 s."""
OBSERVED_S = 14.0
STEP_S = 0.1
LOST_SHARE = 0.6


class LossOfMany:
    """A fleet of which all advertised routers and some others are lost at once.

    Attributes
    ----------
    longest_s : float
        How long after the loss a survivor still advertised a lost router.
    empty_s : float
        For how long survivors advertised no living router, summed over their answers' steps.
    calm_appends : int
        Records written in the 30 s before the loss.
    """

    def __init__(self, routers: int, seed: int) -> None:
        self._rng = Random(seed)
        self._store = MemoryStore()
        self._rosters = {f"r{n}": self._roster(n) for n in range(routers)}
        self._scopes = {name: trio.CancelScope() for name in self._rosters}
        self.longest_s = 0.0
        self.empty_s = 0.0
        self.calm_appends = 0

    def _roster(self, number: int) -> Roster:
        name = f"r{number}"
        domain = DOMAINS[number % len(DOMAINS)]
        member = Member(f"{name}-1", f"{name}:1", domain, 0, 100.0)
        return Roster(self._store, name, member, OPTIONS, Random(number))

    async def _run(self, name: str) -> None:
        with self._scopes[name]:
            await trio.sleep(self._rng.uniform(0, 3))
            await self._rosters[name].run(lambda: True)

    async def play(self) -> None:
        async with trio.open_nursery() as nursery:
            for name in self._rosters:
                nursery.start_soon(self._run, name)
            await trio.sleep(SETTLED_S)
            before = self._store.topic(OPTIONS.topic).end
            await trio.sleep(30 + self._rng.uniform(0, 3))
            self.calm_appends = self._store.topic(OPTIONS.topic).end - before
            await self._lose()
            nursery.cancel_scope.cancel()

    async def _lose(self) -> None:
        named = {endpoint.name for endpoint in self._rosters["r0"].advertised()}
        others = sorted(self._rosters.keys() - named)
        lost = named | set(self._rng.sample(others, int(LOST_SHARE * len(others))))
        for name in lost:
            self._scopes[name].cancel()
        lost_at = trio.current_time()
        survivors = [made for name, made in self._rosters.items() if name not in lost]
        while trio.current_time() < lost_at + OBSERVED_S:
            await trio.sleep(STEP_S)
            for survivor in survivors:
                advertised = {endpoint.name for endpoint in survivor.advertised()}
                if advertised & lost:
                    self.longest_s = trio.current_time() - lost_at
                if not advertised - lost:
                    self.empty_s += STEP_S


@pytest.mark.parametrize("routers", [7, 30, 100])
class TestRoutersLostTogether:
    async def test_lost_router_is_named_for_too_long(self, routers: int, autojump_clock) -> None:
        for seed in range(8 if routers < 100 else 2):
            loss = LossOfMany(routers, seed)
            await loss.play()
            assert loss.longest_s <= MAX_NAMED_S, f"seed {seed}: {loss.longest_s:.1f} s"

    async def test_calm_fleet_writes_more_often(self, routers: int, autojump_clock) -> None:
        loss = LossOfMany(routers, 1)
        await loss.play()
        idle = routers - OPTIONS.selection.min_routers
        allowed = OPTIONS.selection.min_routers * 34 + idle * 12
        assert loss.calm_appends <= allowed
