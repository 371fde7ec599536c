"""Origins of streams over several routers, their ends and the faults of the store."""

import math
from collections.abc import Callable
from random import Random

import pytest
import trio

from railtide.standins.keyed_store import MemoryStore
from railtide.streams.agreement import MIN_RETENTION_S, SHARES_TOPIC, SharesAgreement
from railtide.streams.errors import StreamVersionUnknown
from railtide.streams.record_writer import MAX_BATCH, SLOW_RETENTION_S
from railtide.streams.records import StreamOrigin, pool_key, shares_value
from railtide.streams.shares import VersionShares
from railtide.streams.stored_origins import (
    NEW_VERSION_S,
    RECORD_WAIT_S,
    STREAMS_TOPIC,
    StoredOrigins,
)
from railtide.telemetry.counters import Counters

POOL = "menu"
SETTLE_S = 12.0
ACCOUNT = "depot"
FIRST_SHARES = VersionShares(1, {"v1": 1.0})
MAX_MIXED = 2
"""Streams of a day that users permit to hold events of two versions."""
V1, V2 = StreamOrigin(POOL, "v1"), StreamOrigin(POOL, "v2")


class Router:
    """One router's view, which ends with its process.

    Attributes
    ----------
    versions : frozenset of str or None
        The versions that it lists; None for those that the fleet lists.
    list_age_s : float
        Age of its list.
    peer_versions : frozenset of str or None
        What the other routers answer.
    """

    def __init__(self, fleet: "Fleet", number: int) -> None:
        self.versions: frozenset[str] | None = None
        self.list_age_s = 0.0
        self.peer_versions: frozenset[str] | None = frozenset()
        self.scope = trio.CancelScope()
        self.counters = Counters()
        self.agreement = SharesAgreement(
            fleet.store, Random(number), lambda pool: False, fleet.nursery.start_soon
        )
        self.origins = StoredOrigins(
            fleet.store,
            self.agreement,
            lambda pool: fleet.versions if self.versions is None else self.versions,
            lambda: fleet.router_count,
            lambda key: True,
            Random(number),
            self.counters,
            lambda: self.list_age_s,
            self._ask_peers,
        )

    async def _ask_peers(self, pool: str) -> frozenset[str] | None:
        return self.peer_versions

    async def run(self) -> None:
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.agreement.run)
                nursery.start_soon(self.origins.run)

    async def begin(self, attempt: str, origin: StreamOrigin) -> str:
        """Begin a stream and pass its first event on; return its version."""
        self.origins.note_sent(origin, ACCOUNT, attempt)
        if await self.origins.wait_until_recorded(ACCOUNT, attempt):
            return origin.version
        other = self.origins.version_without_record(POOL, ACCOUNT, attempt)
        self.origins.note_sent(StreamOrigin(POOL, other), ACCOUNT, attempt)
        await self.origins.wait_until_recorded(ACCOUNT, attempt)
        return other

    async def version_of(self, attempt: str) -> str | None:
        return await self.origins.version_of(POOL, ACCOUNT, attempt)

    def count(self, name: str) -> int:
        return self.counters.value(name)


class Fleet:
    """Routers that share a store with the first shares."""

    def __init__(self, nursery: trio.Nursery, routers: int = 2) -> None:
        self.store = MemoryStore(era=1)
        self.nursery = nursery
        self.versions = frozenset({"v1", "v2"})
        self.router_count = routers
        self.put_shares(FIRST_SHARES)
        self.routers = [self.add() for _ in range(routers)]

    def put_shares(self, shares: VersionShares) -> None:
        self.store.put(SHARES_TOPIC, pool_key(POOL), shares_value(POOL, shares))

    def add(self) -> Router:
        router = Router(self, 7)
        self.nursery.start_soon(router.run)
        self.nursery.start_soon(self._note_versions, router)
        return router

    @staticmethod
    async def _note_versions(router: Router) -> None:
        while True:
            router.origins.note_versions(POOL)
            await trio.sleep(0.1)

    async def settle_at(self, *versions: str) -> None:
        """List upstreams of these versions only, for so long that no other list is older."""
        self.versions = frozenset(versions)
        await trio.sleep(SETTLE_S)

    def stored(self) -> int:
        return len(self.store.topic(STREAMS_TOPIC).newest_by_key)


