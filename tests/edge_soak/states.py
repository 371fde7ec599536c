"""Large desired states behind narrow links, beside signals, restarts and a store that is away."""

from collections.abc import Awaitable, Callable
from random import Random

import trio

from railtide.http.client import PeerPool
from tests.edge_soak.callers import Attempt, Callers
from tests.edge_soak.faults import FAULTS, LENGTH_S, Planned
from tests.edge_soak.fleet import KEPT_KEY_VERSION, Fleet, Router, World
from tests.edge_soak.proxy import LinkFault
from tests.edge_soak.series import SERIES

__all__ = [
    "STATES",
    "STATES_WORLD",
    "answered_as_outdated",
    "narrow_links",
    "newest_within",
    "probe",
    "silence_some",
    "states_of",
]

STATES_WORLD = World(routers=4, callers=6, stayers=2, prepaid=400_000, filling=2_000)
"""With a desired state of some 300 KB, 400 KB where the newest records are read."""
LEAST_TRANSFER_S = 1.0
MOST_TRANSFER_S = 2.5
"""What one desired state takes of a narrow link that carries nothing else."""
WIDE_ROUTERS = 1
MOMENTS = 3
"""Moments of a seed at which desired states come in series, each beside other series and faults."""
AT_ONCE_S = 0.3
MOST_BESIDE = 3
APPLY_S = 3.0
"""After an acknowledgement, until a router that has not the version may not answer by its own."""
NOTICE_S = 4.0
"""Until a router has noticed that the connection it waits on is silent (3 s), and called again."""
TRANSFERS = 3
"""The version that was under way, the next one, and as much of the link for all other reads."""
PROBE_S = 0.1
REFUSED_BY_STATE = (401, 404)


async def _publish_series(fleet: Fleet, rng: Random, length: float) -> None:
    """Write versions so fast that some are replaced before they can be read."""
    count = rng.randint(2, 5)
    for _ in range(count):
        fleet.publish()
        await trio.sleep(rng.uniform(0, 2 * length / count))


async def _publish_behind_silence(fleet: Fleet, rng: Random, length: float) -> None:
    """Silence the open connections to the store for good, then write a version."""
    silence_some(fleet, rng)
    await trio.sleep(rng.uniform(0, length))
    fleet.publish()


async def _publish_while_away(fleet: Fleet, rng: Random, length: float) -> None:
    """Write versions while no router reaches the store, and another at its return."""
    fault = rng.choice((LinkFault.SILENT, LinkFault.RESET))
    for router in fleet.routers:
        router.store.set_fault(fault)
    for _ in range(rng.randint(1, 2)):
        fleet.publish()
        await trio.sleep(length)
    for router in fleet.routers:
        router.store.set_fault(LinkFault.NONE)
    fleet.publish()


async def _publish_while_half_as_wide(fleet: Fleet, rng: Random, length: float) -> None:
    """Write a version while the links carry half."""
    for router in fleet.routers:
        router.store.rate /= 2
    fleet.publish()
    await trio.sleep(length)
    for router in fleet.routers:
        router.store.rate *= 2


STATES: dict[str, Callable[[Fleet, Random, float], Awaitable[None]]] = {
    "state-series": _publish_series,
    "state-behind-silence": _publish_behind_silence,
    "state-while-away": _publish_while_away,
    "state-while-half-as-wide": _publish_while_half_as_wide,
}
BESIDE = sorted(
    set(SERIES) | set(FAULTS) - {"caller-link", "engine-link", "spoilt-engine", "unlisted-engine"}
)
"""All that strikes routers and the store."""


def states_of(seed: int) -> list[Planned]:
    """Return the series and faults of a seed in the order of their begin."""
    rng = Random(f"states {seed}")
    planned: list[Planned] = []
    for _ in range(MOMENTS):
        moment = rng.uniform(0, LENGTH_S)
        planned.append(_drawn(rng, sorted(STATES), moment))
        for _ in range(rng.randint(0, MOST_BESIDE)):
            planned.append(_drawn(rng, BESIDE, moment + rng.uniform(0, AT_ONCE_S)))
    return sorted(planned, key=lambda one: one.at)


def _drawn(rng: Random, names: list[str], at: float) -> Planned:
    length = round(rng.uniform(0.5, 4.0), 2)
    return Planned(rng.choice(names), round(at, 2), length, rng.randrange(1 << 30))


def narrow_links(fleet: Fleet, rng: Random) -> float:
    """Narrow the links of all but a few routers to the store, and return what a transfer takes."""
    transfer_s = rng.uniform(LEAST_TRANSFER_S, MOST_TRANSFER_S)
    for router in fleet.routers[WIDE_ROUTERS:]:
        router.store.rate = len(fleet.state()) / transfer_s
    return transfer_s


def silence_some(fleet: Fleet, rng: Random) -> None:
    """Silence the open connections of some routers to the store for good; new ones work."""
    for router in rng.sample(fleet.routers, rng.randint(1, len(fleet.routers))):
        router.store.silence_open()


async def probe(callers: Callers, router: Router) -> None:
    """Ask a router for ever for the newest route that all versions in force may have."""
    fleet = callers.fleet
    pool = PeerPool("127.0.0.1", router.calls.port)
    while True:
        due = trio.current_time() - APPLY_S
        version = max((v for v, at in fleet.written_at.items() if at < due), default=1)
        await callers.ask(router, pool, f"v{version}", key_version=KEPT_KEY_VERSION)
        await trio.sleep(PROBE_S)


async def newest_within(callers: Callers, router: Router, transfer_s: float) -> list[str]:
    """Return a line unless a router serves by the newest desired state in time."""
    fleet = callers.fleet
    limit_s = NOTICE_S + TRANSFERS * transfer_s
    pool = PeerPool("127.0.0.1", router.calls.port)
    with trio.move_on_after(limit_s):
        while (await callers.ask(router, pool, f"v{fleet.version}")).status != 200:
            await trio.sleep(PROBE_S)
        return []
    last = [a.status for a in callers.attempts if a.router == router.name][-3:]
    link = "wide" if router in fleet.routers[:WIDE_ROUTERS] else "narrow"
    return [
        f"{router.name} ({link}) has not version {fleet.version} {limit_s:.1f} s after calm, at "
        f"{transfer_s:.1f} s a transfer; its last answers were {last}"
    ]


def answered_as_outdated(fleet: Fleet, attempts: list[Attempt]) -> list[str]:
    """Return a line for each refusal by a version that had been replaced for too long."""
    return [
        f"{a.request_id} ({a.kind} at {a.router}/{a.lifetime}, key of version {a.key_version}) got "
        f"{a.status} {a.sent_at - fleet.written_at[_needed(a)]:.1f} s after it was allowed"
        for a in attempts
        if a.status in REFUSED_BY_STATE
        and a.sent_at > fleet.written_at[_needed(a)] + APPLY_S
        and not _is_dropped(a)
    ]


def _needed(attempt: Attempt) -> int:
    """Return the version that brought what the attempt names."""
    route = int(attempt.kind[1:]) if attempt.kind.startswith("v") else 1
    return max(route, attempt.key_version)


def _is_dropped(attempt: Attempt) -> bool:
    return KEPT_KEY_VERSION < attempt.key_version <= attempt.newest - 2
