"""The faults of the soak, each strikes for a while and is then taken back."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random

import msgspec
import trio

from railtide.standins.answers import Framing
from railtide.standins.platform import EngineScript
from tests.edge_soak.fleet import EVENTS, GOOD_ENGINE, Fleet, Router
from tests.edge_soak.proxy import Link, LinkFault

__all__ = ["FAULTS", "FIRST_WITH_LATER_FAULTS", "LATER_FAULTS", "Planned", "heal", "plan_of"]

LENGTH_S = 8.0
"""Time in which faults begin."""
LEAST_FAULTS = 5
MOST_FAULTS = 16
FIRST_WITH_LATER_FAULTS = 4000
"""Seeds below it were played before some faults were known, and stay what they were."""
MOST_LATER_FAULTS = 4
FOREIGN_CONTENTS = (
    b"",
    b"\x09abc",
    b"\x02\xff\xfev",
    b"\x02xxnot json",
    b'\x02xx{"service": "s", "state": "confused"}',
)
"""What another writer leaves in a topic: no key, a key beyond the record, one that is no text, and
values that are no entry."""
BAD_SCRIPTS = (
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
"""How an engine answers for a while. None cuts a body without length: the links make an orderly
close of an engine's reset, behind which a plain answer that is cut looks whole to anyone."""


@dataclass(frozen=True)
class Planned:
    """One fault of a seed: its name, begin and length in seconds, and the seed of its choices."""

    name: str
    at: float
    length: float
    seed: int


def plan_of(seed: int) -> list[Planned]:
    """Return the faults of a seed in the order of their begin."""
    rng = Random(seed)
    count = rng.randint(LEAST_FAULTS, MOST_FAULTS)
    made = [_drawn(rng, sorted(FAULTS)) for _ in range(count)]
    if seed >= FIRST_WITH_LATER_FAULTS:
        made += _later_plan_of(seed)
    return sorted(made, key=lambda planned: planned.at)


def _later_plan_of(seed: int) -> list[Planned]:
    """Return the faults that came to the soak later, of a draw of their own."""
    rng = Random(f"later {seed}")
    return [_drawn(rng, sorted(LATER_FAULTS)) for _ in range(rng.randint(1, MOST_LATER_FAULTS))]


def _drawn(rng: Random, names: list[str]) -> Planned:
    """Return a fault of one of the names; the order of the draws is that of all seeds before."""
    return Planned(
        rng.choice(names),
        round(rng.uniform(0, LENGTH_S), 2),
        round(rng.uniform(0.2, 3.0), 2),
        rng.randrange(1 << 30),
    )


async def _replace(router: Router, end: Callable[[], Awaitable[None]], length: float) -> None:
    """End a router's process and start another, unless that is under way already."""
    if router.changing.locked():
        return
    async with router.changing:
        await end()
        await trio.sleep(length / 4)
        await router.start()


async def _kill(fleet: Fleet, rng: Random, length: float) -> None:
    router = rng.choice(fleet.routers)
    await _replace(router, router.kill, length)


async def _kill_all(fleet: Fleet, rng: Random, length: float) -> None:
    async with trio.open_nursery() as nursery:
        for router in fleet.routers:
            nursery.start_soon(_replace, router, router.kill, length)


async def _leave(fleet: Fleet, rng: Random, length: float) -> None:
    router = rng.choice(fleet.routers)
    if await router.is_ready():
        await _replace(router, router.leave, length)


async def _pause(fleet: Fleet, rng: Random, length: float) -> None:
    await rng.choice(fleet.routers).pause(length)


async def _harm(link: Link, rng: Random, length: float) -> None:
    link.set_fault(rng.choice([fault for fault in LinkFault if fault is not LinkFault.NONE]))
    await trio.sleep(length)
    link.set_fault(LinkFault.NONE)


async def _harm_store_link(fleet: Fleet, rng: Random, length: float) -> None:
    await _harm(rng.choice(fleet.routers).store, rng, length)


async def _harm_all_store_links(fleet: Fleet, rng: Random, length: float) -> None:
    async with trio.open_nursery() as nursery:
        for router in fleet.routers:
            nursery.start_soon(_harm, router.store, rng, length)


async def _harm_caller_link(fleet: Fleet, rng: Random, length: float) -> None:
    await _harm(rng.choice(fleet.routers).calls, rng, length)


async def _harm_engine_link(fleet: Fleet, rng: Random, length: float) -> None:
    await _harm(rng.choice(fleet.engine_links), rng, length)


async def _spoil_engine(fleet: Fleet, rng: Random, length: float) -> None:
    engine = rng.choice(fleet.engines)
    engine.script = rng.choice(BAD_SCRIPTS)
    await trio.sleep(length)
    engine.script = GOOD_ENGINE


