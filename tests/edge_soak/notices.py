"""Engines that advertise limits, ask for rests and leave, during signals, restarts and faults."""

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
from tests.edge_soak.faults import FAULTS, PlannedFault
from tests.edge_soak.fleet import Fleet, World
from tests.edge_soak.series import SERIES

__all__ = [
    "NOTICES",
    "NOTICE_EXPIRY_S",
    "OTHER_FAULTS",
    "Statement",
    "broken_notices",
    "clear_notices",
    "lingering_limits",
    "notices_world_of",
    "plan_notices",
    "unused_engines",
]

SMALL = World(routers=4, engines=3, callers=10, stayers=6, prepaid=400_000)
CROWD = World(routers=24, engines=4, callers=20, stayers=30, pause_s=1.0, prepaid=400_000)
CROWD_EVERY = 10
CROWD_AT = 7
"""Seeds with this remainder have as many routers as the machine can run beside two other seeds."""
MAX_BEGIN_S = 4.0
MAX_DURATION_S = 12.0
MAX_OTHER_FAULTS = 5
LIMIT_SETTLE_S = 3.0
"""After a limit is first advertised, until the engine's arrivals are counted."""
NOTICE_DELAY_S = 0.5
"""After an answer with a notice, until its router must act on it."""
WINDOW_S = 4.0
DRAIN_S = 2.0
"""After an answer with a notice of leaving, until its router may send the engine nothing."""
MAX_SENT_IN_REST = 2
RESUME_GRACE_S = 5.0
"""After a router was stopped or continued, while its requests don't count."""
NOTICE_EXPIRY_S = 20.0
"""After the last notice has ended, until each router uses all engines again."""
USAGE_WINDOW_S = 8.0
"""Window in which each engine must be used."""
MIN_REQUESTS = 60
"""Requests of one process in this window above which it must have used each engine."""
LIMIT, LEAVING, RETRY_AFTER = b"server-limit", b"server-leaving", b"retry-after"


class NoticeKind(StrEnum):
    """Kind of an engine's notice."""

    LIMIT = "limit"
    REST = "rest"
    LEAVE = "leave"


@dataclass
class Statement:
    """A notice that an engine sent for a while, in trio time; `per_s` is a limit's rate."""

    kind: NoticeKind
    engine: str
    began_at: float
    per_s: float = 0.0
    ended_at: float = math.inf

    @property
    def allowed(self) -> float:
        """Most arrivals within `WINDOW_S` under the limit."""
        return 1.5 * WINDOW_S * self.per_s + 5


def notices_world_of(seed: int) -> World:
    """Return the size of a seed's world."""
    return CROWD if seed % CROWD_EVERY == CROWD_AT else SMALL


async def _state_limit(fleet: Fleet, rng: Random, duration_s: float) -> None:
    """Have an engine without a limit advertise one for a while."""
    free = [engine for engine in fleet.engines if engine.limit is None]
    if not free:
        return
    engine = rng.choice(free)
    statement = _record_statement(fleet, NoticeKind.LIMIT, engine)
    statement.per_s = round(rng.uniform(0.3, 6.0), 1)
    engine.limit = str(statement.per_s)
    await trio.sleep(duration_s)
    engine.limit = None
    statement.ended_at = trio.current_time()


async def _ask_for_rest(fleet: Fleet, rng: Random, duration_s: float) -> None:
    """Have an engine repeatedly refuse all requests and ask for rests, for a while."""
    engine = rng.choice(fleet.engines)
    ends_at = trio.current_time() + duration_s / 2
    while trio.current_time() < ends_at:
        engine.rest = f"{rng.uniform(0.3, 4.0):.2f}"
        await trio.sleep(rng.uniform(0.2, 3.0))
        engine.rest = None
        await trio.sleep(rng.uniform(0.0, 0.5))


async def _leave(fleet: Fleet, rng: Random, duration_s: float) -> None:
    """Have an engine announce that it leaves, its record only later or never, and restart it."""
    staying = [engine for engine in fleet.engines if not engine.leaving]
    if not staying:
        return
    engine = rng.choice(staying)
    statement = _record_statement(fleet, NoticeKind.LEAVE, engine)
    engine.leaving = True
    await trio.sleep(duration_s / 2)
    if rng.random() < 0.5:
        _write(fleet, engine, state="draining")
    await trio.sleep(duration_s / 2)
    _restart(fleet, engine)
    statement.ended_at = trio.current_time()


