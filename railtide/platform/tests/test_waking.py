"""A router whose machine was suspended: what it believed is read again before it is acted on.

Story and cause: see `tests/test_suspension.py`. Here a desired state and an engine's leaving are
written while the machine sleeps, and the read that waited for them is one that nobody will answer.
"""

import msgspec
import pytest
import trio

from railtide.clocks import SuspensionDetector
from railtide.containment.registry import CrashRegistry
from railtide.edge.node import OBSERVATIONS_WAIT_S
from railtide.platform.tests.test_whole_path import World, desired_state, world

GONE_ROUTES = {"version": 2, "routes": [], "services": [{"name": "s"}], "tenants": []}
SUSPENDED_S = 10.0


class SuspendedMachine:
    """Two clocks that are apart by the time of all suspensions."""

    def __init__(self) -> None:
        self.suspended_s = 0.0
        self.suspensions = SuspensionDetector(lambda: 1000.0 + self.suspended_s, lambda: 1000.0)


def write_unheard(w: World, topic: str, key: str, value: bytes) -> None:
    """Write a record of which no waiting read is told."""
    w.store.topic(topic).add(key, value)


class TestWaking:
    async def test_first_request_behind_it_sees_the_newest_desired_state(
        self, lines: list[dict[str, object]]
    ) -> None:
        machine = SuspendedMachine()
        async with world(suspensions=machine.suspensions) as w:
            await w.add_engine("e")
            assert (await w.ask("/safe/x")).status == 200
            write_unheard(w, "keyed.op", "config", msgspec.json.encode(GONE_ROUTES))
            machine.suspended_s = SUSPENDED_S
            assert (await w.ask("/safe/x")).status == 404
        woken = [line for line in lines if line["event"] == "woken"]
        assert [line["for_s"] for line in woken] == [SUSPENDED_S]

    async def test_engine_that_left_meanwhile_gets_nothing(self) -> None:
        machine = SuspendedMachine()
        async with world(suspensions=machine.suspensions) as w:
            leaving = await w.add_engine("e1")
            other = await w.add_engine("e2")
            entry = msgspec.json.decode(w.record_of("e1")) | {"state": "draining"}
            write_unheard(w, "keyed.servers", "e1", msgspec.json.encode(entry))
            machine.suspended_s = SUSPENDED_S
            for _ in range(8):
                assert (await w.ask("/safe/x")).status == 200
            assert (len(leaving.ran), len(other.ran)) == (0, 8)

    async def test_store_that_is_away_is_not_waited_for_long(self) -> None:
        machine = SuspendedMachine()
        async with world(suspensions=machine.suspensions) as w:
            await w.add_engine("e")
            w.store.down = True
            machine.suspended_s = SUSPENDED_S
            assert (await w.ask("/open/x")).status == 200

    async def test_without_a_suspension_nothing_is_read_again(self) -> None:
        machine = SuspendedMachine()
        async with world(suspensions=machine.suspensions) as w:
            await w.add_engine("e")
            write_unheard(w, "keyed.op", "config", desired_state(version=2, keys=("other",)))
            assert (await w.ask("/safe/x")).status == 200


class TestStart:
    async def test_marks_are_read_before_a_router_serves_unless_they_are_away(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(CrashRegistry, "caught_up", False)
        began = trio.current_time()
        async with world() as w:
            assert trio.current_time() - began >= OBSERVATIONS_WAIT_S
            await w.add_engine("e")
            assert (await w.ask("/safe/x")).status == 200
