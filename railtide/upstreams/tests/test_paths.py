"""Tests of what a router knows of its paths to upstreams."""

from railtide.membership.instances import Instance
from railtide.upstreams.paths import PathTable


def upstream(number: int, pool: str = "p") -> Instance:
    return Instance(f"e{number}", f"e{number}/1", f"10.0.0.{number}:80", "z", "engine", pool=pool)


UPSTREAMS = [upstream(1), upstream(2), upstream(3, pool="q")]


class TestPathTable:
    def test_upstream_counts_as_reached_before_any_attempt(self) -> None:
        assert PathTable().unreachable_by_pool(UPSTREAMS) == {"p": 0, "q": 0}

    def test_each_change_is_logged_once(self, lines) -> None:
        table = PathTable()
        for now in (1.0, 2.0):
            table.note_failed(UPSTREAMS[0], "timeout", now)
        for now in (3.5, 4.0):
            table.note_reached(UPSTREAMS[0], now)
        logged = [(line["event"], line.get("reason"), line.get("lasted_s")) for line in lines]
        assert logged == [
            ("upstream-unreachable", "timeout", None),
            ("upstream-reached", None, 2.5),
        ]

    def test_pool_is_unreachable_only_without_any_upstream(self, lines) -> None:
        table = PathTable()
        table.note_failed(UPSTREAMS[0], "refused", 1.0)
        table.log_pools(UPSTREAMS)
        assert "pool-unreachable" not in [line["event"] for line in lines]
        table.note_failed(UPSTREAMS[1], "refused", 1.0)
        table.log_pools(UPSTREAMS)
        table.log_pools(UPSTREAMS)
        table.note_reached(UPSTREAMS[1], 2.0)
        table.log_pools(UPSTREAMS)
        pools = [(line["event"], line["pool"]) for line in lines if "pool-" in line["event"]]
        assert pools == [("pool-unreachable", "p"), ("pool-reached", "p")]

    def test_new_incarnation_inherits_nothing(self) -> None:
        table = PathTable()
        table.note_failed(UPSTREAMS[0], "refused", 1.0)
        table.forget(UPSTREAMS[0])
        assert table.is_reached(UPSTREAMS[0])
