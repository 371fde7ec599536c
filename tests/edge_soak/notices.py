"""Engines that say of themselves what they take, beside signals, restarts and faults."""

import math
from bisect import bisect_right
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import StrEnum
from random import Random

import msgspec
import trio

from railtide.http.messages import first_header
from railtide.standins.platform import EngineEvent, PlatformEngine
from tests.edge_soak.callers import Attempt
from tests.edge_soak.faults import FAULTS, Planned
from tests.edge_soak.fleet import Fleet, World
from tests.edge_soak.series import SERIES

__all__ = [
    "BESIDE",
    "ENDED_S",
    "NOTICES",
    "Statement",
    "broken_notices",
    "end_notices",
    "never_ended",
    "notices_of",
    "notices_world_of",
    "unused_engines",
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
DRAIN_S = 2.0
"""After an answer that says that its engine leaves, until its router may send it nothing."""
MOST_IN_A_REST = 2
EXCUSED_S = 5.0
"""After a router was stopped or woken, while what it sends does not count."""
ENDED_S = 20.0
"""After the end of all that engines state, until each router uses them as before."""
USED_S = 8.0
ENOUGH = 60
"""Requests of one process in that time from which on it uses each engine."""
LIMIT, LEAVING, RETRY_AFTER = b"server-limit", b"server-leaving", b"retry-after"


class Word(StrEnum):
    """What an engine says of itself."""

    LIMIT = "limit"
    REST = "rest"
    LEAVE = "leave"


@dataclass
class Statement:
    """What an engine said for a while, in trio times; `per_s` is a limit's."""

    word: Word
    engine: str
    began_at: float
    per_s: float = 0.0
    ended_at: float = math.inf

    @property
    def allowed(self) -> float:
        """Most arrivals within a window of a limit."""
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
    statement = _begin(fleet, Word.LIMIT, engine)
    statement.per_s = round(rng.uniform(0.3, 6.0), 1)
    engine.limit = str(statement.per_s)
    await trio.sleep(length)
    engine.limit = None
    statement.ended_at = trio.current_time()


async def _ask_for_rest(fleet: Fleet, rng: Random, length: float) -> None:
    """Have an engine refuse all and ask for rests, again and again for a while."""
    engine = rng.choice(fleet.engines)
    ends_at = trio.current_time() + length / 2
    while trio.current_time() < ends_at:
        engine.rest = f"{rng.uniform(0.3, 4.0):.2f}"
        await trio.sleep(rng.uniform(0.2, 3.0))
        engine.rest = None
        await trio.sleep(rng.uniform(0.0, 0.5))


async def _leave(fleet: Fleet, rng: Random, length: float) -> None:
    """Have an engine say that it leaves, its record say so late or never, and begin anew."""
    staying = [engine for engine in fleet.engines if not engine.leaving]
    if not staying:
        return
    engine = rng.choice(staying)
    statement = _begin(fleet, Word.LEAVE, engine)
    engine.leaving = True
    await trio.sleep(length / 2)
    if rng.random() < 0.5:
        _write(fleet, engine, state="draining")
    await trio.sleep(length / 2)
    _begin_anew(fleet, engine)
    statement.ended_at = trio.current_time()


def _begin(fleet: Fleet, word: Word, engine: PlatformEngine) -> Statement:
    statement = Statement(word, engine.name, trio.current_time())
    fleet.statements.append(statement)
    return statement


def _begin_anew(fleet: Fleet, engine: PlatformEngine) -> None:
    """Start a new life of an engine under its id, which says nothing of leaving."""
    engine.leaving = False
    _write(fleet, engine, state="ready", born=_entry_of(fleet, engine).get("born", 0) + 1)


def _write(fleet: Fleet, engine: PlatformEngine, **fields: object) -> None:
    entry = _entry_of(fleet, engine) | fields
    fleet.store.put("keyed.servers", engine.name, msgspec.json.encode(entry))


def _entry_of(fleet: Fleet, engine: PlatformEngine) -> dict[str, object]:
    record = fleet.store.topic("keyed.servers").newest_by_key[engine.name]
    return msgspec.json.decode(record.value)


def _life_of(fleet: Fleet, engine: PlatformEngine) -> str:
    born = _entry_of(fleet, engine).get("born", 0)
    return f"{engine.name}/{born}" if born else engine.name


NOTICES: dict[str, Callable[[Fleet, Random, float], Awaitable[None]]] = {
    "limit": _state_limit,
    "rest": _ask_for_rest,
    "leave": _leave,
}
BESIDE = sorted(set(SERIES) | set(FAULTS) - {"engine-link", "unlisted-engine"})
"""All but what holds requests up on their way to an engine, or writes an engine's older record."""


def notices_of(seed: int) -> list[Planned]:
    """Return what engines say and what strikes beside it, in the order of their begin."""
    rng = Random(f"notices {seed}")
    planned = [
        _drawn(rng, sorted(NOTICES), rng.uniform(STABLE_S + WINDOW_S, LONGEST_S))
        for _ in range(rng.randint(1, 6))
    ]
    planned += [
        _drawn(rng, BESIDE, rng.uniform(0.3, 3.0)) for _ in range(rng.randint(0, MOST_BESIDE))
    ]
    return sorted(planned, key=lambda one: one.at)


def _drawn(rng: Random, names: list[str], length: float) -> Planned:
    at = round(rng.uniform(0, LATEST_S), 2)
    return Planned(rng.choice(names), at, round(length, 2), rng.randrange(1 << 30))


def end_notices(fleet: Fleet) -> None:
    """End what engines still say."""
    for engine in fleet.engines:
        engine.limit = engine.rest = None
        if engine.leaving:
            _begin_anew(fleet, engine)


class _Sent:
    """What an engine was sent and what it told, by the processes that sent it."""

    def __init__(self, fleet: Fleet, engine: PlatformEngine, attempts: list[Attempt]) -> None:
        self._stops_by_router = {router.name: router.stops for router in fleet.routers}
        self._by_id = {attempt.request_id: attempt for attempt in attempts}
        self.arrivals = engine.arrivals
        self.answers = engine.answers

    def process_of(self, event: EngineEvent) -> tuple[str, int]:
        """Return the router and the lifetime of its process."""
        attempt = self._by_id[event.request_id]
        return (attempt.router, attempt.lifetime)

    def sent_at(self, event: EngineEvent) -> float:
        """Return when the caller sent the request."""
        return self._by_id[event.request_id].sent_at

    def is_excused(self, event: EngineEvent) -> bool:
        """Return whether the request's router stood still lately."""
        stops = self._stops_by_router[self.process_of(event)[0]]
        return any(stopped <= event.at <= stopped + EXCUSED_S for stopped in stops)

    def told_at(self, name: bytes, statement: Statement) -> dict[tuple[str, int], float]:
        """Return when processes were first told in a header, while it was stated."""
        told: dict[tuple[str, int], float] = {}
        for answer in self.answers:
            is_within = statement.began_at <= answer.at <= statement.ended_at
            if is_within and first_header(answer.notices, name):
                told.setdefault(self.process_of(answer), answer.at)
        return told


def broken_notices(fleet: Fleet, attempts: list[Attempt]) -> list[str]:
    """Return a line for each word of an engine that was not kept to."""
    sent_by_engine = {engine.name: _Sent(fleet, engine, attempts) for engine in fleet.engines}
    broken = []
    for statement in fleet.statements:
        sent = sent_by_engine[statement.engine]
        broken += CHECK_BY_WORD[statement.word](sent, statement)
    for name, sent in sent_by_engine.items():
        broken += [f"{name} {line}" for line in _broken_rests(sent)]
    return broken


def _broken_limit(sent: _Sent, statement: Statement) -> list[str]:
    told_at = sent.told_at(LIMIT, statement)
    times = [
        arrival.at
        for arrival in sent.arrivals
        if statement.began_at + STABLE_S <= arrival.at <= statement.ended_at
        and arrival.at >= told_at.get(sent.process_of(arrival), math.inf) + TOLD_S
        and not sent.is_excused(arrival)
    ]
    got = max((sum(at <= t < at + WINDOW_S for t in times) for at in times), default=0)
    return [f"{statement} got {got} within {WINDOW_S} s"] if got > statement.allowed else []


def _broken_leaving(sent: _Sent, statement: Statement) -> list[str]:
    told_at = sent.told_at(LEAVING, statement)
    late = [
        arrival.request_id
        for arrival in sent.arrivals
        if statement.began_at <= arrival.at <= statement.ended_at
        and sent.sent_at(arrival) > told_at.get(sent.process_of(arrival), math.inf) + DRAIN_S
        and not sent.is_excused(arrival)
    ]
    return [f"{statement} was sent {late}"] if late else []


CHECK_BY_WORD: dict[Word, Callable[[_Sent, Statement], list[str]]] = {
    Word.LIMIT: _broken_limit,
    Word.LEAVE: _broken_leaving,
}


def _broken_rests(sent: _Sent) -> list[str]:
    times_by_process: dict[tuple[str, int], list[float]] = {}
    for arrival in sent.arrivals:
        if not sent.is_excused(arrival):
            times_by_process.setdefault(sent.process_of(arrival), []).append(arrival.at)
    broken = []
    for answer in sent.answers:
        rest = first_header(answer.notices, RETRY_AFTER)
        if rest is None:
            continue
        times = times_by_process.get(sent.process_of(answer), [])
        begin, end = answer.at + TOLD_S, answer.at + float(rest)
        count = bisect_right(times, end) - bisect_right(times, begin)
        if count > MOST_IN_A_REST:
            broken.append(f"asked {sent.process_of(answer)} for {rest!r} and got {count}")
    return broken


def unused_engines(fleet: Fleet, attempts: list[Attempt]) -> list[str]:
    """Return a line for each engine that a process with enough requests has not used lately."""
    since = trio.current_time() - USED_S
    served = Counter(
        (a.router, a.lifetime) for a in attempts if a.status == 200 and a.sent_at >= since
    )
    broken = []
    for engine in fleet.engines:
        sent = _Sent(fleet, engine, attempts)
        users = {sent.process_of(arrival) for arrival in sent.arrivals if arrival.at >= since}
        unused = [process for process, n in served.items() if n >= ENOUGH and process not in users]
        broken += [f"{engine.name} is not used by {process}" for process in unused]
    return broken


def never_ended(fleet: Fleet) -> list[str]:
    """Return a line for each limit that a router still keeps to, by its process's lines."""
    broken = []
    lives = {_life_of(fleet, engine) for engine in fleet.engines}
    for router in fleet.routers:
        in_force = {
            line["upstream"]: line["per_s"]
            for line in router.lines()
            if line.get("event") == "upstream-limit" and line["incarnation"] in lives
        }
        broken += [
            f"{router.name} keeps to {per_s} a second of {upstream} long after its end"
            for upstream, per_s in in_force.items()
            if per_s is not None
        ]
    return broken
