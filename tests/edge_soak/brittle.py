"""Engines that crash when they reject too many requests, during signals, restarts and faults."""

from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import replace
from random import Random

import trio

from railtide.standins.platform import PlatformEngine
from tests.edge_soak.cuts import CUTS
from tests.edge_soak.faults import FAULTS, PlannedFault
from tests.edge_soak.fleet import GOOD_ENGINE, Fleet, World
from tests.edge_soak.proxy import LinkFault
from tests.edge_soak.series import SERIES

__all__ = [
    "BRITTLE",
    "OTHER_FAULTS",
    "brittle_world_of",
    "clear_brittle",
    "is_calm_brittle",
    "plan_brittle",
    "too_many_crashes",
]

SMALL = World(routers=4, engines=4, callers=16, stayers=24, prepaid=400_000, separate_paths=True)
CROWD = World(
    routers=16,
    engines=4,
    callers=30,
    stayers=60,
    pause_s=1.0,
    prepaid=400_000,
    separate_paths=True,
)
CROWD_EVERY = 10
CROWD_AT = 7
"""Seeds with this remainder have as many routers as the machine can run beside two other seeds."""
CALM_EVERY = 2
"""Seeds divisible by this have no other fault, so that crashes are counted."""
STABLE_S = 3.0
"""After engines first state that they are brittle, until they let fewer requests wait."""
SLOTS = 8
"""As in the engines' records."""
ROOM = 24
MAX_BRITTLE_ROOM = 2
MIN_DURATION_S = 8.0
MAX_DURATION_S = 12.0
RESTART_S = 2.0
CRASHES = 2
CRASHES_PER_ENGINE = 0.1
"""Crashes that the platform allows in one time in which engines are brittle."""
MAX_OTHER_FAULTS = 4


def brittle_world_of(seed: int) -> World:
    """Return the size of a seed's world."""
    return CROWD if seed % CROWD_EVERY == CROWD_AT else SMALL


def is_calm_brittle(seed: int) -> bool:
    """Return whether a seed has no other fault."""
    return seed % CALM_EVERY == 0


async def _be_brittle(fleet: Fleet, rng: Random, duration_s: float) -> None:
    """Have all engines state that they are brittle; they crash by too many rejections."""
    rejections = rng.randint(2, 8)
    async with trio.open_nursery() as nursery:
        for engine in fleet.engines:
            engine.brittle = str(rejections)
            engine.capacity = SLOTS + ROOM
            engine.on_rejection = _crash_on(rejections, fleet, engine, nursery)
        await trio.sleep(STABLE_S)
        for engine in fleet.engines:
            engine.capacity = SLOTS + rng.randint(0, MAX_BRITTLE_ROOM)
        await trio.sleep(max(0.0, duration_s - STABLE_S))
        clear_brittle(fleet)


def _crash_on(
    rejections: int, fleet: Fleet, engine: PlatformEngine, nursery: trio.Nursery
) -> Callable[[], None]:
    rejected_at: deque[float] = deque()

    def note() -> None:
        now = trio.current_time()
        rejected_at.append(now)
        while rejected_at[0] <= now - 1:
            rejected_at.popleft()
        if len(rejected_at) > rejections:
            rejected_at.clear()
            fleet.brittle_crashes.append((now, engine.name))
            nursery.start_soon(_crash, fleet, engine)

    return note


async def _crash(fleet: Fleet, engine: PlatformEngine) -> None:
    """Reset an engine's connections, refuse new ones for a while, and restart it under its id."""
    link = fleet.engine_links[fleet.engines.index(engine)]
    link.set_fault(LinkFault.RESET)
    await trio.sleep(RESTART_S)
    fleet.put_reborn(engine)
    link.set_fault(LinkFault.NONE)


async def _slow(fleet: Fleet, rng: Random, duration_s: float) -> None:
    """Have some engines take several times as long, so that requests pile up."""
    factor = rng.uniform(2.0, 6.0)
    slow = rng.sample(fleet.engines, rng.randint(1, len(fleet.engines)))
    for engine in slow:
        engine.script = replace(GOOD_ENGINE, gap_s=GOOD_ENGINE.gap_s * factor)
    await trio.sleep(duration_s)
    for engine in slow:
        engine.script = GOOD_ENGINE


BRITTLE: dict[str, Callable[[Fleet, Random, float], Awaitable[None]]] = {
    "brittle": _be_brittle,
    "slow-engines": _slow,
}
OTHER_FAULTS = FAULTS | SERIES | CUTS


def plan_brittle(seed: int) -> list[PlannedFault]:
    """Return one time in which engines are brittle, and other faults, ordered by their begin."""
    rng = Random(seed)
    at, duration_s = rng.uniform(0.5, 1.5), rng.uniform(MIN_DURATION_S, MAX_DURATION_S)
    planned = [PlannedFault("brittle", round(at, 2), round(duration_s, 2), rng.randrange(1 << 30))]
    names = ["slow-engines"] * rng.randint(1, 2)
    if not is_calm_brittle(seed):
        others = sorted(OTHER_FAULTS)
        names += [rng.choice(others) for _ in range(rng.randint(1, MAX_OTHER_FAULTS))]
    for name in names:
        begin, length = rng.uniform(0.5, MIN_DURATION_S), rng.uniform(1.0, 4.0)
        fault = PlannedFault(name, round(begin, 2), round(length, 2), rng.randrange(1 << 30))
        planned.append(fault)
    return sorted(planned, key=lambda fault: fault.at)


def clear_brittle(fleet: Fleet) -> None:
    """Have the engines be brittle no more."""
    for engine in fleet.engines:
        engine.brittle = engine.capacity = None
        engine.script = GOOD_ENGINE


def too_many_crashes(fleet: Fleet) -> list[str]:
    """Return a line if the engines crashed more often than the platform allows."""
    allowed = CRASHES + CRASHES_PER_ENGINE * len(fleet.engines)
    if len(fleet.brittle_crashes) <= allowed:
        return []
    return [f"brittle engines crashed {len(fleet.brittle_crashes)} times: {fleet.brittle_crashes}"]