async def started(nursery: trio.Nursery, routers: int = 2) -> Fleet:
    fleet = Fleet(nursery, routers)
    await trio.sleep(1)
    return fleet


class TestOtherRouter:
    async def test_record_is_read_before_the_next_regular_read(
        self, nursery, autojump_clock
    ) -> None:
        fleet = await started(nursery)
        await fleet.routers[0].begin("a", V2)
        assert await fleet.routers[1].version_of("a") == "v2"

    async def test_stream_without_a_record_began_at_the_version_of_the_shares(
        self, nursery, autojump_clock
    ) -> None:
        fleet = await started(nursery)
        await fleet.routers[0].begin("a", V1)
        assert await fleet.routers[1].version_of("a") == "v1"
        assert not fleet.stored()

    async def test_record_outlives_its_router(self, nursery, autojump_clock) -> None:
        fleet = await started(nursery)
        await fleet.routers[0].begin("a", V2)
        fleet.routers[0].scope.cancel()
        fleet.store.topic(STREAMS_TOPIC).compact()
        later = fleet.add()
        await trio.sleep(3)
        assert await later.version_of("a") == "v2"

    async def test_second_attempt_at_another_version_replaces_the_first(
        self, nursery, autojump_clock
    ) -> None:
        fleet = await started(nursery)
        fleet.routers[0].origins.note_sent(V2, ACCOUNT, "a")
        await trio.sleep(1)
        await fleet.routers[0].begin("a", V1)
        assert await fleet.routers[1].version_of("a") == "v1"

    async def test_attempt_of_another_account_is_another_stream(
        self, nursery, autojump_clock
    ) -> None:
        fleet = await started(nursery)
        await fleet.routers[0].begin("a", V2)
        assert await fleet.routers[1].origins.version_of(POOL, "other", "a") == "v1"

    async def test_stream_that_began_before_the_shares_changed(
        self, nursery, autojump_clock
    ) -> None:
        fleet = await started(nursery)
        await fleet.routers[0].begin("a", V1)
        fleet.put_shares(VersionShares(2, {"v1": 1.0}, {"v2": 1.0}))
        await trio.sleep(3)
        await fleet.routers[0].begin("b", V1)
        await fleet.routers[0].begin("c", V2)
        fleet.put_shares(VersionShares(3, {"v2": 1.0}))
        await trio.sleep(3)
        versions = [await fleet.routers[1].version_of(attempt) for attempt in ("b", "c")]
        assert versions == ["v1", "v2"]


class TestOneVersion:
    async def test_resumed_stream_costs_no_call(self, nursery, autojump_clock) -> None:
        fleet = await started(nursery)
        await fleet.settle_at("v1")
        calls = fleet.store.calls
        assert await fleet.routers[1].version_of("a") == "v1"
        assert fleet.store.calls == calls

    async def test_caller_that_names_no_attempt_is_served(self, nursery, autojump_clock) -> None:
        fleet = await started(nursery)
        await fleet.settle_at("v1")
        assert await fleet.routers[1].version_of("") == "v1"

    async def test_outage_refuses_nothing(self, nursery, autojump_clock) -> None:
        fleet = await started(nursery)
        await fleet.settle_at("v1")
        fleet.store.down = True
        await trio.sleep(5)
        assert await fleet.routers[1].version_of("a") == "v1"

    async def test_stream_of_a_version_that_is_gone_is_not_mixed(
        self, nursery, autojump_clock
    ) -> None:
        fleet = await started(nursery)
        await fleet.routers[0].begin("a", V2)
        fleet.versions = frozenset({"v1"})
        assert await fleet.routers[1].version_of("a") == "v2"
        await fleet.settle_at("v1")
        assert await fleet.routers[1].version_of("a") == "v2"


