"""Plays a deployment: ``python -m tests.deployment.play [--build DIR] [--seed N] ...``.

Prints what broke REFUSED (a request that must not run twice was answered 408, 421, 429 or 503, and
ran), TWICE (such a request ran twice, or any at two engines at once) or ORDER (a stream has
missing, repeated or joined events, or looks complete before its last one), with the routers' lines
on it, and exits with 1 if anything did.
"""

import signal
import sys
import tempfile
from collections import Counter
from collections.abc import Awaitable, Callable
from itertools import count
from pathlib import Path
from random import Random

import defopt
import msgspec
import trio
from loguru import logger

from tests.deployment.fleet import (
    Deployment,
    EngineProcess,
    RouterProcess,
    open_deployment,
    start_callers,
)
from tests.deployment.records import Halt, Recorder, now
from tests.deployment.shape import Disruption, RouterClass, Shape
from tests.deployment.verdict import Verdict, judge, router_lines

__all__ = ["DISRUPTIONS", "SMALL_SHAPE", "SMALL_STREAMS_SHAPE", "STREAMS_SHAPE", "play"]

RULES = ("REFUSED", "TWICE", "ORDER")
MAX_SHOWN = 6
FIRST_RELEASE = 2
RESTART_S = 0.5
MAX_STOP_S = 1.6
SETTLE_S = 3.0
"""Time after the callers' end in which late runs still count."""
STORE_OUT_S = 3.0
ANSWERS: dict[str, Disruption] = {
    "copies": Disruption("copies", 0.05),
    "desk-copies": Disruption("copies", 0.05, "desk"),
    "unproven": Disruption("unproven", 0.01),
    "errors": Disruption("errors", 0.1),
    "lost": Disruption("lost", 0.03),
    "slow": Disruption("slow", 0.3),
    "half": Disruption("half", 0.01, "model"),
    "restarts": Disruption("restarts", 0.1, "model"),
    "skips": Disruption("skips", 0.1, "model"),
    "stream-errors": Disruption("errors", 0.2, "model"),
    "breaks": Disruption("lost", 0.02, "model"),
    "unframed": Disruption("unframed", 0.3, "model"),
    "refusals": Disruption("refusals", 0.2),
    "desk-refusals": Disruption("refusals", 0.2, "desk"),
}
"""Disruptions of engines' answers."""


def _shape(wide: int, small: int, callers: int, pause_s: float) -> Shape:
    """Return a deployment with some routers of each class in each failure domain."""
    classes = zip((wide, small), Shape().routers, strict=True)
    routers = tuple(msgspec.structs.replace(size, per_domain=count) for count, size in classes)
    return Shape(routers=routers, callers=callers, pause_s=pause_s)


SMALL_SHAPE = _shape(1, 1, 40, 0.5)
STREAMS_SHAPE = Shape(
    routers=(RouterClass(4, 1.07, 1.0, 150, 4100, 1000.0),),
    desks=4,
    models=8,
    events=20,
    event_s=0.08,
    callers=50,
    pause_s=0.5,
    versions=("v1", "v1", "v2", "v2"),
)
"""Twelve routers of a middle size, most of whose traffic are streams of two versions."""
SMALL_STREAMS_SHAPE = msgspec.structs.replace(
    STREAMS_SHAPE,
    routers=(msgspec.structs.replace(STREAMS_SHAPE.routers[0], per_domain=1),),
    desks=2,
    models=4,
    callers=20,
)


async def _stop(router: RouterProcess, rng: Random) -> None:
    router.send(signal.SIGSTOP)
    await trio.sleep(rng.uniform(0.05, MAX_STOP_S))
    router.send(signal.SIGCONT)


async def _end(router: RouterProcess, rng: Random) -> None:
    """Shut a router down or kill it, and start it again."""
    process = router.process
    router.send(rng.choice([signal.SIGTERM, signal.SIGKILL]))
    await process.wait()
    await trio.sleep(rng.uniform(0, RESTART_S))
    if process is router.process:
        await router.start()


