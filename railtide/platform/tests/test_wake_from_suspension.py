"""A router whose machine was suspended reads its state again before it acts on it.

A desired state and an engine's leaving are written during the suspension, and the pending long poll
is never answered. `tests/test_suspension.py` has more on the failure.
"""

import msgspec
import pytest
import trio

from railtide.clocks import SuspensionDetector
from railtide.containment.registry import CrashRegistry
from railtide.edge.node import RECORDS_WAIT_S
from railtide.platform.tests.test_end_to_end import (
    RouterEnvironment,
    desired_state,
    router_environment,
)

STATE_WITHOUT_ROUTES = {"version": 2, "routes": [], "services": [{"name": "s"}], "tenants": []}
SUSPENDED_S = 10.0


class SuspendedMachine:
    """Two clocks that differ by the total time of all suspensions."""

    def __init__(self) -> None:
        self.suspended_s = 0.0
        self.suspensions = SuspensionDetector(lambda: 1000.0 + self.suspended_s, lambda: 1000.0)


def write_without_waking(env: RouterEnvironment, topic: str, key: str, value: bytes) -> None:
    """Write a record without waking any pending read."""
    env.store.topic(topic).add(key, value)


class TestWakeUp:
    async def test_first_request_after_a_suspension_sees_the_newest_desired_state(
        self, lines: list[dict[str, object]]
    ) -> None:
        machine = SuspendedMachine()
        async with router_environment(suspensions=machine.suspensions) as env:
            await env.add_engine("e")
            assert (await env.send("/safe/x")).status == 200
            write_without_waking(
                env, "keyed.op", "config", msgspec.json.encode(STATE_WITHOUT_ROUTES)
            )
            machine.suspended_s = SUSPENDED_S
            assert (await env.send("/safe/x")).status == 404
        woken = [line for line in lines if line["event"] == "woken"]
        assert [line["for_s"] for line in woken] == [SUSPENDED_S]

    async def test_engine_that_left_during_the_suspension_gets_no_request(self) -> None:
        machine = SuspendedMachine()
        async with router_environment(suspensions=machine.suspensions) as env:
            leaving = await env.add_engine("e1")
            other = await env.add_engine("e2")
            entry = msgspec.json.decode(env.stored_entry("e1")) | {"state": "draining"}
            write_without_waking(env, "keyed.servers", "e1", msgspec.json.encode(entry))
            machine.suspended_s = SUSPENDED_S
            for _ in range(8):
                assert (await env.send("/safe/x")).status == 200
            assert (len(leaving.ran), len(other.ran)) == (0, 8)

    async def test_wait_for_an_unavailable_store_is_bounded(self) -> None:
        machine = SuspendedMachine()
        async with router_environment(suspensions=machine.suspensions) as env:
            await env.add_engine("e")
            env.store.down = True
            machine.suspended_s = SUSPENDED_S
            assert (await env.send("/open/x")).status == 200

    async def test_without_a_suspension_nothing_is_read_again(self) -> None:
        machine = SuspendedMachine()
        async with router_environment(suspensions=machine.suspensions) as env:
            await env.add_engine("e")
            write_without_waking(
                env, "keyed.op", "config", desired_state(version=2, keys=("other",))
            )
            assert (await env.send("/safe/x")).status == 200


class TestStart:
    async def test_router_waits_for_crash_records_before_it_serves(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(CrashRegistry, "caught_up", False)
        started_at = trio.current_time()
        async with router_environment() as env:
            assert trio.current_time() - started_at >= RECORDS_WAIT_S
            await env.add_engine("e")
            assert (await env.send("/safe/x")).status == 200
