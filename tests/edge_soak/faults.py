"""Faults of the soak: each is injected, lasts for a while and is then removed."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random

import msgspec
import trio

from railtide.standins.answers import Framing
from railtide.standins.platform import EngineScript
from tests.edge_soak.fleet import EVENTS, GOOD_ENGINE, Fleet, Router
from tests.edge_soak.proxy import Link, LinkFault

__all__ = [
    "FAULTS",
    "FIRST_WITH_LATER_FAULTS",
    "LATER_FAULTS",
    "PlannedFault",
    "clear_faults",
    "plan_faults",
]

FAULT_WINDOW_S = 8.0
"""Time within which faults begin."""
MIN_FAULTS = 5
MAX_FAULTS = 16
FIRST_WITH_LATER_FAULTS = 4000
"""Smaller seeds are older than `LATER_FAULTS` and draw none, so that their plans stay the same."""
MAX_LATER_FAULTS = 4
FOREIGN_CONTENTS = (
    b"",
    b"\x09abc",
    b"\x02\xff\xfev",
    b"\x02xxnot json",
    b'\x02xx{"service": "s", "state": "confused"}',
)
"""Records of other writers in a topic: without a key, with a key longer than the record, with a key
that is not UTF-8, and with values that are no entry."""
FAULTY_SCRIPTS = (
    EngineScript(status=500),
    EngineScript(not_run=True),
    EngineScript(events=EVENTS, gap_s=0.03, break_after=3),
    EngineScript(events=EVENTS, gap_s=0.03, wrong_id=True),
    EngineScript(events=EVENTS, gap_s=0.03, unsigned=True),
    EngineScript(events=EVENTS, gap_s=0.6),
    EngineScript(events=EVENTS, gap_s=0.03, break_after=3, framing=Framing.LENGTH),
    EngineScript(events=EVENTS, gap_s=0.03, break_after=3, partial_event_bytes=0, reset=True),
    EngineScript(events=EVENTS, gap_s=0.03, framing=Framing.CLOSE),
    EngineScript(events=EVENTS, gap_s=0.03, extra=True),
    EngineScript(events=EVENTS, gap_s=0.03, framing=Framing.CLOSE, extra=True),
)
"""Faulty behaviours of an engine. None truncates a body without a length: the links turn an
engine's reset into an orderly close, after which a truncated plain answer looks complete."""


@dataclass(frozen=True)
class PlannedFault:
    """One fault of a seed: its name, begin and duration in seconds, and the seed of its choices."""

    name: str
    at: float
    duration_s: float
    seed: int


def plan_faults(seed: int) -> list[PlannedFault]:
    """Return the faults of a seed, ordered by their begin."""
    rng = Random(seed)
    count = rng.randint(MIN_FAULTS, MAX_FAULTS)
    drawn = [_draw(rng, sorted(FAULTS)) for _ in range(count)]
    if seed >= FIRST_WITH_LATER_FAULTS:
        drawn += _plan_later_faults(seed)
    return sorted(drawn, key=lambda fault: fault.at)


def _plan_later_faults(seed: int) -> list[PlannedFault]:
    """Return a seed's later faults, from a generator of their own."""
    rng = Random(f"later {seed}")
    return [_draw(rng, sorted(LATER_FAULTS)) for _ in range(rng.randint(1, MAX_LATER_FAULTS))]


def _draw(rng: Random, names: list[str]) -> PlannedFault:
    """Return a fault with one of the names; the order of the draws defines all seeds and stays."""
    return PlannedFault(
        rng.choice(names),
        round(rng.uniform(0, FAULT_WINDOW_S), 2),
        round(rng.uniform(0.2, 3.0), 2),
        rng.randrange(1 << 30),
    )


async def _replace(router: Router, end: Callable[[], Awaitable[None]], duration_s: float) -> None:
    """End a router's process and start another, unless it is being restarted already."""
    if router.changing.locked():
        return
    async with router.changing:
        await end()
        await trio.sleep(duration_s / 4)
        await router.start()


async def _kill(fleet: Fleet, rng: Random, duration_s: float) -> None:
    router = rng.choice(fleet.routers)
    await _replace(router, router.kill, duration_s)


async def _kill_all(fleet: Fleet, rng: Random, duration_s: float) -> None:
    async with trio.open_nursery() as nursery:
        for router in fleet.routers:
            nursery.start_soon(_replace, router, router.kill, duration_s)


async def _leave(fleet: Fleet, rng: Random, duration_s: float) -> None:
    router = rng.choice(fleet.routers)
    if await router.is_ready():
        await _replace(router, router.leave, duration_s)


async def _pause(fleet: Fleet, rng: Random, duration_s: float) -> None:
    await rng.choice(fleet.routers).pause(duration_s)


async def _disturb(link: Link, rng: Random, duration_s: float) -> None:
    link.set_fault(rng.choice([fault for fault in LinkFault if fault is not LinkFault.NONE]))
    await trio.sleep(duration_s)
    link.set_fault(LinkFault.NONE)


async def _disturb_store_link(fleet: Fleet, rng: Random, duration_s: float) -> None:
    await _disturb(rng.choice(fleet.routers).store, rng, duration_s)


async def _disturb_all_store_links(fleet: Fleet, rng: Random, duration_s: float) -> None:
    async with trio.open_nursery() as nursery:
        for router in fleet.routers:
            nursery.start_soon(_disturb, router.store, rng, duration_s)


