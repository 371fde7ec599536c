"""Engines that send bytes without end: their connections are closed and other callers are served.

Bytes that are no answer may come without end, in a head or a body, until the caller closes.
"""

import gc
from types import FrameType

import pytest
import trio

from railtide.platform.tests.router_fleet import RouterFleet, open_router_fleet, wait_until
from railtide.standins.endless_answers import Flood
from railtide.standins.platform import EngineScript
from railtide.upstreams.paths import PathState
from railtide.upstreams.upstream_state import Upstream

CALLS = 24
STREAM_FLOODS = (
    Flood.EVENT,
    Flood.EVENTS,
    Flood.OLD_EVENTS,
    Flood.BLANK_EVENTS,
    Flood.COMMENTS,
)
FORWARDED_FLOODS = (
    Flood.INFORMATIONAL,
    Flood.BODY_IN_CHUNKS,
    Flood.BODY_IN_TINY_CHUNKS,
    Flood.EVENT,
    Flood.FOREIGN_ANSWER,
    Flood.AFTER_ANSWER,
)
CASES = [(flood, False) for flood in Flood] + [(flood, True) for flood in FORWARDED_FLOODS]
SLOW_FLOODS = (Flood.HEAD_LINE, Flood.INFORMATIONAL, Flood.BODY_IN_CHUNKS, Flood.OLD_EVENTS)


def path_of(flood: Flood) -> str:
    return "/resume/x" if flood in STREAM_FLOODS else "/safe/x"


def is_used_through_another_router(upstream: Upstream) -> bool:
    """Return whether requests to an upstream that refused connections are forwarded to it.

    A refused connection may mean that the upstream crashed, so it is avoided for some seconds.
    """
    is_avoided = trio.current_time() < upstream.crashed_until
    return upstream.path is PathState.FORWARDED and not is_avoided


async def send_beside_flood(fleet: RouterFleet, flood: Flood, pause_s: float = 0.0) -> None:
    """Send requests of which one engine answers those that it gets with a flood."""
    is_stream = flood in STREAM_FLOODS
    sound = EngineScript(events=4, gap_s=0.02) if is_stream else EngineScript(gap_s=0.05)
    for engine in fleet.engine_by_name.values():
        engine.script = sound
        engine.runs.clear()
    fleet.engine_by_name["e0"].script = EngineScript(flood=flood, flood_pause_s=pause_s)
    fleet.statuses.clear()
    async with trio.open_nursery() as nursery:
        for _ in range(CALLS):
            nursery.start_soon(fleet.send, 0, path_of(flood))
            await trio.sleep(0.02)


@pytest.mark.parametrize(("flood", "is_forwarded"), CASES)
async def test_other_callers_are_served_and_the_engine_is_disconnected(
    flood: Flood, is_forwarded: bool
) -> None:
    """Guards against one engine whose bytes take the memory or the processor from all callers."""
    async with open_router_fleet(2, 3) as fleet:
        if is_forwarded:
            fleet.cut_off(0, refuses=True)
            for _ in range(6):
                await fleet.send(0)
            paths = fleet.upstreams(0).values()
            await wait_until(lambda: all(is_used_through_another_router(one) for one in paths))
        await send_beside_flood(fleet, flood)
        flooding = fleet.engine_by_name["e0"]
        assert flooding.runs or flood is Flood.REFUSAL
        assert sum(fleet.statuses.values()) == CALLS
        assert fleet.statuses[200] >= CALLS - len(flooding.runs)
        assert fleet.statuses[503] == 0
        await wait_until(lambda: flooding.open_requests == 0)


@pytest.mark.parametrize("flood", SLOW_FLOODS)
async def test_bytes_that_come_slowly_hold_a_request_until_its_deadline_at_most(
    flood: Flood,
) -> None:
    """Guards against a request that is held for ever, since some bytes always arrive."""
    async with open_router_fleet(1, 3) as fleet:
        await send_beside_flood(fleet, flood, pause_s=0.02)
        flooding = fleet.engine_by_name["e0"]
        assert flooding.runs
        assert fleet.statuses[200] >= CALLS - len(flooding.runs)
        await wait_until(lambda: flooding.open_requests == 0)


