"""Run seeds of the soak: ``python -m tests.edge_soak.run [first seed] [count]``.

Prints each seed that breaks a promise, with its faults and the folder of its processes' logs, and
ends with 1 if there is one.
"""

import sys
import tempfile
import traceback
from collections.abc import AsyncIterator
from concurrent.futures import ProcessPoolExecutor
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random

import trio
from loguru import logger

from railtide.http.client import PeerPool
from tests.edge_soak.callers import Callers
from tests.edge_soak.checks import OK, broken_promises
from tests.edge_soak.faults import FAULTS, Planned, heal, plan_of
from tests.edge_soak.fleet import Fleet, Router, open_fleet

__all__ = ["run_seed"]

WORKERS = 3
MOST_LINES = 8
"""Broken promises shown of one seed."""
CALLERS = 12
START_S = 30.0
RECOVERY_S = 40.0
"""Within which each router serves again after the last fault; long, for a busy machine."""
SPENDING_S = 4.0
"""Calls after the last fault, so that what is left of the budget is spent: only then does a budget
that was counted too high show."""
TRY_AGAIN_S = 0.2


async def _run(seed: int, folder: Path) -> list[str]:
    async with open_fleet(folder) as fleet:
        await _until_ready(fleet)
        callers = Callers(fleet, Random(seed))
        async with _calling(callers), trio.open_nursery() as striking:
            for planned in plan_of(seed):
                striking.start_soon(_strike, fleet, planned)
        heal(fleet)
        silent = [
            line for router in fleet.routers for line in await _serves(fleet, callers, router)
        ]
        async with _calling(callers):
            await trio.sleep(SPENDING_S)
        return silent + broken_promises(fleet, callers.attempts)


@asynccontextmanager
async def _calling(callers: Callers) -> AsyncIterator[None]:
    """Have all callers call until the end of the block."""
    async with trio.open_nursery() as nursery:
        for _ in range(CALLERS):
            nursery.start_soon(callers.run)
        yield
        nursery.cancel_scope.cancel()


async def _until_ready(fleet: Fleet) -> None:
    with trio.fail_after(START_S):
        for router in fleet.routers:
            while not await router.is_ready():
                await trio.sleep(TRY_AGAIN_S)


async def _strike(fleet: Fleet, planned: Planned) -> None:
    await trio.sleep(planned.at)
    await FAULTS[planned.name](fleet, Random(planned.seed), planned.length)


async def _serves(fleet: Fleet, callers: Callers, router: Router) -> list[str]:
    """Return a line unless the router serves by the newest desired state."""
    fleet.publish()
    with trio.move_on_after(RECOVERY_S):
        while True:
            pool = PeerPool("127.0.0.1", router.calls.port)
            if (await callers.ask(router, pool, "safe")).status == OK:
                return []
            await trio.sleep(TRY_AGAIN_S)
    return [f"{router.name} does not serve {RECOVERY_S} s after the last fault"]


def run_seed(seed: int, folder: str) -> list[str]:
    """Run a seed with its logs in a folder; return what was broken."""
    logger.remove()
    try:
        return trio.run(_run, seed, Path(folder))
    except BaseException:
        return [traceback.format_exc()]


def main() -> int:
    """Run seeds in parallel and report."""
    first = int(sys.argv[1]) if len(sys.argv) > 1 else 0
    count = int(sys.argv[2]) if len(sys.argv) > 2 else 50
    seeds = range(first, first + count)
    folders = [tempfile.mkdtemp(prefix=f"edge-soak-{seed}-") for seed in seeds]
    failed = 0
    with ProcessPoolExecutor(WORKERS, max_tasks_per_child=1) as pool:
        results = pool.map(run_seed, seeds, folders)
        for seed, folder, said in zip(seeds, folders, results, strict=True):
            if said:
                failed += 1
                lines = [*map(str, plan_of(seed)), *said[:MOST_LINES]]
                print(f"seed {seed}, logs in {folder}:", *lines, sep="\n  ", flush=True)
    print(f"{count - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
