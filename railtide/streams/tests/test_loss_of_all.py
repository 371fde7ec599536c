"""Origins of streams after all routers were killed at once and started again."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from random import Random

import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st
from trio.testing import MockClock

from railtide.standins.keyed_store import MemoryStore
from railtide.streams.agreement import MIN_RETENTION_S, SHARES_TOPIC, SharesAgreement
from railtide.streams.errors import StreamVersionUnknown
from railtide.streams.records import StreamOrigin, pool_key, shares_value
from railtide.streams.shares import VersionShares
from railtide.streams.stored_origins import STREAMS_TOPIC, StoredOrigins
from railtide.telemetry.counters import Counters

POOL, OTHER_POOL = "menu", "cellar"
ACCOUNT = "depot"
TICK_S = 0.1
READY_S = 3.0
LARGE_FLEET = 40
"""Routers of a fleet in which each may append less often than a first event can wait."""
BEGIN_INTERVAL_S = 0.05
OLD, BOTH, NEW = {"v1": 4}, {"v1": 2, "v2": 2}, {"v2": 4}
V1, V2 = StreamOrigin(POOL, "v1"), StreamOrigin(POOL, "v2")
SETTLED = VersionShares(1, {"v1": 1.0})
HALVES = VersionShares(1, {"v1": 0.5, "v2": 0.5})
ANNOUNCED = VersionShares(2, {"v1": 1.0}, {"v2": 1.0})


class Router:
    """One router's view of the streams, which ends with its process."""

    def __init__(self, fleet: "Fleet", number: int) -> None:
        self.scope = trio.CancelScope()
        self._fleet = fleet
        self._nursery: trio.Nursery | None = None
        rng = Random(number)
        self.agreement = SharesAgreement(
            fleet.store, rng, lambda pool: number == 0, self._start_soon
        )
        self.origins = StoredOrigins(
            fleet.store,
            self.agreement,
            lambda pool: frozenset(fleet.slots_by_pool[pool]),
            lambda: fleet.router_count,
            lambda key: number == 0,
            rng,
            Counters(),
        )

    def _start_soon(self, function: Callable[..., object], *args: object) -> None:
        self._nursery.start_soon(function, *args)

    async def run(self) -> None:
        with self.scope:
            async with trio.open_nursery() as self._nursery:
                self._nursery.start_soon(self.agreement.run)
                self._nursery.start_soon(self.origins.run)
                self._nursery.start_soon(self._check)

    async def _check(self) -> None:
        while True:
            self.agreement.check(self._fleet.slots_by_pool)
            for pool in self._fleet.slots_by_pool:
                self.origins.note_versions(pool)
            await trio.sleep(TICK_S)

    async def begin(self, attempt: str, *sent_to: StreamOrigin) -> str:
        """Send an attempt to upstreams, of which the last one begins its stream."""
        for origin in sent_to:
            self.origins.note_sent(origin, ACCOUNT, attempt)
            await trio.sleep(0.01)
        await self.origins.wait_until_recorded(ACCOUNT, attempt)
        return sent_to[-1].version

    async def version_of(self, attempt: str, pool: str = POOL) -> str | None:
        return await self.origins.version_of(pool, ACCOUNT, attempt)


class Fleet:
    """Routers that share a store and see the same upstreams."""

    def __init__(self, nursery: trio.Nursery, shares: VersionShares | None, count: int = 3) -> None:
        self.store = MemoryStore(era=1)
        self.slots_by_pool = {POOL: BOTH}
        self.router_count = count
        self.routers: list[Router] = []
        self._nursery = nursery
        if shares:
            self.put_shares(shares)

    def put_shares(self, shares: VersionShares, pool: str = POOL) -> None:
        self.store.put(SHARES_TOPIC, pool_key(pool), shares_value(pool, shares))

    async def start_all(self, count: int = 3) -> None:
        self.routers = [Router(self, number) for number in range(count)]
        for router in self.routers:
            self._nursery.start_soon(router.run)
        await trio.sleep(TICK_S)

    async def kill_all(self) -> None:
        for router in self.routers:
            router.scope.cancel()
        self.routers = []
        await trio.sleep(TICK_S)

    async def restart_all(self) -> None:
        await self.kill_all()
        await self.start_all()


