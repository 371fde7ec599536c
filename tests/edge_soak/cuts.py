"""Routers cut off from upstreams: one path, whole routers, most or all of them, in every way.

Callers, the store and the other routers still reach a router that is cut off.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random

import trio

from tests.edge_soak.callers import Attempt
from tests.edge_soak.checks import OK, spent
from tests.edge_soak.faults import FAULTS, PlannedFault
from tests.edge_soak.fleet import Fleet, Router, World
from tests.edge_soak.proxy import PathCut
from tests.edge_soak.series import SERIES

__all__ = [
    "CUTS",
    "OTHER_FAULTS",
    "Cut",
    "cuts_world_of",
    "is_calm_cut",
    "plan_cuts",
    "poor_at_cut",
]

SMALL = World(routers=5, engines=3, callers=10, stayers=15, prepaid=400_000, separate_paths=True)
CROWD = World(
    routers=20,
    engines=4,
    callers=20,
    stayers=40,
    pause_s=1.0,
    prepaid=400_000,
    separate_paths=True,
)
CROWD_EVERY = 10
CROWD_AT = 7
"""Seeds with this remainder have as many routers as the machine can run beside two other seeds."""
CALM_EVERY = 4
"""Seeds divisible by this have cuts only, and some routers are never cut off."""
MAX_BEGIN_S = 6.0
MIN_DURATION_S = 4.0
MAX_DURATION_S = 9.0
CALM_CUTS = 2
MAX_CUTS = 5
MAX_OTHER_FAULTS = 5
STABLE_S = 3.0
"""From the begin of a cut until what callers get counts, as the platform specifies."""
MIN_RELATIVE_SHARE = 2 / 3
"""Least share of first attempts served at routers that are cut off, of that at the others."""
TOLERATED = 10
TOLERATED_SHARE = 0.02
"""First attempts that may fail at routers that are cut off, and a share of all besides."""
PREPAID_FACTOR = 2
"""The budget counts as unspent if it holds so many times what the counted requests need."""
MAX_UNITS = 46


@dataclass(frozen=True)
class Cut:
    """A time, in trio time, in which a router reached no upstream."""

    router: str
    begun_at: float
    ended_at: float


def cuts_world_of(seed: int) -> World:
    """Return the size of a seed's world."""
    return CROWD if seed % CROWD_EVERY == CROWD_AT else SMALL


def is_calm_cut(seed: int) -> bool:
    """Return whether a seed has no other fault, so that the shares served are compared."""
    return seed % CALM_EVERY == 0


async def _cut_routers(fleet: Fleet, rng: Random, duration_s: float, routers: list[Router]) -> None:
    """Cut routers off from all engines, each in its own way."""
    free = [router for router in routers if not router.is_cut]
    for router in free:
        router.is_cut = True
        for link in router.engine_links.values():
            link.heal()
        router.cut_engines(rng.choice(list(PathCut)))
    begun_at = trio.current_time()
    await trio.sleep(duration_s)
    for router in free:
        router.heal_engines()
        router.is_cut = False
        fleet.cuts.append(Cut(router.name, begun_at, trio.current_time()))


async def _cut_some(fleet: Fleet, rng: Random, duration_s: float) -> None:
    """Cut up to half of the routers off; the last two are never among them."""
    count = rng.randint(1, len(fleet.routers) // 2)
    await _cut_routers(fleet, rng, duration_s, rng.sample(fleet.routers[:-2], count))


async def _cut_most(fleet: Fleet, rng: Random, duration_s: float) -> None:
    await _cut_routers(fleet, rng, duration_s, fleet.routers[: len(fleet.routers) - 1])


async def _cut_all(fleet: Fleet, rng: Random, duration_s: float) -> None:
    await _cut_routers(fleet, rng, duration_s, fleet.routers)


async def _cut_one_path(fleet: Fleet, rng: Random, duration_s: float) -> None:
    """Cut the path from one router to one engine."""
    router = rng.choice(fleet.routers)
    link = rng.choice(list(router.engine_links.values()))
    if router.is_cut or link.cut_by:
        return
    link.cut(rng.choice(list(PathCut)))
    await trio.sleep(duration_s)
    if not router.is_cut and link.cut_by:
        link.heal()


CutFault = Callable[[Fleet, Random, float], Awaitable[None]]
CUTS: dict[str, CutFault] = {
    "cut-some": _cut_some,
    "cut-most": _cut_most,
    "cut-all": _cut_all,
    "cut-one-path": _cut_one_path,
}
CALM_NAMES = ("cut-one-path", "cut-some")
OTHER_FAULTS = FAULTS | SERIES


def plan_cuts(seed: int) -> list[PlannedFault]:
    """Return the cuts and other faults of a seed, ordered by their begin."""
    rng = Random(seed)
    if is_calm_cut(seed):
        names = [rng.choice(CALM_NAMES) for _ in range(CALM_CUTS - 1)] + ["cut-some"]
        others = []
    else:
        names = [rng.choice(sorted(CUTS)) for _ in range(rng.randint(2, MAX_CUTS))]
        others = [rng.choice(sorted(OTHER_FAULTS)) for _ in range(rng.randint(1, MAX_OTHER_FAULTS))]
    planned = [_draw(rng, name, rng.uniform(MIN_DURATION_S, MAX_DURATION_S)) for name in names]
    planned += [_draw(rng, name, rng.uniform(0.5, MIN_DURATION_S)) for name in others]
    return sorted(planned, key=lambda fault: fault.at)


def _draw(rng: Random, name: str, duration_s: float) -> PlannedFault:
    at = round(rng.uniform(0.5, MAX_BEGIN_S), 2)
    return PlannedFault(name, at, round(duration_s, 2), rng.randrange(1 << 30))


def poor_at_cut(fleet: Fleet, attempts: list[Attempt]) -> list[str]:
    """Return a line if callers of routers that were cut off were served far worse than others."""
    firsts = [attempt for attempt in attempts if not attempt.resumes]
    counted = [(attempt, _is_cut_at(fleet, attempt)) for attempt in firsts]
    at_cut = [attempt for attempt, is_cut in counted if is_cut]
    elsewhere = [attempt for attempt, is_cut in counted if is_cut is False]
    left = fleet.prepaid - spent(fleet, attempts)
    if left < PREPAID_FACTOR * MAX_UNITS * len(attempts) or not at_cut or not elsewhere:
        return []
    failed = sum(attempt.status != OK for attempt in at_cut)
    share_at_cut = 1 - failed / len(at_cut)
    share_elsewhere = sum(attempt.status == OK for attempt in elsewhere) / len(elsewhere)
    is_poor = share_at_cut < MIN_RELATIVE_SHARE * share_elsewhere
    if is_poor and failed > TOLERATED + TOLERATED_SHARE * len(at_cut):
        return [
            f"cut off: {len(at_cut) - failed} of {len(at_cut)} served, elsewhere "
            f"{share_elsewhere:.2f} of {len(elsewhere)}"
        ]
    return []


def _is_cut_at(fleet: Fleet, attempt: Attempt) -> bool | None:
    """Return whether an attempt's router was cut off; None while no cut counts."""
    counting = [
        cut for cut in fleet.cuts if cut.begun_at + STABLE_S <= attempt.sent_at < cut.ended_at
    ]
    if not counting:
        return None
    if any(cut.router == attempt.router for cut in counting):
        return True
    near = [
        cut
        for cut in fleet.cuts
        if cut.router == attempt.router
        and cut.begun_at <= attempt.sent_at < cut.ended_at + STABLE_S
    ]
    return None if near else False
