"""Tests of what railtide.membership.roster tells of routers over a store that comes back older."""

import math
from random import Random

import msgspec
import trio

from railtide.membership.roster import Member, Roster, RosterOptions
from railtide.membership.tests.test_roster import SETTLED_S, start
from railtide.standins.keyed_store import MemoryStore

OPTIONS = RosterOptions()


def reading(store: MemoryStore, name: str, *ends: int, life: str = "1") -> Roster:
    """Return a router's roster that says up to where it has read the ledgers."""
    member = Member(f"{name}-{life}", f"{name}:1", name, 0)
    return Roster(store, name, member, OPTIONS, Random(1), read_offsets=lambda: ends)


class TestReading:
    async def test_least_of_the_others_counts(self, autojump_clock) -> None:
        store = MemoryStore(era=1)
        made, other = reading(store, "a", 1, 1), reading(store, "b", 8, 5)
        async with trio.open_nursery() as nursery:
            for each in (made, other):
                await start(nursery, each)
            await trio.sleep(SETTLED_S)
            assert (made.min_read_offset(0, {}), made.min_read_offset(1, {})) == (8, 5)
            assert other.min_read_offset(0, {}) == 1
            nursery.cancel_scope.cancel()

    async def test_ledgers_may_tell_of_more(self, autojump_clock) -> None:
        store = MemoryStore(era=1)
        made, other = reading(store, "a", 1), reading(store, "b", 8)
        async with trio.open_nursery() as nursery:
            for each in (made, other):
                await start(nursery, each)
            await trio.sleep(SETTLED_S)
            assert made.min_read_offset(0, {("b", "b-1"): 11}) == 11
            assert made.min_read_offset(0, {("b", "b-0"): 11}) == 8
            nursery.cancel_scope.cancel()

    async def test_router_that_is_alone_waits_for_nobody(self, autojump_clock) -> None:
        store = MemoryStore(era=1)
        made = reading(store, "a", 1)
        async with trio.open_nursery() as nursery:
            await start(nursery, made)
            await trio.sleep(SETTLED_S)
            assert made.min_read_offset(0, {}) == math.inf
            nursery.cancel_scope.cancel()

    async def test_silent_one_is_waited_for_until_it_counts_as_dead(self, autojump_clock) -> None:
        store = MemoryStore(era=1)
        made, other = reading(store, "a", 1), reading(store, "b", 8)
        async with trio.open_nursery() as nursery:
            await start(nursery, made)
            stopped = await start(nursery, other)
            await trio.sleep(SETTLED_S)
            stopped.cancel()
            await trio.sleep(OPTIONS.dead_after_s - 1.5)
            assert made.min_read_offset(0, {}) == 8
            await trio.sleep(3.0)
            assert made.min_read_offset(0, {}) == math.inf
            nursery.cancel_scope.cancel()

    async def test_beat_of_a_former_era_tells_nothing(self, autojump_clock) -> None:
        store = MemoryStore(era=1)
        made, other = reading(store, "a", 1), reading(store, "b", 8)
        async with trio.open_nursery() as nursery:
            await start(nursery, made)
            stopped = await start(nursery, other)
            await trio.sleep(SETTLED_S)
            stopped.cancel()
            store.roll_back(store.copy())
            await trio.sleep(1.0)
            assert made.min_read_offset(0, {}) == 0
            nursery.cancel_scope.cancel()

    async def test_router_of_a_former_release_is_not_waited_for(self, autojump_clock) -> None:
        store = MemoryStore(era=1)
        made = reading(store, "a", 1)
        async with trio.open_nursery() as nursery:
            await start(nursery, made)
            for beat in range(6):
                former = ["b-1", "b:1", "z", beat, 10.0, 0.0, 1.0, False]
                store.put(OPTIONS.topic, "b", msgspec.msgpack.encode(former))
                await trio.sleep(1.0)
            assert "b" in [endpoint.name for endpoint in made.advertised()]
            assert made.min_read_offset(0, {}) == math.inf
            nursery.cancel_scope.cancel()


