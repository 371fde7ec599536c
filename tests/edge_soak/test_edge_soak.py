"""A short seeded run of the soak; each seed that ever failed stays, with a line on its cause."""

from pathlib import Path

import pytest

from tests.edge_soak.faults import FAULTS, plan_of
from tests.edge_soak.run import run_seed

SEEDS = (5, 20, 41)
"""5 and 41: processes are killed, leave and lose the store. 20: answers that are no stream were
billed without their output (overspend, 12,156 of 12,000)."""


class TestEdgeSoak:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_promises_hold(self, seed: int, tmp_path: Path) -> None:
        assert run_seed(seed, str(tmp_path)) == []

    def test_every_fault_is_drawn(self) -> None:
        drawn = {planned.name for seed in range(50) for planned in plan_of(seed)}
        assert drawn == set(FAULTS)
