"""Engines that say of themselves what they take, beside signals, restarts and faults."""

import math
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from random import Random

import trio

from tests.edge_soak.callers import Attempt
from tests.edge_soak.faults import FAULTS, Planned
from tests.edge_soak.fleet import Fleet, World
from tests.edge_soak.series import SERIES

__all__ = [
    "BESIDE",
    "ENDED_S",
    "NOTICES",
    "Statement",
    "broken_limits",
    "never_ended",
    "notices_of",
    "notices_world_of",
]

SMALL = World(routers=4, engines=3, callers=10, stayers=6, prepaid=400_000)
CROWD = World(routers=24, engines=4, callers=20, stayers=30, pause_s=1.0, prepaid=400_000)
CROWD_EVERY = 10
CROWD_AT = 7
"""Seeds of this remainder have as many routers as the machine bears beside two other seeds."""
LATEST_S = 4.0
LONGEST_S = 12.0
MOST_BESIDE = 5
STABLE_S = 3.0
"""After the first word of a limit, until what its engine gets is counted."""
TOLD_S = 0.5
"""After an answer that states it, until its router counts as told."""
WINDOW_S = 4.0
EXCUSED_S = 5.0
"""After a router was stopped or woken, while what it sends does not count."""
ENDED_S = 20.0
"""After the end of all that engines state, until each router uses them as before."""


@dataclass
class Statement:
    """A limit that an engine stated for a while, in requests a second and trio times."""

    engine: str
    per_s: float
    began_at: float
    ended_at: float = math.inf

    @property
    def allowed(self) -> float:
        """Most arrivals within a window."""
        return 1.5 * WINDOW_S * self.per_s + 5


def notices_world_of(seed: int) -> World:
    """Return the size of a seed's world."""
    return CROWD if seed % CROWD_EVERY == CROWD_AT else SMALL


async def _state_limit(fleet: Fleet, rng: Random, length: float) -> None:
    """Have an engine that states none state a limit for a while."""
    free = [engine for engine in fleet.engines if engine.limit is None]
    if not free:
        return
    engine = rng.choice(free)
    statement = Statement(engine.name, round(rng.uniform(0.3, 6.0), 1), trio.current_time())
    fleet.statements.append(statement)
    engine.limit = str(statement.per_s)
    await trio.sleep(length)
    engine.limit = None
    statement.ended_at = trio.current_time()


NOTICES: dict[str, Callable[[Fleet, Random, float], Awaitable[None]]] = {
    "limit": _state_limit,
}
BESIDE = sorted(set(SERIES) | set(FAULTS) - {"engine-link"})
"""All but what holds requests up on their way to an engine."""


def notices_of(seed: int) -> list[Planned]:
    """Return what engines say and what strikes beside it, in the order of their begin."""
    rng = Random(f"notices {seed}")
    planned = [
        _drawn(rng, sorted(NOTICES), rng.uniform(STABLE_S + WINDOW_S, LONGEST_S))
        for _ in range(rng.randint(1, 4))
    ]
    planned += [
        _drawn(rng, BESIDE, rng.uniform(0.3, 3.0)) for _ in range(rng.randint(0, MOST_BESIDE))
    ]
    return sorted(planned, key=lambda one: one.at)


def _drawn(rng: Random, names: list[str], length: float) -> Planned:
    at = round(rng.uniform(0, LATEST_S), 2)
    return Planned(rng.choice(names), at, round(length, 2), rng.randrange(1 << 30))


def broken_limits(fleet: Fleet, attempts: Iterable[Attempt]) -> list[str]:
    """Return a line for each limit beyond which its engine got requests."""
    by_id = {attempt.request_id: attempt for attempt in attempts}
    broken = []
    for statement in fleet.statements:
        got = _most_in_a_window(_counted(fleet, statement, by_id))
        if got > statement.allowed:
            broken.append(f"{statement} got {got} within {WINDOW_S} s, {statement.allowed} allowed")
    return broken


def _counted(fleet: Fleet, statement: Statement, by_id: dict[str, Attempt]) -> list[float]:
    """Return when requests reached an engine from processes that it had told."""
    engine = next(engine for engine in fleet.engines if engine.name == statement.engine)
    told_at: dict[tuple[str, int], float] = {}
    for answer in engine.answers:
        if answer.notices and statement.began_at <= answer.at <= statement.ended_at:
            told_at.setdefault(_process_of(by_id[answer.request_id]), answer.at)
    return [
        arrival.at
        for arrival in engine.arrivals
        if statement.began_at + STABLE_S <= arrival.at <= statement.ended_at
        and arrival.at >= told_at.get(_process_of(by_id[arrival.request_id]), math.inf) + TOLD_S
        and not _is_excused(fleet, by_id[arrival.request_id].router, arrival.at)
    ]


def _process_of(attempt: Attempt) -> tuple[str, int]:
    return (attempt.router, attempt.lifetime)


def _is_excused(fleet: Fleet, router: str, at: float) -> bool:
    stops = next(known.stops for known in fleet.routers if known.name == router)
    return any(stopped <= at <= stopped + EXCUSED_S for stopped in stops)


def _most_in_a_window(times: list[float]) -> int:
    return max((sum(at <= t < at + WINDOW_S for t in times) for at in times), default=0)


def never_ended(fleet: Fleet) -> list[str]:
    """Return a line for each limit that a router still keeps to, by its process's lines."""
    broken = []
    for router in fleet.routers:
        in_force = {
            line["upstream"]: line["per_s"]
            for line in router.lines()
            if line.get("event") == "upstream-limit"
        }
        broken += [
            f"{router.name} keeps to {per_s} a second of {upstream} long after its end"
            for upstream, per_s in in_force.items()
            if per_s is not None
        ]
    return broken
