"""False refusals and stranded budget for each fault of the matrix.

Run ``python -m bench.faults``. Each fault is injected at the same steps; the table sums them up.
A false refusal is an answer with status not-run for a reason other than an exhausted budget.
"""

from collections import Counter
from functools import partial

import trio
from loguru import logger
from trio.testing import MockClock

from railtide.errors import ExecutionStatus
from tests.matrix.checks import check_all
from tests.matrix.scenario import FAULTS, Trigger, run_cell
from tests.matrix.schedule import fix_schedule
from tests.matrix.world import TEMPLATE, World

OUTAGES = ("none", "router-killed", "router-paused", "instance-cut-off", "log-down")
STEPS = (("grant", "during"), ("bill", "before"), ("mid-stream", "during"))


def main() -> None:
    """Print both tables."""
    logger.remove()
    print("settings of the matrix: grant_horizon_s 4, grant_min 120, exposure_percent 50")
    print_table(("none", *FAULTS), TEMPLATE)
    print("grant_horizon_s 20, grant_min 600, exposure_percent 100")
    generous = {"grant_horizon_s": 20, "grant_min": 600, "exposure_percent": 100}
    print_table(OUTAGES, TEMPLATE | generous)


def print_table(names: tuple[str, ...], template: dict) -> None:
    """Print a line for each fault."""
    print("fault                     attempts  answered  false refusals  wasted  stranded  codes")
    for name in names:
        worlds = [run(name, step, moment, template) for step, moment in STEPS]
        attempts = [attempt for world in worlds for attempt in world.attempts]
        answered = sum(attempt.answered for attempt in attempts)
        refused = Counter(
            a.error.code
            for a in attempts
            if a.error
            and a.error.run is ExecutionStatus.NOT_RUN
            and a.error.code != "budget-exhausted"
        )
        refused.pop("draining", None)
        stranded = sum(sum(world.stranded.values()) for world in worlds)
        wasted = sum(wasted_units(world) for world in worlds)
        codes = ", ".join(f"{code} {count}" for code, count in sorted(refused.items()))
        print(
            f"{name:25s} {len(attempts):8d}  {answered:8d}  {refused.total():14d}"
            f"  {wasted:6d}  {stranded:8d}  {codes}"
        )


def wasted_units(world: World) -> int:
    """Return the units spent without a bill."""
    state = world.keepers["i2"].keeper.state
    return sum(balance.wasted for balance in state.by_account.values())


def run(name: str, step: str, moment: str, template: dict) -> World:
    """Run one cell of the fault matrix and return its world."""
    triggers = [] if name == "none" else [Trigger(step, moment, FAULTS[name])]
    fix_schedule(0)
    clock = MockClock(autojump_threshold=0)
    return trio.run(partial(run_cell, triggers, check_all, template), clock=clock)


if __name__ == "__main__":
    main()
