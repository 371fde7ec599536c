"""End-to-end tests of failure domains that the operator orders to be drained.

Requests ran at upstreams of a failure domain 13.7 s after its drain had been ordered: routers read
only the desired state from the configuration topic, and ignored the orders in it.
"""

import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import msgspec
import pytest
import trio

from railtide.http.messages import first_header
from railtide.platform.tests.test_end_to_end import (
    RouterEnvironment,
    body_of,
    desired_state,
    router_environment,
)
from railtide.standins.keyed_store import MemoryStore
from railtide.standins.platform import EngineScript, PlatformEngine

ORDER = b"{}"
IN_FORCE_S = 1.0
"""Time within which an order must be in force at a router that can read the store."""


def order_drain(store: MemoryStore, domain: str, value: bytes = ORDER) -> None:
    store.put("keyed.op", f"evacuate/{domain}", value)


def withdraw_drain(store: MemoryStore, domain: str) -> None:
    order_drain(store, domain, b"")


@asynccontextmanager
async def two_domains(store: MemoryStore | None = None) -> AsyncIterator[RouterEnvironment]:
    """Yield a router with an engine in each of the failure domains a and b."""
    async with router_environment(store=store or MemoryStore()) as env:
        for domain in ("a", "b"):
            await env.add_engine(f"e-{domain}")
            env.put_engine(f"e-{domain}", zone=domain, seq=2)
        await wait_until(lambda: {u.failure_domain for u in upstreams(env)} == {"a", "b"})
        yield env


def upstreams(env: RouterEnvironment):
    return [known.instance for known in env.node.schedulers_by_pool["s"].by_name.values()]


async def wait_until(condition: Callable[[], bool], within_s: float = 5.0) -> None:
    with trio.fail_after(within_s):
        while not condition():
            await trio.sleep(0.01)


async def engines_that_run(env: RouterEnvironment, requests: int = 12) -> set[str]:
    """Send requests, and return the names of the engines that ran any of them."""
    before = {name: len(engine.ran) for name, engine in env.engine_by_name.items()}
    for _ in range(requests):
        assert (await env.send("/safe/x")).status == 200
    return {name for name, engine in env.engine_by_name.items() if len(engine.ran) > before[name]}


async def wait_until_drained(env: RouterEnvironment, *domains: str) -> None:
    await wait_until(lambda: env.node.drained_domains == set(domains), IN_FORCE_S)


