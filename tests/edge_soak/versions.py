"""Streams that callers resume while engines of several software versions serve, during faults."""

import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from random import Random

import msgspec
import trio

from railtide.http.client import PeerPool
from railtide.http.errors import HttpError
from railtide.http.messages import HttpRequest
from railtide.standins.platform import PlatformEngine
from tests.edge_soak.callers import TOKENS_IN, TOKENS_OUT, Callers
from tests.edge_soak.faults import FAULTS, PlannedFault
from tests.edge_soak.fleet import ACCOUNT, EVENTS, GOOD_ENGINE, Fleet, World, api_key
from tests.edge_soak.series import SERIES

__all__ = [
    "FIRST_WITH_LOSS_OF_ALL",
    "LOSS_OF_ALL",
    "OTHER_FAULTS",
    "STREAMERS",
    "VERSIONS",
    "clear_labels",
    "Stream",
    "Streams",
    "is_calm_version",
    "label_engines",
    "mixed_streams",
    "plan_versions",
    "poor_resumption",
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
OK = 200
EVENT_END = b"\n\n"


@dataclass
class Stream:
    """One stream over all attempts of its caller.

    Attributes
    ----------
    began : str
        Id of the attempt that brought the first event; empty before it.
    resumed, gone_on : int
        Attempts that resumed it, and those that brought another event.
    """

    events: list[bytes] = field(default_factory=list)
    began: str = ""
    resumed: int = 0
    gone_on: int = 0

    @property
    def versions(self) -> set[bytes]:
        """The software versions whose events it holds."""
        return {event.rpartition(b"@")[2] for event in self.events}

    @property
    def is_in_order(self) -> bool:
        """Whether it has each event once and in order, as far as it was received."""
        ids = [event.partition(b"\n")[0] for event in self.events]
        return ids == [b"id: %d" % number for number in range(1, len(ids) + 1)]


@dataclass
class Streams:
    """Callers that begin streams, leave them and resume them at any router."""

    callers: Callers
    streams: list[Stream] = field(default_factory=list)
    attempts: int = 0
    _pool_by_router: dict[str, PeerPool] = field(default_factory=dict)

    async def run(self) -> None:
        """Begin one stream after another, for ever."""
        while True:
            stream = Stream()
            self.streams.append(stream)
            with trio.move_on_after(DEADLINE_S):
                for _ in range(ATTEMPTS):
                    await self._attempt(stream)
                    if len(stream.events) >= EVENTS:
                        break
                    await trio.sleep(self.callers.rng.uniform(0, 0.2))
            await trio.sleep(self.callers.rng.uniform(0, 0.1))

    async def _attempt(self, stream: Stream) -> None:
        self.attempts += 1
        name, known = f"stream{self.attempts}", len(stream.events)
        router = await self.callers.choose()
        pool = self._pool_by_router.setdefault(
            router.name, PeerPool("127.0.0.1", router.calls.port)
        )
        leaves = self.callers.rng.random() < LEAVE_SHARE
        last = known + self.callers.rng.randint(1, EVENTS) if leaves else math.inf
        stream.resumed += bool(known)
        try:
            await self._read(stream, pool, self._request(name, stream), last)
        except HttpError:
            pass  # the stream broke; the next attempt resumes it
        if len(stream.events) > known:
            stream.began = stream.began or name
            stream.gone_on += bool(known)

    def _request(self, name: str, stream: Stream) -> HttpRequest:
        resumption = (
            (b"last-event-id", b"%d" % len(stream.events)),
            (b"resumes", stream.began.encode()),
        )
        headers = (
            (b"host", b"h.example"),
            (b"x-attempt-id", name.encode()),
            (b"x-deadline-ms", b"%d" % (DEADLINE_S * 1000)),
            (b"x-credential", api_key(ACCOUNT, self.callers.fleet.version).encode()),
            (b"x-token-count", b"%d,%d" % (TOKENS_IN, TOKENS_OUT)),
            *(resumption if stream.events else ()),
        )
        return HttpRequest(b"POST", b"/resume/x", headers, b"body")

    @staticmethod
    async def _read(stream: Stream, pool: PeerPool, request: HttpRequest, last: float) -> None:
        exchange = await pool.send(request)
        try:
            if exchange.status != OK:
                return
            rest = b""
            async for chunk in exchange.chunks():
                *events, rest = (rest + chunk).split(EVENT_END)
                stream.events += events
                if len(stream.events) >= last:
                    return
        finally:
            exchange.abandon()


def versions_world_of(seed: int) -> World:
    """Return the size of a seed's world."""
    return CROWD if seed % CROWD_EVERY == CROWD_AT else SMALL


def is_calm_version(seed: int) -> bool:
    """Return whether a seed has no fault of engines or the store."""
    return seed % CALM_EVERY == 0


def clear_labels(fleet: Fleet) -> None:
    """Have the engines answer as in the other kinds of seeds."""
    for engine in fleet.engines:
        engine.script = GOOD_ENGINE


def label_engines(fleet: Fleet) -> None:
    """Have each event name the software version that wrote it."""
    for engine, version in zip(fleet.engines, fleet.world.versions, strict=True):
        engine.script = replace(GOOD_ENGINE, label=f"@{version}")


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
    engine.script = replace(engine.script, label=f"@{version}")
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


def mixed_streams(streams: list[Stream]) -> list[str]:
    """Return lines for streams out of order, and if too many hold events of two versions."""
    disordered = [stream for stream in streams if not stream.is_in_order]
    lines = [f"a stream is out of order: {stream.events}" for stream in disordered]
    mixed = [stream for stream in streams if len(stream.versions) > 1]
    if len(mixed) > MAX_MIXED:
        lines.append(f"{len(mixed)} streams hold events of two versions, such as {mixed[0].events}")
    return lines


def poor_resumption(streams: list[Stream]) -> list[str]:
    """Return a line if too few resumed attempts went on."""
    resumed = sum(stream.resumed for stream in streams)
    gone_on = sum(stream.gone_on for stream in streams)
    begun = sum(1 for stream in streams if stream.events)
    least = MIN_RESUMED_SHARE * begun / max(1, len(streams))
    if resumed < MIN_RESUMED or gone_on >= least * resumed:
        return []
    return [f"{gone_on} of {resumed} resumed attempts went on; {begun} of {len(streams)} began"]
