"""Tests of the checks on shares served and on units that are settled."""

from random import Random

import pytest

from railtide.budgets.ledger import Holding, Ledger, ledger_to_bytes
from railtide.standins.keyed_store import MemoryStore
from railtide.standins.platform import PlatformEngine
from tests.edge_soak.callers import TOKENS_IN, TOKENS_OUT, Attempt, Callers
from tests.edge_soak.demands import LEDGER_TOPIC, poor_shares, unsettled
from tests.edge_soak.fleet import ACCOUNT, EVENTS, Fleet, World

UNITS = TOKENS_IN + TOKENS_OUT
BODY = b"".join(b"id: %d\ndata: x%d\n\n" % (n, n) for n in range(1, EVENTS + 1))
WHOLE = Attempt("a0", "stream", "r0", 1, 1, 0.0, status=200, body=BODY, whole=True)
CUT_OFF = Attempt("a0", "stream", "r0", 1, 1, 0.0)


class TestShares:
    def test_account_of_which_less_than_half_is_served_is_reported(self) -> None:
        served_by_account = {"poor": [True, False, False], "half": [True, False], "idle": []}
        assert poor_shares(served_by_account) == ["of 3 requests of poor 1 were served"]


class TestUnsettled:
    """What the ledger of an account counts, beside what one request of it spent.

    Guards against a check that passes whatever a loan that isn't settled leaves behind.
    """

    @staticmethod
    def is_reported(attempt: Attempt, counted: int, interrupted: bool = False) -> bool:
        store = MemoryStore()
        ledger = Ledger(by_instance={"r0": Holding("i", granted=counted, spent=counted)})
        store.put(LEDGER_TOPIC, ACCOUNT, ledger_to_bytes(ledger))
        fleet = Fleet(World(), store, [], [PlatformEngine("e", ran=["a0"])], [])
        return unsettled(fleet, Callers(fleet, Random(0), [attempt]), interrupted) != []

    @pytest.mark.parametrize("interrupted", [False, True])
    def test_ledger_that_counts_what_was_spent_is_not_reported(self, interrupted: bool) -> None:
        assert not self.is_reported(WHOLE, UNITS, interrupted)

    @pytest.mark.parametrize("interrupted", [False, True])
    def test_ledger_that_counts_less_is_reported(self, interrupted: bool) -> None:
        assert self.is_reported(WHOLE, UNITS - 1, interrupted)

    def test_units_beyond_are_reported_unless_they_may_be_written_off(self) -> None:
        assert self.is_reported(WHOLE, UNITS + 1)
        assert not self.is_reported(WHOLE, UNITS + 1, interrupted=True)

    def test_output_of_an_answer_that_was_cut_off_may_be_counted(self) -> None:
        assert not self.is_reported(CUT_OFF, UNITS)
        assert self.is_reported(CUT_OFF, UNITS + 1)
