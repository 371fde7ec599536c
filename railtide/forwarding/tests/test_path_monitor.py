"""Tests of the checks of paths, on a virtual clock."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from random import Random

import pytest
import trio

from railtide.forwarding.forwarders import ASKED_PEERS, Forwarders
from railtide.forwarding.messages import PathResult
from railtide.forwarding.path_monitor import (
    ASK_INTERVAL_S,
    MAX_CONCURRENT_PROBES,
    MAX_SPREAD,
    RECHECK_S,
    SILENCE_INTERVAL_S,
    PathMonitor,
)
from railtide.forwarding.tests.fakes import (
    FakeClient,
    FakeDirectory,
    FakeTransport,
    peer,
    upstream,
)
from railtide.membership.instances import Instance
from railtide.upstreams.paths import PathState, PathTable

PEERS = [peer(number) for number in range(4)]
REACHING = {each.name: PathResult.REACHED for each in PEERS}
REFUSING = {each.name: PathResult.REFUSED for each in PEERS}
CONFIRM_S = 0.1


@dataclass
class Checked:
    """A monitor, what it asks, and the changes that it reports."""

    monitor: PathMonitor
    transport: FakeTransport
    client: FakeClient
    changes: list[str]

    def state(self, instance: Instance) -> PathState:
        return self.monitor.table.state_of(instance)


@asynccontextmanager
async def running_monitor(
    listed: list[Instance], results: dict[str, PathResult] | None = None, peers: int = 4
) -> AsyncIterator[Checked]:
    """Yield a running monitor of some upstreams."""
    transport, client = FakeTransport(), FakeClient(dict(results or {}))
    forwarders = Forwarders("own", "z0", client, FakeDirectory(PEERS[:peers]), Random(1))
    monitor = PathMonitor(PathTable(), transport, forwarders)
    checked = Checked(monitor, transport, client, [])
    monitor.listed = lambda: listed
    monitor.on_change = lambda changed: checked.changes.append(changed.name)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(monitor.run)
        await trio.sleep(0.01)
        yield checked
        nursery.cancel_scope.cancel()


class TestConfirm:
    async def test_others_tell_a_lost_path_from_a_lost_upstream(self, autojump_clock) -> None:
        first = upstream(1)
        for results, expected in (
            (REACHING, PathState.FORWARDED),
            (REFUSING, PathState.UNREACHABLE),
        ):
            async with running_monitor([first], results) as checked:
                checked.transport.cut = {"e1"}
                state = await checked.monitor.confirm(first, "timeout", CONFIRM_S)
                assert state is expected
                refused = results is REFUSING
                assert checked.monitor.table.is_refused(first) is refused

    async def test_request_does_not_wait_for_slow_answers(self, autojump_clock) -> None:
        first = upstream(1)
        async with running_monitor([first]) as checked:
            checked.transport.cut = {"e1"}
            began = trio.current_time()
            state = await checked.monitor.confirm(first, "timeout", CONFIRM_S)
            assert state is PathState.SUSPECT
            assert trio.current_time() - began <= CONFIRM_S
            await trio.sleep(2.0)
            assert checked.state(first) is PathState.UNREACHABLE

    @pytest.mark.parametrize("reason", ["refused", "timeout"])
    async def test_router_without_peers_decides_alone(self, reason: str, autojump_clock) -> None:
        first = upstream(1)
        async with running_monitor([first], peers=0) as checked:
            checked.transport.cut = {"e1"}
            await checked.monitor.confirm(first, reason, 2.0)
            assert checked.state(first) is PathState.UNREACHABLE
            assert checked.monitor.table.is_refused(first) is (reason == "refused")

    async def test_one_lost_attempt_to_a_sound_upstream_changes_nothing(
        self, autojump_clock
    ) -> None:
        first = upstream(1)
        async with running_monitor([first], peers=0) as checked:
            assert await checked.monitor.confirm(first, "timeout", 1.0) is PathState.DIRECT

    async def test_many_requests_share_one_check(self, autojump_clock) -> None:
        first = upstream(1)
        async with running_monitor([first], REACHING) as checked:
            checked.transport.cut = {"e1"}
            async with trio.open_nursery() as nursery:
                for _ in range(50):
                    nursery.start_soon(checked.monitor.confirm, first, "timeout", CONFIRM_S)
            assert checked.client.asked.total() <= ASKED_PEERS[0]


class TestSilence:
    async def test_silent_upstream_that_accepts_connections_is_sound(self, autojump_clock) -> None:
        first = upstream(1)
        async with running_monitor([first], REACHING) as checked:
            checked.transport.silent = [first]
            await trio.sleep(10 * SILENCE_INTERVAL_S)
            assert checked.state(first) is PathState.DIRECT
            assert checked.transport.connected["e1"] <= 11
            assert checked.transport.broken == []

    async def test_silent_upstream_without_a_path_is_noticed(self, autojump_clock) -> None:
        first = upstream(1)
        async with running_monitor([first], REACHING) as checked:
            checked.transport.cut = {"e1"}
            checked.transport.silent = [first]
            await trio.sleep(1.0)
            assert checked.state(first) is PathState.FORWARDED
            assert checked.transport.broken
            assert checked.changes[-1] == "e1"


class TestOthers:
    async def test_loss_of_one_path_leads_to_a_check_of_all(self, autojump_clock) -> None:
        listed = [upstream(number) for number in range(9)]
        async with running_monitor(listed, REACHING) as checked:
            checked.transport.cut = {each.name for each in listed}
            await checked.monitor.confirm(listed[0], "timeout", CONFIRM_S)
            await trio.sleep(1.0)
            assert {checked.state(each) for each in listed} == {PathState.FORWARDED}

    async def test_upstreams_that_are_reached_stay_direct(self, autojump_clock) -> None:
        listed = [upstream(number) for number in range(9)]
        async with running_monitor(listed, REACHING) as checked:
            checked.transport.cut = {"e0"}
            await checked.monitor.confirm(listed[0], "timeout", CONFIRM_S)
            await trio.sleep(1.0)
            assert {checked.state(each) for each in listed[1:]} == {PathState.DIRECT}

    async def test_upstream_that_was_heard_just_now_is_not_checked(self, autojump_clock) -> None:
        listed = [upstream(number) for number in range(2)]
        async with running_monitor(listed, REACHING) as checked:
            checked.transport.cut = {"e0"}
            checked.transport.heard["e1"] = trio.current_time()
            await checked.monitor.confirm(listed[0], "timeout", CONFIRM_S)
            await trio.sleep(0.2)
            assert checked.transport.connected["e1"] == 0

    async def test_failed_upstream_does_not_lead_to_a_check_of_all(self, autojump_clock) -> None:
        """Guards against connections to a whole pool for each upstream that crashes."""
        listed = [upstream(number) for number in range(9)]
        async with running_monitor(listed, REFUSING) as checked:
            checked.transport.refusing = {"e0"}
            await checked.monitor.confirm(listed[0], "refused", CONFIRM_S)
            await trio.sleep(1.0)
            assert set(checked.transport.connected) == {"e0"}

    async def test_checks_of_a_large_pool_are_bounded(self, autojump_clock) -> None:
        listed = [upstream(number) for number in range(5_000)]
        async with running_monitor(listed, REACHING) as checked:
            checked.transport.cut = {each.name for each in listed}
            await checked.monitor.confirm(listed[0], "timeout", CONFIRM_S)
            await trio.sleep(20.0)
            assert checked.transport.most_connecting <= MAX_CONCURRENT_PROBES
            assert len(checked.transport.connected) <= MAX_SPREAD * 25


class TestRecheck:
    async def test_direct_path_is_used_again_soon(self, autojump_clock) -> None:
        listed = [upstream(number) for number in range(9)]
        async with running_monitor(listed, REACHING) as checked:
            checked.transport.cut = {each.name for each in listed}
            await checked.monitor.confirm(listed[0], "timeout", CONFIRM_S)
            await trio.sleep(5.0)
            checked.transport.cut.clear()
            await trio.sleep(2 * RECHECK_S)
            assert {checked.state(each) for each in listed} == {PathState.DIRECT}

    async def test_upstream_that_returns_is_noticed_soon(self, autojump_clock) -> None:
        first = upstream(1)
        async with running_monitor([first], REFUSING) as checked:
            checked.transport.refusing = {"e1"}
            await checked.monitor.confirm(first, "refused", CONFIRM_S)
            await trio.sleep(5.0)
            checked.transport.refusing.clear()
            await trio.sleep(RECHECK_S + 0.2)
            assert checked.state(first) is PathState.DIRECT

    async def test_others_are_asked_seldom_while_nobody_reaches_it(self, autojump_clock) -> None:
        """Guards against all routers that probe an upstream together while it is down."""
        first = upstream(1)
        async with running_monitor([first], REFUSING) as checked:
            checked.transport.refusing = {"e1"}
            await checked.monitor.confirm(first, "refused", CONFIRM_S)
            await trio.sleep(10 * ASK_INTERVAL_S)
            assert checked.client.asked.total() <= 12 * len(PEERS)

    async def test_path_that_another_router_finds_later_is_used(self, autojump_clock) -> None:
        first = upstream(1)
        async with running_monitor([first], REFUSING) as checked:
            checked.transport.cut = {"e1"}
            await checked.monitor.confirm(first, "timeout", CONFIRM_S)
            checked.client.result_by_peer = dict(REACHING)
            await trio.sleep(ASK_INTERVAL_S + 2 * RECHECK_S)
            assert checked.state(first) is PathState.FORWARDED

    async def test_forwarders_that_lose_it_too_are_noticed(self, autojump_clock) -> None:
        first = upstream(1)
        async with running_monitor([first], REACHING) as checked:
            checked.transport.cut = {"e1"}
            await checked.monitor.confirm(first, "timeout", CONFIRM_S)
            checked.client.result_by_peer = dict(REFUSING)
            checked.monitor.note_forward_failure(first)
            await trio.sleep(1.5)
            assert checked.state(first) is PathState.UNREACHABLE

    async def test_upstream_that_is_forgotten_stays_so(self, autojump_clock) -> None:
        """Guards against paths to upstreams that are gone, which would be checked for ever."""
        first = upstream(1)
        async with running_monitor([first]) as checked:
            checked.transport.cut = {"e1"}
            await checked.monitor.confirm(first, "timeout", CONFIRM_S)
            checked.monitor.table.forget(first)
            await trio.sleep(3.0)
            count = checked.transport.connected["e1"]
            await trio.sleep(5.0)
            assert checked.transport.connected["e1"] == count
            assert not checked.monitor.table.has_failed
