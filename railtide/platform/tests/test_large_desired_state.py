"""A large desired state over a slow link.

Most routers answered 404 for new routes, as long as they ran, once a desired state of 500 KB had
been published during an outage of the store. Every request to the store had to be answered
completely within 1.0 s beyond its long poll; after an outage a read has no long poll. So on slow
links the answer was abandoned half-way and read again from its first byte, for ever: 79 of 86
routers received 300 to 590 KB/s without getting the state.
"""

from collections.abc import Callable

import msgspec
import trio

from railtide.platform.tests.test_end_to_end import (
    ROUTE,
    ROUTES,
    RouterEnvironment,
    desired_state,
    router_environment,
)
from railtide.standins.throttled_link import ThrottledLink

LINK_BYTES_PER_S = 100_000
"""A fifth of the slowest real links; the states are smaller by the same factor."""
LARGE_TRANSFER_S = 2.5
"""Transfer time of a large state: longer than any timeout for a missing answer."""
GUARD_S = 10.0
"""Longer than any test needs its link."""
SLOW_S = 1.6
"""Response time of a slow store: longer than the usual timeout."""
ATTEMPT_S = 1.0
"""Longest duration of one failed attempt."""
BASE64_GROWTH = 4 / 3
"""Growth of a record in the answer to `newest`, which is base64."""
OLD_PATH = "/safe/x"
NEW_PATH = "/new0/x"
TOKENS = ((b"x-token-count", b"300,100"),)


def large_state(version: int, transfer_s: float) -> bytes:
    """Return a desired state with new routes whose transfer takes `transfer_s` seconds."""
    state = msgspec.json.decode(desired_state(version))
    route = ROUTE | {"kind": "safe", "max_attempts": 2}
    size = len(msgspec.json.encode(route | {"name": "new1000", "path_prefix": "/new1000/"})) + 1
    count = round(transfer_s * LINK_BYTES_PER_S / size)
    new = [route | {"name": f"new{n}", "path_prefix": f"/new{n}/"} for n in range(count)]
    return msgspec.json.encode(state | {"routes": ROUTES + new})


def publish(env: RouterEnvironment, version: int, transfer_s: float) -> int:
    """Publish a large state and return its length."""
    state = large_state(version, transfer_s)
    env.store.put("keyed.op", "config", state)
    return len(state)


async def wait_until(condition: Callable[[], bool]) -> None:
    with trio.fail_after(GUARD_S):
        while not condition():
            await trio.sleep(0.01)


async def wait_until_in_force(env: RouterEnvironment, version: int) -> None:
    await wait_until(lambda: env.node.snapshot.version >= version)


def lost_topics(lines: list[dict[str, object]]) -> set[object]:
    return {line["topic"] for line in lines if line["event"] == "store-lost"}


class TestLargeState:
    async def test_it_is_applied_after_a_loss_of_the_store(self) -> None:
        """A read that follows an outage has no long poll, and so the shortest timeout."""
        link = ThrottledLink(LINK_BYTES_PER_S)
        async with router_environment(link=link) as env:
            await env.add_engine("e1")
            link.reset_connections()
            publish(env, 2, LARGE_TRANSFER_S)
            await wait_until_in_force(env, 2)
            assert [(await env.send(path)).status for path in (OLD_PATH, NEW_PATH)] == [200, 200]

    async def test_it_is_applied_at_a_start(self) -> None:
        state = large_state(1, LARGE_TRANSFER_S / BASE64_GROWTH)
        async with router_environment(state, link=ThrottledLink(LINK_BYTES_PER_S)) as env:
            await env.add_engine("e1")
            assert [(await env.send(path)).status for path in (OLD_PATH, NEW_PATH)] == [200, 200]

    async def test_it_is_applied_from_a_slow_store(self) -> None:
        """The answer begins after the usual timeout, and its transfer then takes the link's time.

        The state was applied 5.4 to over 10 s after its publication instead of 2.8 s. Requests were
        abandoned after 1.0 s, 0.6 s before their answers. All but one of those with a timeout of
        2.0 s were abandoned when the first answer began, 0.1 s before their own. Each new attempt
        started at the end of the store's queue.
        """
        link = ThrottledLink(LINK_BYTES_PER_S)
        transfer_s = 1.2
        async with router_environment(link=link) as env:
            env.store.delay_s = SLOW_S
            link.reset_connections()
            publish(env, 2, transfer_s)
            with trio.fail_after(SLOW_S + transfer_s + ATTEMPT_S):
                await wait_until_in_force(env, 2)

    async def test_other_topics_are_read_during_the_transfer(self, lines) -> None:
        link = ThrottledLink(LINK_BYTES_PER_S)
        async with router_environment(link=link) as env:
            before = link.down.forwarded_bytes
            size = publish(env, 2, LARGE_TRANSFER_S)
            await wait_until(lambda: link.down.forwarded_bytes - before > size / 5)
            await env.add_engine("e1")
            assert (await env.send("/stream/x", *TOKENS)).status == 200
            assert env.node.snapshot.version == 1
            assert link.down.forwarded_bytes - before < size
            await wait_until_in_force(env, 2)
            assert lost_topics(lines) == set()


class TestSeveralVersions:
    async def test_superseded_version_is_not_read_after_an_outage(
        self, lines: list[dict[str, object]]
    ) -> None:
        link = ThrottledLink(LINK_BYTES_PER_S)
        async with router_environment(link=link) as env:
            link.pause()
            await wait_until(lambda: "keyed.op" in lost_topics(lines))
            sizes = [publish(env, version, 1.2) for version in (2, 3)]
            link.blackhole_connections()
            before = link.down.forwarded_bytes
            link.resume()
            await wait_until_in_force(env, 3)
            assert link.down.forwarded_bytes - before < 1.3 * BASE64_GROWTH * sizes[-1]

    async def test_last_of_many_rapid_versions_is_applied(self) -> None:
        """Versions are published faster than the link can carry them."""
        link = ThrottledLink(LINK_BYTES_PER_S)
        async with router_environment(link=link) as env:
            in_force: list[int] = []
            env.node.on_snapshot = lambda snapshot: in_force.append(snapshot.version)
            for version in range(2, 16):
                size = publish(env, version, 0.8)
                await trio.sleep(0.33)
            assert len(in_force) >= 2
            before = link.down.forwarded_bytes
            await wait_until_in_force(env, 15)
            assert link.down.forwarded_bytes - before < 2.3 * BASE64_GROWTH * size
