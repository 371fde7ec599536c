"""Engines that repeat answers late, or send bytes without end, during series and faults."""

from collections.abc import Awaitable, Callable
from dataclasses import replace
from random import Random

import trio

from railtide.standins.endless_answers import Flood
from railtide.standins.platform import EngineRun, EngineScript, PlatformEngine
from tests.edge_soak.faults import PlannedFault
from tests.edge_soak.fleet import GOOD_ENGINE, Fleet
from tests.edge_soak.series import plan_series

__all__ = ["ANSWERS", "FLOODS_SEED", "clear_answers", "plan_answers", "unstopped_runs"]

MIN_FAULTS = 2
MAX_FAULTS = 5
WINDOW_S = 6.0
MAX_FLOOD_S = 1.0
FLOOD_PAUSE_S = 0.005
STOP_S = 0.4
"""How soon an engine must be told to stop once its request goes on at another one."""
FLOODS_SEED = 41_000
LONG_ANSWER = replace(GOOD_ENGINE, gap_s=0.15)
"""Takes longer than `STOP_S`, so that an engine that isn't told to stop shows."""
FLOODS = (
    Flood.NOISE,
    Flood.HEAD_LINE,
    Flood.HEAD_LINES,
    Flood.INFORMATIONAL,
    Flood.BODY_IN_CHUNKS,
    Flood.BODY_IN_TINY_CHUNKS,
    Flood.CHUNK_EXTENSION,
    Flood.TRAILERS,
    Flood.EVENT,
    Flood.FOREIGN_ANSWER,
    Flood.REFUSAL,
)
"""Those without a complete event, so that whatever a caller received can be checked."""


async def _repeat_answers(fleet: Fleet, rng: Random, duration_s: float) -> None:
    """Have engines repeat some of their answers where the next one is due."""
    share = rng.choice([0.1, 0.5, 1.0])
    for server in fleet.servers:
        server.engine.script = LONG_ANSWER
        server.is_repeated = lambda answer: rng.random() < share
    await trio.sleep(duration_s)
    clear_answers(fleet)


async def _repeat_refusals(fleet: Fleet, rng: Random, duration_s: float) -> None:
    """Have an engine refuse some requests, and repeat some of the refusals."""
    server = rng.choice(fleet.servers)
    engine = server.engine
    server.is_repeated = lambda answer: b" 503 " in answer[:16] and rng.random() < 0.5
    ends_at = trio.current_time() + duration_s
    while trio.current_time() < ends_at:
        engine.next_scripts = [replace(GOOD_ENGINE, not_run=rng.random() < 0.7) for _ in range(4)]
        await trio.sleep(0.05)
    engine.next_scripts = []
    clear_answers(fleet)


async def _flood(fleet: Fleet, rng: Random, duration_s: float) -> None:
    """Have an engine send bytes without end in place of its answers, fast or slowly."""
    await _flood_from([rng.choice(fleet.engines)], rng, duration_s)


async def _floods(fleet: Fleet, rng: Random, duration_s: float) -> None:
    """Have two or more engines do so at the same time, sometimes all."""
    count = rng.randint(2, len(fleet.engines))
    await _flood_from(rng.sample(fleet.engines, count), rng, duration_s)


async def _flood_from(engines: list[PlatformEngine], rng: Random, duration_s: float) -> None:
    pause_s = rng.choice([0.0, FLOOD_PAUSE_S])
    for engine in engines:
        engine.script = EngineScript(flood=rng.choice(FLOODS), flood_pause_s=pause_s)
    await trio.sleep(duration_s if pause_s else min(duration_s, MAX_FLOOD_S))
    for engine in engines:
        engine.script = GOOD_ENGINE


ANSWERS: dict[str, Callable[[Fleet, Random, float], Awaitable[None]]] = {
    "repeated-answers": _repeat_answers,
    "repeated-refusals": _repeat_refusals,
    "flood": _flood,
    "floods": _floods,
}


def plan_answers(seed: int) -> list[PlannedFault]:
    """Return the series and faults of a seed, and those of answers, ordered by their begin.

    Seeds from `FLOODS_SEED` on have at least one fault of several engines.
    """
    rng = Random(f"answers {seed}")
    planned = plan_series(seed)
    has_floods = seed >= FLOODS_SEED
    names = [name for name in sorted(ANSWERS) if name != "floods" or has_floods]
    count = rng.randint(MIN_FAULTS, MAX_FAULTS)
    for number in range(count):
        name, at, length = rng.choice(names), rng.uniform(0, WINDOW_S), rng.uniform(1, 4)
        if has_floods and number == 0:
            name = "floods"
        planned.append(PlannedFault(name, round(at, 2), round(length, 2), rng.randrange(1 << 30)))
    return sorted(planned, key=lambda fault: fault.at)


def clear_answers(fleet: Fleet) -> None:
    """Have the engines answer each request once."""
    for server in fleet.servers:
        server.engine.script = GOOD_ENGINE
        server.is_repeated = lambda answer: False


def unstopped_runs(fleet: Fleet) -> list[str]:
    """Return a line for each engine that was left at work while another one ran the request.

    Only for seeds whose faults cut no connection between routers and engines.
    """
    runs_by_id: dict[str, list[EngineRun]] = {}
    for engine in fleet.engines:
        for run in engine.runs:
            runs_by_id.setdefault(run.request_id, []).append(run)
    broken = []
    for request_id, runs in runs_by_id.items():
        runs.sort(key=lambda run: run.began_at)
        for run, later in zip(runs, runs[1:], strict=False):
            overlap_s = min(run.ended_at, later.ended_at) - later.began_at
            if overlap_s > STOP_S:
                broken.append(f"{request_id} ran at two engines at once for {overlap_s:.2f} s")
    return broken