class TestGone:
    async def test_router_that_is_heard_again_is_not(self, autojump_clock) -> None:
        store = MemoryStore(era=1)
        made, other = reading(store, "a"), reading(store, "b")
        async with trio.open_nursery() as nursery:
            for each in (made, other):
                await start(nursery, each)
            await trio.sleep(SETTLED_S)
            store.roll_back(store.copy())
            await trio.sleep(2.0)
            assert (made.count_missing(2, last_opened=1), made.has_survivor(2, last_opened=1)) == (
                0,
                True,
            )
            nursery.cancel_scope.cancel()

    async def test_router_that_died_is(self, autojump_clock) -> None:
        store = MemoryStore(era=1)
        made, other = reading(store, "a"), reading(store, "b")
        async with trio.open_nursery() as nursery:
            await start(nursery, made)
            stopped = await start(nursery, other)
            await trio.sleep(SETTLED_S)
            stopped.cancel()
            store.roll_back(store.copy())
            await trio.sleep(2.0)
            assert (made.count_missing(2, last_opened=1), made.has_survivor(2, last_opened=1)) == (
                1,
                True,
            )
            nursery.cancel_scope.cancel()

    async def test_process_that_was_replaced_is(self, autojump_clock) -> None:
        store = MemoryStore(era=1)
        made, other = reading(store, "a"), reading(store, "b")
        async with trio.open_nursery() as nursery:
            await start(nursery, made)
            stopped = await start(nursery, other)
            await trio.sleep(SETTLED_S)
            stopped.cancel()
            store.roll_back(store.copy())
            await start(nursery, reading(store, "b", life="2"))
            await trio.sleep(2.0)
            assert made.count_missing(2, last_opened=1) == 1
            nursery.cancel_scope.cancel()

    async def test_process_that_nobody_had_heard_of_is(self, autojump_clock) -> None:
        """It was not seen before the rise: there may have been another before it."""
        store = MemoryStore(era=1)
        made = reading(store, "a")
        async with trio.open_nursery() as nursery:
            await start(nursery, made)
            await trio.sleep(SETTLED_S)
            store.roll_back(store.copy())
            await start(nursery, reading(store, "b"))
            await trio.sleep(2.0)
            assert made.count_missing(2, last_opened=1) == 1
            nursery.cancel_scope.cancel()

    async def test_router_that_had_left_is_not(self, autojump_clock) -> None:
        store = MemoryStore(era=1)
        made, other = reading(store, "a"), reading(store, "b")
        async with trio.open_nursery() as nursery:
            await start(nursery, made)
            stopped = await start(nursery, other)
            await trio.sleep(SETTLED_S)
            copy = store.copy()
            await other.leave()
            stopped.cancel()
            await trio.sleep(2.0)
            store.roll_back(copy)
            await trio.sleep(2.0)
            assert made.count_missing(2, last_opened=1) == 0
            nursery.cancel_scope.cancel()

    async def test_one_that_starts_in_the_era_misses_all_that_the_copy_shows(
        self, autojump_clock
    ) -> None:
        store = MemoryStore(era=1)
        made, other = reading(store, "a"), reading(store, "b")
        async with trio.open_nursery() as nursery:
            stopped = [await start(nursery, each) for each in (made, other)]
            await trio.sleep(SETTLED_S)
            for scope in stopped:
                scope.cancel()
            store.roll_back(store.copy())
            fresh = reading(store, "a", life="2")
            await start(nursery, fresh)
            await trio.sleep(2.0)
            assert (
                fresh.count_missing(2, last_opened=1),
                fresh.has_survivor(2, last_opened=1),
            ) == (2, False)
            nursery.cancel_scope.cancel()

    async def test_it_does_not_miss_those_that_lived_through(self, autojump_clock) -> None:
        store = MemoryStore(era=1)
        made, other = reading(store, "a"), reading(store, "b")
        async with trio.open_nursery() as nursery:
            stopped = await start(nursery, made)
            await start(nursery, other)
            await trio.sleep(SETTLED_S)
            stopped.cancel()
            store.roll_back(store.copy())
            fresh = reading(store, "a", life="2")
            await start(nursery, fresh)
            await trio.sleep(2.0)
            assert (
                fresh.count_missing(2, last_opened=1),
                fresh.has_survivor(2, last_opened=1),
            ) == (1, False)
            nursery.cancel_scope.cancel()

    async def test_one_of_an_era_that_was_never_open_knows_nothing(self, autojump_clock) -> None:
        """All died; the store comes back from the same copy before the era could be opened."""
        store = MemoryStore(era=1)
        made, other = reading(store, "a"), reading(store, "b")
        async with trio.open_nursery() as nursery:
            stopped = [await start(nursery, each) for each in (made, other)]
            await trio.sleep(SETTLED_S)
            copy = store.copy()
            for scope in stopped:
                scope.cancel()
            store.roll_back(copy)
            fresh = [reading(store, name, life="2") for name in ("a", "b")]
            for each in fresh:
                await start(nursery, each)
            await trio.sleep(2.0)
            store.roll_back(copy)
            await trio.sleep(2.0)
            assert (
                fresh[0].count_missing(3, last_opened=1),
                fresh[0].has_survivor(3, last_opened=1),
            ) == (2, False)
            nursery.cancel_scope.cancel()
