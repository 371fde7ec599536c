"""Uneven demand: an account that keeps to a router with a narrow link, engines of uneven pace."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random

import trio

from railtide.budgets.allocation_sizing import LedgerOptions
from railtide.budgets.ledger import Holding, Ledger, committed, ledger_from_bytes
from railtide.platform.program import LEDGER_PARTITIONS
from railtide.standins.platform import EngineScript, PlatformEngine
from tests.edge_soak.callers import CALLER_TIMEOUT_S, KINDS, TOKENS_IN, TOKENS_OUT, Attempt, Callers
from tests.edge_soak.checks import OK, spent, started_requests
from tests.edge_soak.faults import FAULT_WINDOW_S, FAULTS, PlannedFault
from tests.edge_soak.fleet import ACCOUNT, EVENTS, Fleet, Router, World

__all__ = [
    "DEMANDS",
    "LEDGER_TOPIC",
    "OTHER_FAULTS",
    "OUTAGE",
    "Demand",
    "demands_world_of",
    "is_calm_demand",
    "is_interrupted",
    "leave_all",
    "plan_demands",
    "poor_shares",
    "set_speeds",
    "unsettled",
    "vary_pace",
]

LEDGER_TOPIC = LedgerOptions().topic
LARGE_ACCOUNT = "large"
RATE_BY_ACCOUNT = {ACCOUNT: 5.0, "u": 5.0, LARGE_ACCOUNT: 25.0}
"""Requests a second. The large account is 70% of all, at one router."""
SURGE_FACTOR = 3.0
"""Several times the usual; the narrow link then takes less than what is asked."""
BODY_BYTES = (700, 700, 700, 2_400, 2_400, 9_200)
NARROW_MBPS = 1.5
"""The large account's requests and answers take half of it."""
PREPAID = (2_000, 100_000)
"""Budgets: one that is always spent, one that never is."""
CALM_EVERY = 2
"""Seeds divisible by this have only surges and outages of the store, and the large budget."""
OUTAGE = "store-down"
OUTAGE_S = (2.0, 4.0)
SURGE_S = (1.0, 2.5)
MAX_OTHER_FAULTS = 4
PACE_STEP_S = 0.6
SLOW_SHARE = 0.15
USUAL_PACE, SLOW_PACE = 100, 250
"""Of the map service's upstreams: for 15% of the time, work takes 2.5 times as long."""
SPEEDS = (0.55, 0.8, 1.2)
"""Lasting speeds of the engines, which they don't state."""
REFUSED = 503
"""Of all refusals that a caller repeats."""
MAX_WAIT_SHARE = 1 / 3
"""Part of its remaining time for which a caller honours Retry-After."""
LEAVE_S = 20.0
MIN_SHARE = 0.5
"""Share of each account's requests that calm seeds must serve. An outage of the store needs no
refusals, since routers hold units for 10 s of the traffic that they saw. In a surge the narrow link
carries two thirds of what is asked."""
INTERRUPTING_FAULTS = {"kill", "kill-all", "leave"}
"""After which units may be written off: those of a router that died, or that left while it lent."""


async def _surge(fleet: Fleet, rng: Random, duration_s: float) -> None:
    fleet.surges += 1
    await trio.sleep(duration_s)
    fleet.surges -= 1


DEMANDS: dict[str, Callable[[Fleet, Random, float], Awaitable[None]]] = {"surge": _surge}
OTHER_FAULTS = sorted(set(FAULTS) - {"engine-link", "spoilt-engine", "unlisted-engine"})


def is_calm_demand(seed: int) -> bool:
    """Return whether a seed has no faults but outages of the store."""
    return seed % CALM_EVERY == 0


def is_interrupted(seed: int) -> bool:
    """Return whether a router dies or leaves during a seed."""
    return any(planned.name in INTERRUPTING_FAULTS for planned in plan_demands(seed))


def demands_world_of(seed: int) -> World:
    """Return the size of a seed's world."""
    prepaid = PREPAID[-1] if is_calm_demand(seed) else Random(f"budget {seed}").choice(PREPAID)
    return World(
        routers=4,
        engines=len(SPEEDS),
        prepaid=prepaid,
        accounts=tuple(RATE_BY_ACCOUNT),
        narrow=2,
        narrow_mbps=NARROW_MBPS,
    )


def plan_demands(seed: int) -> list[PlannedFault]:
    """Return the surges, outages and other faults of a seed, ordered by their begin."""
    rng = Random(f"demands {seed}")
    planned = [_draw(rng, [OUTAGE], *OUTAGE_S)]
    planned += [_draw(rng, ["surge"], *SURGE_S) for _ in range(rng.randint(1, 2))]
    if not is_calm_demand(seed):
        planned += [
            _draw(rng, OTHER_FAULTS, 0.2, 3.0) for _ in range(rng.randint(1, MAX_OTHER_FAULTS))
        ]
    return sorted(planned, key=lambda fault: fault.at)


def _draw(rng: Random, names: list[str], min_s: float, max_s: float) -> PlannedFault:
    at, duration_s = rng.uniform(1.0, FAULT_WINDOW_S), rng.uniform(min_s, max_s)
    return PlannedFault(
        rng.choice(names), round(at, 2), round(duration_s, 2), rng.randrange(1 << 30)
    )


