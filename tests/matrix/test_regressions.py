"""Fault sequences that once violated an invariant, kept as found."""

import pytest

from tests.matrix.scenario import FAULTS, Trigger
from tests.matrix.test_matrix import run_on_virtual_clock

CASES = {
    "lost-try-then-refusal-said-not-run": [
        ("claim", "before", "upstream-crossing", 4),
        ("bill", "before", "upstream-killed", 1),
    ],
    "lost-tries-used-more-than-the-budget": [
        ("dispatch", "during", "upstream-crossing", 1),
        ("checkpoint", "during", "upstream-answer-lost", 3),
    ],
    "paused-before-send-answered-what-was-settled": [
        ("intent", "before", "instance-list-wrong", 2),
        ("dispatch", "before", "router-paused", 3),
    ],
    "keeper-and-router-paused": [
        ("dispatch", "before", "router-paused", 4),
        ("claim", "before", "upstream-answer-lost", 1),
        ("grant", "before", "keeper-paused", 3),
    ],
    "outage-then-death": [
        ("bill", "after", "log-down", 3),
        ("leaving", "before", "instance-killed", 4),
    ],
    "key-sent-without-its-claim-while-another-run-was-open": [
        ("intent", "before", "log-down", 4),
        ("grant", "during", "router-killed", 3),
        ("checkpoint", "after", "upstream-repeating", 2),
    ],
    "same-fault-twice": [
        ("bill", "during", "log-answer-lost", 1),
        ("bill", "during", "log-answer-lost", 2),
        ("claim", "after", "router-killed", 2),
    ],
}


@pytest.mark.parametrize("name", CASES)
class TestRegressions:
    def test_promises_hold(self, name: str) -> None:
        run_on_virtual_clock([Trigger(s, m, FAULTS[f], n) for s, m, f, n in CASES[name]])