async def started(nursery: trio.Nursery, shares: VersionShares | None = SETTLED) -> Fleet:
    fleet = Fleet(nursery, shares)
    await fleet.start_all()
    await trio.sleep(1)
    return fleet


async def known_versions(fleet: Fleet, attempt: str, pool: str = POOL) -> set[str | None]:
    """Return what the routers know of a stream, without those that don't know it."""
    known = set()
    for router in fleet.routers:
        try:
            known.add(await router.version_of(attempt, pool))
        except StreamVersionUnknown:
            continue
    return known


class TestVersionsInService:
    @pytest.mark.parametrize("shares", [SETTLED, HALVES, ANNOUNCED])
    async def test_no_stream_is_mixed_and_all_go_on(
        self, nursery, autojump_clock, shares: VersionShares
    ) -> None:
        fleet = await started(nursery, shares)
        origins = [(f"a{number}", (V1, V2)[number % 2]) for number in range(20)]
        for number, (attempt, origin) in enumerate(origins):
            await fleet.routers[number % 3].begin(attempt, origin)
        await fleet.restart_all()
        await trio.sleep(READY_S)
        known = [await known_versions(fleet, attempt) for attempt, _ in origins]
        assert known == [{origin.version} for _, origin in origins]

    async def test_streams_of_two_pools_are_kept_apart(self, nursery, autojump_clock) -> None:
        fleet = await started(nursery)
        fleet.slots_by_pool = {POOL: BOTH, OTHER_POOL: BOTH}
        fleet.put_shares(VersionShares(1, {"v2": 1.0}), OTHER_POOL)
        await trio.sleep(1)
        await fleet.routers[0].begin("a", V2)
        await fleet.routers[0].begin("b", StreamOrigin(OTHER_POOL, "v1"))
        await fleet.restart_all()
        await trio.sleep(READY_S)
        assert await known_versions(fleet, "a") == {"v2"}
        assert await known_versions(fleet, "b", OTHER_POOL) == {"v1"}

    async def test_first_seconds_before_any_shares_were_agreed(
        self, nursery, autojump_clock
    ) -> None:
        fleet = Fleet(nursery, None)
        await fleet.start_all()
        await fleet.routers[1].begin("a", V1)
        await fleet.routers[2].begin("b", V2)
        await fleet.restart_all()
        await trio.sleep(READY_S)
        assert await known_versions(fleet, "a") == {"v1"}
        assert await known_versions(fleet, "b") == {"v2"}


class TestVersionReplaced:
    @pytest.mark.parametrize("moment", ["before", "during", "after"])
    @pytest.mark.parametrize("shares", [None, SETTLED, HALVES, ANNOUNCED])
    async def test_streams_of_the_old_version_do_not_continue_at_the_new_one(
        self, nursery, autojump_clock, moment: str, shares: VersionShares | None
    ) -> None:
        fleet = Fleet(nursery, shares)
        fleet.slots_by_pool = {POOL: OLD}
        await fleet.start_all()
        if shares:
            await trio.sleep(1)
        await fleet.routers[0].begin("a", V1)
        if moment == "before":
            fleet.slots_by_pool = {POOL: NEW}
            await trio.sleep(0.5)
        await fleet.kill_all()
        if moment == "during":
            fleet.slots_by_pool = {POOL: NEW}
        await fleet.start_all()
        if moment == "after":
            fleet.slots_by_pool = {POOL: NEW}
        for _ in range(20):
            assert await known_versions(fleet, "a") <= {"v1"}
            await trio.sleep(1)
        assert await known_versions(fleet, "a") == {"v1"}

    async def test_retention_is_counted_from_the_restart(self, nursery, autojump_clock) -> None:
        fleet = await started(nursery, ANNOUNCED)
        await fleet.routers[0].begin("a", V1)
        fleet.slots_by_pool = {POOL: NEW}
        await trio.sleep(MIN_RETENTION_S - 5)
        await fleet.restart_all()
        await trio.sleep(MIN_RETENTION_S - 5)
        assert await known_versions(fleet, "a") == {"v1"}