async def _disrupt_routers(deployment: Deployment, rng: Random) -> None:
    """Stop, shut down and kill routers, most of them the large ones that callers use."""
    while True:
        few = deployment.routers[: max(6, len(deployment.routers) // 8)]
        router = rng.choice(few if rng.random() < 0.8 else deployment.routers)
        disrupt = _stop if rng.random() < 0.6 else _end
        async with trio.open_nursery() as nursery:
            nursery.start_soon(disrupt, router, rng)
            await trio.sleep(rng.uniform(0.1, 1.0))


async def _disrupt_engines(deployment: Deployment, rng: Random) -> None:
    """Stop engines, and kill them and start them again."""
    recorder = Recorder(deployment.folder / "halts.jsonl")
    while True:
        engine = rng.choice(deployment.engines)
        halt = Halt(engine.name, now())
        if rng.random() < 0.5:
            engine.send(signal.SIGSTOP)
            try:
                await trio.sleep(rng.uniform(0.1, MAX_STOP_S))
            finally:
                engine.send(signal.SIGCONT)
                halt.ended_at = now()
                recorder.add(halt)
        else:
            await _restart(engine, recorder, rng)
        await trio.sleep(rng.uniform(0.2, 1.5))


async def _disrupt_store(deployment: Deployment, rng: Random) -> None:
    while True:
        await trio.sleep(rng.uniform(2, 6))
        deployment.store.send_signal(signal.SIGSTOP)
        await trio.sleep(rng.uniform(0.2, STORE_OUT_S))
        deployment.store.send_signal(signal.SIGCONT)


async def _kill_engines(deployment: Deployment, rng: Random) -> None:
    """Kill engines and start them again, one after the other."""
    recorder = Recorder(deployment.folder / "halts.jsonl")
    while True:
        await trio.sleep(rng.uniform(0.3, 1.5))
        engine = rng.choice(deployment.engines)
        await _restart(engine, recorder, rng)


async def _restart(engine: EngineProcess, recorder: Recorder, rng: Random) -> None:
    """Kill an engine and start it again, after another restart of it that is under way."""
    async with engine.restarting:
        halt = Halt(engine.name, now())
        engine.send(signal.SIGKILL)
        recorder.add(halt)
        await engine.process.wait()
        await trio.sleep(rng.uniform(0, RESTART_S))
        await engine.start()


async def _release(deployment: Deployment, rng: Random) -> None:
    """Replace the engines that stream by ones of a newer version, one after the other."""
    recorder = Recorder(deployment.folder / "halts.jsonl")
    streaming = [engine for engine in deployment.engines if engine.plan.spec.events]
    for number in count(FIRST_RELEASE):
        for engine in streaming:
            await trio.sleep(rng.uniform(0.5, 2.0))
            spec = msgspec.structs.replace(engine.plan.spec, version=f"v{number}")
            engine.plan = msgspec.structs.replace(engine.plan, spec=spec)
            await _restart(engine, recorder, rng)


async def _kill_fleet(deployment: Deployment, rng: Random) -> None:
    """Kill all routers at once, and start them again."""
    while True:
        await trio.sleep(rng.uniform(6, 10))
        for router in deployment.routers:
            router.send(signal.SIGKILL)
        for router in deployment.routers:
            await router.process.wait()
        await trio.sleep(rng.uniform(0, RESTART_S))
        for router in deployment.routers:
            await router.start()


async def _lose_domain(deployment: Deployment, rng: Random) -> None:
    """Kill all routers of a failure domain at once, and start them again."""
    while True:
        await trio.sleep(rng.uniform(5, 12))
        first = rng.randrange(3)
        async with trio.open_nursery() as nursery:
            for router in deployment.routers[first::3]:
                nursery.start_soon(_end, router, rng)


PROCESS_DISRUPTIONS: dict[str, Callable[[Deployment, Random], Awaitable[None]]] = {
    "routers": _disrupt_routers,
    "engines": _disrupt_engines,
    "store": _disrupt_store,
    "domain": _lose_domain,
    "killed-engines": _kill_engines,
    "release": _release,
    "fleet": _kill_fleet,
}
DISRUPTIONS = (*ANSWERS, *PROCESS_DISRUPTIONS, "leavers")


async def play(
    folder: Path,
    shape: Shape,
    build: Path,
    disruptions: list[str],
    seed: int,
    length_s: float,
) -> Verdict:
    """Play a deployment and return the verdict."""
    of_answers = tuple(each for name, each in ANSWERS.items() if name in disruptions)
    async with open_deployment(folder, shape, build, of_answers, seed) as deployment:
        await start_callers(deployment, shape, seed, 0.1 if "leavers" in disruptions else 0.0)
        with trio.move_on_after(length_s):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.sleep_forever)
                for name, disrupt in PROCESS_DISRUPTIONS.items():
                    if name in disruptions:
                        nursery.start_soon(disrupt, deployment, Random(f"{seed} {name}"))
        for process in deployment.callers:
            process.kill()
        for each in [*deployment.engines, *deployment.routers]:
            each.send(signal.SIGCONT)
        await trio.sleep(SETTLE_S)
    return judge(folder, shape.events)


def _print(verdict: Verdict, folder: Path) -> None:
    counts = ", ".join(f"{rule} {verdict.of_rule(rule)}" for rule in RULES)
    print(f"{counts}; disorders {verdict.disorders}")
    print(dict(sorted(verdict.counts.items())))
    shown: Counter = Counter()
    for each in verdict.violations:
        shown[each.rule] += 1
        if shown[each.rule] <= MAX_SHOWN:
            print(f"{each.rule} {each.request_id}: {each.detail}")
            print(*router_lines(folder, each.request_id), sep="\n")


def main(
    *,
    build: Path = Path(),
    seed: int = 1,
    length_s: float = 60.0,
    wide: int = 2,
    small: int = 1,
    callers: int = 50,
    pause_s: float = 0.5,
    disruptions: str = "",
    streams: bool = False,
) -> None:
    """Play a deployment.

    Parameters
    ----------
    build : Path
        Checkout whose routers are started.
    seed : int
        Draws the disruptions and the callers' choices.
    length_s : float
        Seconds of traffic.
    wide : int
        Routers of the large class in each failure domain.
    small : int
        Routers of the small class in each failure domain.
    callers : int
        Callers in each failure domain.
    pause_s : float
        Longest pause of a caller between two requests, seconds.
    disruptions : str
        Names separated by commas, among those of `DISRUPTIONS`.
    streams : bool
        Whether to play `STREAMS_SHAPE` in place of the sizes above.
    """
    logger.remove()
    names = [name for name in disruptions.split(",") if name]
    if unknown := set(names) - set(DISRUPTIONS):
        sys.exit(f"unknown disruptions {sorted(unknown)}; known: {', '.join(DISRUPTIONS)}")
    shape = STREAMS_SHAPE if streams else _shape(wide, small, callers, pause_s)
    folder = Path(tempfile.mkdtemp(prefix=f"deployment-{seed}-"))
    print(f"records and logs in {folder}")
    verdict = trio.run(play, folder, shape, build.resolve(), names, seed, length_s)
    _print(verdict, folder)
    sys.exit(1 if verdict.violations else 0)


if __name__ == "__main__":
    defopt.run(main)
