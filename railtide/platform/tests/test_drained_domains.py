"""Drains of a failure domain, ordered by the operator, over the whole path.

Callers saw their requests run at upstreams of a failure domain that the operator had ordered to be
drained 13.7 s before: of the topic of the configuration only the desired state was read, and the
orders beside it were passed over.
"""

import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import msgspec
import pytest
import trio

from railtide.http.messages import first_header
from railtide.platform.tests.test_whole_path import World, body_of, desired_state, world
from railtide.standins.keyed_store import MemoryStore
from railtide.standins.platform import EngineScript, PlatformEngine

ORDER = b"{}"
IN_FORCE_S = 1.0
"""How soon an order is to be in force at a router that the store answers."""


def order(store: MemoryStore, domain: str, value: bytes = ORDER) -> None:
    store.put("keyed.op", f"evacuate/{domain}", value)


def take_back(store: MemoryStore, domain: str) -> None:
    order(store, domain, b"")


@asynccontextmanager
async def two_domains(store: MemoryStore | None = None) -> AsyncIterator[World]:
    """Yield a router with an engine in each of the failure domains a and b."""
    async with world(store=store or MemoryStore()) as w:
        for domain in ("a", "b"):
            await w.add_engine(f"e-{domain}")
            w.put_engine(f"e-{domain}", zone=domain, seq=2)
        await until(lambda: {u.failure_domain for u in upstreams(w)} == {"a", "b"})
        yield w


def upstreams(w: World):
    return [known.instance for known in w.node.schedulers_by_pool["s"].by_name.values()]


async def until(condition: Callable[[], bool], within_s: float = 5.0) -> None:
    with trio.fail_after(within_s):
        while not condition():
            await trio.sleep(0.01)


async def ran_where(w: World, requests: int = 12) -> set[str]:
    """Return the engines that run some requests."""
    before = {name: len(engine.ran) for name, engine in w.engine_by_name.items()}
    for _ in range(requests):
        assert (await w.ask("/safe/x")).status == 200
    return {name for name, engine in w.engine_by_name.items() if len(engine.ran) > before[name]}


async def in_force(w: World, *domains: str) -> None:
    await until(lambda: w.node.drained_domains == set(domains), IN_FORCE_S)


class TestOrders:
    async def test_nothing_new_is_sent_there_until_it_is_taken_back(self) -> None:
        async with two_domains() as w:
            assert await ran_where(w) == {"e-a", "e-b"}
            order(w.store, "a")
            await in_force(w, "a")
            assert await ran_where(w) == {"e-b"}
            take_back(w.store, "a")
            await in_force(w)
            assert await ran_where(w) == {"e-a", "e-b"}
            order(w.store, "a")
            await in_force(w, "a")
            assert await ran_where(w) == {"e-b"}

    async def test_what_runs_there_goes_on(self) -> None:
        async with two_domains() as w:
            for engine in w.engine_by_name.values():
                engine.script = EngineScript(events=8, gap_s=0.1)
            answer = await w.ask("/stream/x")
            domain = first_header(answer.headers, b"x-response-seal").decode().removeprefix("e-")
            order(w.store, domain)
            await in_force(w, domain)
            assert (await body_of(answer)).count(b"data:") == 8

    async def test_second_try_and_resumed_stream_keep_away(self) -> None:
        async with two_domains() as w:
            w.engine_by_name["e-b"].script = EngineScript(status=500)
            order(w.store, "a")
            await in_force(w, "a")
            assert (await w.ask("/safe/x")).status == 500
            w.engine_by_name["e-b"].script = EngineScript(events=5, break_after=2)
            w.engine_by_name["e-b"].next_scripts = [w.engine_by_name["e-b"].script]
            w.engine_by_name["e-b"].script = EngineScript(events=5)
            assert (await body_of(await w.ask("/resume/x"))).count(b"data:") == 5
            assert w.engine_by_name["e-a"].seen == []

    async def test_all_domains_are_refused_at_once_and_served_again(self) -> None:
        """Two at once; the refusal says that the request did not run, and when to come back."""
        async with two_domains() as w:
            order(w.store, "a")
            order(w.store, "b")
            await in_force(w, "a", "b")
            began = time.monotonic()
            refused = await w.ask("/once/x", body=b"b")
            assert (refused.status, time.monotonic() - began < 0.4) == (503, True)
            assert first_header(refused.headers, b"retry-after") is not None
            assert all(engine.seen == [] for engine in w.engine_by_name.values())
            take_back(w.store, "a")
            await in_force(w, "b")
            assert await ran_where(w) == {"e-a"}

    async def test_request_that_waits_for_a_slot_is_refused_when_nothing_is_left(self) -> None:
        async with two_domains() as w:
            for engine in w.engine_by_name.values():
                engine.script = EngineScript(gap_s=1.5)
            scheduler = w.node.schedulers_by_pool["s"]
            async with trio.open_nursery() as nursery:
                for _ in range(16):
                    nursery.start_soon(w.ask, "/safe/x")
                await until(lambda: sum(u.open_requests for u in scheduler.by_name.values()) == 16)
                scheduler._service_s = 0.0  # as though answers were short, so that one may wait
                answers = []

                async def waits() -> None:
                    answer = await w.ask("/safe/x")
                    answers.append((answer.status, b"no-upstream" in await body_of(answer)))

                nursery.start_soon(waits)
                await trio.sleep(0.05)
                order(w.store, "a")
                order(w.store, "b")
                await until(lambda: bool(answers), IN_FORCE_S)
            assert answers == [(503, True)]


