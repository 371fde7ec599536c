"""A short seeded run of the soak; each seed that ever failed stays, with a line on its cause."""

import shutil
import tempfile
from signal import SIGCONT, SIGHUP, SIGKILL, SIGSTOP, SIGTERM, Signals

import pytest

from tests.edge_soak.callers import Attempt
from tests.edge_soak.checks import is_good_end, poor_return
from tests.edge_soak.crashes import crashes_of, is_calm_crash
from tests.edge_soak.faults import FAULTS, FIRST_WITH_LATER_FAULTS, LATER_FAULTS, plan_of
from tests.edge_soak.fleet import ProcessEnd
from tests.edge_soak.run import Kind, run_seed
from tests.edge_soak.series import CALM, SERIES, is_calm, series_of

SEEDS = (5, 20, 41, FIRST_WITH_LATER_FAULTS)
"""5 and 41: processes are killed, leave and lose the store. 20: answers that are no stream were
billed without their output (overspend, 12,156 of 12,000). The last one is the first with records
of other writers and engines born anew."""


def said_of(seed: int, kind: Kind) -> list[str]:
    """Run a seed and return what it broke, if anything with where the processes' logs stay.

    Folders of pytest go with its third run from then on, and with them what tells the cause of a
    seed that fails now and then.
    """
    folder = tempfile.mkdtemp(prefix=f"edge-soak-{kind}-{seed}-")
    said = run_seed(seed, folder, kind)
    if said:
        return [*said, f"logs in {folder}"]
    shutil.rmtree(folder)
    return []


class TestEdgeSoak:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_promises_hold(self, seed: int) -> None:
        assert said_of(seed, Kind.FAULTS) == []

    def test_every_fault_is_drawn(self) -> None:
        drawn = {planned.name for seed in range(50) for planned in plan_of(seed)}
        assert drawn == set(FAULTS)

    def test_every_later_fault_is_drawn(self) -> None:
        seeds = range(FIRST_WITH_LATER_FAULTS, FIRST_WITH_LATER_FAULTS + 50)
        drawn = {planned.name for seed in seeds for planned in plan_of(seed)}
        assert drawn == set(FAULTS) | set(LATER_FAULTS)


SERIES_SEEDS = (1000, 1004, 2031)
"""1000: a second SIGTERM ended routers that drained, in the middle of their answers; SIGHUP ended
one that had left. 1004: all are killed again before all are back, beside a slow store. 2031: an
engine sent a second response behind a body that only the close ended, and callers got both."""


class TestSeries:
    @pytest.mark.parametrize("seed", SERIES_SEEDS)
    def test_promises_hold(self, seed: int) -> None:
        assert said_of(seed, Kind.SERIES) == []

    def test_every_series_is_drawn(self) -> None:
        drawn = {planned.name for seed in range(50) for planned in series_of(seed)}
        assert drawn == set(SERIES) | set(FAULTS)

    def test_calm_seeds_break_no_request_off(self) -> None:
        calm = [seed for seed in range(50) if is_calm(seed)]
        assert calm
        assert {planned.name for seed in calm for planned in series_of(seed)} <= set(CALM)


CRASH_SEEDS = (5000, 5003, 6027)
"""5000 has routers that are killed or leave and nothing else; 5003 has faults of the store too. In
6027 an engine was killed and two ended under the bad content within 0.12 s of the start, and a read
of all callers, under way at each of them, was held for good: its own runs were stopped with it."""


class TestCrashes:
    @pytest.mark.parametrize("seed", CRASH_SEEDS)
    def test_promises_hold(self, seed: int) -> None:
        assert said_of(seed, Kind.CRASHES) == []

    def test_calm_seeds_lose_no_mark(self) -> None:
        calm = [seed for seed in range(50) if is_calm_crash(seed)]
        assert {planned.name for seed in calm for planned in crashes_of(seed)} == {"kill", "leave"}


def ended(code: int, *signals: Signals, early: tuple[Signals, ...] = ()) -> ProcessEnd:
    return ProcessEnd(1, code, frozenset(signals + early), frozenset(early))


class TestEnds:
    @pytest.mark.parametrize(
        "end",
        [
            ended(0, SIGTERM),
            ended(0, SIGTERM, SIGHUP, SIGSTOP, SIGCONT),
            ended(-9, SIGTERM, SIGKILL),
            ended(-15, early=(SIGTERM,)),
        ],
    )
    def test_asked_or_killed(self, end: ProcessEnd) -> None:
        assert is_good_end(end)

    @pytest.mark.parametrize(
        "end",
        [
            ended(-15, SIGTERM),
            ended(-1, SIGHUP),
            ended(1, SIGTERM),
            ended(0),
            ended(0, SIGHUP),
            ended(1, early=(SIGHUP,)),
            ended(-15, SIGTERM, early=(SIGHUP,)),
        ],
    )
    def test_ended_by_itself_or_cut_short(self, end: ProcessEnd) -> None:
        assert not is_good_end(end)


def answered(*statuses: int) -> list[Attempt]:
    return [Attempt("a", "safe", "r0", 1, 1, 0.0, status=status) for status in statuses]


class TestReturn:
    def test_a_quarter_is_enough(self) -> None:
        assert poor_return(answered(200, 503, 503, 0), 10_000) == []

    def test_less_than_a_quarter_is_told(self) -> None:
        assert poor_return(answered(200, 503, 503, 503, 0), 10_000)

    def test_budget_that_is_spent_excuses(self) -> None:
        assert poor_return(answered(503, 503), 100) == []
