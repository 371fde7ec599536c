"""A router over HTTP whose store comes back from a copy some seconds old."""

import trio

from railtide.edge.freshness import REWRITE_GRACE_S
from railtide.membership.instances import InstanceState
from railtide.membership.upstream_list import RETURN_GRACE_S
from railtide.platform.tests.test_outdated_view import assert_outdated, until
from railtide.platform.tests.test_whole_path import World, body_of, desired_state, world
from railtide.standins.keyed_store import MemoryStore

CONFIGURATION = "keyed.op"
NEW_KEY = (b"x-credential", b"k2")
OLD_KEY = (b"x-credential", b"k")
SHOWN_S = 0.5
"""In which a router has read a copy: two reads of a store that answers in milliseconds."""
BORN = 1_700_000_000_000


def upstreams(w: World) -> dict[str, InstanceState]:
    scheduler = w.node.schedulers_by_pool["s"]
    return {name: known.instance.state for name, known in scheduler.by_name.items()}


class TestRollback:
    async def test_configuration_does_not_revert_and_moves_on(self) -> None:
        async with world(store=MemoryStore(era=1)) as w:
            await w.add_engine("e1")
            copy = w.store.copy()
            w.store.put(CONFIGURATION, "config", desired_state(2, keys=("k2",)))
            await until(lambda: w.node.snapshot.version == 2)
            w.store.roll_back(copy)
            await trio.sleep(SHOWN_S)
            assert w.node.snapshot.version == 2
            assert (await w.ask("/safe/x", OLD_KEY)).status in (401, 503)
            answer = await w.ask("/safe/x", NEW_KEY)
            assert (answer.status, await body_of(answer)) == (200, b"ok")
            w.store.put(CONFIGURATION, "config", desired_state(3))
            await until(lambda: w.node.snapshot.version == 3)

    async def test_upstream_that_left_stays_so(self) -> None:
        async with world(store=MemoryStore(era=1)) as w:
            await w.add_engine("e1")
            await w.add_engine("e2", born=BORN)
            copy = w.store.copy()
            w.put_engine("e2", born=BORN, seq=2, state="draining")
            await until(lambda: upstreams(w)["e2"] is InstanceState.LEAVING)
            w.store.put("keyed.servers", "e2", b"")
            await until(lambda: "e2" not in upstreams(w))
            w.store.roll_back(copy)
            for _ in range(20):
                await trio.sleep(SHOWN_S / 20)
                assert "e2" not in upstreams(w)

    async def test_upstream_that_is_missing_in_the_copy_has_its_time(self) -> None:
        async with world(store=MemoryStore(era=1)) as w:
            await w.add_engine("e1", born=BORN)
            copy = w.store.copy()
            await w.add_engine("e2", born=BORN)
            await w.add_engine("e3", born=BORN)
            await trio.sleep(SHOWN_S)
            w.store.roll_back(copy)
            await trio.sleep(SHOWN_S)
            w.put_engine("e2", born=BORN, seq=2)
            await trio.sleep(RETURN_GRACE_S - 2 * SHOWN_S)
            assert sorted(upstreams(w)) == ["e1", "e2", "e3"]
            await trio.sleep(2 * SHOWN_S)
            assert sorted(upstreams(w)) == ["e1", "e2"]


class TestRefusals:
    """What the operator wrote in the lost seconds is written again, and may be newer."""

    async def test_none_is_final_before_that_may_have_come(self) -> None:
        async with world(store=MemoryStore(era=1)) as w:
            await w.add_engine("e1")
            assert (await w.ask("/nowhere/x")).status == 404
            w.store.roll_back(w.store.copy())
            await trio.sleep(SHOWN_S)
            await assert_outdated(await w.ask("/nowhere/x"))
            await assert_outdated(await w.ask("/safe/x", NEW_KEY))
            assert (await w.ask("/safe/x")).status == 200
            await trio.sleep(REWRITE_GRACE_S)
            assert (await w.ask("/nowhere/x")).status == 404

    async def test_none_is_while_the_store_shows_a_replaced_version(self) -> None:
        async with world(store=MemoryStore(era=1)) as w:
            await w.add_engine("e1")
            copy = w.store.copy()
            w.store.put(CONFIGURATION, "config", desired_state(2))
            await until(lambda: w.node.snapshot.version == 2)
            w.store.roll_back(copy)
            await trio.sleep(REWRITE_GRACE_S + SHOWN_S)
            await assert_outdated(await w.ask("/nowhere/x"))
            assert w.node.ready
            w.store.put(CONFIGURATION, "config", desired_state(2))
            await until(w.node.configuration_is_current)
            assert (await w.ask("/nowhere/x")).status == 404
