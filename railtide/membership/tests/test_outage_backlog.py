"""Effects of reading each key's newest record after an outage instead of the whole backlog."""

from collections.abc import Callable
from random import Random

import msgspec
import pytest
import trio

from railtide.journal.feed import Feed, FeedOptions
from railtide.journal.keyed import KeyedRecord
from railtide.membership.instances import Instance, InstanceState
from railtide.membership.roster import Member, Roster, RosterOptions
from railtide.membership.upstream_list import RECENT_LOSS_S, RETURN_GRACE_S, UpstreamList
from railtide.standins.keyed_store import MemoryStore

ROUTERS = 86
ROSTER = RosterOptions()
ENGINES = 200
ENGINE_BYTES = 196
HEARTBEATS_PER_S = 0.8


def separate_client(store: MemoryStore) -> MemoryStore:
    """Return another client of the same store, which can be down on its own."""
    client = MemoryStore()
    client._topic_by_name = store._topic_by_name
    return client


def write_heartbeat(store: MemoryStore, name: str, number: int) -> None:
    member = Member(f"{name}-7f3a91c2d4e5", "10.21.32.43:18080", "zone-a", number, 200.0, 12.5)
    store.put(ROSTER.topic, name, msgspec.msgpack.encode(member))


async def write_heartbeats(store: MemoryStore) -> None:
    number = 0
    while True:
        number += 1
        for router in range(ROUTERS):
            write_heartbeat(store, f"edge-delta-a-{router}", number)
        await trio.sleep(ROSTER.heartbeat_interval_s)


class TestDeadRouters:
    @pytest.mark.parametrize("outage_s", [5.0, 15.0])
    async def test_router_that_died_long_ago_is_not_alive_after_an_outage(
        self, autojump_clock, outage_s: float
    ) -> None:
        """Its last record stays in the topic forever; reading it again is no sign of life."""
        store = MemoryStore()
        client = separate_client(store)
        own = Member("own-1", "10.0.0.1:80", "zone-b", 0)
        roster = Roster(client, "own", own, ROSTER, Random(1))
        write_heartbeat(store, "died", 1)
        seen_alive: list[float] = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(write_heartbeats, store)
            nursery.start_soon(roster.run, lambda: True)
            await trio.sleep(30.0)
            assert "died" not in {endpoint.name for endpoint in roster.live()}
            client.down = True
            await trio.sleep(outage_s)
            client.down = False
            restored_at = trio.current_time()
            while trio.current_time() - restored_at < 15.0:
                await trio.sleep(0.1)
                if "died" in {endpoint.name for endpoint in roster.live()}:
                    seen_alive.append(round(trio.current_time() - restored_at, 1))
            nursery.cancel_scope.cancel()
        assert not seen_alive, (seen_alive[0], seen_alive[-1])


class Engines:
    """An upstream list that is fed as by `EdgeNode`."""

    def __init__(self, store: MemoryStore) -> None:
        self.states: dict[str, InstanceState] = {}
        self.listed = UpstreamList(self._changed, self._lapse_until)
        self.feed = Feed(
            store,
            "keyed.servers",
            FeedOptions(pause_s=0.3),
            Random(1),
            self._take,
            self.listed.retain,
        )

    def _changed(self, pool: str, instances: list[Instance]) -> None:
        self.states = {instance.name: instance.state for instance in instances}

    def _take(self, records: list[KeyedRecord]) -> None:
        for record in records:
            if not record.value:
                self.listed.remove(record.key)
                continue
            name = record.key
            state = InstanceState(record.value.split(b" ")[0].decode())
            self.listed.put(Instance(name, name, f"{name}:1", "z", "engine", "p", state=state))
        self.listed.apply_pending()

    def _lapse_until(self) -> float:
        """As in `EdgeNode._lapse_until`."""
        feed = self.feed
        if not feed.caught_up or feed.restored_at < feed.lost_at:
            return trio.current_time() + RETURN_GRACE_S
        lost_lately = trio.current_time() - feed.restored_at <= RECENT_LOSS_S
        if feed.lost_at == -float("inf") or not lost_lately:
            return trio.current_time()
        return feed.restored_at + RETURN_GRACE_S

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.feed.run)
            while True:
                await trio.sleep(0.1)
                self.listed.apply_pending()


def write_state(store: MemoryStore, name: str, state: InstanceState) -> None:
    store.put("keyed.servers", name, f"{state} ".encode().ljust(ENGINE_BYTES, b"."))


async def write_live_states(
    store: MemoryStore, has_left: Callable[[str], bool], engines: int
) -> None:
    while True:
        for number in range(engines):
            if not has_left(f"e{number}"):
                write_state(store, f"e{number}", InstanceState.LIVE)
        await trio.sleep(1 / HEARTBEATS_PER_S)


class TestDrainedEngines:
    @pytest.mark.parametrize("engines", [10, ENGINES])
    async def test_engine_that_left_during_an_outage_gets_no_requests_after_it(
        self, autojump_clock, engines: int
    ) -> None:
        """Its leaving record is only in the backlog; among the newest records it is missing."""
        store = MemoryStore()
        client = separate_client(store)
        known = Engines(client)
        left: set[str] = set()
        live_for: list[float] = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(write_live_states, store, left.__contains__, engines)
            nursery.start_soon(known.run)
            await trio.sleep(5.0)
            assert known.states["e7"] is InstanceState.LIVE
            client.down = True
            await trio.sleep(1.0)
            left.add("e7")
            write_state(store, "e7", InstanceState.LEAVING)
            await trio.sleep(2.5)
            store.put("keyed.servers", "e7", b"")
            await trio.sleep(1.0)
            client.down = False
            restored_at = trio.current_time()
            while trio.current_time() - restored_at < 4.0:
                await trio.sleep(0.05)
                is_reachable = known.feed.reachable
                if is_reachable and known.states.get("e7") is InstanceState.LIVE:
                    live_for.append(round(trio.current_time() - restored_at, 2))
            nursery.cancel_scope.cancel()
        assert not live_for, (live_for[0], live_for[-1])
