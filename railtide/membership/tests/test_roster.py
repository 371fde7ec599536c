"""Tests of railtide.membership.roster."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from random import Random

import msgspec
import pytest
import trio

from railtide.membership.roster import MOST_LIMITS, Member, Roster, RosterOptions
from railtide.standins.keyed_store import MemoryStore
from railtide.upstreams.advertised_limit import LimitUpdate

OPTIONS = RosterOptions()
LEAST = OPTIONS.selection.min_routers
FLEET = 6
SETTLED_S = 6.0
"""In which routers find one another and count as named or not."""


def roster(store: MemoryStore, name: str, life: str = "1") -> Roster:
    return Roster(store, name, Member(f"{name}-{life}", f"{name}:1", "z", 0), OPTIONS, Random(1))


def names(made: Roster) -> list[str]:
    return sorted(endpoint.name for endpoint in made.live())


async def start(nursery: trio.Nursery, made: Roster) -> trio.CancelScope:
    """Run a roster that is ready; return what stops it."""
    scope = trio.CancelScope()

    async def run() -> None:
        with scope:
            await made.run(lambda: True)

    nursery.start_soon(run)
    return scope


def loaded(
    store: MemoryStore,
    name: str,
    load: float,
    capacity: float = 100.0,
    is_outdated: Callable[[], bool] = lambda: False,
) -> Roster:
    member = Member(f"{name}-1", f"{name}:1", "z", 0, capacity)
    return Roster(store, name, member, OPTIONS, Random(1), lambda: load, is_outdated)


@asynccontextmanager
async def fleet(load: float, store: MemoryStore) -> AsyncIterator[list[Roster]]:
    """Yield the rosters of six routers of a load each, which know one another."""
    made = [loaded(store, f"r{n}", load) for n in range(FLEET)]
    async with trio.open_nursery() as nursery:
        for each in made:
            await start(nursery, each)
        await trio.sleep(SETTLED_S)
        yield made
        nursery.cancel_scope.cancel()


class TestNaming:
    async def test_all_routers_name_the_same_few(self, autojump_clock) -> None:
        async with fleet(0.0, MemoryStore()) as made:
            chosen = {tuple(endpoint.name for endpoint in each.advertised()) for each in made}
            assert len(chosen) == 1
            assert len(chosen.pop()) == LEAST
            assert sum(each.is_advertised() for each in made) == LEAST

    async def test_load_names_more(self, autojump_clock) -> None:
        async with fleet(20.0, MemoryStore()) as made:
            assert len(made[0].advertised()) == 5

    async def test_router_that_is_not_named_writes_less_often_and_counts_as_alive(
        self, autojump_clock
    ) -> None:
        store = MemoryStore()
        async with fleet(0.0, store) as made:
            before = store.topic(OPTIONS.topic).end
            await trio.sleep(30)
            written = store.topic(OPTIONS.topic).end - before
            idle = FLEET - LEAST
            assert LEAST * 29 + idle * 8 <= written <= LEAST * 31 + idle * 12
            assert len(made[0].live()) == FLEET

    async def test_another_is_named_in_place_of_one_that_died(self, autojump_clock) -> None:
        store = MemoryStore()
        made = {f"r{n}": loaded(store, f"r{n}", 0.0) for n in range(FLEET)}
        async with trio.open_nursery() as nursery:
            scopes = {name: await start(nursery, each) for name, each in made.items()}
            await trio.sleep(SETTLED_S)
            named = [endpoint.name for endpoint in made["r0"].advertised()]
            scopes[named[0]].cancel()
            await trio.sleep(OPTIONS.dead_after_s + 3)
            survivor = made[named[1]]
            assert named[0] not in [endpoint.name for endpoint in survivor.advertised()]
            assert len(survivor.advertised()) == LEAST
            nursery.cancel_scope.cancel()


class TestBehind:
    """A router that knows of a newer configuration says so, and others are named before it."""

    async def test_another_is_named_in_its_place_until_it_is_current(self, autojump_clock) -> None:
        store = MemoryStore()
        outdated: set[str] = set()
        made = {
            f"r{n}": loaded(store, f"r{n}", 0.0, is_outdated=lambda n=n: f"r{n}" in outdated)
            for n in range(FLEET)
        }
        async with trio.open_nursery() as nursery:
            for each in made.values():
                await start(nursery, each)
            await trio.sleep(SETTLED_S)
            named = made["r0"].advertised()
            outdated.add(named[0].name)
            await trio.sleep(SETTLED_S)
            assert len(made["r0"].advertised()) == LEAST
            assert named[0] not in made["r0"].advertised()
            assert len(made["r0"].live()) == FLEET
            outdated.clear()
            await trio.sleep(SETTLED_S)
            assert made["r0"].advertised() == named
            nursery.cancel_scope.cancel()

    async def test_all_are_named_as_before_where_all_are(self, autojump_clock) -> None:
        store = MemoryStore()
        outdated: list[bool] = []
        made = [
            loaded(store, f"r{n}", 0.0, is_outdated=lambda: bool(outdated)) for n in range(FLEET)
        ]
        async with trio.open_nursery() as nursery:
            for each in made:
                await start(nursery, each)
            await trio.sleep(SETTLED_S)
            named = made[0].advertised()
            outdated.append(True)
            await trio.sleep(SETTLED_S)
            assert made[0].advertised() == named
            nursery.cancel_scope.cancel()

    async def test_idle_router_says_so_within_a_beat(self, autojump_clock) -> None:
        store = MemoryStore()
        outdated: list[bool] = []
        made = [
            loaded(store, f"r{n}", 0.0, is_outdated=lambda: bool(outdated)) for n in range(FLEET)
        ]
        async with trio.open_nursery() as nursery:
            for each in made:
                await start(nursery, each)
            await trio.sleep(SETTLED_S)
            written = store.topic(OPTIONS.topic).end
            while store.topic(OPTIONS.topic).end < written + FLEET:
                await trio.sleep(0.05)
            outdated.append(True)
            await trio.sleep(OPTIONS.heartbeat_interval_s + 0.1)
            assert all(each.is_announced_outdated() for each in made)
            await trio.sleep(SETTLED_S)
            written = store.topic(OPTIONS.topic).end
            await trio.sleep(30)
            most = LEAST * 31 + (FLEET - LEAST) * 12
            assert store.topic(OPTIONS.topic).end - written <= most
            nursery.cancel_scope.cancel()


class TestRoster:
    async def test_routers_find_each_other(self, autojump_clock) -> None:
        store = MemoryStore()
        first, second = roster(store, "a"), roster(store, "b")
        async with trio.open_nursery() as nursery:
            await start(nursery, first)
            await start(nursery, second)
            await trio.sleep(3)
            assert names(first) == names(second) == ["a", "b"]
            nursery.cancel_scope.cancel()

    async def test_silent_router_is_not_named_any_more(self, autojump_clock) -> None:
        store = MemoryStore()
        first, second = roster(store, "a"), roster(store, "b")
        async with trio.open_nursery() as nursery:
            await start(nursery, first)
            killed = await start(nursery, second)
            await trio.sleep(3)
            killed.cancel()
            await trio.sleep(OPTIONS.dead_after_s + 3)
            assert names(first) == ["a"]
            nursery.cancel_scope.cancel()

    async def test_store_that_is_away_makes_nobody_dead(self, autojump_clock) -> None:
        store = MemoryStore()
        first, second = roster(store, "a"), roster(store, "b")
        async with trio.open_nursery() as nursery:
            await start(nursery, first)
            await start(nursery, second)
            await trio.sleep(3)
            store.down = True
            await trio.sleep(30)
            assert names(first) == ["a", "b"]
            store.down = False
            await trio.sleep(2)
            assert names(first) == ["a", "b"]
            nursery.cancel_scope.cancel()

    async def test_leaving_router_is_not_named_from_the_next_read_on(self, autojump_clock) -> None:
        store = MemoryStore()
        first, second = roster(store, "a"), roster(store, "b")
        async with trio.open_nursery() as nursery:
            await start(nursery, first)
            await start(nursery, second)
            await trio.sleep(3)
            await second.leave()
            await trio.sleep(1.5)
            assert names(first) == ["a"]
            nursery.cancel_scope.cancel()

    async def test_beat_under_way_does_not_bring_a_leaving_router_back(
        self, autojump_clock
    ) -> None:
        store = MemoryStore()
        made = roster(store, "a")
        async with trio.open_nursery() as nursery:
            await start(nursery, made)
            await trio.sleep(0.5)
            store.delay_s = 0.8
            await trio.sleep(0.6)
            await made.leave()
            await trio.sleep(3)
            assert names(made) == []
            nursery.cancel_scope.cancel()

    async def test_unreadable_record_is_passed_over(self, autojump_clock) -> None:
        store = MemoryStore()
        store.put(OPTIONS.topic, "x", b"\xc1")
        made = roster(store, "a")
        async with trio.open_nursery() as nursery:
            await start(nursery, made)
            await trio.sleep(3)
            assert names(made) == ["a"]
            nursery.cancel_scope.cancel()


OLD = ["x-1", "x:1", "z", 1, 10.0, 0.0, 1.0]
"""What a router of the version before writes."""
WITHOUT_LIMITS = [*OLD, False, 2, 1, [7, 0, 3]]
SOUND = [*WITHOUT_LIMITS, [["e1", "e1/1", 1.5, 0.5]]]
NAN, INF = float("nan"), float("inf")


def changed(index: int, value: object) -> list[object]:
    return [*SOUND[:index], value, *SOUND[index + 1 :]]


class TestForeignRecords:
    @pytest.mark.parametrize(
        "member",
        [
            changed(1, "nonsense"),
            changed(1, "x:99999"),
            changed(1, "x:0"),
            changed(1, 7),
            changed(4, NAN),
            changed(4, INF),
            changed(4, -1.0),
            changed(5, NAN),
            changed(5, -1.0),
            changed(5, INF),
            changed(6, NAN),
            changed(6, 0.0),
            changed(6, 1e9),
            changed(7, "of no known meaning"),
            changed(8, -1),
            changed(9, "1"),
            changed(10, [7, -1]),
            changed(10, "7"),
            changed(11, "of no known meaning"),
            changed(11, [["e1", "e1/1", NAN, 0.5]]),
            changed(11, [["e1", "e1/1", -1.0, 0.5]]),
            changed(11, [["e1", "e1/1", 1.5, -1.0]]),
            changed(11, [["e1", "e1/1", 1.5, INF]]),
            changed(11, [[7, "e1/1", 1.5, 0.5]]),
            SOUND[:3],
            {"address": "x:1"},
            7,
        ],
    )
    async def test_record_of_another_writer_names_no_router(self, member, autojump_clock, lines):
        store = MemoryStore()
        async with trio.open_nursery() as nursery:
            made = roster(store, "a")
            await start(nursery, made)
            await trio.sleep(2)
            for _ in range(3):
                store.put(OPTIONS.topic, "x", msgspec.msgpack.encode(member))
                await trio.sleep(1.5)
            assert names(made) == ["a"]
            unreadable = [line for line in lines if line["event"] == "member-unreadable"]
            assert len(unreadable) == 1
            nursery.cancel_scope.cancel()

    @pytest.mark.parametrize(
        "record", [OLD, [*OLD, False], WITHOUT_LIMITS, SOUND, [*SOUND, "of a later version"]]
    )
    async def test_sound_record_names_a_router(self, record, autojump_clock) -> None:
        store = MemoryStore()
        async with trio.open_nursery() as nursery:
            made = roster(store, "a")
            await start(nursery, made)
            await trio.sleep(2)
            store.put(OPTIONS.topic, "x", msgspec.msgpack.encode(record))
            await trio.sleep(1.5)
            assert names(made) == ["a", "x"]
            nursery.cancel_scope.cancel()


class TestStoreThatComesBackOlder:
    async def test_router_that_left_is_not_brought_back(self, autojump_clock) -> None:
        store = MemoryStore(era=1)
        made, other = roster(store, "a"), roster(store, "b")
        async with trio.open_nursery() as nursery:
            await start(nursery, made)
            stopped = await start(nursery, other)
            await trio.sleep(SETTLED_S)
            copy = store.copy()
            await other.leave()
            stopped.cancel()
            await trio.sleep(2.0)
            assert names(made) == ["a"]
            store.roll_back(copy)
            for _ in range(50):
                await trio.sleep(0.1)
                assert names(made) == ["a"]
            nursery.cancel_scope.cancel()

    async def test_routers_that_live_stay(self, autojump_clock) -> None:
        store = MemoryStore(era=1)
        copy = store.copy()
        made, other = roster(store, "a"), roster(store, "b")
        async with trio.open_nursery() as nursery:
            await start(nursery, made)
            await start(nursery, other)
            await trio.sleep(SETTLED_S)
            store.roll_back(copy)
            for _ in range(100):
                await trio.sleep(0.1)
                assert names(made) == names(other) == ["a", "b"]
            nursery.cancel_scope.cancel()

    async def test_beat_is_written_at_once(self, autojump_clock) -> None:
        store = MemoryStore(era=1)
        copy = store.copy()
        made = roster(store, "a")
        async with trio.open_nursery() as nursery:
            await start(nursery, made)
            await trio.sleep(SETTLED_S + 0.3)
            store.roll_back(copy)
            await trio.sleep(0.05)
            assert store.topic(OPTIONS.topic).end == 1
            nursery.cancel_scope.cancel()

    async def test_router_of_the_copy_that_is_not_heard_is_dead(self, autojump_clock) -> None:
        store = MemoryStore(era=1)
        made, other = roster(store, "a"), roster(store, "b")
        async with trio.open_nursery() as nursery:
            await start(nursery, made)
            stopped = await start(nursery, other)
            await trio.sleep(SETTLED_S)
            copy = store.copy()
            await trio.sleep(1.0)
            stopped.cancel()
            store.roll_back(copy)
            await trio.sleep(2 * OPTIONS.dead_after_s + 1.0)
            assert names(made) == ["a"]
            nursery.cancel_scope.cancel()


class TestLimitUpdates:
    async def test_it_reaches_others_and_not_from_a_backlog(self, autojump_clock) -> None:
        store = MemoryStore()
        news = (LimitUpdate("e1", "e1/1", 1.5, 0.5),)
        told = Member("a-1", "a:1", "z", 0)
        teller = Roster(store, "a", told, OPTIONS, Random(1), limit_updates=lambda: news)
        heard: list[tuple[LimitUpdate, ...]] = []
        listener = roster(store, "b")
        listener.on_limits = heard.append
        async with trio.open_nursery() as nursery:
            await start(nursery, teller)
            await start(nursery, listener)
            await trio.sleep(8)
            assert heard and set(heard) == {news}
            store.down = True
            await trio.sleep(5)
            heard.clear()
            store.down = False
            await trio.sleep(2)
            assert heard == []
            await trio.sleep(6)
            assert heard
            nursery.cancel_scope.cancel()

    async def test_one_record_tells_of_so_many_at_the_most(self, autojump_clock) -> None:
        store = MemoryStore()
        news = tuple(LimitUpdate(f"e{n}", "life", 1.5, 0.5) for n in range(MOST_LIMITS + 1))
        teller = Roster(
            store, "a", Member("a-1", "a:1", "z", 0), OPTIONS, Random(1), limit_updates=lambda: news
        )
        async with trio.open_nursery() as nursery:
            await start(nursery, teller)
            await trio.sleep(2)
            record = store.topic(OPTIONS.topic).newest_by_key["a"]
            assert len(msgspec.msgpack.decode(record.value)[11]) == MOST_LIMITS
            nursery.cancel_scope.cancel()
