"""Tests of railtide.configuration.routes."""

from random import Random

from railtide.configuration.routes import PoolShare, Route, RouteTable, choose_pool


def route(
    prefix: str, host: str = "h", shares: tuple[PoolShare, ...] = (PoolShare("p", 1),)
) -> Route:
    return Route(prefix, host, prefix, shares, True, False, False, 1.0, 0.1, 0, 1, False)


class TestRouteTable:
    def test_longest_prefix_wins(self) -> None:
        table = RouteTable.of([route("/a/"), route("/a/b/"), route("/")])
        assert table.match("h", "/a/b/c").name == "/a/b/"
        assert table.match("h", "/a/bc").name == "/a/"
        assert table.match("h", "/x").name == "/"

    def test_unknown_host_or_path_has_no_route(self) -> None:
        table = RouteTable.of([route("/a/")])
        assert table.match("other", "/a/") is None
        assert table.match("h", "/b/") is None


class TestChoosePool:
    def test_pools_are_drawn_by_weight(self) -> None:
        split = route("/a/", shares=(PoolShare("p", 90), PoolShare("q", 10), PoolShare("none", 0)))
        rng = Random(1)
        drawn = [choose_pool(split, rng) for _ in range(1000)]
        assert 50 < drawn.count("q") < 150
        assert "none" not in drawn
