"""A part of prompts that crashes each engine that begins to answer it, during faults."""

from dataclasses import replace
from random import Random

import trio

from railtide.http.client import PeerPool
from tests.edge_soak.callers import KINDS, Attempt, Callers
from tests.edge_soak.crashes import CRASH_WORLD, is_held
from tests.edge_soak.fleet import ACCOUNT, Fleet

__all__ = [
    "PARTS_WORLD",
    "broken_part_containment",
    "send_with_bad_part",
    "send_with_sound_parts",
]

PARTS_WORLD = replace(CRASH_WORLD, crashing_parts=(b"bad",))
BAD = PARTS_WORLD.crashing_parts[0]
FIRST = b"first"
SECONDS = 6
"""Parts that sound requests share, beside the first one."""
SEND_INTERVAL_S = 0.3
SOUND_INTERVAL_S = 0.1
MAX_CRASHES = 4
MAX_LATE_ARRIVALS = 3
BAD_BODY = b"with the bad part "
REFUSED = 503


async def send_with_bad_part(callers: Callers, rng: Random, seconds: float) -> None:
    """Send requests with the bad part, no two alike, to any router, on one kind of route."""
    kind = rng.choice(KINDS)
    async with trio.open_nursery() as nursery:
        for _ in range(round(seconds / SEND_INTERVAL_S)):
            number = len(callers.attempts)
            parts = b"%s:800,%s:200,own%d:50" % (FIRST, BAD, number)
            _send(nursery, callers, rng, kind, BAD_BODY + b"%d" % number, parts)
            await trio.sleep(SEND_INTERVAL_S)


async def send_with_sound_parts(callers: Callers, rng: Random, seconds: float) -> None:
    """Send requests that share all parts but the bad one, on all kinds of routes."""
    async with trio.open_nursery() as nursery:
        for _ in range(round(seconds / SOUND_INTERVAL_S)):
            number = len(callers.attempts)
            parts = b"%s:800,second%d:200,own%d:50" % (FIRST, rng.randrange(SECONDS), number)
            _send(nursery, callers, rng, rng.choice(KINDS), b"sound %d" % number, parts)
            await trio.sleep(SOUND_INTERVAL_S)


def _send(
    nursery: trio.Nursery, callers: Callers, rng: Random, kind: str, body: bytes, parts: bytes
) -> None:
    router = rng.choice(callers.fleet.routers)
    pool = PeerPool("127.0.0.1", router.calls.port)
    headers = ((b"x-prompt-prefix", parts),)
    nursery.start_soon(callers.call, router, pool, kind, body, ACCOUNT, headers)


def broken_part_containment(
    fleet: Fleet, attempts: list[Attempt], known_at: float, calm: bool
) -> list[str]:
    """Return a line for each violation; see `crashes.broken_containment`."""
    arrivals = [a for engine in fleet.crashing for a in engine.arrivals if BAD in a.parts]
    late = [arrival for arrival in arrivals if arrival.at > known_at]
    crashes = sum(engine.crashes for engine in fleet.crashing)
    most = MAX_CRASHES + len(fleet.routers)
    broken = [
        f"{a.request_id} ({a.sent_body!r}) was held though it crashes no engine"
        for a in attempts
        if a.status == REFUSED and not a.sent_body.startswith(BAD_BODY) and is_held(a)
    ]
    if len(late) > MAX_LATE_ARRIVALS:
        broken.append(f"requests with a held part were sent to engines {len(late)} more times")
    if calm and crashes > most:
        broken.append(f"one part crashed {crashes} engines")
    return broken
