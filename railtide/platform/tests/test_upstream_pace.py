"""End-to-end tests of the pace that engines state in the fourth figure of their load header."""

from collections.abc import Iterator
from contextlib import contextmanager

import pytest
import trio
from loguru import logger

from railtide.platform.notices import notice_of
from railtide.platform.tests.test_end_to_end import RouterEnvironment, body_of, router_environment
from railtide.upstreams.upstream_state import Upstream

UNREADABLE = ["", "x", "-5", "0", "1e3", "99.5", "1234567", "9" * 5000, "\u0663"]


@contextmanager
def sent_lines() -> Iterator[list[dict[str, object]]]:
    """Yield the fields of the `request-sent` lines that are written meanwhile."""
    lines: list[dict[str, object]] = []
    added = logger.add(lambda line: lines.append(dict(line.record["extra"])), filter=is_sent_line)
    try:
        yield lines
    finally:
        logger.remove(added)


def is_sent_line(record: dict[str, object]) -> bool:
    return record["message"] == "request-sent"


def upstream_of(env: RouterEnvironment, name: str) -> Upstream:
    return env.node.schedulers_by_pool["s"].by_name[name]


class TestLoadHeader:
    @staticmethod
    def _pace_of(value: bytes) -> tuple[int, int, int | None]:
        load = notice_of(200, ((b"x-instance-load", value),), 0.0).load
        return load.running, load.queued, load.pace

    async def test_fourth_figure_is_the_pace(self) -> None:
        assert self._pace_of(b"3,1,8,250") == (3, 1, 250)
        assert self._pace_of(b"3,1,8, 250 ,7") == (3, 1, 250)

    async def test_without_it_no_pace_is_stated(self) -> None:
        assert self._pace_of(b"3,1,8") == (3, 1, None)
        assert self._pace_of(b"3,1") == (3, 1, None)

    @pytest.mark.parametrize("figure", UNREADABLE)
    async def test_unreadable_figure_leaves_the_others_valid(self, figure: str) -> None:
        """A pace that can't be read must neither fail the request nor hide the load."""
        assert self._pace_of(b"3,1,8," + figure.encode()) == (3, 1, None)


class TestPool:
    async def test_slow_engine_gets_few_requests(self) -> None:
        async with router_environment() as env:
            for name, pace in (("e1", "100"), ("e2", "400"), ("e3", "100"), ("e4", "100")):
                (await env.add_engine(name)).pace_text = pace
            for _ in range(60):
                await body_of(await env.send("/safe/x"))
            assert len(env.engine_by_name["e2"].ran) <= 6

    @pytest.mark.parametrize("pace", [None, "no-number"])
    async def test_without_a_figure_nothing_is_measured(self, pace: str | None) -> None:
        async with router_environment() as env:
            (await env.add_engine("e1")).pace_text = pace
            with sent_lines() as lines:
                for _ in range(5):
                    await body_of(await env.send("/safe/x"))
            assert env.node.upstream_paces() == {}
            assert upstream_of(env, "e1").pace.bias.count == 0
            assert not any("pace" in line or "expected_ms" in line for line in lines)

    async def test_engine_that_states_100_and_is_slow_is_measured(self) -> None:
        """The observed times decide against a statement."""
        async with router_environment() as env:
            for name, gap_s in (("e1", 0.1), ("e2", 0.01), ("e3", 0.01)):
                (await env.add_engine(name, gap_s=gap_s)).pace_text = "100"
            for _ in range(40):
                await body_of(await env.send("/safe/x"))
            paces = env.node.upstream_paces()
            assert paces["e1"] > 1.5 * max(paces["e2"], paces["e3"])
            assert len(env.engine_by_name["e1"].ran) <= 10

    async def test_restarted_engine_begins_anew(self) -> None:
        async with router_environment() as env:
            (await env.add_engine("e1", born=1)).pace_text = "400"
            await body_of(await env.send("/safe/x"))
            assert env.node.upstream_paces()["e1"] > 200
            env.put_engine("e1", born=2, seq=1)
            with trio.fail_after(5):
                while upstream_of(env, "e1").pace.stated_average.count:
                    await trio.sleep(0.01)
            assert env.node.upstream_paces() == {"e1": 100.0}

    async def test_line_of_a_sent_request_tells_pace_and_expected_time(self) -> None:
        async with router_environment() as env:
            (await env.add_engine("e1", gap_s=0.05)).pace_text = "200"
            with sent_lines() as lines:
                for _ in range(4):
                    await body_of(await env.send("/safe/x"))
            assert "pace" not in lines[0]
            assert 150 < lines[-1]["pace"] <= 230
            assert 40 <= lines[-1]["expected_ms"] < 250

    async def test_pauses_of_streams_are_measured(self) -> None:
        async with router_environment() as env:
            (await env.add_engine("e1", events=5, gap_s=0.02)).pace_text = "100"
            for _ in range(3):
                await body_of(await env.send("/stream/x"))
            assert env.node.schedulers_by_pool["s"].pace.longest_pause is not None

    async def test_first_event_is_measured_before_the_stream_ends(self) -> None:
        """At its end the statement that belongs to the first event would be forgotten."""
        async with router_environment() as env:
            (await env.add_engine("e1", events=4, gap_s=0.2)).pace_text = "100"
            await body_of(await env.send("/safe/x"))
            stream = await env.send("/stream/x")
            assert env.node.schedulers_by_pool["s"].pace.first_event.count == 1
            await body_of(stream)
            assert env.node.schedulers_by_pool["s"].pace.first_event.count == 1

    async def test_wait_that_ends_with_the_deadline_counts_as_slow(self) -> None:
        """An upstream that answers nothing in time has no times but the waits for it."""
        async with router_environment() as env:
            engine = await env.add_engine("e1", gap_s=0.01)
            engine.pace_text = "100"
            for _ in range(4):
                await body_of(await env.send("/safe/x"))
            engine.script.gap_s = 5.0
            assert (await env.send("/short/x")).status != 200
            assert upstream_of(env, "e1").pace.bias.value > 0.3

    async def test_refusals_and_failures_say_nothing_about_the_pace(self) -> None:
        """A failure that is answered at once would otherwise make its engine look fast."""
        async with router_environment() as env:
            engine = await env.add_engine("e1", gap_s=0.05)
            engine.pace_text = "100"
            for _ in range(3):
                await body_of(await env.send("/safe/x"))
            count = upstream_of(env, "e1").pace.bias.count
            engine.script.status, engine.script.gap_s = 500, 0.0
            assert (await env.send("/once/x")).status == 500
            engine.rest = "0.01"
            assert (await env.send("/once/x")).status == 503
            assert upstream_of(env, "e1").pace.bias.count == count