async def test_floods_of_several_engines_leave_room_for_another() -> None:
    async with open_router_fleet(1, 4) as fleet:
        flooding = [fleet.engine_by_name[name] for name in ("e0", "e1", "e2")]
        for engine in flooding:
            engine.script = EngineScript(flood=Flood.BODY_IN_TINY_CHUNKS)
        fleet.statuses.clear()
        async with trio.open_nursery() as nursery:
            for _ in range(CALLS):
                nursery.start_soon(fleet.send, 0, "/safe/x")
                await trio.sleep(0.02)
        assert fleet.statuses[200] >= CALLS - sum(len(engine.runs) for engine in flooding)
        await wait_until(lambda: not any(engine.open_requests for engine in flooding))


async def test_call_that_may_not_be_repeated_is_not_called_refused() -> None:
    """Guards against "not run" for a call whose engine sends bytes without end."""
    async with open_router_fleet(1, 1) as fleet:
        engine = fleet.engine_by_name["e0"]
        for flood in (Flood.NOISE, Flood.INFORMATIONAL, Flood.BODY_IN_CHUNKS):
            engine.script = EngineScript(flood=flood)
            assert await fleet.send(0, "/once/x") == 502
            assert engine.ran.count(fleet.last_id) == 1


async def test_plain_answer_that_never_ends_counts_as_a_failure_of_its_engine() -> None:
    """Guards against an engine that gets request after request, all of which it holds."""
    async with open_router_fleet(1, 2) as fleet:
        fleet.deadline_ms = 300
        fleet.engine_by_name["e0"].script = EngineScript(
            flood=Flood.BODY_IN_CHUNKS, flood_pause_s=0.02
        )
        for _ in range(20):
            await fleet.send(0, "/safe/x")
        assert fleet.nodes[0].counters.value("answers_unfinished") >= 2
        assert len(fleet.engine_by_name["e0"].runs) <= 6


async def test_engine_that_sends_on_an_idle_connection_is_disconnected() -> None:
    """Guards against bytes after a complete answer, which no later request may come to read."""
    async with open_router_fleet(1, 1) as fleet:
        engine = fleet.engine_by_name["e0"]
        engine.script = EngineScript(flood=Flood.AFTER_ANSWER, flood_pause_s=0.01)
        assert await fleet.send(0, "/safe/x") == 200
        await wait_until(lambda: engine.open_requests == 0)


def frames_in_garbage() -> list[str]:
    """Return the router's functions whose frames only the garbage collector frees."""
    gc.set_debug(gc.DEBUG_SAVEALL)
    try:
        gc.collect()
        codes = [each.f_code for each in gc.garbage if isinstance(each, FrameType)]
    finally:
        gc.set_debug(0)
        gc.garbage.clear()
    packages = ("railtide/requests/", "railtide/upstreams/", "railtide/http/exchange")
    return [code.co_qualname for code in codes if any(one in code.co_filename for one in packages)]


@pytest.mark.parametrize("flood", [Flood.EVENT, Flood.HEAD_LINES, Flood.BODY_IN_CHUNKS])
async def test_failed_request_frees_what_it_has_read_without_the_garbage_collector(
    flood: Flood,
) -> None:
    """Guards against errors that keep what was read of many answers until the collector runs."""
    async with open_router_fleet(1, 3) as fleet:
        for engine in fleet.engine_by_name.values():
            engine.script = EngineScript(flood=flood)
        await fleet.send(0, path_of(flood))
        gc.collect()
        gc.disable()
        try:
            for _ in range(6):
                await fleet.send(0, path_of(flood))
            assert fleet.statuses[502] == 7
            assert frames_in_garbage() == []
        finally:
            gc.enable()
