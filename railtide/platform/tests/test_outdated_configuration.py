"""Refusals of a router whose desired state is, or may be, outdated.

Routers that had lost the configuration topic, or had not yet read a newer desired state completely,
answered 404 for routes that an operator had added. Clients don't retry a 404, although another
router had the new state.
"""

from contextlib import AsyncExitStack

import msgspec
import pytest
import trio

from railtide.clocks import SuspensionDetector
from railtide.edge import freshness
from railtide.edge.wake_handler import MAX_REREAD_WAIT_S
from railtide.http.client import Exchange
from railtide.http.messages import first_header
from railtide.journal.keyed import KeyedPage
from railtide.journal.read_progress import ReadProgress
from railtide.platform.tests.test_end_to_end import (
    ROUTES,
    RouterEnvironment,
    TestBudgets,
    body_of,
    desired_state,
    router_environment,
)
from railtide.platform.tests.test_large_desired_state import (
    LINK_BYTES_PER_S,
    NEW_PATH,
    publish,
    wait_until_in_force,
)
from railtide.platform.tests.test_wake_from_suspension import (
    SUSPENDED_S,
    SuspendedMachine,
    write_without_waking,
)
from railtide.standins.keyed_store import MemoryStore
from railtide.standins.throttled_link import ThrottledLink

NEW_ROUTE = ROUTES[0] | {"name": "new", "path_prefix": "/new/"}
CONFIGURATION = "keyed.op"
WRONG_KEY = (b"x-credential", b"wrong")
WITHHELD_READ_S = 0.02
WAIT_S = 5.0


class WithholdingStore(MemoryStore):
    """A store whose answers show that there is a newer desired state but omit it.

    Attributes
    ----------
    keeps_back : bool
    """

    def __init__(self) -> None:
        super().__init__()
        self.withholds = False

    async def read(
        self,
        topic: str,
        start: int,
        wait_s: float,
        partition: int = 0,
        progress: ReadProgress | None = None,
    ) -> KeyedPage:
        """Return records; those of the configuration are withheld while `withholds` is set."""
        page = await super().read(topic, start, wait_s, partition, progress)
        if topic == CONFIGURATION and self.withholds and page.records:
            await trio.sleep(WITHHELD_READ_S)
            return KeyedPage([], page.end, start)
        return page


def with_new_route(version: int = 2) -> bytes:
    state = msgspec.json.decode(desired_state(version))
    return msgspec.json.encode(state | {"routes": [*ROUTES, NEW_ROUTE]})


def without_routes(version: int = 2) -> bytes:
    state = msgspec.json.decode(desired_state(version))
    return msgspec.json.encode(state | {"routes": []})


async def wait_until(condition, timeout_s: float = WAIT_S) -> None:
    with trio.fail_after(timeout_s):
        while not condition():
            await trio.sleep(0.01)


async def make_store_unavailable(env: RouterEnvironment) -> None:
    """Make the store unavailable and wait until the router has detected it."""
    env.store.down = True
    env.store.put(CONFIGURATION, "other", b"x")
    await wait_until(lambda: not env.node.configuration_is_current())


async def withhold(env: RouterEnvironment, state: bytes) -> None:
    """Write a desired state whose existence the router learns, but not its content."""
    env.store.withholds = True
    env.store.put(CONFIGURATION, "config", state)
    await wait_until(lambda: not env.node.configuration_is_current())


async def assert_outdated(answer: Exchange) -> None:
    problem = msgspec.json.decode(await body_of(answer))
    assert (answer.status, problem["code"]) == (503, "configuration-outdated")
    assert problem["run"] == "not-run"
    assert 0 < float(first_header(answer.headers, b"retry-after")) <= 1.0


def listed_routers(env: RouterEnvironment) -> set[str]:
    return {endpoint.name for endpoint in env.node.addresses("z")}


def events(lines: list[dict[str, object]], name: str) -> list[dict[str, object]]:
    return [line for line in lines if line["event"] == name]


