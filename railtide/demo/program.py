"""The program `railtide-demo`: runs scaled-down workloads of both users and prints tables."""

import sys
from random import Random

import trio
from pydantic import BaseModel, Field

from railtide.demo.deployment import Account, Deployment, Plan, start_deployment
from railtide.demo.report import account_rows, format_table
from railtide.demo.workload import Caller, Outcomes, run_callers
from railtide.settings import run_program, validate_settings
from railtide.standins.faults import Fault, FaultKind
from railtide.telemetry.logs import set_up_logs

__all__ = ["demo", "main"]

PREFIX = "RAILTIDE_DEMO"
SEED = 12
SETTLE_S = 2.0

BORTOLINI = Plan(
    name="Bortolini: a dawn of route briefings, pothole reports and crew alerts",
    domains=("a", "b", "c", "d"),
    routers=4,
    engines=5,
    services=4,
    model="briefing",
    service="dispatch",
    once="book",
    accounts=(
        Account("alerts", 200_000, {"urgency": "urgent", "exposure_percent": 100}),
        Account("briefings", 400_000, {"weight": 2, "exposure_percent": 100}),
        Account("crews", 50_000, {"urgency": "urgent", "exposure_percent": 100}),
    ),
)
BORTOLINI_CALLERS = [
    Caller("alerts", 0.25, (5, 12)),
    Caller("briefings", 0.1, (40, 120)),
    Caller("crews", 0.4, (0, 0), stream=False),
]
PANTRY = Plan(
    name="Pantry Compact: a day of three rival meal-kit firms",
    domains=("a", "b", "c"),
    routers=3,
    engines=6,
    services=3,
    model="recipes",
    service="packing",
    once="change",
    accounts=(
        Account("firm-one", 300_000),
        Account("firm-two", 3_000, {"exposure_percent": 25}),
        Account("firm-three", 100_000, {"urgency": "urgent"}),
    ),
)
PANTRY_CALLERS = [
    Caller("firm-one", 0.12, (30, 90)),
    Caller("firm-two", 0.2, (20, 60)),
    Caller("firm-three", 0.25, (8, 20)),
    Caller("firm-one", 0.5, (0, 0), stream=False),
]


class DemoSettings(BaseModel):
    """Validated settings of the demo."""

    seconds: float = Field(ge=2, le=3600)


def demo(*, seconds: float = 12.0, outage: bool = True, log_level: str = "WARNING") -> None:
    """Run both users' workloads through stand-ins, keepers and routers of this process.

    Prints a table for each. With an outage, the platform's log is down for a sixth of each
    workload's time.

    :param seconds: length of each workload, seconds
    :param outage: take the log down in the middle of each workload
    :param log_level: minimum level of log lines
    """
    settings = validate_settings(DemoSettings, seconds=seconds)
    set_up_logs("railtide-demo", log_level)
    for plan, callers in ((BORTOLINI, BORTOLINI_CALLERS), (PANTRY, PANTRY_CALLERS)):
        trio.run(_run_plan, plan, callers, settings.seconds, outage)


async def _run_plan(plan: Plan, callers: list[Caller], seconds: float, outage: bool) -> None:
    rng = Random(SEED)
    async with trio.open_nursery() as nursery:
        _print_progress(f"starting {plan.routers} instances, {plan.engines} engines")
        deployment = await start_deployment(plan, nursery, rng)
        _print_progress(f"serving for {seconds:.0f} s")
        if outage:
            nursery.start_soon(_fail_log, deployment, seconds)
        outcomes = await run_callers(deployment, callers, seconds, rng)
        await trio.sleep(SETTLE_S)
        _print_table(deployment, outcomes)
        nursery.cancel_scope.cancel()


async def _fail_log(deployment: Deployment, seconds: float) -> None:
    await trio.sleep(seconds / 2)
    _print_progress("the log is down")
    deployment.log_faults.set(Fault(FaultKind.DOWN))
    await trio.sleep(seconds / 6)
    deployment.log_faults.clear()
    _print_progress("the log is up again")


def _print_table(deployment: Deployment, outcomes: dict[str, Outcomes]) -> None:
    print(format_table(deployment.plan.name, account_rows(deployment, outcomes)) + "\n", flush=True)


def _print_progress(what: str) -> None:
    print(f"  {what}", file=sys.stderr, flush=True)


def main() -> None:
    """Run the program."""
    run_program(demo, PREFIX)


if __name__ == "__main__":
    main()
