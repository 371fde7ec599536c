"""The word that a router is behind, where the append that carries it is lost."""

from random import Random

import msgspec
import pytest
import trio

from railtide.membership.roster import Member, Roster, RosterOptions
from railtide.standins.keyed_store import MemoryStore

OPTIONS = RosterOptions()


def made(store: MemoryStore, name: str, outdated: list[str]) -> Roster:
    member = Member(f"{name}-1", f"{name}:1", "z", 0, 100.0)
    return Roster(store, name, member, OPTIONS, Random(1), lambda: 0.0, lambda: name in outdated)


def says_behind(store: MemoryStore, name: str) -> bool:
    record = store.topic(OPTIONS.topic).newest_by_key[name]
    return msgspec.msgpack.decode(record.value, type=Member).outdated


class TestLostWord:
    @pytest.mark.parametrize("began_s", [10.0, 11.0, 12.0])
    async def test_word_that_was_lost_is_said_with_the_next_beat(
        self, autojump_clock, began_s: float
    ) -> None:
        """A beat that failed counts as announced, so an idle router is silent for three more s."""
        store = MemoryStore()
        outdated: list[str] = []
        ways = {f"r{n}": MemoryStore() for n in range(4)}
        for way in ways.values():
            way._topic_by_name = store._topic_by_name
        rosters = {name: made(way, name, outdated) for name, way in ways.items()}
        async with trio.open_nursery() as nursery:
            for roster in rosters.values():
                nursery.start_soon(roster.run, lambda: True)
            await trio.sleep(began_s + 0.05)
            name = next(name for name, roster in rosters.items() if not roster.is_advertised())
            ways[name].down = True
            outdated.append(name)
            await trio.sleep(OPTIONS.heartbeat_interval_s + 0.1)
            assert not rosters[name].is_announced_outdated()
            assert not says_behind(store, name)
            ways[name].down = False
            await trio.sleep(OPTIONS.heartbeat_interval_s + 0.1)
            assert says_behind(store, name)
            nursery.cancel_scope.cancel()