class TestCurrentConfiguration:
    async def test_refusals_stay_as_they_are(self, lines: list[dict[str, object]]) -> None:
        async with router_environment(desired_state(prepaid=100)) as env:
            await env.add_engine("e")
            assert env.node.configuration_is_current()
            assert (await env.send("/nowhere/x")).status == 404
            assert (await env.send("/safe/x", WRONG_KEY)).status == 401
            assert (await env.send("/safe/x", *TestBudgets.TOKENS)).status == 402
        assert not events(lines, "configuration-behind")

    async def test_configuration_stays_current_without_new_records(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(freshness, "READ_OVERDUE_S", 1.0)  # a busy machine answers late
        async with router_environment() as env:
            for _ in range(45):
                await trio.sleep(0.1)
                assert env.node.configuration_is_current()


class TestStoreOutage:
    async def test_known_routes_are_served_and_unknown_ones_may_be_retried(
        self, lines: list[dict[str, object]]
    ) -> None:
        async with router_environment() as env:
            await env.add_engine("e")
            await make_store_unavailable(env)
            assert (await env.send("/safe/x")).status == 200
            await assert_outdated(await env.send("/nowhere/x"))
            await assert_outdated(await env.send("/safe/x", WRONG_KEY))
            assert env.node.ready
            assert env.node.counters.value("answers_configuration_outdated") == 2
            assert env.node.counters.value("answers_unknown_route") == 0
            env.store.down = False
            await wait_until(env.node.configuration_is_current)
            assert (await env.send("/nowhere/x")).status == 404
            assert (await env.send("/safe/x", WRONG_KEY)).status == 401
            await wait_until(lambda: events(lines, "configuration-current"))
        assert len(events(lines, "configuration-behind")) == 1
        assert events(lines, "configuration-behind")[0]["reason"] == "store-lost"
        ended = events(lines, "configuration-current")
        assert [line["answers"] for line in ended] == [2]
        assert 0 < ended[0]["for_s"] < 2 * WAIT_S

    async def test_route_and_key_that_were_removed_stay_removed(self) -> None:
        async with router_environment() as env:
            engine = await env.add_engine("e")
            env.store.put(CONFIGURATION, "config", without_routes())
            await wait_until(lambda: env.node.snapshot.version == 2)
            await make_store_unavailable(env)
            await assert_outdated(await env.send("/safe/x"))
            assert engine.ran == []

    async def test_exhausted_budget_may_be_retried(self) -> None:
        async with router_environment(desired_state(prepaid=100)) as env:
            await env.add_engine("e")
            assert (await env.send("/safe/x", *TestBudgets.TOKENS)).status == 402
            await make_store_unavailable(env)
            await assert_outdated(await env.send("/safe/x", *TestBudgets.TOKENS))

    async def test_malformed_request_is_refused_for_good(self) -> None:
        async with router_environment() as env:
            await env.add_engine("e")
            await make_store_unavailable(env)
            assert (await env.send("/safe/x", (b"x-token-count", b"many"))).status == 400

    async def test_unresponsive_store_is_suspected_once_an_answer_is_overdue(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(freshness, "READ_OVERDUE_S", 0.1)
        async with router_environment() as env:
            await env.add_engine("e")
            env.store.delay_s = 60.0
            env.store.put(CONFIGURATION, "other", b"x")
            noticed_by = trio.current_time() + env.node.options.configuration_wait_s + 0.7
            with trio.fail_after(WAIT_S):
                while env.node.configuration_is_current():
                    await trio.sleep(0.01)
            assert trio.current_time() < noticed_by
            await assert_outdated(await env.send("/nowhere/x"))


class TestNewerStateKnown:
    async def test_new_routes_may_be_retried_and_old_ones_are_served(self) -> None:
        async with router_environment(store=WithholdingStore()) as env:
            await env.add_engine("e")
            await withhold(env, with_new_route())
            assert (await env.send("/safe/x")).status == 200
            await assert_outdated(await env.send("/new/x"))
            env.store.withholds = False
            await wait_until(env.node.configuration_is_current)
            assert (await env.send("/new/x")).status == 200

    async def test_readiness_and_log_show_an_outdated_configuration(
        self, monkeypatch: pytest.MonkeyPatch, lines: list[dict[str, object]]
    ) -> None:
        monkeypatch.setattr(freshness, "MAX_BEHIND_S", 0.4)
        async with router_environment(store=WithholdingStore()) as env:
            await withhold(env, with_new_route())
            assert env.node.ready
            assert not events(lines, "configuration-behind")
            await wait_until(lambda: not env.node.ready)
            await trio.sleep(1.0)
            logged = events(lines, "configuration-behind")
            assert [(line["reason"], line["version"]) for line in logged] == [("newer-known", 1)]
            assert logged[0]["known_s"] >= 0.4
            env.store.withholds = False
            await wait_until(lambda: env.node.ready)
            await wait_until(lambda: events(lines, "configuration-current"))
        ended = events(lines, "configuration-current")
        assert [(line["version"], line["answers"]) for line in ended] == [(2, 0)]
        assert ended[0]["for_s"] >= 1.4

    async def test_roster_shows_it_and_the_only_router_is_still_listed(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(freshness, "MAX_BEHIND_S", 0.4)
        async with router_environment(store=WithholdingStore()) as env:
            await wait_until(lambda: env.node.addresses("z"))
            await withhold(env, with_new_route())
            await wait_until(lambda: env.node.roster.is_announced_outdated())
            await trio.sleep(env.node.options.roster.dead_after_s + 1)
            assert [endpoint.name for endpoint in env.node.addresses("z")] == ["i1"]
            env.store.withholds = False
            await wait_until(lambda: not env.node.roster.is_announced_outdated())

    async def test_outage_of_the_store_alone_makes_no_router_unready(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(freshness, "MAX_BEHIND_S", 0.2)
        async with router_environment() as env:
            await make_store_unavailable(env)
            await trio.sleep(1.0)
            assert env.node.ready


class TestLongTransfer:
    """A newer desired state is being read over a link that takes seconds for it."""

    TRANSFER_S = 3.0
    MAX_DEVIATION = 3.0
    """Factor by which the remaining time may differ from the estimate on a busy machine."""

    async def retry_after_s(self, env: RouterEnvironment) -> float:
        answer = await env.send(NEW_PATH)
        await assert_outdated(answer)
        return float(first_header(answer.headers, b"retry-after"))

    async def test_retry_after_estimates_the_end_of_the_transfer(self) -> None:
        link = ThrottledLink(LINK_BYTES_PER_S)
        async with router_environment(link=link) as env:
            await env.add_engine("e")
            publish(env, 2, self.TRANSFER_S)
            await wait_until(lambda: not env.node.configuration_is_current())
            while await self.retry_after_s(env) < env.node.options.address_ttl_s:
                await trio.sleep(0.02)  # until the transfer rate is known
            retry_after_s = [await self.retry_after_s(env)]
            while retry_after_s[-1] >= env.node.options.address_ttl_s:
                await trio.sleep(0.1)
                retry_after_s.append(await self.retry_after_s(env))
            estimated_at = trio.current_time()
            assert len(retry_after_s) > 3
            assert (await env.send("/safe/x")).status == 200
            while (await env.send(NEW_PATH)).status != 200:
                await trio.sleep(0.02)
            elapsed_s = trio.current_time() - estimated_at
            assert (
                retry_after_s[-1] / self.MAX_DEVIATION
                < elapsed_s
                < retry_after_s[-1] * self.MAX_DEVIATION
            )

    async def test_unknown_route_is_refused_once_the_topic_is_read_to_its_end(self) -> None:
        """The state does not cover versions that were published during its transfer."""
        link = ThrottledLink(LINK_BYTES_PER_S)
        async with router_environment(link=link) as env:
            publish(env, 2, self.TRANSFER_S)
            await wait_until_in_force(env, 2)
            soon = trio.current_time() + env.node.options.configuration_wait_s + 0.5
            while (answer := await env.send("/nowhere/x")).status != 404:
                await assert_outdated(answer)
                assert trio.current_time() < soon
                await trio.sleep(0.05)
            assert env.node.configuration_is_current()

    async def test_transfer_that_takes_too_long_is_reported(
        self, lines: list[dict[str, object]]
    ) -> None:
        link = ThrottledLink(LINK_BYTES_PER_S)
        async with router_environment(link=link) as env:
            publish(env, 2, self.TRANSFER_S)
            await wait_until(lambda: not env.node.ready)
            assert env.node.snapshot.version == 1
            await wait_until(lambda: env.node.ready)
            assert env.node.snapshot.version == 2
            await wait_until(lambda: events(lines, "configuration-current"))
        (began,) = events(lines, "configuration-behind")
        assert (began["version"], began["reason"]) == (1, "newer-known")
        assert began["known_s"] >= freshness.MAX_BEHIND_S and 0 < began["left_s"] < self.TRANSFER_S
        (ended,) = events(lines, "configuration-current")
        assert ended["version"] == 2 and self.TRANSFER_S <= ended["for_s"] < 2 * WAIT_S

    async def test_callers_are_given_routers_that_have_the_newer_state(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(freshness, "MAX_BEHIND_S", 0.5)
        store = MemoryStore()
        link = ThrottledLink(LINK_BYTES_PER_S)
        async with AsyncExitStack() as stack:
            slow = await stack.enter_async_context(router_environment(store=store, link=link))
            fast = [
                await stack.enter_async_context(router_environment(store=store, instance=name))
                for name in ("i2", "i3")
            ]
            await wait_until(lambda: len(fast[0].node.roster.live()) == 3)
            publish(slow, 2, 2 * self.TRANSFER_S)
            await wait_until(
                lambda: listed_routers(fast[0]) == listed_routers(fast[1]) == {"i2", "i3"}
            )
            assert slow.node.snapshot.version == 1
            assert {env.node.snapshot.version for env in fast} == {2}
            assert len(fast[0].node.roster.live()) == 3
            await wait_until(lambda: not slow.node.roster.is_announced_outdated(), 3 * WAIT_S)
            assert slow.node.snapshot.version == 2

    async def test_interrupted_transfer_keeps_the_configuration_outdated(self) -> None:
        link = ThrottledLink(LINK_BYTES_PER_S)
        async with router_environment(link=link) as env:
            await env.add_engine("e")
            publish(env, 2, self.TRANSFER_S)
            for _ in range(4):
                await wait_until(lambda: not env.node.configuration_is_current())
                await trio.sleep(0.3)
                await assert_outdated(await env.send(NEW_PATH))
                assert not env.node.configuration_is_current()
                link.reset_connections()
            await wait_until_in_force(env, 2)
            assert (await env.send(NEW_PATH)).status == 200


class TestWakeUp:
    @pytest.mark.parametrize("path", ["/new/x", "/nowhere/x"])
    async def test_nothing_is_refused_for_good_during_a_slow_reread(self, path: str) -> None:
        machine = SuspendedMachine()
        async with router_environment(suspensions=machine.suspensions) as env:
            await env.add_engine("e")
            write_without_waking(env, CONFIGURATION, "config", with_new_route())
            env.store.delay_s = 2 * MAX_REREAD_WAIT_S
            machine.suspended_s = SUSPENDED_S
            await assert_outdated(await env.send(path))
            await wait_until(env.node.configuration_is_current)
            assert (await env.send("/new/x")).status == 200
            assert (await env.send("/nowhere/x")).status == 404

    async def test_configuration_stays_current_without_a_suspension(self) -> None:
        async with router_environment(suspensions=SuspensionDetector()) as env:
            assert (await env.send("/nowhere/x")).status == 404


class TestReadAges:
    async def test_age_of_the_last_complete_read_is_known_for_each_topic(self) -> None:
        async with router_environment() as env:
            await wait_until(lambda: max(env.node.read_ages_s().values()) < 2.5)
            ages = env.node.read_ages_s()
            assert set(ages) == {
                CONFIGURATION,
                "keyed.servers",
                "keyed.railtide-roster",
                "keyed.railtide-crashes",
            }
            env.store.down = True
            # A response that is under way at this moment may still complete a read.
            await wait_until(lambda: env.node.read_ages_s()[CONFIGURATION] > 2.5)


class TestSupersededState:
    """Requests that only a superseded configuration allows.

    More than 6 s after a change of a client account, two of 86 routers still ran requests that only
    the version before it allows. Their reads of the large new version took long. Callers were sent
    to routers that had it, but those with older address lists or open connections still came, and
    a router served them by the version that it knew to be superseded.
    """

    TRANSFER_S = 6.0

    async def test_router_with_current_substitutes_serves_nothing_by_it(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(freshness, "MAX_BEHIND_S", 0.5)
        store = MemoryStore()
        link = ThrottledLink(LINK_BYTES_PER_S)
        async with AsyncExitStack() as stack:
            slow = await stack.enter_async_context(router_environment(store=store, link=link))
            fast = [
                await stack.enter_async_context(router_environment(store=store, instance=name))
                for name in ("i2", "i3")
            ]
            engine = await slow.add_engine("e")
            await wait_until(lambda: len(slow.node.roster.live()) == 3)
            assert (await slow.send("/safe/x")).status == 200
            publish(slow, 2, self.TRANSFER_S)
            await wait_until(lambda: fast[0].node.snapshot.version == 2)
            await wait_until(lambda: listed_routers(slow) == {"i2", "i3"})
            ran = len(engine.ran)
            await assert_outdated(await slow.send("/safe/x"))
            assert slow.node.snapshot.version == 1
            assert len(engine.ran) == ran
            assert (await fast[0].send("/safe/x")).status == 200
            await wait_until_in_force(slow, 2)
            await wait_until(lambda: not slow.node.roster.is_announced_outdated())
            assert (await slow.send("/safe/x")).status == 200

    async def test_routers_that_are_all_outdated_serve_by_it(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """No router has the newer one, so refusing would end all service until it is read."""
        monkeypatch.setattr(freshness, "MAX_BEHIND_S", 0.5)
        store = MemoryStore()
        async with AsyncExitStack() as stack:
            routers = [
                await stack.enter_async_context(
                    router_environment(
                        store=store, link=ThrottledLink(LINK_BYTES_PER_S), instance=name
                    )
                )
                for name in ("i1", "i2", "i3")
            ]
            for number, router in enumerate(routers):
                await router.add_engine(f"e{number}")
            await wait_until(lambda: all(len(r.node.roster.live()) == 3 for r in routers))
            publish(routers[0], 2, self.TRANSFER_S)
            await wait_until(lambda: all(r.node.roster.is_announced_outdated() for r in routers))
            await trio.sleep(1.5)  # until each has read the others' records
            assert [(await r.send("/safe/x")).status for r in routers] == [200, 200, 200]
            assert [r.node.snapshot.version for r in routers] == [1, 1, 1]

    async def test_router_without_enough_substitutes_serves_by_it(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """A single current router is fewer than callers are given addresses of."""
        monkeypatch.setattr(freshness, "MAX_BEHIND_S", 0.5)
        store = MemoryStore()
        link = ThrottledLink(LINK_BYTES_PER_S)
        async with AsyncExitStack() as stack:
            slow = await stack.enter_async_context(router_environment(store=store, link=link))
            fast = await stack.enter_async_context(router_environment(store=store, instance="i2"))
            await slow.add_engine("e")
            await wait_until(lambda: len(slow.node.roster.live()) == 2)
            publish(slow, 2, self.TRANSFER_S)
            await wait_until(lambda: fast.node.snapshot.version == 2)
            await wait_until(lambda: slow.node.roster.is_announced_outdated())
            await trio.sleep(1.5)  # until it has read its own record
            assert slow.node.snapshot.version == 1
            assert (await slow.send("/safe/x")).status == 200