class TestOrdersThatAreFoundLater:
    async def test_order_from_before_the_start(self) -> None:
        store = MemoryStore()
        order(store, "a")
        async with two_domains(store) as w:
            assert w.node.drained_domains == {"a"}
            assert await ran_where(w) == {"e-b"}

    async def test_order_of_an_outage_is_in_force_soon_after_it(self) -> None:
        async with two_domains() as w:
            order(w.store, "b")
            await in_force(w, "b")
            w.store.down = True
            await trio.sleep(1.0)
            order(w.store, "a")
            take_back(w.store, "b")
            assert await ran_where(w) == {"e-a"}
            w.store.down = False
            await until(lambda: w.node.drained_domains == {"a"}, 2.0)
            assert await ran_where(w) == {"e-b"}

    @pytest.mark.parametrize("taken_back", [False, True])
    async def test_history_that_is_gone(self, taken_back: bool) -> None:
        """Only the newest records tell of the order, or of its end."""
        async with two_domains() as w:
            if taken_back:
                order(w.store, "a")
                await in_force(w, "a")
            w.store.down = True
            await trio.sleep(0.3)
            (take_back if taken_back else order)(w.store, "a")
            w.store.topic("keyed.op").compact()
            w.store.down = False
            await until(lambda: w.node.drained_domains == (set() if taken_back else {"a"}), 2.0)


class TestStoreThatComesBackOlder:
    async def test_order_that_the_copy_lacks_stays_until_it_may_be_written_again(self) -> None:
        async with two_domains(MemoryStore(era=1)) as w:
            copy = w.store.copy()
            order(w.store, "a")
            await in_force(w, "a")
            w.store.roll_back(copy)
            await trio.sleep(1.0)
            assert w.node.drained_domains == {"a"}
            order(w.store, "a")
            await trio.sleep(2.0)
            assert w.node.drained_domains == {"a"}

    async def test_order_that_is_not_written_again_ends(self) -> None:
        async with two_domains(MemoryStore(era=1)) as w:
            copy = w.store.copy()
            order(w.store, "a")
            await in_force(w, "a")
            w.store.roll_back(copy)
            await until(lambda: w.node.drained_domains == set(), 4.0)

    async def test_order_that_was_taken_back_ends_when_that_is_written_again(self) -> None:
        async with two_domains(MemoryStore(era=1)) as w:
            order(w.store, "a")
            await in_force(w, "a")
            copy = w.store.copy()
            take_back(w.store, "a")
            await in_force(w)
            w.store.roll_back(copy)
            take_back(w.store, "a")
            await trio.sleep(0.5)
            await in_force(w)


class TestUnusualOrders:
    @pytest.mark.parametrize("value", [b"not an order", b'{"more": [1]}', b"\xff"])
    async def test_its_key_says_all(self, value: bytes) -> None:
        async with two_domains() as w:
            order(w.store, "a", value)
            await in_force(w, "a")
            assert await ran_where(w) == {"e-b"}

    async def test_domain_without_engines_and_no_domain(self) -> None:
        async with two_domains() as w:
            order(w.store, "nowhere")
            order(w.store, "")
            await in_force(w, "nowhere")
            assert await ran_where(w) == {"e-a", "e-b"}

    async def test_desired_state_beside_it_comes_into_force(self) -> None:
        async with two_domains() as w:
            order(w.store, "a")
            w.store.put("keyed.op", "config", desired_state(7))
            await until(lambda: w.node.snapshot.version == 7)
            assert w.node.drained_domains == {"a"}

    async def test_engine_that_is_listed_during_the_drain(self) -> None:
        async with two_domains() as w:
            order(w.store, "a")
            await in_force(w, "a")
            late = await w.add_engine("e-late")
            w.put_engine("e-late", zone="a", seq=2)
            await until(lambda: {u.failure_domain for u in upstreams(w)} == {"a", "b"})
            assert isinstance(late, PlatformEngine)
            assert await ran_where(w) == {"e-b"}


class TestColdEngines:
    """A service tells what its engines bear after a start, and an engine how long it is cold."""

    @staticmethod
    def _state(version: int, per_s: float) -> bytes:
        state = msgspec.json.decode(desired_state(version))
        state["services"] = [{"name": "s", "cold_start_s": 3.0, "cold_per_s": per_s}]
        return msgspec.json.encode(state)

    async def _wait_for(self, w: World, version: int) -> None:
        await until(lambda: w.node.snapshot.version == version)

    async def test_cold_engine_is_sent_no_more_than_it_bears(self) -> None:
        async with two_domains() as w:
            w.store.put("keyed.op", "config", self._state(2, per_s=2.0))
            await self._wait_for(w, 2)
            w.put_engine("e-a", zone="a", seq=3, warmup_left_ms=60_000)
            await until(lambda: any(u.warm_at for u in upstreams(w)))
            for _ in range(30):
                assert (await w.ask("/safe/x")).status == 200
            assert len(w.engine_by_name["e-a"].ran) <= 2

    async def test_engines_of_a_domain_are_cold_after_its_drain(self) -> None:
        async with two_domains() as w:
            w.store.put("keyed.op", "config", self._state(2, per_s=2.0))
            await self._wait_for(w, 2)
            order(w.store, "a")
            await in_force(w, "a")
            take_back(w.store, "a")
            await in_force(w)
            for _ in range(30):
                assert (await w.ask("/safe/x")).status == 200
            assert 1 <= len(w.engine_by_name["e-a"].ran) <= 2

    async def test_figures_that_are_none_bind_nothing(self) -> None:
        async with two_domains() as w:
            w.store.put("keyed.op", "config", self._state(2, per_s=-1.0))
            await self._wait_for(w, 2)
            w.put_engine("e-a", zone="a", seq=3, warmup_left_ms=-5)
            w.put_engine("e-b", zone="b", seq=3, warmup_left_ms=1e18)
            await trio.sleep(0.5)
            assert await ran_where(w) == {"e-a", "e-b"}
