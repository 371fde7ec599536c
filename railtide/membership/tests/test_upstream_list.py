"""Tests of railtide.membership.upstream_list."""

import trio
from msgspec.structs import replace

from railtide.membership.instances import Instance, InstanceState
from railtide.membership.upstream_list import UpstreamList


def engine(name: str, pool: str = "p") -> Instance:
    return Instance(name, name, f"{name}:1", "z", "engine", pool)


class Case:
    """A list whose changes are kept by pool."""

    def __init__(self, lapse_until: float = 0.0) -> None:
        self.names_by_pool: dict[str, list[str]] = {}
        self.listed = UpstreamList(self._changed, lambda: lapse_until)

    def _changed(self, pool: str, instances: list[Instance]) -> None:
        self.names_by_pool[pool] = sorted(i.name for i in instances)
        self.states = {i.name: i.state for i in instances}


class TestUpstreamList:
    async def test_removed_upstream_goes_at_once(self, autojump_clock) -> None:
        case = Case()
        case.listed.put(engine("a"))
        case.listed.put(engine("b"))
        case.listed.remove("a")
        case.listed.settle()
        assert case.names_by_pool == {"p": ["b"]}

    async def test_lapsed_upstream_that_returns_in_time_stays(self, autojump_clock) -> None:
        case = Case(lapse_until=trio.current_time() + 2)
        case.listed.put(engine("a"))
        case.listed.remove("a")
        case.listed.settle()
        assert case.names_by_pool == {"p": ["a"]}
        await trio.sleep(1)
        case.listed.put(engine("a"))
        await trio.sleep(5)
        case.listed.settle()
        assert case.names_by_pool == {"p": ["a"]}

    async def test_lapsed_upstream_that_stays_missing_goes(self, autojump_clock) -> None:
        case = Case(lapse_until=trio.current_time() + 2)
        case.listed.put(engine("a"))
        case.listed.keep_only(set())
        await trio.sleep(2.1)
        case.listed.settle()
        assert case.names_by_pool == {"p": []}

    async def test_leaving_is_sticky(self, autojump_clock) -> None:
        case = Case()
        case.listed.put(replace(engine("a"), state=InstanceState.LEAVING))
        case.listed.put(engine("a"))
        case.listed.settle()
        assert case.states == {"a": InstanceState.LEAVING}