async def _unlist_engine(fleet: Fleet, rng: Random, length: float) -> None:
    """Remove an engine's record and bring it back, as when it lapses."""
    await _overwrite_entry(fleet, rng, length, b"")


async def _overwrite_entry(fleet: Fleet, rng: Random, length: float, value: bytes) -> None:
    """Write over an engine's record for a while."""
    name = rng.choice(fleet.engines).name
    record = fleet.store.topic("keyed.servers").newest_by_key.get(name)
    if record is None:
        return
    fleet.store.put("keyed.servers", name, value)
    await trio.sleep(length)
    fleet.store.put("keyed.servers", name, record.value)


async def _store_down(fleet: Fleet, rng: Random, length: float) -> None:
    fleet.store.down = True
    await trio.sleep(length)
    fleet.store.down = False


async def _store_slow(fleet: Fleet, rng: Random, length: float) -> None:
    fleet.store.delay_s = 0.25
    await trio.sleep(length)
    fleet.store.delay_s = 0.0


async def _lose_answers(fleet: Fleet, rng: Random, length: float) -> None:
    fleet.store.lose_answers += rng.randint(1, 6)


async def _late_appends(fleet: Fleet, rng: Random, length: float) -> None:
    fleet.store.late_appends += rng.randint(1, 6)
    await trio.sleep(length)
    fleet.store.apply_late_appends()


async def _forget(fleet: Fleet, rng: Random, length: float) -> None:
    for topic in ("keyed.op", "keyed.servers"):
        fleet.store.topic(topic).compact()


async def _publish(fleet: Fleet, rng: Random, length: float) -> None:
    for _ in range(rng.randint(1, 3)):
        fleet.publish()
        await trio.sleep(rng.uniform(0, 0.3))


FAULTS: dict[str, Callable[[Fleet, Random, float], Awaitable[None]]] = {
    "kill": _kill,
    "kill-all": _kill_all,
    "leave": _leave,
    "pause": _pause,
    "store-link": _harm_store_link,
    "all-store-links": _harm_all_store_links,
    "caller-link": _harm_caller_link,
    "engine-link": _harm_engine_link,
    "spoilt-engine": _spoil_engine,
    "unlisted-engine": _unlist_engine,
    "store-down": _store_down,
    "store-slow": _store_slow,
    "answers-lost": _lose_answers,
    "appends-late": _late_appends,
    "history-forgotten": _forget,
    "publish": _publish,
}


async def _foreign_records(fleet: Fleet, rng: Random, length: float) -> None:
    """Leave records that no router can use in every topic that routers read."""
    for _ in range(rng.randint(1, 6)):
        topic = rng.choice(["keyed.op", "keyed.servers", "keyed.railtide-roster"])
        fleet.store.put_raw(topic, rng.choice(FOREIGN_CONTENTS))
        await trio.sleep(rng.uniform(0, 0.3))


async def _spoil_entry(fleet: Fleet, rng: Random, length: float) -> None:
    """Write what can't be read over an engine's entry, until it tells again."""
    await _overwrite_entry(fleet, rng, length, b"[]")


async def _bear_anew(fleet: Fleet, rng: Random, length: float) -> None:
    """Have an engine drain and start again under its id."""
    name = rng.choice(fleet.engines).name
    record = fleet.store.topic("keyed.servers").newest_by_key.get(name)
    entry = _entry_of(record.value) if record else None
    if not entry:
        return
    born = entry.get("born", 0)
    leaving = entry | {"state": "draining"}
    fleet.store.put("keyed.servers", name, msgspec.json.encode(leaving))
    await trio.sleep(length)
    reborn = entry | {"state": "ready", "born": born + 1}
    fleet.store.put("keyed.servers", name, msgspec.json.encode(reborn))
    fleet.store.put("keyed.servers", name, msgspec.json.encode(leaving))
    fleet.store.put("keyed.servers", name, msgspec.json.encode(reborn))


def _entry_of(value: bytes) -> dict[str, object] | None:
    entry = msgspec.json.decode(value)
    return entry if isinstance(entry, dict) else None


LATER_FAULTS: dict[str, Callable[[Fleet, Random, float], Awaitable[None]]] = {
    "foreign-records": _foreign_records,
    "spoilt-entry": _spoil_entry,
    "born-anew": _bear_anew,
}


def heal(fleet: Fleet) -> None:
    """Take back what may still be in force when all faults have ended."""
    fleet.store.lose_answers = 0
    fleet.store.late_appends = 0
    fleet.store.apply_late_appends()
