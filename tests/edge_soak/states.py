"""Large desired states over throttled links, during signals, restarts and outages of the store."""

from collections.abc import Awaitable, Callable
from random import Random

import trio

from railtide.http.client import PeerPool
from tests.edge_soak.callers import Attempt, Callers
from tests.edge_soak.faults import FAULT_WINDOW_S, FAULTS, PlannedFault
from tests.edge_soak.fleet import PERMANENT_KEY_VERSION, Fleet, Router, World
from tests.edge_soak.proxy import LinkFault
from tests.edge_soak.series import SERIES

__all__ = [
    "STATES",
    "STATES_WORLD",
    "blackhole_some",
    "check_newest",
    "plan_states",
    "probe",
    "refused_as_outdated",
    "throttle_links",
]

STATES_WORLD = World(routers=4, callers=6, stayers=2, prepaid=400_000, filling=2_000)
"""With a desired state of about 300 KB, or 400 KB in a read of the newest records."""
MIN_TRANSFER_S = 1.0
MAX_TRANSFER_S = 2.5
"""Time to read one desired state over a throttled link without other traffic."""
UNTHROTTLED_ROUTERS = 1
MOMENTS = 3
"""Moments of a seed at which versions are published, each during other series and faults."""
BURST_S = 0.3
MAX_OTHER_FAULTS = 3
APPLY_S = 3.0
"""After a version is acknowledged, until a router may no longer refuse by an older one."""
RECONNECT_S = 4.0
"""Until a router has detected an unresponsive connection (3 s) and reconnected."""
TRANSFERS = 3
"""Transfers until a version is read: the one in progress, its own, and one for all other reads."""
PROBE_S = 0.1
REFUSED_BY_STATE = (401, 404)


async def _publish_series(fleet: Fleet, rng: Random, duration_s: float) -> None:
    """Publish versions so fast that some are replaced before they can be read."""
    count = rng.randint(2, 5)
    for _ in range(count):
        fleet.publish()
        await trio.sleep(rng.uniform(0, 2 * duration_s / count))


async def _publish_over_blackholed_links(fleet: Fleet, rng: Random, duration_s: float) -> None:
    """Blackhole the open connections to the store permanently, then publish a version."""
    blackhole_some(fleet, rng)
    await trio.sleep(rng.uniform(0, duration_s))
    fleet.publish()


async def _publish_during_outage(fleet: Fleet, rng: Random, duration_s: float) -> None:
    """Publish versions while no router reaches the store, and another when they do again."""
    fault = rng.choice((LinkFault.SILENT, LinkFault.RESET))
    for router in fleet.routers:
        router.store.set_fault(fault)
    for _ in range(rng.randint(1, 2)):
        fleet.publish()
        await trio.sleep(duration_s)
    for router in fleet.routers:
        router.store.set_fault(LinkFault.NONE)
    fleet.publish()


async def _publish_at_half_rate(fleet: Fleet, rng: Random, duration_s: float) -> None:
    """Publish a version while the links have half their rate."""
    for router in fleet.routers:
        router.store.rate /= 2
    fleet.publish()
    await trio.sleep(duration_s)
    for router in fleet.routers:
        router.store.rate *= 2


STATES: dict[str, Callable[[Fleet, Random, float], Awaitable[None]]] = {
    "state-series": _publish_series,
    "state-behind-silence": _publish_over_blackholed_links,
    "state-while-away": _publish_during_outage,
    "state-while-half-as-wide": _publish_at_half_rate,
}
OTHER_FAULTS = sorted(
    set(SERIES) | set(FAULTS) - {"caller-link", "engine-link", "spoilt-engine", "unlisted-engine"}
)
"""All faults of routers and the store."""


def plan_states(seed: int) -> list[PlannedFault]:
    """Return the series and faults of a seed, ordered by their begin."""
    rng = Random(f"states {seed}")
    planned: list[PlannedFault] = []
    for _ in range(MOMENTS):
        moment = rng.uniform(0, FAULT_WINDOW_S)
        planned.append(_draw(rng, sorted(STATES), moment))
        for _ in range(rng.randint(0, MAX_OTHER_FAULTS)):
            planned.append(_draw(rng, OTHER_FAULTS, moment + rng.uniform(0, BURST_S)))
    return sorted(planned, key=lambda fault: fault.at)


def _draw(rng: Random, names: list[str], at: float) -> PlannedFault:
    duration_s = round(rng.uniform(0.5, 4.0), 2)
    return PlannedFault(rng.choice(names), round(at, 2), duration_s, rng.randrange(1 << 30))


def throttle_links(fleet: Fleet, rng: Random) -> float:
    """Throttle most routers' links to the store; return the time that a transfer takes."""
    transfer_s = rng.uniform(MIN_TRANSFER_S, MAX_TRANSFER_S)
    for router in fleet.routers[UNTHROTTLED_ROUTERS:]:
        router.store.rate = len(fleet.state()) / transfer_s
    return transfer_s


def blackhole_some(fleet: Fleet, rng: Random) -> None:
    """Blackhole the open connections of some routers to the store; new ones work."""
    for router in rng.sample(fleet.routers, rng.randint(1, len(fleet.routers))):
        router.store.blackhole_open()


async def probe(callers: Callers, router: Router) -> None:
    """Request, for ever, the newest route that a router must know."""
    fleet = callers.fleet
    pool = PeerPool("127.0.0.1", router.calls.port)
    while True:
        due = trio.current_time() - APPLY_S
        version = max((v for v, at in fleet.written_at.items() if at < due), default=1)
        await callers.ask(router, pool, f"v{version}", key_version=PERMANENT_KEY_VERSION)
        await trio.sleep(PROBE_S)


async def check_newest(callers: Callers, router: Router, transfer_s: float) -> list[str]:
    """Return a line unless a router serves the newest version's route in time."""
    fleet = callers.fleet
    limit_s = RECONNECT_S + TRANSFERS * transfer_s
    pool = PeerPool("127.0.0.1", router.calls.port)
    with trio.move_on_after(limit_s):
        while (await callers.ask(router, pool, f"v{fleet.version}")).status != 200:
            await trio.sleep(PROBE_S)
        return []
    last = [a.status for a in callers.attempts if a.router == router.name][-3:]
    link = "unthrottled" if router in fleet.routers[:UNTHROTTLED_ROUTERS] else "throttled"
    return [
        f"{router.name} ({link}) lacks version {fleet.version} {limit_s:.1f} s after the last "
        f"fault, at {transfer_s:.1f} s a transfer; its last statuses were {last}"
    ]


def refused_as_outdated(fleet: Fleet, attempts: list[Attempt]) -> list[str]:
    """Return a line for each refusal by a version that had been outdated for too long."""
    return [
        f"{a.request_id} ({a.kind} at {a.router}/{a.lifetime}, key of version {a.key_version}) got "
        f"{a.status} {a.sent_at - fleet.written_at[_needed_version(a)]:.1f} s after it was allowed"
        for a in attempts
        if a.status in REFUSED_BY_STATE
        and a.sent_at > fleet.written_at[_needed_version(a)] + APPLY_S
        and not _is_key_dropped(a)
    ]


def _needed_version(attempt: Attempt) -> int:
    """Return the version that introduced the attempt's route or key, whichever is newer."""
    route = int(attempt.kind[1:]) if attempt.kind.startswith("v") else 1
    return max(route, attempt.key_version)


def _is_key_dropped(attempt: Attempt) -> bool:
    return PERMANENT_KEY_VERSION < attempt.key_version <= attempt.newest - 2
