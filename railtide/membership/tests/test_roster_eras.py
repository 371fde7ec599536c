"""Tests of what railtide.membership.roster reports about routers after a rollback of the store."""

import math
from random import Random

import msgspec
import trio

from railtide.membership.roster import Member, Roster, RosterOptions
from railtide.membership.tests.test_roster import SETTLED_S, start
from railtide.standins.keyed_store import MemoryStore

OPTIONS = RosterOptions()


def roster_of(store: MemoryStore, name: str, *offsets: int, incarnation: str = "1") -> Roster:
    """Return the roster of a router that has read the ledgers up to these offsets."""
    member = Member(f"{name}-{incarnation}", f"{name}:1", name, 0)
    return Roster(store, name, member, OPTIONS, Random(1), read_offsets=lambda: offsets)


class TestMinReadOffset:
    async def test_lowest_offset_of_the_others_counts(self, autojump_clock) -> None:
        store = MemoryStore(era=1)
        made, other = roster_of(store, "a", 1, 1), roster_of(store, "b", 8, 5)
        async with trio.open_nursery() as nursery:
            for each in (made, other):
                await start(nursery, each)
            await trio.sleep(SETTLED_S)
            assert (made.min_read_offset(0, {}), made.min_read_offset(1, {})) == (8, 5)
            assert other.min_read_offset(0, {}) == 1
            nursery.cancel_scope.cancel()

    async def test_ledgers_may_report_a_higher_offset(self, autojump_clock) -> None:
        store = MemoryStore(era=1)
        made, other = roster_of(store, "a", 1), roster_of(store, "b", 8)
        async with trio.open_nursery() as nursery:
            for each in (made, other):
                await start(nursery, each)
            await trio.sleep(SETTLED_S)
            assert made.min_read_offset(0, {("b", "b-1"): 11}) == 11
            assert made.min_read_offset(0, {("b", "b-0"): 11}) == 8
            nursery.cancel_scope.cancel()

    async def test_single_router_waits_for_no_other(self, autojump_clock) -> None:
        store = MemoryStore(era=1)
        made = roster_of(store, "a", 1)
        async with trio.open_nursery() as nursery:
            await start(nursery, made)
            await trio.sleep(SETTLED_S)
            assert made.min_read_offset(0, {}) == math.inf
            nursery.cancel_scope.cancel()

    async def test_silent_router_counts_until_it_is_considered_dead(self, autojump_clock) -> None:
        store = MemoryStore(era=1)
        made, other = roster_of(store, "a", 1), roster_of(store, "b", 8)
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

    async def test_heartbeat_of_a_former_era_counts_as_nothing_read(self, autojump_clock) -> None:
        store = MemoryStore(era=1)
        made, other = roster_of(store, "a", 1), roster_of(store, "b", 8)
        async with trio.open_nursery() as nursery:
            await start(nursery, made)
            stopped = await start(nursery, other)
            await trio.sleep(SETTLED_S)
            stopped.cancel()
            store.roll_back(store.copy())
            await trio.sleep(1.0)
            assert made.min_read_offset(0, {}) == 0
            nursery.cancel_scope.cancel()

    async def test_router_of_a_former_release_is_left_out(self, autojump_clock) -> None:
        store = MemoryStore(era=1)
        made = roster_of(store, "a", 1)
        async with trio.open_nursery() as nursery:
            await start(nursery, made)
            for seq in range(6):
                former = ["b-1", "b:1", "z", seq, 10.0, 0.0, 1.0, False]
                store.put(OPTIONS.topic, "b", msgspec.msgpack.encode(former))
                await trio.sleep(1.0)
            assert "b" in [endpoint.name for endpoint in made.advertised()]
            assert made.min_read_offset(0, {}) == math.inf
            nursery.cancel_scope.cancel()


