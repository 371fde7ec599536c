"""Departures of engines, read by routers whose connections to the store went silent.

A connection that went silent brings no reset: only the time without an answer shows it. A router
counts as undisturbed `STABLE_S` after that.
"""

from functools import partial
from random import Random

import pytest
import trio

from railtide.edge.options import EdgeOptions
from railtide.edge.tests.rollback_fleet import RouterStore
from railtide.journal.errors import LogUnavailable
from railtide.journal.keyed import KeyedPage
from railtide.journal.read_progress import ReadProgress
from railtide.platform.store import FIRST_BYTE_TIMEOUT_S
from railtide.platform.tests import test_unannounced_departures as departures
from railtide.platform.tests.test_unannounced_departures import (
    DRAIN_S,
    HEARTBEAT_S,
    STABLE_S,
    Fleet,
)
from railtide.standins.keyed_store import MemoryStore
from tests.matrix.schedule import fix_schedule

LEAVES_AFTER_S = STABLE_S - DRAIN_S - 0.05
"""From the silence to a departure whose requests are late as soon as the router is undisturbed."""


class SilentStore(RouterStore):
    """Connections to the store; those of each topic can go silent, while new ones work."""

    def __init__(self, memory: MemoryStore) -> None:
        super().__init__(memory)
        self.silent_topics: set[str] = set()

    async def read(
        self,
        topic: str,
        start: int,
        wait_s: float,
        partition: int = 0,
        progress: ReadProgress | None = None,
    ) -> KeyedPage:
        if topic in self.silent_topics:
            await trio.sleep(wait_s + FIRST_BYTE_TIMEOUT_S)
            self.silent_topics.discard(topic)
            wait_s = 0.0
            if progress:
                progress.note_unresponsive(LogUnavailable("no response yet"))
        return await super().read(topic, start, wait_s, partition, progress)


async def late_requests(
    monkeypatch: pytest.MonkeyPatch, interval_s: float, engines: int, after_s: float
) -> list[str]:
    """Return the late requests of a router whose connections go silent before a departure."""
    monkeypatch.setattr(departures, "RouterStore", SilentStore)
    options = partial(EdgeOptions, upstream_read_interval_s=interval_s)
    monkeypatch.setattr(departures, "EdgeOptions", options)
    fix_schedule(1)
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, Random(f"silence {engines}"), 1, engines)
        await trio.sleep(8.0 + after_s)
        router = fleet.routers[0]
        with router.disturbances.during():
            router.store.silent_topics.add(departures.TOPIC)
        await trio.sleep(LEAVES_AFTER_S)
        await fleet.leave("e1", is_announced=True)
        await trio.sleep(STABLE_S)
        nursery.cancel_scope.cancel()
    return fleet.late_requests()


class TestSilentConnection:
    def test_silence_of_the_configuration_lasts_longer_than_a_disturbance(self) -> None:
        assert EdgeOptions().configuration_wait_s + FIRST_BYTE_TIMEOUT_S < STABLE_S

    @pytest.mark.parametrize(
        "interval_s",
        [EdgeOptions().upstream_read_interval_s, EdgeOptions().idle_upstream_read_interval_s],
    )
    @pytest.mark.parametrize("engines", [2, 12])
    @pytest.mark.parametrize("after_s", [HEARTBEAT_S * part / 8 for part in range(8)])
    async def test_undisturbed_router_learns_of_a_departure_late(
        self,
        autojump_clock,
        monkeypatch: pytest.MonkeyPatch,
        interval_s: float,
        engines: int,
        after_s: float,
    ) -> None:
        assert not await late_requests(monkeypatch, interval_s, engines, after_s)