class TestOrders:
    async def test_no_new_request_is_sent_to_a_domain_until_its_drain_is_withdrawn(self) -> None:
        async with two_domains() as env:
            assert await engines_that_run(env) == {"e-a", "e-b"}
            order_drain(env.store, "a")
            await wait_until_drained(env, "a")
            assert await engines_that_run(env) == {"e-b"}
            withdraw_drain(env.store, "a")
            await wait_until_drained(env)
            assert await engines_that_run(env) == {"e-a", "e-b"}
            order_drain(env.store, "a")
            await wait_until_drained(env, "a")
            assert await engines_that_run(env) == {"e-b"}

    async def test_running_request_continues_in_a_drained_domain(self) -> None:
        async with two_domains() as env:
            for engine in env.engine_by_name.values():
                engine.script = EngineScript(events=8, gap_s=0.1)
            answer = await env.send("/stream/x")
            domain = first_header(answer.headers, b"x-response-seal").decode().removeprefix("e-")
            order_drain(env.store, domain)
            await wait_until_drained(env, domain)
            assert (await body_of(answer)).count(b"data:") == 8

    async def test_retry_and_resumed_stream_avoid_a_drained_domain(self) -> None:
        async with two_domains() as env:
            env.engine_by_name["e-b"].script = EngineScript(status=500)
            order_drain(env.store, "a")
            await wait_until_drained(env, "a")
            assert (await env.send("/safe/x")).status == 500
            env.engine_by_name["e-b"].script = EngineScript(events=5, break_after=2)
            env.engine_by_name["e-b"].next_scripts = [env.engine_by_name["e-b"].script]
            env.engine_by_name["e-b"].script = EngineScript(events=5)
            assert (await body_of(await env.send("/resume/x"))).count(b"data:") == 5
            assert env.engine_by_name["e-a"].seen == []

    async def test_requests_are_refused_while_all_domains_are_drained(self) -> None:
        """Both drains are ordered at once; the refusals are immediate and hold a Retry-After."""
        async with two_domains() as env:
            order_drain(env.store, "a")
            order_drain(env.store, "b")
            await wait_until_drained(env, "a", "b")
            sent_at = time.monotonic()
            refused = await env.send("/once/x", body=b"b")
            assert (refused.status, time.monotonic() - sent_at < 0.4) == (503, True)
            assert first_header(refused.headers, b"retry-after") is not None
            assert all(engine.seen == [] for engine in env.engine_by_name.values())
            withdraw_drain(env.store, "a")
            await wait_until_drained(env, "b")
            assert await engines_that_run(env) == {"e-a"}

    async def test_queued_request_is_refused_when_all_domains_are_drained(self) -> None:
        async with two_domains() as env:
            for engine in env.engine_by_name.values():
                engine.script = EngineScript(gap_s=1.5)
            scheduler = env.node.schedulers_by_pool["s"]
            async with trio.open_nursery() as nursery:
                for _ in range(16):
                    nursery.start_soon(env.send, "/safe/x")
                await wait_until(
                    lambda: sum(u.open_requests for u in scheduler.by_name.values()) == 16
                )
                scheduler._service_s = 0.0  # as if answers were short, so that a request may queue
                answers = []

                async def waits() -> None:
                    answer = await env.send("/safe/x")
                    answers.append((answer.status, b"no-upstream" in await body_of(answer)))

                nursery.start_soon(waits)
                await trio.sleep(0.05)
                order_drain(env.store, "a")
                order_drain(env.store, "b")
                await wait_until(lambda: bool(answers), IN_FORCE_S)
            assert answers == [(503, True)]


class TestOrdersFoundLater:
    async def test_order_written_before_the_start_is_in_force(self) -> None:
        store = MemoryStore()
        order_drain(store, "a")
        async with two_domains(store) as env:
            assert env.node.drained_domains == {"a"}
            assert await engines_that_run(env) == {"e-b"}

    async def test_order_written_during_an_outage_is_in_force_soon_after_it(self) -> None:
        async with two_domains() as env:
            order_drain(env.store, "b")
            await wait_until_drained(env, "b")
            env.store.down = True
            await trio.sleep(1.0)
            order_drain(env.store, "a")
            withdraw_drain(env.store, "b")
            assert await engines_that_run(env) == {"e-a"}
            env.store.down = False
            await wait_until(lambda: env.node.drained_domains == {"a"}, 2.0)
            assert await engines_that_run(env) == {"e-b"}

    @pytest.mark.parametrize("withdrawn", [False, True])
    async def test_order_in_expired_records_is_found_among_the_newest(
        self, withdrawn: bool
    ) -> None:
        """Only the newest records hold the order, or show its removal."""
        async with two_domains() as env:
            if withdrawn:
                order_drain(env.store, "a")
                await wait_until_drained(env, "a")
            env.store.down = True
            await trio.sleep(0.3)
            (withdraw_drain if withdrawn else order_drain)(env.store, "a")
            env.store.topic("keyed.op").compact()
            env.store.down = False
            await wait_until(
                lambda: env.node.drained_domains == (set() if withdrawn else {"a"}), 2.0
            )


class TestStoreRollback:
    async def test_order_missing_in_the_copy_stays_while_it_may_be_written_again(self) -> None:
        async with two_domains(MemoryStore(era=1)) as env:
            copy = env.store.copy()
            order_drain(env.store, "a")
            await wait_until_drained(env, "a")
            env.store.roll_back(copy)
            await trio.sleep(1.0)
            assert env.node.drained_domains == {"a"}
            order_drain(env.store, "a")
            await trio.sleep(2.0)
            assert env.node.drained_domains == {"a"}

    async def test_order_that_is_not_written_again_expires(self) -> None:
        async with two_domains(MemoryStore(era=1)) as env:
            copy = env.store.copy()
            order_drain(env.store, "a")
            await wait_until_drained(env, "a")
            env.store.roll_back(copy)
            await wait_until(lambda: env.node.drained_domains == set(), 4.0)

    async def test_withdrawn_order_ends_once_its_withdrawal_is_written_again(self) -> None:
        async with two_domains(MemoryStore(era=1)) as env:
            order_drain(env.store, "a")
            await wait_until_drained(env, "a")
            copy = env.store.copy()
            withdraw_drain(env.store, "a")
            await wait_until_drained(env)
            env.store.roll_back(copy)
            withdraw_drain(env.store, "a")
            await trio.sleep(0.5)
            await wait_until_drained(env)


