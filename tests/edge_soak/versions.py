"""Streams that callers resume while engines of several software versions serve, during faults."""

from collections.abc import Awaitable, Callable
from dataclasses import replace
from random import Random

import msgspec
import trio

from railtide.standins.platform import PlatformEngine
from tests.edge_soak.callers import RESUMABLE, Attempt, Callers
from tests.edge_soak.faults import FAULTS, PlannedFault
from tests.edge_soak.fleet import EVENTS, Fleet, World
from tests.edge_soak.series import SERIES

__all__ = [
    "FIRST_WITH_LOSS_OF_ALL",
    "LOSS_OF_ALL",
    "OTHER_FAULTS",
    "STAYERS",
    "STREAMERS",
    "ATTEMPTS",
    "DEADLINE_S",
    "LEAVE_SHARE",
    "MAX_MIXED",
    "VERSIONS",
    "is_calm_version",
    "plan_versions",
    "poor_resumption",
    "stream_for_ever",
    "versions_world_of",
]

SMALL = World(
    routers=4,
    engines=5,
    callers=0,
    prepaid=400_000,
    versions=("v1", "v1", "v2", "v2", "v2"),
)
CROWD = replace(SMALL, routers=20)
CROWD_EVERY = 10
CROWD_AT = 7
"""Seeds with this remainder have as many routers as the machine can run beside two other seeds."""
CALM_EVERY = 3
"""Seeds divisible by this have routers that are killed or leave, one or all, and no other fault."""
STREAMERS = 24
STAYERS = 6
"""Of the streamers."""
DEADLINE_S = 6.0
ATTEMPTS = 4
LEAVE_SHARE = 0.5
"""Share of the attempts whose caller leaves in the middle of the stream."""
MAX_BEGIN_S = 8.0
MAX_FAULTS = 8
MAX_MIXED = 2
"""Streams with events of two versions that the users permit."""
MIN_RESUMED = 12
MIN_RESUMED_SHARE = 0.5
"""Least share of resumed attempts that go on, of the share of new streams that begin."""


async def stream_for_ever(callers: Callers, stays: bool) -> None:
    """Begin streams, leave many of them, and resume them at any router.

    One that stays begins all its streams at one router until that doesn't answer.
    """
    router = None
    while True:
        if router is None or not stays:
            router = await callers.choose()
        attempts = [await callers.ask(router, callers.pool_of(router), RESUMABLE)]
        router = router if attempts[0].status else None
        await callers.resume(attempts)
        await trio.sleep(callers.rng.uniform(0, 0.1))


def versions_world_of(seed: int) -> World:
    """Return the size of a seed's world."""
    return CROWD if seed % CROWD_EVERY == CROWD_AT else SMALL


def is_calm_version(seed: int) -> bool:
    """Return whether a seed has no fault of engines or the store."""
    return seed % CALM_EVERY == 0


async def _break_streams(fleet: Fleet, rng: Random, duration_s: float) -> None:
    """Have some engines break each stream off after a few events."""
    broken = rng.sample(fleet.engines, rng.randint(1, len(fleet.engines)))
    for engine in broken:
        engine.script = replace(engine.script, break_after=rng.randint(1, EVENTS - 1))
    await trio.sleep(duration_s)
    for engine in broken:
        engine.script = replace(engine.script, break_after=-1)


async def _release(fleet: Fleet, rng: Random, duration_s: float) -> None:
    """Replace some engines, one after the other, by ones of another version with a new id."""
    version = rng.choice(("v1", "v2", "v3"))
    for engine in rng.sample(fleet.engines, rng.randint(1, len(fleet.engines) - 1)):
        await _replace(fleet, engine, version, duration_s / 2)


async def _replace(fleet: Fleet, engine: PlatformEngine, version: str, drain_s: float) -> None:
    record = fleet.store.topic("keyed.servers").newest_by_key.get(engine.name)
    entry = msgspec.json.decode(record.value) if record else {}
    if not isinstance(entry, dict) or entry.get("state") != "ready":
        return
    leaving = msgspec.json.encode(entry | {"state": "draining"})
    fleet.store.put("keyed.servers", engine.name, leaving)
    await trio.sleep(drain_s)
    fleet.store.put("keyed.servers", engine.name, b"")
    engine.name = f"{engine.name}n"
    engine.version = version
    started = entry | {"version": version, "state": "ready"}
    fleet.store.put("keyed.servers", engine.name, msgspec.json.encode(started))


VERSIONS: dict[str, Callable[[Fleet, Random, float], Awaitable[None]]] = {
    "broken-streams": _break_streams,
    "release": _release,
}
SCRIPT_FAULTS = ("spoilt-engine", "unlisted-engine")
"""Faults that replace the scripts that name versions, or write an engine's former entry again."""
OTHER_FAULTS = {
    name: fault for name, fault in (FAULTS | SERIES).items() if name not in SCRIPT_FAULTS
}
CALM_FAULTS = ("kill", "leave")
LOSS_OF_ALL = "kill-all"
FIRST_WITH_LOSS_OF_ALL = 14_200
"""Smaller seeds are older than the loss of all routers that each seed has, and draw none for it."""


def plan_versions(seed: int) -> list[PlannedFault]:
    """Return the faults of a seed, ordered by their begin; one is a loss of all routers."""
    rng = Random(f"versions {seed}")
    if is_calm_version(seed):
        names = [rng.choice(CALM_FAULTS) for _ in range(3)]
    else:
        names = [rng.choice(sorted(VERSIONS)) for _ in range(rng.randint(1, 3))]
        names += [rng.choice(sorted(OTHER_FAULTS)) for _ in range(rng.randint(1, MAX_FAULTS))]
    drawn = [_draw(rng, name) for name in names]
    if seed >= FIRST_WITH_LOSS_OF_ALL:
        drawn.append(_draw(Random(f"versions, loss of all {seed}"), LOSS_OF_ALL))
    return sorted(drawn, key=lambda fault: fault.at)


def _draw(rng: Random, name: str) -> PlannedFault:
    return PlannedFault(
        name,
        round(rng.uniform(0.5, MAX_BEGIN_S), 2),
        round(rng.uniform(1.0, 4.0), 2),
        rng.randrange(1 << 30),
    )


def poor_resumption(attempts: list[Attempt]) -> list[str]:
    """Return a line if too few resumed attempts went on."""
    of_streams = [attempt for attempt in attempts if attempt.kind == RESUMABLE]
    resumed = [attempt for attempt in of_streams if attempt.resumes]
    gone_on = sum(1 for attempt in resumed if attempt.brings_events)
    streams = {attempt.stream for attempt in of_streams}
    begun = {attempt.stream for attempt in of_streams if attempt.brings_events}
    least = MIN_RESUMED_SHARE * len(begun) / max(1, len(streams))
    if len(resumed) < MIN_RESUMED or gone_on >= least * len(resumed):
        return []
    return [
        f"{gone_on} of {len(resumed)} resumed attempts went on; "
        f"{len(begun)} of {len(streams)} began"
    ]
