"""Overlapping series of signals, restarts and changes of the desired state, drawn from a seed."""

import signal
from collections.abc import Awaitable, Callable
from random import Random

import trio

from tests.edge_soak.faults import FAULT_WINDOW_S, FAULTS, PlannedFault
from tests.edge_soak.fleet import Fleet, Router, World

__all__ = ["CALM", "SERIES", "is_calm", "plan_series", "restart_on_exit", "world_of"]

MOMENTS = 3
"""Moments of a seed at which several series begin at once."""
BURST_S = 0.3
"""Within which the series of a moment begin."""
MIN_SERIES = 2
MAX_SERIES = 4
"""Series at each moment."""
MAX_FAULTS = 6
"""Other faults beside the series."""
RESTART_S = 1.0
"""Longest time until a process that ended is started again."""
START_S = 2.0
"""About as long as a process takes to start."""
DRAIN_S = 4.0
"""About as long as a process drains."""
CALM_EVERY = 5
"""Seeds divisible by this have only signals that interrupt no request, and changes."""
CROWD_EVERY = 10
CROWD_AT = 7
"""Seeds with this remainder have as many routers and callers as the machine can run."""
PREPAID = (8_000, 60_000, 400_000)
"""Budgets: one that is always spent, one that may be, one that never is."""
SMALL = World(stayers=12)
CROWDS = (
    World(routers=10, engines=6, stayers=100, pause_s=3.0),
    World(routers=20, engines=6, stayers=60, pause_s=2.0),
    World(routers=40, engines=6, stayers=30, pause_s=1.0),
)
"""A router takes about 55 MB: with three seeds at a time, at most 120 processes and 7 GB. The
store, the engines and the callers share one process, which limits the size: it couldn't keep up
with 80 routers and 72 callers."""

Series = Callable[[Fleet, Random, float], Awaitable[None]]


def world_of(seed: int) -> World:
    """Return the size of a seed's world."""
    rng = Random(seed)
    prepaid = rng.choice(PREPAID)
    shape = rng.choice(CROWDS) if seed % CROWD_EVERY == CROWD_AT else SMALL
    return World(shape.routers, shape.engines, shape.callers, shape.stayers, shape.pause_s, prepaid)


def is_calm(seed: int) -> bool:
    """Return whether a seed has no fault that may interrupt a request."""
    return seed % CALM_EVERY == 0


def plan_series(seed: int) -> list[PlannedFault]:
    """Return the series and faults of a seed, ordered by their begin."""
    rng = Random(seed)
    names = sorted(CALM if is_calm(seed) else SERIES)
    planned: list[PlannedFault] = []
    for _ in range(MOMENTS):
        moment = rng.uniform(0, FAULT_WINDOW_S)
        for _ in range(rng.randint(MIN_SERIES, MAX_SERIES)):
            planned.append(_draw(rng, names, moment + rng.uniform(0, BURST_S)))
    if not is_calm(seed):
        for _ in range(rng.randint(0, MAX_FAULTS)):
            planned.append(_draw(rng, sorted(FAULTS), rng.uniform(0, FAULT_WINDOW_S)))
    return sorted(planned, key=lambda fault: fault.at)


def _draw(rng: Random, names: list[str], at: float) -> PlannedFault:
    duration_s = round(rng.uniform(0.5, 4.0), 2)
    return PlannedFault(rng.choice(names), round(at, 2), duration_s, rng.randrange(1 << 30))


async def restart_on_exit(router: Router, rng: Random) -> None:
    """Restart the router's process whenever it has exited, for ever."""
    while True:
        await router.process.wait()
        async with router.changing:
            if not router.is_running():
                await trio.sleep(rng.uniform(0, RESTART_S))
                await router.start()


async def _sigterms(fleet: Fleet, rng: Random, duration_s: float) -> None:
    """Send a router SIGTERM, and again while it drains."""
    router = rng.choice(fleet.routers)
    for _ in range(rng.randint(2, 4)):
        router.send(signal.SIGTERM)
        await trio.sleep(rng.uniform(0, DRAIN_S / 2))