class TestStore:
    async def test_late_append_of_a_killed_router_restores_no_former_attempt(
        self, nursery, autojump_clock
    ) -> None:
        fleet = await started(nursery)
        fleet.store.late_appends = 1
        await fleet.routers[0].begin("a", V2, V1)
        await fleet.restart_all()
        await trio.sleep(READY_S)
        fleet.store.apply_late_appends()
        assert await known_versions(fleet, "a") == {"v1"}
        await fleet.restart_all()
        fleet.store.topic(STREAMS_TOPIC).compact()
        await trio.sleep(READY_S)
        assert await known_versions(fleet, "a") == {"v1"}

    @pytest.mark.parametrize("delay_s", [0.35, 60.0])
    async def test_unknown_while_the_store_is_slow(
        self, nursery, autojump_clock, delay_s: float
    ) -> None:
        fleet = await started(nursery)
        await fleet.routers[0].begin("a", V2)
        await fleet.routers[0].begin("b", V1)
        fleet.store.delay_s = delay_s
        await fleet.restart_all()
        for _ in range(10):
            assert await known_versions(fleet, "a") <= {"v2"}
            assert await known_versions(fleet, "b") <= {"v1"}
            await trio.sleep(0.2)
        fleet.store.delay_s = 0.0
        await trio.sleep(delay_s + READY_S)
        assert await known_versions(fleet, "a") == {"v2"}

    async def test_unknown_while_the_store_is_away(self, nursery, autojump_clock) -> None:
        fleet = await started(nursery)
        await fleet.routers[0].begin("a", V2)
        await fleet.kill_all()
        fleet.slots_by_pool = {POOL: OLD}
        fleet.store.down = True
        await fleet.start_all()
        await trio.sleep(8)
        assert await known_versions(fleet, "a") == set()
        fleet.store.down = False
        await trio.sleep(READY_S)
        assert await known_versions(fleet, "a") == {"v2"}

    async def test_copy_without_the_record_is_not_trusted(self, nursery, autojump_clock) -> None:
        fleet = await started(nursery, None)
        copy = fleet.store.copy()
        streams = [(f"a{number}", (V1, V2)[number % 2]) for number in range(8)]
        for attempt, origin in streams:
            await fleet.routers[0].begin(attempt, origin)
        await fleet.kill_all()
        fleet.store.roll_back(copy)
        await fleet.start_all()
        for _ in range(20):
            for attempt, origin in streams:
                assert await known_versions(fleet, attempt) <= {origin.version}
            await trio.sleep(1)

    async def test_copy_is_trusted_again_after_the_longest_stream(
        self, nursery, autojump_clock
    ) -> None:
        fleet = await started(nursery, None)
        await fleet.kill_all()
        fleet.store.roll_back(fleet.store.copy())
        await fleet.start_all()
        await trio.sleep(MIN_RETENTION_S + READY_S)
        assert await known_versions(fleet, "a")

    async def test_copy_is_trusted_where_a_router_outlives_the_rollback(
        self, nursery, autojump_clock
    ) -> None:
        fleet = await started(nursery, None)
        copy = fleet.store.copy()
        await fleet.routers[0].begin("a", V2)
        await fleet.routers[0].begin("b", V1)
        fleet.store.roll_back(copy)
        await trio.sleep(READY_S)
        await fleet.restart_all()
        await trio.sleep(READY_S)
        assert await known_versions(fleet, "a") == {"v2"}
        assert await known_versions(fleet, "b") == {"v1"}

    async def test_copy_refuses_no_stream_of_the_only_version(
        self, nursery, autojump_clock
    ) -> None:
        fleet = Fleet(nursery, None)
        fleet.slots_by_pool = {POOL: OLD}
        await fleet.start_all()
        await trio.sleep(1)
        await fleet.kill_all()
        fleet.store.roll_back(fleet.store.copy())
        await fleet.start_all()
        await trio.sleep(READY_S)
        assert await known_versions(fleet, "a") == {"v1"}