class TestUnusualOrders:
    @pytest.mark.parametrize("value", [b"not an order", b'{"more": [1]}', b"\xff"])
    async def test_value_of_an_order_is_ignored(self, value: bytes) -> None:
        async with two_domains() as env:
            order_drain(env.store, "a", value)
            await wait_until_drained(env, "a")
            assert await engines_that_run(env) == {"e-b"}

    async def test_domain_without_engines_and_empty_domain(self) -> None:
        async with two_domains() as env:
            order_drain(env.store, "nowhere")
            order_drain(env.store, "")
            await wait_until_drained(env, "nowhere")
            assert await engines_that_run(env) == {"e-a", "e-b"}

    async def test_desired_state_after_an_order_is_applied(self) -> None:
        async with two_domains() as env:
            order_drain(env.store, "a")
            env.store.put("keyed.op", "config", desired_state(7))
            await wait_until(lambda: env.node.snapshot.version == 7)
            assert env.node.drained_domains == {"a"}

    async def test_engine_listed_during_the_drain_is_not_used(self) -> None:
        async with two_domains() as env:
            order_drain(env.store, "a")
            await wait_until_drained(env, "a")
            late = await env.add_engine("e-late")
            env.put_engine("e-late", zone="a", seq=2)
            await wait_until(lambda: {u.failure_domain for u in upstreams(env)} == {"a", "b"})
            assert isinstance(late, PlatformEngine)
            assert await engines_that_run(env) == {"e-b"}


class TestColdEngines:
    """A service sets the rate of its cold engines, and an engine states how long it is cold."""

    @staticmethod
    def _state(version: int, per_s: float) -> bytes:
        state = msgspec.json.decode(desired_state(version))
        state["services"] = [{"name": "s", "cold_start_s": 3.0, "cold_per_s": per_s}]
        return msgspec.json.encode(state)

    async def _wait_for(self, env: RouterEnvironment, version: int) -> None:
        await wait_until(lambda: env.node.snapshot.version == version)

    async def test_cold_engine_is_sent_no_more_than_its_slow_start_rate(self) -> None:
        async with two_domains() as env:
            env.store.put("keyed.op", "config", self._state(2, per_s=2.0))
            await self._wait_for(env, 2)
            env.put_engine("e-a", zone="a", seq=3, warmup_left_ms=60_000)
            await wait_until(lambda: any(u.warm_at for u in upstreams(env)))
            for _ in range(30):
                assert (await env.send("/safe/x")).status == 200
            assert len(env.engine_by_name["e-a"].ran) <= 2

    async def test_engines_of_a_domain_are_cold_after_its_drain(self) -> None:
        async with two_domains() as env:
            env.store.put("keyed.op", "config", self._state(2, per_s=2.0))
            await self._wait_for(env, 2)
            order_drain(env.store, "a")
            await wait_until_drained(env, "a")
            withdraw_drain(env.store, "a")
            await wait_until_drained(env)
            for _ in range(30):
                assert (await env.send("/safe/x")).status == 200
            assert 1 <= len(env.engine_by_name["e-a"].ran) <= 2

    async def test_invalid_slow_start_settings_are_ignored(self) -> None:
        async with two_domains() as env:
            env.store.put("keyed.op", "config", self._state(2, per_s=-1.0))
            await self._wait_for(env, 2)
            env.put_engine("e-a", zone="a", seq=3, warmup_left_ms=-5)
            env.put_engine("e-b", zone="b", seq=3, warmup_left_ms=1e18)
            await trio.sleep(0.5)
            assert await engines_that_run(env) == {"e-a", "e-b"}
