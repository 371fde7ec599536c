"""Random limits, rests and leaving for the schedulers of a fleet, on a virtual clock."""

import math
from dataclasses import dataclass
from random import Random

import pytest
import trio
from msgspec.structs import replace

from railtide.lanes.scheduler import Slot
from railtide.lanes.tests.test_advertised_limits import Engine, Fleet, Router, allowed, used_by
from railtide.membership.instances import InstanceState

GRACE_S = 0.5
"""Time after a refusal with a rest until further arrivals count against it."""
DRAIN_S = 2.0
MAX_IN_A_REST = 2
RECOVERY_S = 12.0
"""Time after the end of all notices until all routers that callers use send to all engines."""


@dataclass(frozen=True)
class Rest:
    """A rest that an engine asked of a router; its times are trio times."""

    router: str
    asked_at: float
    ends_at: float


class NotifyingFleet(Fleet):
    """A fleet whose engines may refuse with a rest, or report that they are leaving."""

    def __init__(self, routers: int, named: int, engines: int, rng: Random) -> None:
        super().__init__(routers, named, engines, rng)
        self.rest_by_engine: dict[str, float] = {}
        self.leaving: set[str] = set()
        self.rests_by_engine: dict[str, list[Rest]] = {name: [] for name in self.engine_by_name}
        self.leaving_notified_at: dict[tuple[str, str], float] = {}

    async def _run(self, router: Router, slot: Slot) -> bool:
        name = slot.upstream.instance.name
        rest_s = self.rest_by_engine.get(name)
        is_leaving = name in self.leaving
        if rest_s is None:
            answered = await super()._run(router, slot)
        else:
            answered = await self._refuse(router, name, rest_s)
        if is_leaving and answered or is_leaving and rest_s is not None:
            self._notify_leaving(router, name)
        return answered

    async def _refuse(self, router: Router, name: str, rest_s: float) -> bool:
        engine = self.engine_by_name[name]
        engine.arrivals.append((trio.current_time(), router.name))
        await trio.sleep(self.rng.uniform(0.001, 0.05))
        now = trio.current_time()
        self.rests_by_engine[name].append(Rest(router.name, now, now + rest_s))
        router.scheduler.notices.apply_rest(name, rest_s)
        return False

    def _notify_leaving(self, router: Router, name: str) -> None:
        self.leaving_notified_at.setdefault((router.name, name), trio.current_time())
        known = [upstream.instance for upstream in router.scheduler.by_name.values()]
        router.scheduler.set_upstreams(
            [replace(i, state=InstanceState.LEAVING) if i.name == name else i for i in known]
        )

    async def request_rests(self, name: str, for_s: float) -> None:
        """Have an engine refuse all requests for random periods, asking for random rests."""
        ends_at = trio.current_time() + for_s
        while trio.current_time() < ends_at:
            self.rest_by_engine[name] = self.rng.uniform(0.2, 5.0)
            await trio.sleep(self.rng.uniform(0.1, 3.0))
            self.rest_by_engine.pop(name)
            await trio.sleep(self.rng.uniform(0.0, 1.0))

    async def advertise_limit(self, engine: Engine, for_s: float) -> None:
        """Have an engine advertise a limit for a while."""
        engine.advertise(round(self.rng.uniform(0.3, 6.0), 1))
        await trio.sleep(for_s)
        assert engine.most_in_a_window() <= allowed(engine.limit), engine.name
        engine.advertise(math.inf)

    def broken_rests(self) -> list[str]:
        """Return a line for each rest during which too many requests arrived."""
        return [
            f"{name}: {rest} got {count}"
            for name, rests in self.rests_by_engine.items()
            for rest in rests
            if (count := self._within(name, rest)) > MAX_IN_A_REST
        ]

    def _within(self, name: str, rest: Rest) -> int:
        arrivals = self.engine_by_name[name].arrivals
        begin = rest.asked_at + GRACE_S
        return sum(r == rest.router and begin <= at < rest.ends_at for at, r in arrivals)

    def sent_after_leaving(self) -> list[str]:
        """Return a line for each request sent too long after its router was notified."""
        return [
            f"{name} got a request of {router} {at - notified_at:.1f} s after its notice"
            for (router, name), notified_at in self.leaving_notified_at.items()
            for at, sender in self.engine_by_name[name].arrivals
            if sender == router and at > notified_at + DRAIN_S
        ]


class TestRandomNotices:
    @pytest.mark.parametrize("seed", range(24))
    async def test_notices_are_respected_and_engines_are_used_again_afterwards(
        self, seed: int, autojump_clock
    ) -> None:
        rng = Random(f"notices {seed}")
        routers = rng.randint(1, 16)
        fleet = NotifyingFleet(routers, rng.randint(1, routers), rng.randint(2, 6), rng)
        names = list(fleet.engine_by_name)
        leaving = set(rng.sample(names, rng.randint(0, len(names) - 1)))
        async with trio.open_nursery() as updates:
            updates.start_soon(fleet.share_updates)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.play, rng.uniform(5, 60), 20.0)
                for name in names:
                    if rng.random() < 0.4:
                        nursery.start_soon(fleet.request_rests, name, rng.uniform(2, 12))
                    if rng.random() < 0.4:
                        engine = fleet.engine_by_name[name]
                        nursery.start_soon(fleet.advertise_limit, engine, rng.uniform(6, 14))
                await trio.sleep(rng.uniform(0, 8))
                fleet.leaving = leaving
            assert fleet.broken_rests() == []
            assert fleet.sent_after_leaving() == []
            await fleet.play(per_s=30, for_s=RECOVERY_S)
            ended_at = trio.current_time()
            await fleet.play(per_s=40 * len(fleet.named), for_s=4.0)
            for name in set(names) - leaving:
                used = used_by(fleet, fleet.engine_by_name[name], ended_at)
                assert used >= set(fleet.named), f"{name} is used by {used}"
            updates.cancel_scope.cancel()
