"""Each fault injected once at each step of a request or of the log."""

from functools import partial

import pytest
import trio
from trio.testing import MockClock

from tests.matrix.checks import check_all
from tests.matrix.scenario import FAULTS, STEPS, Trigger, run_cell
from tests.matrix.schedule import fix_schedule


def run_on_virtual_clock(triggers: list[Trigger], seed: int = 0) -> None:
    fix_schedule(seed)
    clock = MockClock(autojump_threshold=0)
    trio.run(partial(run_cell, triggers, check_all), clock=clock)


class TestNoFault:
    def test_nothing_is_refused_and_all_is_settled(self) -> None:
        worlds = []
        fix_schedule(0)
        clock = MockClock(autojump_threshold=0)

        def check(world) -> None:
            check_all(world)
            worlds.append(world)

        trio.run(partial(run_cell, [], check), clock=clock)
        refused = [a.error.code for a in worlds[0].attempts if a.error]
        assert set(refused) <= {"budget-exhausted", "draining"}
        assert sum(worlds[0].stranded.values()) == 0


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("step,moment", STEPS, ids=[f"{m}-{s}" for s, m in STEPS])
class TestMatrix:
    def test_promises_hold(self, step: str, moment: str, fault: str) -> None:
        trigger = Trigger(step, moment, FAULTS[fault])
        run_on_virtual_clock([trigger])
        assert trigger.injected, "the step was never reached"
