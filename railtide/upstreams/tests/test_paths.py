"""Tests of what a router knows of its paths to upstreams."""

import pytest

from railtide.membership.instances import Instance
from railtide.upstreams.paths import PathState, PathTable


def upstream(number: int, pool: str = "p") -> Instance:
    return Instance(f"e{number}", f"e{number}/1", f"10.0.0.{number}:80", "z", "engine", pool=pool)


UPSTREAMS = [upstream(1), upstream(2), upstream(3, pool="q")]
FAILED = [PathState.FORWARDED, PathState.UNREACHABLE]


class TestPathTable:
    def test_upstream_counts_as_reached_before_any_attempt(self) -> None:
        assert PathTable().unreachable_by_pool(UPSTREAMS) == {"p": 0, "q": 0}

    @pytest.mark.parametrize("state", FAILED)
    def test_each_change_is_logged_once(self, state: PathState, lines) -> None:
        table = PathTable()
        for now, each in enumerate((PathState.SUSPECT, state, state, PathState.DIRECT)):
            table.set_state(UPSTREAMS[0], each, float(now), "timeout")
        logged = [(line["event"], line.get("path"), line.get("lasted_s")) for line in lines]
        assert logged == [
            ("upstream-unreachable", state.value, None),
            ("upstream-reached", None, 3.0),
        ]

    def test_check_that_finds_nothing_is_not_logged(self, lines) -> None:
        table = PathTable()
        for state in (PathState.SUSPECT, PathState.DIRECT):
            table.set_state(UPSTREAMS[0], state, 1.0)
        assert not lines

    @pytest.mark.parametrize("state", FAILED)
    def test_pool_is_unreachable_only_without_any_upstream(self, state, lines) -> None:
        table = PathTable()
        table.set_state(UPSTREAMS[0], state, 1.0)
        table.log_pools(UPSTREAMS)
        assert "pool-unreachable" not in [line["event"] for line in lines]
        table.set_state(UPSTREAMS[1], state, 1.0)
        table.log_pools(UPSTREAMS)
        table.log_pools(UPSTREAMS)
        table.set_state(UPSTREAMS[1], PathState.DIRECT, 2.0)
        table.log_pools(UPSTREAMS)
        pools = [line for line in lines if "pool-" in line["event"]]
        assert [(line["event"], line["pool"]) for line in pools] == [
            ("pool-unreachable", "p"),
            ("pool-reached", "p"),
        ]
        assert pools[0]["cut_off"] is (state is PathState.FORWARDED)

    def test_new_incarnation_inherits_nothing(self) -> None:
        table = PathTable()
        table.set_state(UPSTREAMS[0], PathState.UNREACHABLE, 1.0)
        path = table.path_to(UPSTREAMS[0])
        table.forget(UPSTREAMS[0])
        assert table.state_of(UPSTREAMS[0]) is PathState.DIRECT
        assert not table.knows(path)


class TestCutOffPools:
    def test_upstreams_that_no_router_reaches_have_failed(self) -> None:
        table = PathTable()
        for each in UPSTREAMS:
            table.set_state(each, PathState.UNREACHABLE, 1.0)
        assert table.cut_off_pools(UPSTREAMS) == set()

    def test_one_that_others_reach_tells_the_path_from_the_upstreams(self) -> None:
        table = PathTable()
        table.set_state(UPSTREAMS[0], PathState.UNREACHABLE, 1.0)
        table.set_state(UPSTREAMS[1], PathState.FORWARDED, 1.0)
        assert table.cut_off_pools(UPSTREAMS) == {"p"}

    def test_pool_with_one_direct_path_is_not_cut_off(self) -> None:
        table = PathTable()
        table.set_state(UPSTREAMS[0], PathState.FORWARDED, 1.0)
        assert table.cut_off_pools(UPSTREAMS) == set()
