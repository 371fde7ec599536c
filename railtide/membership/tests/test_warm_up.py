"""Warm-up times of upstreams, from records that arrive late and out of order."""

import pytest
import trio
from msgspec.structs import replace

from railtide.membership.instances import Instance
from railtide.membership.tests.test_upstream_list import engine
from railtide.membership.upstream_list import UpstreamList


class Case:
    """A list of one upstream; `changes` counts how often its pool was reported."""

    def __init__(self) -> None:
        self.changes = 0
        self.known = engine("a")
        self.listed = UpstreamList(self._changed, lambda: 0.0)

    def _changed(self, pool: str, instances: list[Instance]) -> None:
        self.changes += 1
        (self.known,) = instances

    def put(self, cold_s: float, **fields: object) -> None:
        self.listed.put(replace(engine("a"), cold_s=cold_s, **fields))
        self.listed.apply_pending()

    @property
    def cold_for_s(self) -> float:
        return max(0.0, self.known.warm_at - trio.current_time())


class TestRecords:
    async def test_cold_upstream_is_reported_with_its_warm_up_end(self, autojump_clock) -> None:
        case = Case()
        case.put(3.0)
        assert case.cold_for_s == pytest.approx(3.0)
        await trio.sleep(3.1)
        assert case.cold_for_s == 0.0

    async def test_heartbeats_that_count_down_are_no_change(self, autojump_clock) -> None:
        case = Case()
        for number, cold_s in enumerate((3.0, 2.4, 0.9, 0.0)):
            case.put(cold_s, seq=number)
            await trio.sleep(0.5)
        assert case.changes == 1

    async def test_late_record_does_not_end_the_warm_up(self, autojump_clock) -> None:
        case = Case()
        case.put(3.0)
        await trio.sleep(1)
        case.put(0.0)
        assert case.cold_for_s == pytest.approx(2.0)

    async def test_it_may_become_cold_again(self, autojump_clock) -> None:
        case = Case()
        case.put(3.0)
        await trio.sleep(5)
        case.put(0.0)
        case.put(2.5)
        assert case.cold_for_s == pytest.approx(2.5)
        assert case.changes == 2

    async def test_new_incarnation_inherits_no_warm_up(self, autojump_clock) -> None:
        case = Case()
        case.listed.put(replace(engine("a", born=1), cold_s=9.0))
        case.listed.put(engine("a", born=2))
        case.listed.apply_pending()
        assert case.cold_for_s == 0.0
