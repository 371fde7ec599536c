"""A short seeded run of the soak; each seed that ever failed stays, with a line on its cause."""

import shutil
import tempfile
from dataclasses import replace
from pathlib import Path
from signal import SIGCONT, SIGHUP, SIGKILL, SIGSTOP, SIGTERM, Signals

import pytest

from tests.edge_soak.callers import Attempt
from tests.edge_soak.checks import is_good_end, poor_return
from tests.edge_soak.crashes import crashes_of, is_calm_crash
from tests.edge_soak.faults import FAULTS, FIRST_WITH_LATER_FAULTS, LATER_FAULTS, plan_of
from tests.edge_soak.fleet import KEPT_KEY_VERSION, Fleet, ProcessEnd
from tests.edge_soak.notices import BESIDE as NOTICES_BESIDE
from tests.edge_soak.notices import NOTICES, notices_of
from tests.edge_soak.run import Kind, run_seed
from tests.edge_soak.series import CALM, SERIES, is_calm, series_of
from tests.edge_soak.states import (
    APPLY_S,
    BESIDE,
    STATES,
    STATES_WORLD,
    answered_as_outdated,
    states_of,
)

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


STATES_SEEDS = (7000, 7104)
"""7000: routers with narrow links never had the newest version, and answered 404 by an old one.
7104: behind one break of an answer with the newest records, three replaced versions were read."""


class TestStates:
    @pytest.mark.parametrize("seed", STATES_SEEDS)
    def test_promises_hold(self, seed: int, tmp_path: Path) -> None:
        assert run_seed(seed, str(tmp_path), Kind.STATES) == []

    def test_every_fault_is_drawn(self) -> None:
        drawn = {planned.name for seed in range(7000, 7100) for planned in states_of(seed)}
        assert drawn == set(STATES) | set(BESIDE)


NOTICES_SEEDS = (10_000, 10_001)


class TestNotices:
    @pytest.mark.parametrize("seed", NOTICES_SEEDS)
    def test_promises_hold(self, seed: int) -> None:
        assert said_of(seed, Kind.NOTICES) == []

    def test_everything_is_drawn(self) -> None:
        drawn = {planned.name for seed in range(10_000, 10_100) for planned in notices_of(seed)}
        assert drawn == set(NOTICES) | set(NOTICES_BESIDE)


class TestOutdatedAnswers:
    ATTEMPT = Attempt("a", "v2", "r0", 1, KEPT_KEY_VERSION, APPLY_S + 0.1, status=404, newest=2)

    @staticmethod
    def told(attempt: Attempt) -> bool:
        fleet = Fleet(STATES_WORLD, None, [], [], [], written_at={1: -9.0, 2: 0.0, 3: 0.0})
        return answered_as_outdated(fleet, [attempt]) != []

    def test_refusal_behind_the_allowed_time_is_told(self) -> None:
        assert self.told(self.ATTEMPT)

    def test_refusal_of_the_newest_key_is_told(self) -> None:
        refused = replace(self.ATTEMPT, kind="safe", key_version=3, status=401, newest=4)
        assert self.told(refused)

    @pytest.mark.parametrize(
        "change",
        [
            {"sent_at": APPLY_S - 0.1},
            {"status": 503},
            {"status": 200},
            {"status": 401, "kind": "safe", "key_version": 2, "newest": 4},
        ],
    )
    def test_others_are_not(self, change: dict[str, object]) -> None:
        assert not self.told(replace(self.ATTEMPT, **change))


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
