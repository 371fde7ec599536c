"""Short plays: refused requests don't run, others run once at most, and streams are in order."""

import tempfile
from pathlib import Path

import pytest
import trio

from tests.deployment.play import SMALL_SHAPE, SMALL_STREAMS_SHAPE, play
from tests.deployment.verdict import router_lines

ROOT = Path(__file__).parents[2]
LENGTH_S = 12.0
ANSWERS = ["copies", "unproven", "errors", "lost", "refusals", "slow"]
PROCESSES = ["routers", "engines", "store", "leavers"]


class TestPromises:
    @pytest.mark.parametrize(("seed", "disruptions"), [(1, ANSWERS), (2, ANSWERS + PROCESSES)])
    def test_refused_request_ran_or_a_request_ran_twice(
        self, seed: int, disruptions: list[str]
    ) -> None:
        folder = Path(tempfile.mkdtemp(prefix=f"deployment-{seed}-"))
        verdict = trio.run(play, folder, SMALL_SHAPE, ROOT, disruptions, seed, LENGTH_S)
        lines = [line for v in verdict.violations for line in router_lines(folder, v.request_id)]
        assert not verdict.violations, [*verdict.violations, *lines, folder]
        assert verdict.counts["order 200"] and verdict.counts["advice 200"]


ENDS = ["unframed", "half", "breaks", "stream-errors", "killed-engines"]
VERSIONS = ["release", "fleet", "unframed", "leavers"]


class TestStreams:
    @pytest.mark.parametrize(("seed", "disruptions"), [(3, ENDS), (4, VERSIONS)])
    def test_stream_is_out_of_order(self, seed: int, disruptions: list[str]) -> None:
        folder = Path(tempfile.mkdtemp(prefix=f"deployment-{seed}-"))
        verdict = trio.run(play, folder, SMALL_STREAMS_SHAPE, ROOT, disruptions, seed, LENGTH_S)
        lines = [line for v in verdict.violations for line in router_lines(folder, v.request_id)]
        assert not verdict.violations, [*verdict.violations, *lines, folder]
        assert verdict.counts["summary 200"] and verdict.counts["advice 200"]