class TestRouterOutOfStep:
    """A router that lists one version does not know the streams of a version that joined since."""

    @staticmethod
    async def fleet_with_new_version(nursery: trio.Nursery) -> Fleet:
        """Return a fleet whose second router has missed that a version joined, and its stream."""
        fleet = await started(nursery)
        await fleet.settle_at("v1")
        fleet.routers[1].versions = frozenset({"v1"})
        fleet.versions = frozenset({"v1", "v2"})
        await trio.sleep(3)
        await fleet.routers[0].begin("a", V2)
        return fleet

    async def test_stream_of_the_new_version_continues_at_the_old_one(
        self, nursery, autojump_clock
    ) -> None:
        fleet = await self.fleet_with_new_version(nursery)
        fleet.routers[1].list_age_s = 2.0
        assert await fleet.routers[1].version_of("a") == "v2"

    @pytest.mark.parametrize("peer_versions", [None, frozenset({"v1", "v2"}), frozenset({"v2"})])
    async def test_router_without_the_store_guesses_the_old_version(
        self, nursery, autojump_clock, peer_versions: frozenset[str] | None
    ) -> None:
        fleet = await self.fleet_with_new_version(nursery)
        fleet.store.down = True
        fleet.routers[1].list_age_s = math.inf
        fleet.routers[1].peer_versions = peer_versions
        with pytest.raises(StreamVersionUnknown):
            await fleet.routers[1].version_of("a")

    @pytest.mark.parametrize("peer_versions", [frozenset(), frozenset({"v1"})])
    async def test_outage_for_all_routers_refuses_streams_of_the_only_version(
        self, nursery, autojump_clock, peer_versions: frozenset[str]
    ) -> None:
        fleet = await started(nursery)
        await fleet.settle_at("v1")
        fleet.store.down = True
        await trio.sleep(5)
        fleet.routers[1].list_age_s = math.inf
        fleet.routers[1].peer_versions = peer_versions
        began = trio.current_time()
        assert await fleet.routers[1].version_of("a") == "v1"
        assert trio.current_time() == began

    async def test_streams_begin_at_a_version_that_other_routers_do_not_list_yet(
        self, nursery, autojump_clock
    ) -> None:
        fleet = await started(nursery)
        await fleet.settle_at("v1")
        fleet.versions = frozenset({"v1", "v2"})
        await trio.sleep(0.2)
        assert fleet.routers[0].origins.preferred_version(POOL, ACCOUNT, "a") == "v1"
        await trio.sleep(NEW_VERSION_S)
        assert fleet.routers[0].origins.preferred_version(POOL, ACCOUNT, "a") is None


class TestUnknownVersion:
    async def test_caller_that_names_no_attempt_is_refused(self, nursery, autojump_clock) -> None:
        fleet = await started(nursery)
        with pytest.raises(StreamVersionUnknown) as refusal:
            await fleet.routers[1].version_of("")
        assert refusal.value.retry_after

    async def test_outage_refuses_streams_of_other_routers_only(
        self, nursery, autojump_clock
    ) -> None:
        fleet = await started(nursery)
        await fleet.routers[0].begin("a", V2)
        fleet.store.down = True
        with pytest.raises(StreamVersionUnknown):
            await fleet.routers[1].version_of("a")
        assert await fleet.routers[0].version_of("a") == "v2"

    async def test_unresponsive_store_refuses_in_bounded_time(
        self, nursery, autojump_clock
    ) -> None:
        fleet = await started(nursery)
        fleet.store.delay_s = 60.0
        began = trio.current_time()
        with pytest.raises(StreamVersionUnknown):
            await fleet.routers[1].version_of("a")
        assert trio.current_time() - began <= 1.0


