"""A request that ends each engine that begins it, beside faults of routers and of the store."""

from collections.abc import Awaitable, Callable
from random import Random

import msgspec
import trio

from railtide.containment.registry import TOPIC
from railtide.http.client import PeerPool
from railtide.standins.crashing_engine import CRASH_PREFIX
from tests.edge_soak.callers import KINDS, Attempt, Callers
from tests.edge_soak.faults import FAULTS, LENGTH_S, Planned
from tests.edge_soak.fleet import Fleet, World

__all__ = [
    "AFTER_S",
    "CRASHES",
    "CRASH_WORLD",
    "ENDING_S",
    "KNOWN_S",
    "broken_containment",
    "crashes_of",
    "is_calm_crash",
    "send_each",
    "send_others",
]

CRASH_WORLD = World(engines=0, callers=8, stayers=4, prepaid=400_000, crashing=5)
BAD = CRASH_PREFIX + b" the same each time"
EACH_S = 0.3
"""Between two times that the content comes."""
ENDING_S = 10.0
"""While faults strike."""
KNOWN_S = 3.0
"""Behind the last fault, until all routers know."""
AFTER_S = 4.0
"""While the content comes again behind that."""
CALM_EVERY = 4
"""One seed of so many has no fault but routers that are killed or leave: three engines end."""
MOST_ENDS = 3
MOST_RETRIES = 3
MOST_FAULTS = 8
MOST_ENGINE_KILLS = 2
"""Ends of engines for other reasons; three of them under one request can't be told from its own."""
HELD = "content-held"
REFUSED = 503
CALM_FAULTS = ("kill", "leave")
ENGINE_FAULTS = ("engine-link", "spoilt-engine", "unlisted-engine")
"""Faults of engines behind links, of which there are none here."""


async def _forget_marks(fleet: Fleet, rng: Random, length: float) -> None:
    fleet.store.topic(TOPIC).compact()


async def _kill_engine(fleet: Fleet, rng: Random, length: float) -> None:
    rng.choice(fleet.crashing).crash()


CRASHES: dict[str, Callable[[Fleet, Random, float], Awaitable[None]]] = {
    "marks-forgotten": _forget_marks,
    "engine-killed": _kill_engine,
}


def is_calm_crash(seed: int) -> bool:
    """Return whether nothing strikes in a seed that loses marks or keeps them from routers."""
    return seed % CALM_EVERY == 0


def crashes_of(seed: int) -> list[Planned]:
    """Return the faults of a seed in the order of their begin."""
    rng = Random(f"crashes {seed}")
    if is_calm_crash(seed):
        return sorted((_drawn(rng, CALM_FAULTS) for _ in range(2)), key=lambda one: one.at)
    names = sorted(set(FAULTS) - set(ENGINE_FAULTS) | {"marks-forgotten"})
    made = [_drawn(rng, names) for _ in range(rng.randint(2, MOST_FAULTS))]
    made += [_drawn(rng, ("engine-killed",)) for _ in range(rng.randint(0, MOST_ENGINE_KILLS))]
    return sorted(made, key=lambda planned: planned.at)


def _drawn(rng: Random, names: list[str] | tuple[str, ...]) -> Planned:
    at, length = rng.uniform(0, LENGTH_S), rng.uniform(0.2, 3.0)
    return Planned(rng.choice(names), round(at, 2), round(length, 2), rng.randrange(1 << 30))


async def send_each(callers: Callers, rng: Random, seconds: float) -> None:
    """Send the content that ends engines again and again, at any router, on one kind of route."""
    kind = rng.choice(KINDS)
    await _send(callers, rng, seconds, lambda: kind, lambda number: BAD)


async def send_others(callers: Callers, rng: Random, seconds: float) -> None:
    """Send contents of which each comes once, on all kinds of routes."""
    await _send(callers, rng, seconds, lambda: rng.choice(KINDS), lambda n: b"other %d" % n)


async def _send(
    callers: Callers,
    rng: Random,
    seconds: float,
    kind_of: Callable[[], str],
    body_of: Callable[[int], bytes],
) -> None:
    async with trio.open_nursery() as nursery:
        for number in range(round(seconds / EACH_S)):
            router = rng.choice(callers.fleet.routers)
            pool = PeerPool("127.0.0.1", router.calls.port)
            nursery.start_soon(callers.ask, router, pool, kind_of(), body_of(number))
            await trio.sleep(EACH_S)


def broken_containment(
    fleet: Fleet, attempts: list[Attempt], healed_at: float, calm: bool
) -> list[str]:
    """Return a line for each of both promises that was not kept.

    Parameters
    ----------
    healed_at : float
        Trio time from which all routers know of all ends.
    calm : bool
        Whether they always did: then three engines end, and what was in flight.
    """
    arrivals = [a for engine in fleet.crashing for a in engine.arrivals if a.body == BAD]
    late = [arrival for arrival in arrivals if arrival.at > healed_at]
    crashes = sum(engine.crashes for engine in fleet.crashing)
    most = MOST_ENDS + len(fleet.routers)
    refused = [a for a in attempts if a.status == REFUSED and a.sent_body != BAD and _held(a)]
    broken = [f"{a.request_id} ({a.sent_body!r}) was held, though innocent" for a in refused]
    if len(late) > MOST_RETRIES:
        broken.append(f"a held content was sent to engines {len(late)} times more")
    if calm and crashes > most:
        broken.append(f"{crashes} engines ended under one content")
    return broken


def _held(attempt: Attempt) -> bool:
    try:
        return msgspec.json.decode(attempt.body)["code"] == HELD
    except (msgspec.DecodeError, KeyError, TypeError):
        return False
