"""Tests of railtide.membership.roster."""

from random import Random

import trio

from railtide.membership.roster import Member, Roster, RosterOptions
from railtide.standins.keyed_store import MemoryStore

OPTIONS = RosterOptions()


def roster(store: MemoryStore, name: str, life: str = "1") -> Roster:
    return Roster(store, name, Member(f"{name}-{life}", f"{name}:1", "z", 0), OPTIONS, Random(1))


def names(made: Roster) -> list[str]:
    return sorted(entrance.name for entrance in made.live())


async def start(nursery: trio.Nursery, made: Roster) -> trio.CancelScope:
    """Run a roster that is ready; return what stops it."""
    scope = trio.CancelScope()

    async def run() -> None:
        with scope:
            await made.run(lambda: True)

    nursery.start_soon(run)
    return scope


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