async def _disturb_caller_link(fleet: Fleet, rng: Random, duration_s: float) -> None:
    await _disturb(rng.choice(fleet.routers).calls, rng, duration_s)


async def _disturb_engine_link(fleet: Fleet, rng: Random, duration_s: float) -> None:
    await _disturb(rng.choice(fleet.engine_links), rng, duration_s)


async def _replace_engine_script(fleet: Fleet, rng: Random, duration_s: float) -> None:
    engine = rng.choice(fleet.engines)
    engine.script = rng.choice(FAULTY_SCRIPTS)
    await trio.sleep(duration_s)
    engine.script = GOOD_ENGINE


async def _unlist_engine(fleet: Fleet, rng: Random, duration_s: float) -> None:
    """Remove an engine's record and write it again, as when it expires."""
    await _overwrite_entry(fleet, rng, duration_s, b"")


async def _overwrite_entry(fleet: Fleet, rng: Random, duration_s: float, value: bytes) -> None:
    """Overwrite an engine's record for a while."""
    name = rng.choice(fleet.engines).name
    record = fleet.store.topic("keyed.servers").newest_by_key.get(name)
    if record is None:
        return
    fleet.store.put("keyed.servers", name, value)
    await trio.sleep(duration_s)
    fleet.store.put("keyed.servers", name, record.value)


async def _store_down(fleet: Fleet, rng: Random, duration_s: float) -> None:
    fleet.store.down = True
    await trio.sleep(duration_s)
    fleet.store.down = False


async def _store_slow(fleet: Fleet, rng: Random, duration_s: float) -> None:
    fleet.store.delay_s = 0.25
    await trio.sleep(duration_s)
    fleet.store.delay_s = 0.0


async def _lose_answers(fleet: Fleet, rng: Random, duration_s: float) -> None:
    fleet.store.lose_answers += rng.randint(1, 6)


async def _late_appends(fleet: Fleet, rng: Random, duration_s: float) -> None:
    fleet.store.late_appends += rng.randint(1, 6)
    await trio.sleep(duration_s)
    fleet.store.apply_late_appends()


async def _compact_topics(fleet: Fleet, rng: Random, duration_s: float) -> None:
    for topic in ("keyed.op", "keyed.servers"):
        fleet.store.topic(topic).compact()


async def _publish(fleet: Fleet, rng: Random, duration_s: float) -> None:
    for _ in range(rng.randint(1, 3)):
        fleet.publish()
        await trio.sleep(rng.uniform(0, 0.3))


FAULTS: dict[str, Callable[[Fleet, Random, float], Awaitable[None]]] = {
    "kill": _kill,
    "kill-all": _kill_all,
    "leave": _leave,
    "pause": _pause,
    "store-link": _disturb_store_link,
    "all-store-links": _disturb_all_store_links,
    "caller-link": _disturb_caller_link,
    "engine-link": _disturb_engine_link,
    "spoilt-engine": _replace_engine_script,
    "unlisted-engine": _unlist_engine,
    "store-down": _store_down,
    "store-slow": _store_slow,
    "answers-lost": _lose_answers,
    "appends-late": _late_appends,
    "history-forgotten": _compact_topics,
    "publish": _publish,
}


async def _foreign_records(fleet: Fleet, rng: Random, duration_s: float) -> None:
    """Write records that no router can use to topics that routers read."""
    for _ in range(rng.randint(1, 6)):
        topic = rng.choice(["keyed.op", "keyed.servers", "keyed.railtide-roster"])
        fleet.store.put_raw(topic, rng.choice(FOREIGN_CONTENTS))
        await trio.sleep(rng.uniform(0, 0.3))


async def _corrupt_entry(fleet: Fleet, rng: Random, duration_s: float) -> None:
    """Overwrite an engine's entry for a while with one that can't be read."""
    await _overwrite_entry(fleet, rng, duration_s, b"[]")


async def _restart_engine(fleet: Fleet, rng: Random, duration_s: float) -> None:
    """Have an engine drain and restart under its id, and write both records once more."""
    name = rng.choice(fleet.engines).name
    record = fleet.store.topic("keyed.servers").newest_by_key.get(name)
    entry = _entry_of(record.value) if record else None
    if not entry:
        return
    born = entry.get("born", 0)
    leaving = entry | {"state": "draining"}
    fleet.store.put("keyed.servers", name, msgspec.json.encode(leaving))
    await trio.sleep(duration_s)
    reborn = entry | {"state": "ready", "born": born + 1}
    fleet.store.put("keyed.servers", name, msgspec.json.encode(reborn))
    fleet.store.put("keyed.servers", name, msgspec.json.encode(leaving))
    fleet.store.put("keyed.servers", name, msgspec.json.encode(reborn))


def _entry_of(value: bytes) -> dict[str, object] | None:
    entry = msgspec.json.decode(value)
    return entry if isinstance(entry, dict) else None


LATER_FAULTS: dict[str, Callable[[Fleet, Random, float], Awaitable[None]]] = {
    "foreign-records": _foreign_records,
    "spoilt-entry": _corrupt_entry,
    "born-anew": _restart_engine,
}


def clear_faults(fleet: Fleet) -> None:
    """Remove the faults that may outlast their injection."""
    fleet.store.lose_answers = 0
    fleet.store.late_appends = 0
    fleet.store.apply_late_appends()
