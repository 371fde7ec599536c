"""Ends of answers: by the close of their connections, by killed engines, and copies beside them."""

from collections.abc import Awaitable, Callable
from dataclasses import replace
from random import Random

import trio

from railtide.standins.answers import Framing
from tests.edge_soak.faults import PlannedFault
from tests.edge_soak.fleet import GOOD_ENGINE, EngineServer, Fleet
from tests.edge_soak.proxy import LinkFault, PathCut

__all__ = ["ALL_ENDINGS", "ENDINGS", "WITHOUT_KILLS", "WITHOUT_LINKS", "plan_endings"]

WINDOW_S = 6.0
MAX_KILLS = 2
"""Three engines that end during one request can't be told from ones that it crashes."""
CLOSE_S = 0.02
"""Until a link refuses connections."""
MIN_DOWN_S, MAX_DOWN_S = 0.5, 2.0
MAX_WAIT_S = 2.0
COPIED_SHARE = 0.3
UNFRAMED = replace(GOOD_ENGINE, framing=Framing.CLOSE, halves_events=True)


async def _unframed(fleet: Fleet, rng: Random, duration_s: float) -> None:
    """Have only the close of their connections end answers, whose events come in halves."""
    for engine in fleet.engines:
        engine.unframed = True
    for crashing in fleet.crashing:
        crashing.script = UNFRAMED
    await trio.sleep(duration_s)
    for engine in fleet.engines:
        engine.unframed = False
    for crashing in fleet.crashing:
        crashing.script = GOOD_ENGINE


async def _kill_unframed(fleet: Fleet, rng: Random, duration_s: float) -> None:
    """Kill some engines within such answers."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_unframed, fleet, rng, duration_s)
        killed = rng.sample(fleet.servers, min(MAX_KILLS, len(fleet.servers)))
        for server in killed:
            await trio.sleep(rng.uniform(0.1, duration_s / MAX_KILLS))
            nursery.start_soon(_kill, fleet, server, rng.uniform(MIN_DOWN_S, MAX_DOWN_S))


async def _kill(fleet: Fleet, server: EngineServer, down_s: float) -> None:
    """Kill an engine once no link to it has a fault, and restart it under its id.

    One that is leaving ends by itself.
    """
    links = fleet.links_to(server.engine)
    with trio.move_on_after(MAX_WAIT_S) as waiting:
        while any(link.cut_by or link.fault is not LinkFault.NONE for link in links):
            await trio.sleep(CLOSE_S)
    if waiting.cancelled_caught or server.engine.leaving:
        return
    for link in links:
        link.cut(PathCut.NEW_REFUSED)
    await trio.sleep(CLOSE_S)
    server.kill()
    await trio.sleep(down_s)
    server.restart()
    while not server.is_running:
        await trio.sleep(CLOSE_S)
    for link in links:
        if link.cut_by is PathCut.NEW_REFUSED:
            link.heal()
    if not server.engine.leaving:
        fleet.put_reborn(server.engine)


async def _copy(fleet: Fleet, rng: Random, duration_s: float) -> None:
    """Have an engine send copies of some answers where the next ones are due."""
    server = rng.choice(fleet.servers)
    server.is_repeated = lambda answer: rng.random() < COPIED_SHARE
    await trio.sleep(duration_s)
    server.is_repeated = lambda answer: False


ENDINGS: dict[str, Callable[[Fleet, Random, float], Awaitable[None]]] = {
    "unframed": _unframed,
    "unframed-kill": _kill_unframed,
    "late-copies": _copy,
}
ALL_ENDINGS = ("unframed-kill", "late-copies")
WITHOUT_KILLS = ("unframed", "late-copies")
WITHOUT_LINKS = ("unframed",)


def plan_endings(seed: int, names: tuple[str, ...] = ALL_ENDINGS) -> list[PlannedFault]:
    """Return one fault of each name, ordered by their begin."""
    rng = Random(f"endings {seed}")
    planned = [
        PlannedFault(
            name,
            round(rng.uniform(0.5, WINDOW_S), 2),
            round(rng.uniform(1.0, 4.0), 2),
            rng.randrange(1 << 30),
        )
        for name in names
    ]
    return sorted(planned, key=lambda fault: fault.at)