async def _sigterms_in_turn(fleet: Fleet, rng: Random, duration_s: float) -> None:
    """Send all routers SIGTERM, one after another, without waiting for restarts."""
    routers = rng.sample(fleet.routers, len(fleet.routers))
    for router in routers:
        router.send(signal.SIGTERM)
        await trio.sleep(rng.uniform(0, duration_s / len(routers)))


async def _sighups(fleet: Fleet, rng: Random, duration_s: float) -> None:
    """Have routers reload their settings, in any state."""
    count = rng.randint(4, 16)
    for _ in range(count):
        rng.choice(fleet.routers).send(signal.SIGHUP)
        await trio.sleep(rng.uniform(0, 2 * duration_s / count))


async def _sighups_and_sigterm(fleet: Fleet, rng: Random, duration_s: float) -> None:
    """Have a router reload its settings repeatedly while it drains."""
    router = rng.choice(fleet.routers)
    router.send(signal.SIGTERM)
    for _ in range(rng.randint(2, 8)):
        await trio.sleep(rng.uniform(0, DRAIN_S / 4))
        router.send(signal.SIGHUP)


async def _pauses(fleet: Fleet, rng: Random, duration_s: float) -> None:
    """Stop and continue several routers, overlapping."""
    count = rng.randint(2, 5)
    async with trio.open_nursery() as nursery:
        for _ in range(count):
            nursery.start_soon(rng.choice(fleet.routers).pause, rng.uniform(0.1, duration_s / 2))
            await trio.sleep(rng.uniform(0, duration_s / count))


async def _pause_and_sigterm(fleet: Fleet, rng: Random, duration_s: float) -> None:
    """Send a stopped router SIGTERM, which it handles once it is continued."""
    router = rng.choice(fleet.routers)
    router.send(signal.SIGSTOP)
    router.send(signal.SIGTERM)
    await trio.sleep(duration_s)
    router.send(signal.SIGCONT)


async def _kill_while_draining(fleet: Fleet, rng: Random, duration_s: float) -> None:
    router = rng.choice(fleet.routers)
    router.send(signal.SIGTERM)
    await trio.sleep(rng.uniform(0, DRAIN_S))
    router.send(signal.SIGKILL)


async def _kills_while_starting(fleet: Fleet, rng: Random, duration_s: float) -> None:
    router = rng.choice(fleet.routers)
    for _ in range(rng.randint(2, 4)):
        router.send(signal.SIGKILL)
        await trio.sleep(RESTART_S + rng.uniform(0, START_S))


async def _kills_of_all(fleet: Fleet, rng: Random, duration_s: float) -> None:
    """Kill all routers, and again before all have restarted."""
    for _ in range(rng.randint(2, 3)):
        for router in fleet.routers:
            router.send(signal.SIGKILL)
        await trio.sleep(rng.uniform(0, RESTART_S + START_S))


async def _changes(fleet: Fleet, rng: Random, duration_s: float) -> None:
    """Change the desired state faster than routers read it."""
    count = rng.randint(4, 12)
    for _ in range(count):
        fleet.publish()
        await trio.sleep(rng.uniform(0, duration_s / count))


CALM: dict[str, Series] = {
    "series-term": _sigterms,
    "series-term-in-turn": _sigterms_in_turn,
    "series-hup": _sighups,
    "series-hup-and-term": _sighups_and_sigterm,
    "series-change": _changes,
}
"""Series in which every request that an engine ran must be answered."""

SERIES: dict[str, Series] = CALM | {
    "series-stop": _pauses,
    "series-stop-and-term": _pause_and_sigterm,
    "series-kill-while-draining": _kill_while_draining,
    "series-kill-while-starting": _kills_while_starting,
    "series-kill-of-all": _kills_of_all,
}
