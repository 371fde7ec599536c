"""End-to-end tests of a router whose store is restored from a copy some seconds old."""

import trio

from railtide.edge.freshness import REWRITE_GRACE_S
from railtide.membership.instances import InstanceState
from railtide.membership.upstream_list import RETURN_GRACE_S
from railtide.platform.tests.test_end_to_end import (
    RouterEnvironment,
    body_of,
    desired_state,
    router_environment,
)
from railtide.platform.tests.test_outdated_configuration import assert_outdated, wait_until
from railtide.standins.keyed_store import MemoryStore

CONFIGURATION = "keyed.op"
NEW_KEY = (b"x-credential", b"k2")
OLD_KEY = (b"x-credential", b"k")
READ_S = 0.5
"""Time within which a router has read the copy: two reads of a fast store."""
BORN = 1_700_000_000_000


def upstream_states(env: RouterEnvironment) -> dict[str, InstanceState]:
    scheduler = env.node.schedulers_by_pool["s"]
    return {name: known.instance.state for name, known in scheduler.by_name.items()}


class TestRollback:
    async def test_configuration_does_not_revert_and_accepts_newer_versions(self) -> None:
        async with router_environment(store=MemoryStore(era=1)) as env:
            await env.add_engine("e1")
            copy = env.store.copy()
            env.store.put(CONFIGURATION, "config", desired_state(2, keys=("k2",)))
            await wait_until(lambda: env.node.snapshot.version == 2)
            env.store.roll_back(copy)
            await trio.sleep(READ_S)
            assert env.node.snapshot.version == 2
            assert (await env.send("/safe/x", OLD_KEY)).status in (401, 503)
            answer = await env.send("/safe/x", NEW_KEY)
            assert (answer.status, await body_of(answer)) == (200, b"ok")
            env.store.put(CONFIGURATION, "config", desired_state(3))
            await wait_until(lambda: env.node.snapshot.version == 3)

    async def test_removed_upstream_stays_removed(self) -> None:
        async with router_environment(store=MemoryStore(era=1)) as env:
            await env.add_engine("e1")
            await env.add_engine("e2", born=BORN)
            copy = env.store.copy()
            env.put_engine("e2", born=BORN, seq=2, state="draining")
            await wait_until(lambda: upstream_states(env)["e2"] is InstanceState.LEAVING)
            env.store.put("keyed.servers", "e2", b"")
            await wait_until(lambda: "e2" not in upstream_states(env))
            env.store.roll_back(copy)
            for _ in range(20):
                await trio.sleep(READ_S / 20)
                assert "e2" not in upstream_states(env)

    async def test_upstream_missing_in_the_copy_is_kept_for_a_grace_period(self) -> None:
        async with router_environment(store=MemoryStore(era=1)) as env:
            await env.add_engine("e1", born=BORN)
            copy = env.store.copy()
            await env.add_engine("e2", born=BORN)
            await env.add_engine("e3", born=BORN)
            await trio.sleep(READ_S)
            env.store.roll_back(copy)
            await trio.sleep(READ_S)
            env.put_engine("e2", born=BORN, seq=2)
            await trio.sleep(RETURN_GRACE_S - 2 * READ_S)
            assert sorted(upstream_states(env)) == ["e1", "e2", "e3"]
            await trio.sleep(2 * READ_S)
            assert sorted(upstream_states(env)) == ["e1", "e2"]


class TestRefusals:
    """The operator writes lost changes again, and these may be newer than the copy."""

    async def test_no_refusal_is_final_within_the_rewrite_grace_period(self) -> None:
        async with router_environment(store=MemoryStore(era=1)) as env:
            await env.add_engine("e1")
            assert (await env.send("/nowhere/x")).status == 404
            env.store.roll_back(env.store.copy())
            await trio.sleep(READ_S)
            await assert_outdated(await env.send("/nowhere/x"))
            await assert_outdated(await env.send("/safe/x", NEW_KEY))
            assert (await env.send("/safe/x")).status == 200
            await trio.sleep(REWRITE_GRACE_S)
            assert (await env.send("/nowhere/x")).status == 404

    async def test_no_refusal_is_final_while_the_store_holds_an_older_version(self) -> None:
        async with router_environment(store=MemoryStore(era=1)) as env:
            await env.add_engine("e1")
            copy = env.store.copy()
            env.store.put(CONFIGURATION, "config", desired_state(2))
            await wait_until(lambda: env.node.snapshot.version == 2)
            env.store.roll_back(copy)
            await trio.sleep(REWRITE_GRACE_S + READ_S)
            await assert_outdated(await env.send("/nowhere/x"))
            assert env.node.ready
            env.store.put(CONFIGURATION, "config", desired_state(2))
            await wait_until(env.node.configuration_is_current)
            assert (await env.send("/nowhere/x")).status == 404