class TestLostRouters:
    async def test_router_that_writes_in_the_new_era_is_not_lost(self, autojump_clock) -> None:
        store = MemoryStore(era=1)
        made, other = roster_of(store, "a"), roster_of(store, "b")
        async with trio.open_nursery() as nursery:
            for each in (made, other):
                await start(nursery, each)
            await trio.sleep(SETTLED_S)
            store.roll_back(store.copy())
            await trio.sleep(2.0)
            assert (
                made.lost_routers(2, last_opened=1),
                made.heard_from_former(2, last_opened=1),
            ) == (
                0,
                True,
            )
            nursery.cancel_scope.cancel()

    async def test_router_that_died_is_lost(self, autojump_clock) -> None:
        store = MemoryStore(era=1)
        made, other = roster_of(store, "a"), roster_of(store, "b")
        async with trio.open_nursery() as nursery:
            await start(nursery, made)
            stopped = await start(nursery, other)
            await trio.sleep(SETTLED_S)
            stopped.cancel()
            store.roll_back(store.copy())
            await trio.sleep(2.0)
            assert (
                made.lost_routers(2, last_opened=1),
                made.heard_from_former(2, last_opened=1),
            ) == (
                1,
                True,
            )
            nursery.cancel_scope.cancel()

    async def test_replaced_process_is_lost(self, autojump_clock) -> None:
        store = MemoryStore(era=1)
        made, other = roster_of(store, "a"), roster_of(store, "b")
        async with trio.open_nursery() as nursery:
            await start(nursery, made)
            stopped = await start(nursery, other)
            await trio.sleep(SETTLED_S)
            stopped.cancel()
            store.roll_back(store.copy())
            await start(nursery, roster_of(store, "b", incarnation="2"))
            await trio.sleep(2.0)
            assert made.lost_routers(2, last_opened=1) == 1
            nursery.cancel_scope.cancel()

    async def test_unknown_process_counts_as_a_lost_one(self, autojump_clock) -> None:
        """It was not seen before the rise, so another process may have preceded it."""
        store = MemoryStore(era=1)
        made = roster_of(store, "a")
        async with trio.open_nursery() as nursery:
            await start(nursery, made)
            await trio.sleep(SETTLED_S)
            store.roll_back(store.copy())
            await start(nursery, roster_of(store, "b"))
            await trio.sleep(2.0)
            assert made.lost_routers(2, last_opened=1) == 1
            nursery.cancel_scope.cancel()

    async def test_router_that_had_left_is_not_lost(self, autojump_clock) -> None:
        store = MemoryStore(era=1)
        made, other = roster_of(store, "a"), roster_of(store, "b")
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
            assert made.lost_routers(2, last_opened=1) == 0
            nursery.cancel_scope.cancel()

    async def test_new_process_counts_all_routers_of_the_copy_as_lost(self, autojump_clock) -> None:
        store = MemoryStore(era=1)
        made, other = roster_of(store, "a"), roster_of(store, "b")
        async with trio.open_nursery() as nursery:
            stopped = [await start(nursery, each) for each in (made, other)]
            await trio.sleep(SETTLED_S)
            for scope in stopped:
                scope.cancel()
            store.roll_back(store.copy())
            restarted = roster_of(store, "a", incarnation="2")
            await start(nursery, restarted)
            await trio.sleep(2.0)
            assert (
                restarted.lost_routers(2, last_opened=1),
                restarted.heard_from_former(2, last_opened=1),
            ) == (2, False)
            nursery.cancel_scope.cancel()

    async def test_new_process_does_not_count_survivors_as_lost(self, autojump_clock) -> None:
        store = MemoryStore(era=1)
        made, other = roster_of(store, "a"), roster_of(store, "b")
        async with trio.open_nursery() as nursery:
            stopped = await start(nursery, made)
            await start(nursery, other)
            await trio.sleep(SETTLED_S)
            stopped.cancel()
            store.roll_back(store.copy())
            restarted = roster_of(store, "a", incarnation="2")
            await start(nursery, restarted)
            await trio.sleep(2.0)
            assert (
                restarted.lost_routers(2, last_opened=1),
                restarted.heard_from_former(2, last_opened=1),
            ) == (1, False)
            nursery.cancel_scope.cancel()

    async def test_process_of_an_era_without_grants_is_no_survivor(self, autojump_clock) -> None:
        """All routers died, and the store is rolled back again before grants were made."""
        store = MemoryStore(era=1)
        made, other = roster_of(store, "a"), roster_of(store, "b")
        async with trio.open_nursery() as nursery:
            stopped = [await start(nursery, each) for each in (made, other)]
            await trio.sleep(SETTLED_S)
            copy = store.copy()
            for scope in stopped:
                scope.cancel()
            store.roll_back(copy)
            restarted = [roster_of(store, name, incarnation="2") for name in ("a", "b")]
            for each in restarted:
                await start(nursery, each)
            await trio.sleep(2.0)
            store.roll_back(copy)
            await trio.sleep(2.0)
            assert (
                restarted[0].lost_routers(3, last_opened=1),
                restarted[0].heard_from_former(3, last_opened=1),
            ) == (2, False)
            nursery.cancel_scope.cancel()
