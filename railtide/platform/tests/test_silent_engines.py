"""Engines that send nothing for a second and go on: neither they nor their contents have failed."""

from collections import Counter

import pytest
import trio

from railtide.platform.tests.router_fleet import RouterFleet, open_router_fleet, wait_until
from railtide.upstreams.paths import PathState
from railtide.upstreams.upstream_state import is_ejected

SILENCE_S = 1.2
ENGINES = 4


def silence(fleet: RouterFleet, count: int) -> None:
    """Have some engines be silent, all at once."""
    for engine in list(fleet.engine_by_name.values())[:count]:
        engine.silent_until = trio.current_time() + SILENCE_S


async def send_all_kinds(fleet: RouterFleet, for_s: float) -> None:
    async with trio.open_nursery() as nursery:
        for path in ("/safe/x", "/once/x", "/stream/x"):
            nursery.start_soon(fleet.send_load, 15, for_s, 0, path)


class TestSilentEngines:
    @pytest.mark.parametrize("count", [1, 3, 4])
    async def test_every_request_is_answered_and_runs_once(self, count: int) -> None:
        async with open_router_fleet(routers=2, engines=ENGINES, events=4, gap_s=0.05) as fleet:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send_all_kinds, fleet, 2.0)
                await trio.sleep(0.5)
                silence(fleet, count)
            assert set(fleet.statuses) == {200}
            runs = Counter(run for engine in fleet.engine_by_name.values() for run in engine.ran)
            assert set(runs.values()) == {1}

    async def test_silence_is_no_crash_and_no_failure(self) -> None:
        """Guards against contents held, and against upstreams left out after they went on."""
        async with open_router_fleet(routers=2, engines=ENGINES, events=4, gap_s=0.05) as fleet:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send_all_kinds, fleet, 2.0)
                await trio.sleep(0.5)
                silence(fleet, ENGINES - 1)
            now = trio.current_time()
            for number, node in enumerate(fleet.nodes):
                assert node.counters.value("contents_marked") == 0
                for upstream in fleet.upstreams(number).values():
                    assert upstream.path is PathState.DIRECT
                    assert upstream.failures == 0 and not is_ejected(upstream, now)

    async def test_engines_whose_machines_are_silent_are_used_at_once_afterwards(self) -> None:
        """Their machines accept no connections meanwhile, for any router."""
        async with open_router_fleet(routers=2, engines=ENGINES, gap_s=0.02) as fleet:
            await fleet.send_load(per_s=30, for_s=0.5)
            for links in fleet.links:
                links.cut = {"e0", "e1", "e2"}
            silence(fleet, 3)
            await fleet.send_load(per_s=30, for_s=SILENCE_S)
            for links in fleet.links:
                links.cut.clear()
            await wait_until(
                lambda: all(
                    upstream.path is PathState.DIRECT
                    for number in (0, 1)
                    for upstream in fleet.upstreams(number).values()
                ),
                within_s=1.0,
            )
            before = {name: len(engine.seen) for name, engine in fleet.engine_by_name.items()}
            await fleet.send_load(per_s=40, for_s=1.5)
            after = {name: len(engine.seen) for name, engine in fleet.engine_by_name.items()}
            assert all(after[name] > before[name] for name in after)
            assert sum(node.counters.value("contents_marked") for node in fleet.nodes) == 0