def set_speeds(fleet: Fleet) -> None:
    """Give each engine a lasting speed of its own."""
    for engine, speed in zip(fleet.engines, SPEEDS, strict=True):
        engine.script = EngineScript(events=EVENTS, gap_s=0.03 / speed)


async def vary_pace(engine: PlatformEngine, rng: Random) -> None:
    """Slow an engine down now and then, for ever, and have it state that."""
    while True:
        engine.pace = SLOW_PACE if rng.random() < SLOW_SHARE else USUAL_PACE
        await trio.sleep(PACE_STEP_S)


@dataclass
class Demand:
    """The callers of all accounts, each at a rate that doesn't depend on the answers.

    Attributes
    ----------
    served_by_account : dict of str to list of bool
        Of each request, whether it was served by its first or second try.
    """

    callers: Callers
    served_by_account: dict[str, list[bool]] = field(
        default_factory=lambda: {account: [] for account in RATE_BY_ACCOUNT}
    )

    async def run(self) -> None:
        """Send requests for ever."""
        async with trio.open_nursery() as nursery:
            for account in RATE_BY_ACCOUNT:
                nursery.start_soon(self._run_account, account)

    async def _run_account(self, account: str) -> None:
        fleet, rng = self.callers.fleet, self.callers.rng
        async with trio.open_nursery() as nursery:
            while True:
                is_large = account == LARGE_ACCOUNT
                router = fleet.routers[-1] if is_large else await self.callers.choose()
                nursery.start_soon(self._call, router, account)
                factor = SURGE_FACTOR if is_large and fleet.surges else 1.0
                await trio.sleep(rng.expovariate(RATE_BY_ACCOUNT[account] * factor))

    async def _call(self, router: Router, account: str) -> None:
        """Send a request, once more if it is refused, and record whether it was served."""
        rng = self.callers.rng
        pool = self.callers.pool_of(router)
        kind = rng.choice(KINDS)
        body = (b"%d " % len(self.callers.attempts)).ljust(rng.choice(BODY_BYTES), b"x")
        attempt = await self.callers.call(router, pool, kind, body, account)
        if attempt.status == REFUSED:
            left_s = CALLER_TIMEOUT_S - (attempt.ended_at - attempt.sent_at)
            await trio.sleep(min(attempt.retry_after_s, left_s * MAX_WAIT_SHARE))
            attempt = await self.callers.call(router, pool, kind, body, account)
        self.served_by_account[account].append(attempt.status == OK)


def poor_shares(served_by_account: dict[str, list[bool]]) -> list[str]:
    """Return a line for each account of which less than a share was served."""
    return [
        f"of {len(served)} requests of {account} {sum(served)} were served"
        for account, served in served_by_account.items()
        if sum(served) < MIN_SHARE * len(served)
    ]


async def leave_all(fleet: Fleet) -> None:
    """Have all routers leave: first those that may have borrowed units from the others."""
    wide = len(fleet.routers) - fleet.world.narrow
    for routers in (fleet.routers[wide:], fleet.routers[:wide]):
        with trio.fail_after(LEAVE_S):
            async with trio.open_nursery() as nursery:
                for router in routers:
                    nursery.start_soon(router.leave)


def unsettled(fleet: Fleet, callers: Callers, interrupted: bool) -> list[str]:
    """Return a line for each account whose units aren't accounted for once all routers have left.

    Parameters
    ----------
    interrupted : bool
        Whether units may be written off. Otherwise what the ledger counts may exceed what callers
        received only by what broken answers left unread.
    """
    broken = []
    ran = set(started_requests(fleet))
    for account in fleet.world.accounts:
        attempts = [a for a in callers.attempts if a.account == account]
        used, counted = spent(fleet, attempts), committed(_ledger_of(fleet, account))
        unread = sum(_unread(a, a.request_id in ran) for a in attempts)
        broken += [
            f"{account}: {router.name} left and holds units: {holding}"
            for router in fleet.routers
            if (holding := _holding_of(fleet, account, router)) and holding.granted > holding.spent
        ]
        if counted < used or not interrupted and counted > used + unread:
            broken.append(
                f"{account}: {counted} units counted, {used} spent, at most {unread} unread"
            )
    return broken


def _unread(attempt: Attempt, ran: bool) -> int:
    """Return the most units of an attempt that routers may count beyond what `spent` does."""
    if attempt.status == OK and attempt.whole:
        return 0
    if ran:
        return TOKENS_OUT
    return TOKENS_IN + TOKENS_OUT if attempt.status in (0, OK) else 0


def _holding_of(fleet: Fleet, account: str, router: Router) -> Holding | None:
    """Return what the router's last process holds; None if an earlier, killed one holds it."""
    incarnation = next(line["incarnation"] for line in router.lines() if line["event"] == "started")
    holding = _ledger_of(fleet, account).by_instance.get(router.name)
    return holding if holding and holding.incarnation == incarnation else None


def _ledger_of(fleet: Fleet, account: str) -> Ledger:
    parts = [
        fleet.store.topic(LEDGER_TOPIC, number).newest_by_key for number in range(LEDGER_PARTITIONS)
    ]
    values = [newest[account].value for newest in parts if account in newest]
    return ledger_from_bytes(values[0]) if values else Ledger()