class TestLargeFleet:
    """Routers that may append less often than a first event can wait."""

    async def test_streams_at_the_preferred_version_are_not_mixed(
        self, nursery, autojump_clock
    ) -> None:
        fleet = await started(nursery, HALVES)
        fleet.router_count = LARGE_FLEET
        versions = {}
        for number in range(20):
            origins = fleet.routers[0].origins
            preferred = origins.preferred_version(POOL, ACCOUNT, f"a{number}")
            versions[f"a{number}"] = await fleet.routers[0].begin(
                f"a{number}", StreamOrigin(POOL, preferred)
            )
        await fleet.restart_all()
        await trio.sleep(READY_S)
        for attempt, version in versions.items():
            assert await known_versions(fleet, attempt) == {version}

    async def test_streams_are_not_mixed_while_the_preferred_version_is_full(
        self, nursery, autojump_clock
    ) -> None:
        mixed = [
            (routers, lost_at, await self._mixed_while_full(nursery, routers, lost_at))
            for routers in (25, LARGE_FLEET, 5 * LARGE_FLEET)
            for lost_at in (0.95, 1.05, 1.15)
        ]
        assert [each for each in mixed if each[-1]] == []

    @staticmethod
    async def _mixed_while_full(nursery: trio.Nursery, routers: int, lost_at: float) -> int:
        """Return how many streams are mixed after a loss of all; none began where preferred."""
        fleet = await started(nursery)
        fleet.router_count = routers
        passed_on: list[str] = []

        async def begin(attempt: str) -> None:
            await fleet.routers[0].begin(attempt, V2)
            passed_on.append(attempt)

        for number in range(round(lost_at / BEGIN_INTERVAL_S)):
            nursery.start_soon(begin, f"a{number}")
            await trio.sleep(BEGIN_INTERVAL_S)
        before_the_loss = list(passed_on)
        await fleet.restart_all()
        await trio.sleep(READY_S)
        known = [await known_versions(fleet, attempt) for attempt in before_the_loss]
        return sum(not versions <= {"v2"} for versions in known)


@dataclass(frozen=True)
class Begun:
    """A stream that begins at one version, perhaps after an attempt at another."""

    router: int
    sent_to: tuple[StreamOrigin, ...]


BEGUN = st.builds(
    Begun, st.integers(0, 2), st.lists(st.sampled_from([V1, V2]), min_size=1, max_size=3).map(tuple)
)


async def mixed_after_loss(
    shares: VersionShares | None,
    begun: list[Begun],
    late_appends: int,
    listed: dict[str, int],
    pause_s: float,
    count: int,
) -> list[str]:
    """Return the streams that routers took for ones of another version after a loss of all."""
    mixed = []
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, shares)
        fleet.router_count = count
        await fleet.start_all()
        await trio.sleep(pause_s)
        fleet.store.late_appends = late_appends
        for number, stream in enumerate(begun):
            await fleet.routers[stream.router].begin(f"a{number}", *stream.sent_to)
        fleet.slots_by_pool = {POOL: listed}
        await fleet.restart_all()
        for wait_s in (0.0, 1.0, 7.0):
            await trio.sleep(wait_s)
            fleet.store.apply_late_appends()
            for number, stream in enumerate(begun):
                known = await known_versions(fleet, f"a{number}")
                if known - {stream.sent_to[-1].version}:
                    mixed.append(f"{stream} known as {known} after {wait_s} s")
        nursery.cancel_scope.cancel()
    return mixed


class TestDrawnHistories:
    @settings(max_examples=60, deadline=None)
    @given(
        st.sampled_from([None, SETTLED, HALVES, ANNOUNCED]),
        st.lists(BEGUN, min_size=1, max_size=6),
        st.integers(0, 1),
        st.sampled_from([OLD, BOTH, NEW]),
        st.sampled_from([0.0, 0.1, 1.0, 8.0]),
        st.sampled_from([3, 20]),
    )
    def test_no_stream_is_mixed(
        self,
        shares: VersionShares | None,
        begun: list[Begun],
        late_appends: int,
        listed: dict[str, int],
        pause_s: float,
        count: int,
    ) -> None:
        run = partial(mixed_after_loss, shares, begun, late_appends, listed, pause_s, count)
        assert trio.run(run, clock=MockClock(autojump_threshold=0)) == []
