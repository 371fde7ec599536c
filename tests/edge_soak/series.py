"""Series of signals, restarts and changes of the desired state that overlap, drawn from a seed."""

import signal
from collections.abc import Awaitable, Callable
from random import Random

import trio

from tests.edge_soak.faults import FAULTS, LENGTH_S, Planned
from tests.edge_soak.fleet import Fleet, Router, World

__all__ = ["CALM", "SERIES", "is_calm", "keep_up", "series_of", "world_of"]

MOMENTS = 3
"""Moments of a seed at which several series begin at once."""
AT_ONCE_S = 0.3
LEAST_SERIES = 2
MOST_SERIES = 4
"""Series at each moment."""
MOST_FAULTS = 6
"""Other faults beside the series."""
RESTART_S = 1.0
"""Longest time until a process that ended is started again."""
START_S = 2.0
"""About as long as a process takes to start."""
DRAIN_S = 4.0
"""About as long as a process drains."""
CALM_EVERY = 5
"""One seed of so many has no fault but signals that end nothing, and changes."""
CROWD_EVERY = 10
CROWD_AT = 7
"""Seeds of this remainder have as many routers and callers as the machine bears."""
PREPAID = (8_000, 60_000, 400_000)
"""Budgets: one that is spent, one that may be, one that is not."""
SMALL = World(stayers=12)
CROWDS = (
    World(routers=10, engines=6, stayers=100, pause_s=3.0),
    World(routers=20, engines=6, stayers=60, pause_s=2.0),
    World(routers=40, engines=6, stayers=30, pause_s=1.0),
)
"""Of about 55 MB a router; with three seeds at a time 120 processes and 7 GB at most. The store,
the engines and the callers share one process, which is the bound: it did not keep up with 80
routers and 72 callers."""

Series = Callable[[Fleet, Random, float], Awaitable[None]]


def world_of(seed: int) -> World:
    """Return the size of a seed's world."""
    rng = Random(seed)
    prepaid = rng.choice(PREPAID)
    shape = rng.choice(CROWDS) if seed % CROWD_EVERY == CROWD_AT else SMALL
    return World(shape.routers, shape.engines, shape.callers, shape.stayers, shape.pause_s, prepaid)


def is_calm(seed: int) -> bool:
    """Return whether nothing that may break a request strikes in a seed."""
    return seed % CALM_EVERY == 0


def series_of(seed: int) -> list[Planned]:
    """Return the series and faults of a seed in the order of their begin."""
    rng = Random(seed)
    names = sorted(CALM if is_calm(seed) else SERIES)
    planned: list[Planned] = []
    for _ in range(MOMENTS):
        moment = rng.uniform(0, LENGTH_S)
        for _ in range(rng.randint(LEAST_SERIES, MOST_SERIES)):
            planned.append(_draw(rng, names, moment + rng.uniform(0, AT_ONCE_S)))
    if not is_calm(seed):
        for _ in range(rng.randint(0, MOST_FAULTS)):
            planned.append(_draw(rng, sorted(FAULTS), rng.uniform(0, LENGTH_S)))
    return sorted(planned, key=lambda one: one.at)


def _draw(rng: Random, names: list[str], at: float) -> Planned:
    length = round(rng.uniform(0.5, 4.0), 2)
    return Planned(rng.choice(names), round(at, 2), length, rng.randrange(1 << 30))


async def keep_up(router: Router, rng: Random) -> None:
    """Start the router's process again whenever it has ended, for ever."""
    while True:
        await router.process.wait()
        async with router.changing:
            if not router.is_running():
                await trio.sleep(rng.uniform(0, RESTART_S))
                await router.start()


async def _terms(fleet: Fleet, rng: Random, length: float) -> None:
    """Ask a router to end, and again while it drains."""
    router = rng.choice(fleet.routers)
    for _ in range(rng.randint(2, 4)):
        router.send(signal.SIGTERM)
        await trio.sleep(rng.uniform(0, DRAIN_S / 2))


async def _terms_in_turn(fleet: Fleet, rng: Random, length: float) -> None:
    """Ask all routers to end, one after another, before the one before is back."""
    routers = rng.sample(fleet.routers, len(fleet.routers))
    for router in routers:
        router.send(signal.SIGTERM)
        await trio.sleep(rng.uniform(0, length / len(routers)))


async def _hups(fleet: Fleet, rng: Random, length: float) -> None:
    """Have routers read their settings, whatever they are at."""
    count = rng.randint(4, 16)
    for _ in range(count):
        rng.choice(fleet.routers).send(signal.SIGHUP)
        await trio.sleep(rng.uniform(0, 2 * length / count))


async def _hups_and_term(fleet: Fleet, rng: Random, length: float) -> None:
    """Have a router read its settings again and again while it drains."""
    router = rng.choice(fleet.routers)
    router.send(signal.SIGTERM)
    for _ in range(rng.randint(2, 8)):
        await trio.sleep(rng.uniform(0, DRAIN_S / 4))
        router.send(signal.SIGHUP)


async def _stops(fleet: Fleet, rng: Random, length: float) -> None:
    """Stop and wake several routers by turns."""
    count = rng.randint(2, 5)
    async with trio.open_nursery() as nursery:
        for _ in range(count):
            nursery.start_soon(rng.choice(fleet.routers).pause, rng.uniform(0.1, length / 2))
            await trio.sleep(rng.uniform(0, length / count))


async def _stop_and_term(fleet: Fleet, rng: Random, length: float) -> None:
    """Ask a stopped router to end; it finds that when it wakes."""
    router = rng.choice(fleet.routers)
    router.send(signal.SIGSTOP)
    router.send(signal.SIGTERM)
    await trio.sleep(length)
    router.send(signal.SIGCONT)


async def _kill_while_draining(fleet: Fleet, rng: Random, length: float) -> None:
    router = rng.choice(fleet.routers)
    router.send(signal.SIGTERM)
    await trio.sleep(rng.uniform(0, DRAIN_S))
    router.send(signal.SIGKILL)


async def _kills_while_starting(fleet: Fleet, rng: Random, length: float) -> None:
    router = rng.choice(fleet.routers)
    for _ in range(rng.randint(2, 4)):
        router.send(signal.SIGKILL)
        await trio.sleep(RESTART_S + rng.uniform(0, START_S))


async def _kills_of_all(fleet: Fleet, rng: Random, length: float) -> None:
    """Kill all routers, and again before all are back."""
    for _ in range(rng.randint(2, 3)):
        for router in fleet.routers:
            router.send(signal.SIGKILL)
        await trio.sleep(rng.uniform(0, RESTART_S + START_S))


async def _changes(fleet: Fleet, rng: Random, length: float) -> None:
    """Change the desired state faster than it is read."""
    count = rng.randint(4, 12)
    for _ in range(count):
        fleet.publish()
        await trio.sleep(rng.uniform(0, length / count))


CALM: dict[str, Series] = {
    "series-term": _terms,
    "series-term-in-turn": _terms_in_turn,
    "series-hup": _hups,
    "series-hup-and-term": _hups_and_term,
    "series-change": _changes,
}
"""Series after which no request may be lost that an engine ran."""

SERIES: dict[str, Series] = CALM | {
    "series-stop": _stops,
    "series-stop-and-term": _stop_and_term,
    "series-kill-while-draining": _kill_while_draining,
    "series-kill-while-starting": _kills_while_starting,
    "series-kill-of-all": _kills_of_all,
}
