"""A short run of the soak of repeated and endless answers."""

import pytest

from railtide.standins.platform import EngineRun, PlatformEngine
from tests.edge_soak.answers import ANSWERS, FLOODS_SEED, plan_answers, unstopped_runs
from tests.edge_soak.faults import FAULTS
from tests.edge_soak.fleet import Fleet, World
from tests.edge_soak.run import Kind
from tests.edge_soak.series import SERIES
from tests.edge_soak.test_edge_soak import violations_of

SEEDS = (40_000, 40_001, 40_010, FLOODS_SEED + 1)
"""40000: requests that an engine had run were answered as not run, by the copy of an earlier
refusal. 40001: a refusal without end. 40010: one, and heads and events without end besides.
41001: several engines that send without end, twice."""


class TestAnswers:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_promises_hold(self, seed: int) -> None:
        assert violations_of(seed, Kind.ANSWERS) == []

    def test_every_fault_is_drawn(self) -> None:
        earlier, later = range(50), range(FLOODS_SEED, FLOODS_SEED + 50)
        drawn = {planned.name for seed in later for planned in plan_answers(seed)}
        assert drawn == set(ANSWERS) | set(SERIES) | set(FAULTS)
        drawn = {planned.name for seed in earlier for planned in plan_answers(seed)}
        assert drawn == set(ANSWERS) - {"floods"} | set(SERIES) | set(FAULTS)


class TestUnstoppedRuns:
    @pytest.mark.parametrize(("stopped_at", "broken"), [(1.3, 0), (2.0, 1)])
    def test_engine_left_at_work_is_reported(self, stopped_at: float, broken: int) -> None:
        first, second = PlatformEngine("e0"), PlatformEngine("e1")
        first.runs = [EngineRun("r1", 0.5, stopped_at), EngineRun("r2", 0.5, 3.0)]
        second.runs = [EngineRun("r1", 1.0, 1.9)]
        fleet = Fleet(World(), None, [], [first, second], [])
        assert len(unstopped_runs(fleet)) == broken