class TestOutage:
    async def test_new_streams_prefer_the_version_that_needs_no_record(
        self, nursery, autojump_clock
    ) -> None:
        fleet = await started(nursery)
        origins = fleet.routers[0].origins
        assert origins.preferred_version(POOL, ACCOUNT, "a") is None
        fleet.store.down = True
        await trio.sleep(5)
        assert origins.preferred_version(POOL, ACCOUNT, "a") == "v1"
        fleet.store.down = False
        await trio.sleep(5)
        assert origins.preferred_version(POOL, ACCOUNT, "a") is None

    async def test_one_slow_append_changes_the_preference_for_moments_only(
        self, nursery, autojump_clock
    ) -> None:
        fleet = await started(nursery)
        origins = fleet.routers[0].origins
        fleet.store.delay_s = 0.1
        await fleet.routers[0].begin("a", V2)
        fleet.store.delay_s = 0.0
        assert origins.preferred_version(POOL, ACCOUNT, "b") == "v1"
        await trio.sleep(SLOW_RETENTION_S)
        assert origins.preferred_version(POOL, ACCOUNT, "b") is None

    async def test_large_fleet_prefers_the_version_that_needs_no_record(
        self, nursery, autojump_clock
    ) -> None:
        fleet = await started(nursery)
        fleet.router_count = 1_100
        assert fleet.routers[0].origins.preferred_version(POOL, ACCOUNT, "a") == "v1"

    async def test_slow_store_gets_the_appends_of_a_large_fleet_as_often_as_a_prompt_one(
        self, nursery, autojump_clock
    ) -> None:
        fleet = await started(nursery)
        fleet.router_count = 200
        fleet.store.delay_s = 0.1
        fleet.routers[0].origins.note_sent(V2, ACCOUNT, "a")
        await trio.sleep(0.2)
        fleet.routers[0].origins.note_sent(V2, ACCOUNT, "b")
        await trio.sleep(1.0)
        assert fleet.stored() == 1
        await trio.sleep(1.5)
        assert fleet.stored() == 2

    async def test_first_event_is_held_back_for_a_bounded_time(
        self, nursery, autojump_clock, lines
    ) -> None:
        fleet = await started(nursery)
        fleet.store.down = True
        began = trio.current_time()
        origins = fleet.routers[0].origins
        origins.note_sent(V2, ACCOUNT, "a")
        assert not await origins.wait_until_recorded(ACCOUNT, "a")
        assert trio.current_time() - began == pytest.approx(RECORD_WAIT_S)
        assert origins.version_without_record(POOL, ACCOUNT, "a") == "v1"
        assert [line["attempt"] for line in lines if line["event"] == "stream-record-late"] == ["a"]
        fleet.store.down = False
        await trio.sleep(3)
        assert await fleet.routers[1].version_of("a") == "v2"

    async def test_missing_record_is_not_trusted_right_after_an_outage(
        self, nursery, autojump_clock
    ) -> None:
        fleet = await started(nursery)
        fleet.store.down = True
        await trio.sleep(3)
        fleet.routers[0].origins.note_sent(V2, ACCOUNT, "a")
        await trio.sleep(1)
        fleet.store.down = False
        for _ in range(20):
            try:
                assert await fleet.routers[1].version_of("a") == "v2"
            except StreamVersionUnknown:
                pass
            await trio.sleep(0.05)
        await trio.sleep(2)
        assert await fleet.routers[1].version_of("a") == "v2"

    async def test_lost_answer_is_written_again(self, nursery, autojump_clock) -> None:
        fleet = await started(nursery)
        fleet.store.lose_answers = 2
        await fleet.routers[0].begin("a", V2)
        assert await fleet.routers[1].version_of("a") == "v2"

    async def test_late_write_of_a_former_attempt_is_replaced(
        self, nursery, autojump_clock
    ) -> None:
        fleet = await started(nursery)
        fleet.store.late_appends = 1
        fleet.routers[0].origins.note_sent(V2, ACCOUNT, "a")
        await trio.sleep(0.01)
        await fleet.routers[0].begin("a", V1)
        fleet.store.apply_late_appends()
        await trio.sleep(6)
        assert await fleet.routers[1].version_of("a") == "v1"

    async def test_rolled_back_records_are_written_again(self, nursery, autojump_clock) -> None:
        fleet = await started(nursery)
        copy = fleet.store.copy()
        await fleet.routers[0].begin("a", V2)
        fleet.store.roll_back(copy)
        await trio.sleep(5)
        later = fleet.add()
        await trio.sleep(5)
        assert await later.version_of("a") == "v2"


class TestRetention:
    async def test_records_are_removed_after_the_longest_stream(
        self, nursery, autojump_clock
    ) -> None:
        fleet = await started(nursery)
        for number in range(2 * MAX_BATCH):
            fleet.routers[0].origins.note_sent(V2, ACCOUNT, str(number))
        await trio.sleep(5)
        assert fleet.stored() == 2 * MAX_BATCH
        await trio.sleep(MIN_RETENTION_S + 20)
        assert not fleet.stored()

    async def test_records_of_a_former_router_are_removed(self, nursery, autojump_clock) -> None:
        fleet = await started(nursery)
        await fleet.routers[0].begin("a", V2)
        fleet.routers[0].scope.cancel()
        await trio.sleep(2 * MIN_RETENTION_S + 20)
        assert not fleet.stored()

    async def test_records_of_other_writers_are_ignored(self, nursery, autojump_clock) -> None:
        fleet = await started(nursery)
        for value in (b"x", b"\x92\x01\x02", b"\xff" * 50):
            fleet.store.put(STREAMS_TOPIC, "other", value)
        await trio.sleep(5)
        assert await fleet.routers[1].version_of("a") == "v1"


