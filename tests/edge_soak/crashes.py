"""A request that crashes each engine that starts it, during faults of routers and the store."""

from collections.abc import Awaitable, Callable
from random import Random

import msgspec
import trio

from railtide.containment.registry import TOPIC
from railtide.http.client import PeerPool
from railtide.standins.crashing_engine import CRASH_PREFIX
from tests.edge_soak.callers import KINDS, Attempt, Callers
from tests.edge_soak.faults import FAULT_WINDOW_S, FAULTS, PlannedFault
from tests.edge_soak.fleet import Fleet, World

__all__ = [
    "CRASHES",
    "CRASHING_S",
    "CRASH_WORLD",
    "KNOWN_S",
    "RECHECK_S",
    "broken_containment",
    "is_calm_crash",
    "is_held",
    "plan_crashes",
    "send_crashing",
    "send_unrelated",
]

CRASH_WORLD = World(engines=0, callers=8, stayers=4, prepaid=400_000, crashing=5)
CRASHING_BODY = CRASH_PREFIX + b" the same each time"
SEND_INTERVAL_S = 0.3
"""Interval between two requests with the crashing content."""
CRASHING_S = 10.0
"""For how long the content is sent while faults are injected."""
KNOWN_S = 3.0
"""From the last fault until all routers know of the crashes."""
RECHECK_S = 4.0
"""For how long the content is sent again afterwards."""
CALM_EVERY = 4
"""Seeds divisible by this only have routers that are killed or leave: three engines crash."""
MAX_CRASHES = 3
MAX_LATE_ARRIVALS = 3
MAX_FAULTS = 8
MAX_ENGINE_KILLS = 2
"""Crashes for other reasons: three during one request can't be told from crashes that it causes."""
CODE_HELD = "content-held"
REFUSED = 503
CALM_FAULTS = ("kill", "leave")
ENGINE_FAULTS = ("engine-link", "spoilt-engine", "unlisted-engine")
"""Faults of engines behind links; the engines here have no links."""


async def _discard_marks(fleet: Fleet, rng: Random, duration_s: float) -> None:
    fleet.store.topic(TOPIC).compact()


async def _kill_engine(fleet: Fleet, rng: Random, duration_s: float) -> None:
    rng.choice(fleet.crashing).crash()


CRASHES: dict[str, Callable[[Fleet, Random, float], Awaitable[None]]] = {
    "marks-forgotten": _discard_marks,
    "engine-killed": _kill_engine,
}


def is_calm_crash(seed: int) -> bool:
    """Return whether a seed has no fault that loses marks or keeps routers from reading them."""
    return seed % CALM_EVERY == 0


def plan_crashes(seed: int) -> list[PlannedFault]:
    """Return the faults of a seed, ordered by their begin."""
    rng = Random(f"crashes {seed}")
    if is_calm_crash(seed):
        return sorted((_draw(rng, CALM_FAULTS) for _ in range(2)), key=lambda fault: fault.at)
    names = sorted(set(FAULTS) - set(ENGINE_FAULTS) | {"marks-forgotten"})
    drawn = [_draw(rng, names) for _ in range(rng.randint(2, MAX_FAULTS))]
    drawn += [_draw(rng, ("engine-killed",)) for _ in range(rng.randint(0, MAX_ENGINE_KILLS))]
    return sorted(drawn, key=lambda fault: fault.at)


def _draw(rng: Random, names: list[str] | tuple[str, ...]) -> PlannedFault:
    at, duration_s = rng.uniform(0, FAULT_WINDOW_S), rng.uniform(0.2, 3.0)
    return PlannedFault(
        rng.choice(names), round(at, 2), round(duration_s, 2), rng.randrange(1 << 30)
    )


async def send_crashing(callers: Callers, rng: Random, seconds: float) -> None:
    """Send the crashing content repeatedly, to any router, on one kind of route."""
    kind = rng.choice(KINDS)
    await _send(callers, rng, seconds, lambda: kind, lambda number: CRASHING_BODY)


async def send_unrelated(callers: Callers, rng: Random, seconds: float) -> None:
    """Send contents that occur once each, to any router, on all kinds of routes."""
    await _send(callers, rng, seconds, lambda: rng.choice(KINDS), lambda n: b"other %d" % n)


async def _send(
    callers: Callers,
    rng: Random,
    seconds: float,
    kind_of: Callable[[], str],
    body_of: Callable[[int], bytes],
) -> None:
    async with trio.open_nursery() as nursery:
        for number in range(round(seconds / SEND_INTERVAL_S)):
            router = rng.choice(callers.fleet.routers)
            pool = PeerPool("127.0.0.1", router.calls.port)
            nursery.start_soon(callers.call, router, pool, kind_of(), body_of(number))
            await trio.sleep(SEND_INTERVAL_S)


def broken_containment(
    fleet: Fleet, attempts: list[Attempt], known_at: float, calm: bool
) -> list[str]:
    """Return a line for each violation: an innocent content held, or a crashing one sent on.

    Parameters
    ----------
    known_at : float
        Trio time from which all routers know of all crashes.
    calm : bool
        Whether they always did: then at most three engines crash, and one more for each router
        with a request in flight.
    """
    arrivals = [a for engine in fleet.crashing for a in engine.arrivals if a.body == CRASHING_BODY]
    late = [arrival for arrival in arrivals if arrival.at > known_at]
    crashes = sum(engine.crashes for engine in fleet.crashing)
    most = MAX_CRASHES + len(fleet.routers)
    refused = [
        a for a in attempts if a.status == REFUSED and a.sent_body != CRASHING_BODY and is_held(a)
    ]
    broken = [
        f"{a.request_id} ({a.sent_body!r}) was held though it crashes no engine" for a in refused
    ]
    if len(late) > MAX_LATE_ARRIVALS:
        broken.append(f"a held content was sent to engines {len(late)} more times")
    if calm and crashes > most:
        broken.append(f"one content crashed {crashes} engines")
    return broken


def is_held(attempt: Attempt) -> bool:
    """Return whether a refused request was told that its content, or a part, is held."""
    try:
        return msgspec.json.decode(attempt.body)["code"] == CODE_HELD
    except (msgspec.DecodeError, KeyError, TypeError):
        return False