def _record_statement(fleet: Fleet, kind: NoticeKind, engine: PlatformEngine) -> Statement:
    statement = Statement(kind, engine.name, trio.current_time())
    fleet.statements.append(statement)
    return statement


def _restart(fleet: Fleet, engine: PlatformEngine) -> None:
    """Start a new incarnation of an engine under its id, which doesn't leave."""
    engine.leaving = False
    _write(fleet, engine, state="ready", born=_entry_of(fleet, engine).get("born", 0) + 1)


def _write(fleet: Fleet, engine: PlatformEngine, **fields: object) -> None:
    entry = _entry_of(fleet, engine) | fields
    fleet.store.put("keyed.servers", engine.name, msgspec.json.encode(entry))


def _entry_of(fleet: Fleet, engine: PlatformEngine) -> dict[str, object]:
    record = fleet.store.topic("keyed.servers").newest_by_key[engine.name]
    return msgspec.json.decode(record.value)


def _incarnation_of(fleet: Fleet, engine: PlatformEngine) -> str:
    born = _entry_of(fleet, engine).get("born", 0)
    return f"{engine.name}/{born}" if born else engine.name


NOTICES: dict[str, Callable[[Fleet, Random, float], Awaitable[None]]] = {
    "limit": _state_limit,
    "rest": _ask_for_rest,
    "departure": _leave,
}
OTHER_FAULTS = sorted(set(SERIES) | set(FAULTS) - {"engine-link", "unlisted-engine"})
"""All but faults that delay requests on their way to an engine or write its older record."""


def plan_notices(seed: int) -> list[PlannedFault]:
    """Return the notices, series and faults of a seed, ordered by their begin."""
    rng = Random(f"notices {seed}")
    planned = [
        _draw(rng, sorted(NOTICES), rng.uniform(LIMIT_SETTLE_S + WINDOW_S, MAX_DURATION_S))
        for _ in range(rng.randint(1, 6))
    ]
    planned += [
        _draw(rng, OTHER_FAULTS, rng.uniform(0.3, 3.0))
        for _ in range(rng.randint(0, MAX_OTHER_FAULTS))
    ]
    return sorted(planned, key=lambda fault: fault.at)


def _draw(rng: Random, names: list[str], duration_s: float) -> PlannedFault:
    at = round(rng.uniform(0, MAX_BEGIN_S), 2)
    return PlannedFault(rng.choice(names), at, round(duration_s, 2), rng.randrange(1 << 30))


def clear_notices(fleet: Fleet) -> None:
    """End the notices that engines still send."""
    for engine in fleet.engines:
        engine.limit = engine.rest = None
        if engine.leaving:
            _restart(fleet, engine)


class _EngineTraffic:
    """Arrivals and answers of an engine, attributed to the router processes."""

    def __init__(self, fleet: Fleet, engine: PlatformEngine, attempts: list[Attempt]) -> None:
        self._stops_by_router = {router.name: router.stops for router in fleet.routers}
        self._by_id = {attempt.request_id: attempt for attempt in attempts}
        self.arrivals = engine.arrivals
        self.answers = engine.answers
        self._restarts = [
            statement.ended_at
            for statement in fleet.statements
            if statement.kind is NoticeKind.LEAVE and statement.engine == engine.name
        ]

    def replaced_at(self, at: float) -> float:
        """Return when the incarnation that runs at a time is replaced; infinite if it isn't."""
        return min((restart for restart in self._restarts if restart > at), default=math.inf)

    def process_of(self, event: EngineEvent) -> tuple[str, int]:
        """Return the router that sent the request, and the lifetime of its process."""
        attempt = self._by_id[event.request_id]
        return (attempt.router, attempt.lifetime)

    def sent_at(self, event: EngineEvent) -> float:
        """Return when the caller sent the request."""
        return self._by_id[event.request_id].sent_at

    def is_excused(self, event: EngineEvent) -> bool:
        """Return whether the request's router was stopped or continued shortly before."""
        stops = self._stops_by_router[self.process_of(event)[0]]
        return any(stopped <= event.at <= stopped + RESUME_GRACE_S for stopped in stops)

    def notified_at(self, name: bytes, statement: Statement) -> dict[tuple[str, int], float]:
        """Return when each process first got the notice in a header while it was in force."""
        first_at: dict[tuple[str, int], float] = {}
        for answer in self.answers:
            is_within = statement.began_at <= answer.at <= statement.ended_at
            if is_within and first_header(answer.notices, name):
                first_at.setdefault(self.process_of(answer), answer.at)
        return first_at