class _Model:
    """Streams that begin at random versions, at routers that end, over a store with faults."""

    def __init__(self, fleet: Fleet, rng: Random) -> None:
        self.fleet = fleet
        self.rng = rng
        self.version_by_attempt: dict[str, str] = {}
        self.mixed: list[str] = []
        self.refused = 0
        self.resumed = 0

    async def begin(self) -> None:
        router = self.rng.choice(self.fleet.routers)
        attempt = f"s{len(self.version_by_attempt)}"
        preferred = router.origins.preferred_version(POOL, ACCOUNT, attempt)
        version = preferred or self.rng.choice(("v1", "v2"))
        self.version_by_attempt[attempt] = await router.begin(attempt, StreamOrigin(POOL, version))

    async def resume(self) -> None:
        if not self.version_by_attempt:
            return
        attempt = self.rng.choice(list(self.version_by_attempt)[-20:])
        try:
            known = await self.rng.choice(self.fleet.routers).version_of(attempt)
        except StreamVersionUnknown:
            self.refused += 1
            return
        self.resumed += 1
        if known != self.version_by_attempt[attempt]:
            self.mixed.append(attempt)

    async def replace_router(self) -> None:
        victim = self.rng.randrange(len(self.fleet.routers))
        self.fleet.routers[victim].scope.cancel()
        self.fleet.routers[victim] = router = self.fleet.add()
        with trio.move_on_after(3):
            while not (router.agreement.caught_up and router.origins.caught_up):
                await trio.sleep(0.01)

    async def lose_answers(self) -> None:
        self.fleet.store.lose_answers = self.rng.randint(1, 3)

    async def compact(self) -> None:
        self.fleet.store.topic(STREAMS_TOPIC).compact()

    async def slow_store(self) -> None:
        self.fleet.store.delay_s = self.rng.choice((0.0, 0.004, 0.1))

    async def outage(self) -> None:
        self.fleet.store.down = True
        await trio.sleep(self.rng.uniform(0.5, 3.0))
        self.fleet.store.down = False
        await trio.sleep(1.0)


class TestDrawnHistories:
    """Whatever happens, no stream continues at another version than the one that began it."""

    @pytest.mark.parametrize("seed", range(40))
    async def test_no_stream_is_mixed(self, nursery, autojump_clock, seed: int) -> None:
        model = _Model(await started(nursery, 4), Random(seed))
        rare: list[Callable] = [
            model.replace_router,
            model.lose_answers,
            model.compact,
            model.slow_store,
        ]
        for _ in range(120):
            common = model.rng.choice((model.begin, model.resume, model.resume))
            await (model.rng.choice(rare) if model.rng.random() < 0.1 else common)()
            await trio.sleep(model.rng.uniform(0.0, 0.1))
        assert model.mixed == []
        assert model.resumed >= 4 * model.refused

    @pytest.mark.parametrize("seed", range(40))
    async def test_outages_mix_no_more_streams_than_permitted(
        self, nursery, autojump_clock, seed: int
    ) -> None:
        """A router that hasn't noticed an outage yet may pass an event on without its record."""
        model = _Model(await started(nursery, 4), Random(f"outage {seed}"))
        async with trio.open_nursery() as streams:
            streams.start_soon(self._outages, model)
            for _ in range(150):
                await model.rng.choice((model.begin, model.resume))()
                await trio.sleep(model.rng.uniform(0.0, 0.1))
        assert len(set(model.mixed)) <= MAX_MIXED

    @staticmethod
    async def _outages(model: _Model) -> None:
        for _ in range(3):
            await trio.sleep(model.rng.uniform(0.5, 2.0))
            await model.outage()
