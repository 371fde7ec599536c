"""An outdated router's heartbeat that announces this, when its append fails."""

from random import Random

import msgspec
import pytest
import trio

from railtide.membership.roster import Member, Roster, RosterOptions
from railtide.standins.keyed_store import MemoryStore

OPTIONS = RosterOptions()


def roster_of(store: MemoryStore, name: str, outdated: list[str]) -> Roster:
    member = Member(f"{name}-1", f"{name}:1", "z", 0, 100.0)
    return Roster(store, name, member, OPTIONS, Random(1), lambda: 0.0, lambda: name in outdated)


def is_outdated_in(store: MemoryStore, name: str) -> bool:
    record = store.topic(OPTIONS.topic).newest_by_key[name]
    return msgspec.msgpack.decode(record.value, type=Member).outdated


class TestLostHeartbeat:
    @pytest.mark.parametrize("began_s", [10.0, 11.0, 12.0])
    async def test_lost_announcement_is_repeated_within_an_interval(
        self, autojump_clock, began_s: float
    ) -> None:
        """If a failed append counted as announced, an idle router would not repeat it for 3 s."""
        store = MemoryStore()
        outdated: list[str] = []
        stores = {f"r{n}": MemoryStore() for n in range(4)}
        for own_store in stores.values():
            own_store._topic_by_name = store._topic_by_name
        rosters = {name: roster_of(own_store, name, outdated) for name, own_store in stores.items()}
        async with trio.open_nursery() as nursery:
            for roster in rosters.values():
                nursery.start_soon(roster.run, lambda: True)
            await trio.sleep(began_s + 0.05)
            name = next(name for name, roster in rosters.items() if not roster.is_advertised())
            stores[name].down = True
            outdated.append(name)
            await trio.sleep(OPTIONS.heartbeat_interval_s + 0.1)
            assert not rosters[name].is_announced_outdated()
            assert not is_outdated_in(store, name)
            stores[name].down = False
            await trio.sleep(OPTIONS.heartbeat_interval_s + 0.1)
            assert is_outdated_in(store, name)
            nursery.cancel_scope.cancel()