def broken_notices(fleet: Fleet, attempts: list[Attempt]) -> list[str]:
    """Return a line for each notice that a router violated."""
    sent_by_engine = {
        engine.name: _EngineTraffic(fleet, engine, attempts) for engine in fleet.engines
    }
    broken = []
    for statement in fleet.statements:
        sent = sent_by_engine[statement.engine]
        broken += CHECK_BY_KIND[statement.kind](sent, statement)
    for name, sent in sent_by_engine.items():
        broken += [f"{name} {line}" for line in _broken_rests(sent)]
    return broken


def _broken_limit(sent: _EngineTraffic, statement: Statement) -> list[str]:
    notified_at = sent.notified_at(LIMIT, statement)
    times = [
        arrival.at
        for arrival in sent.arrivals
        if statement.began_at + LIMIT_SETTLE_S <= arrival.at <= statement.ended_at
        and arrival.at >= notified_at.get(sent.process_of(arrival), math.inf) + NOTICE_DELAY_S
        and not sent.is_excused(arrival)
    ]
    got = max((sum(at <= t < at + WINDOW_S for t in times) for at in times), default=0)
    return [f"{statement} got {got} within {WINDOW_S} s"] if got > statement.allowed else []


def _broken_leaving(sent: _EngineTraffic, statement: Statement) -> list[str]:
    notified_at = sent.notified_at(LEAVING, statement)
    late = [
        arrival.request_id
        for arrival in sent.arrivals
        if statement.began_at <= arrival.at <= statement.ended_at
        and sent.sent_at(arrival) > notified_at.get(sent.process_of(arrival), math.inf) + DRAIN_S
        and not sent.is_excused(arrival)
    ]
    return [f"{statement} was sent {late}"] if late else []


CHECK_BY_KIND: dict[NoticeKind, Callable[[_EngineTraffic, Statement], list[str]]] = {
    NoticeKind.LIMIT: _broken_limit,
    NoticeKind.LEAVE: _broken_leaving,
}


def _broken_rests(sent: _EngineTraffic) -> list[str]:
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
        begin = answer.at + NOTICE_DELAY_S
        end = min(answer.at + float(rest), sent.replaced_at(answer.at))
        count = bisect_right(times, end) - bisect_right(times, begin)
        if count > MAX_SENT_IN_REST:
            broken.append(
                f"asked {sent.process_of(answer)} for a rest of {rest!r} s and got {count} requests"
            )
    return broken


def unused_engines(fleet: Fleet, attempts: list[Attempt]) -> list[str]:
    """Return a line for each engine that a process with enough requests didn't use lately."""
    since = trio.current_time() - USAGE_WINDOW_S
    served = Counter(
        (a.router, a.lifetime) for a in attempts if a.status == 200 and a.sent_at >= since
    )
    broken = []
    for engine in fleet.engines:
        sent = _EngineTraffic(fleet, engine, attempts)
        users = {sent.process_of(arrival) for arrival in sent.arrivals if arrival.at >= since}
        unused = [
            process for process, n in served.items() if n >= MIN_REQUESTS and process not in users
        ]
        broken += [f"{engine.name} is not used by {process}" for process in unused]
    return broken


def lingering_limits(fleet: Fleet) -> list[str]:
    """Return a line for each limit that a router still applies, by its process's log lines."""
    broken = []
    incarnations = {_incarnation_of(fleet, engine) for engine in fleet.engines}
    for router in fleet.routers:
        in_force = {
            line["upstream"]: line["per_s"]
            for line in router.lines()
            if line.get("event") == "upstream-limit" and line["incarnation"] in incarnations
        }
        broken += [
            f"{router.name} still applies {per_s} a second to {upstream} long after it ended"
            for upstream, per_s in in_force.items()
            if per_s is not None
        ]
    return broken
